"""A balancer's part in the fleet: `brookreach run --fleet`. It reports itself, and follows what was agreed.

This module owns the balancer's client of the group. No RPC waits for it: whatever fails here delays changes, and is
tried again.
"""

from __future__ import annotations

import contextlib
import random
import re
import time
import traceback
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol  # a balancer's settings are plain JSON here

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.client.events import (
    ClientEvent,
    ClientRejected,
    ReplyReceived,
    RowsChanged,
    SessionEstablished,
    SessionLost,
)
from brookreach.coordination.clock import now_ms
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import ReportBalancer, RequestRestart
from brookreach.disruption.endpoint_overlay import AgreedDrains, EndpointListener, EndpointOverlay
from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import BALANCERS, HALT, NODES, PERMITS
from brookreach.files import InvalidFileError
from brookreach.net.endpoint import ListedNode

WATCHED_TABLES = (HALT, BALANCERS, NODES, PERMITS)
BALANCER_SERVICE = "marshals"
RESTART_DELAY_S = 1.0  # of this client, after a defect in it
SHUTDOWN_TIMEOUT_S = 0.2
SESSION_END_TIMEOUT_S = 0.1
RESTART_URGENCY = 5
NAME_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
EVENT = "fleet"  # by which the balancer's report knows these lines


class EventReport(Protocol):
    """Where a balancer's events are written."""

    name: str

    def log(self, kind: str, text: str) -> None:
        """Writes one event."""
        ...


class Discovery(Protocol):
    """The part of discovery that the overlay needs."""

    node_numbers: Mapping[str, int]
    version: int
    on_node_list: EndpointListener


class Placement(Protocol):
    """The index of the balancer's own zone in its settings."""

    zone: int


class DriverSettings(Protocol):
    """What the driver was started with."""

    place: Placement


class Endpoint(Protocol):
    """An endpoint of the driver, with its entry in discovery's list."""

    listed: ListedNode


class EndpointTable(Protocol):
    """The driver's endpoints by number."""

    endpoints: Mapping[int, Endpoint]


class Driver(Protocol):
    """The part of the driver that the overlay needs."""

    settings: DriverSettings
    nodes: EndpointTable
    on_node_list: EndpointListener


class BalancerParts(Protocol):
    """The parts of a running balancer beside which the client runs; see `brookreach.net.runtime.BalancerRuntime`."""

    report: EventReport
    configuration: Mapping[str, Any]
    discovery: Discovery
    driver: Driver


class BalancerClient:
    """Runs beside the balancer's other tasks.

    Args:
        parts: Of the balancer; the overlay is put between its discovery and its driver.
        path: The group's file.
        restarts: At SIGTERM it requests a permit for its restart, and does not wait for it.

    Raises:
        InvalidFileError: the group's file or key can't be read, or the balancer's name doesn't fit a group.
    """

    def __init__(self, parts: BalancerParts, path: Path, restarts: bool):
        cluster = configuration.read(path)
        self.key = configuration.read_key(path, cluster)
        self.group = cluster.group.name
        self.addresses = cluster.addresses()
        self.timing = cluster.times()
        self.report = parts.report
        self.restarts = restarts
        self.name = parts.report.name
        if not NAME_PATTERN.fullmatch(self.name):
            raise InvalidFileError([f"name {self.name!r}: in a group 1 to 64 of A-Z a-z 0-9 . _ - are allowed"])
        self.zone = str(parts.configuration["settings"]["zones"][parts.driver.settings.place.zone])
        self.overlay = _install_overlay(parts)
        self.connect()

    def connect(self) -> None:
        """Makes a new client without a session, which knows nothing yet."""
        tables = {name: APPLICATION.tables[name] for name in WATCHED_TABLES}
        self.drains = AgreedDrains()
        self.client = Client(self.name, "marshal", tuple(self.addresses), self.timing, random.Random(), tables)
        self.connection = self.make_connection(self.client)
        self.status = TargetStatus.READY

    def make_connection(self, client: Client) -> ClientConnection:
        """The connection of the client to the group's replicas."""
        return ClientConnection(client, self.group, self.key, self.addresses, self.on_event)

    async def run(self) -> None:
        """Until cancelled."""
        while True:
            try:
                await self.connection.run()
            except Exception:  # a defect must not end the balancer
                self.report.log("fault", traceback.format_exc(limit=-2))
            await anyio.sleep(RESTART_DELAY_S)
            self.connect()

    def begin_shutdown(self) -> None:
        """SIGTERM: draining while it still answers, and down as it ends; nothing waits for that."""
        self.status = TargetStatus.DRAINING
        if self.restarts:
            name = f"restart.{self.name}.{self.client.session}"
            self._send(RequestRestart(name, self.name, RESTART_URGENCY, "told to end"))
        self._report()

    async def finish_shutdown(self) -> None:
        """Ends the session, if that is done at once."""
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            await self.connection.close(SESSION_END_TIMEOUT_S)

    def _report(self) -> None:
        report = ReportBalancer(
            balancer=self.name,
            zone=self.zone,
            build=0,
            service=BALANCER_SERVICE,
            status=self.status,
            warm=True,
            applied_index=self.client.cache.index,
        )
        self._send(report)

    def _send(self, command: Command) -> None:
        """Without a session nothing is sent; the next session begins with a report."""
        if self.client.session:
            with contextlib.suppress(TooManyRequestsError, SessionNotHeldError):
                self.client.propose(now_ms(), APPLICATION.name, command)
            self.connection.wake()

    def on_event(self, event: ClientEvent) -> None:
        """Takes in what the group says."""
        match event:
            case SessionEstablished(session=session, replica=replica, resumed=resumed):
                self._log(f"session {session} {'goes on' if resumed else 'begins'} with {replica}")
                if not resumed:
                    self._report()
            case SessionLost(session=session, reason=reason):
                self._log(f"session {session} is lost: {reason}; what was agreed last stands")
            case RowsChanged():
                self._show_drains(event)
            case ReplyReceived(ok=False, text=text):
                self._log(f"refused: {text}")
            case ClientRejected(reason=reason, text=text):
                self._log(f"turned away, {reason}: {text}")

    def _show_drains(self, event: RowsChanged) -> None:
        began = time.monotonic()
        changed = self.overlay.set_drained(self.drains.take(self.client.cache, event))
        elapsed_ms = (time.monotonic() - began) * 1000.0
        for name in changed:
            shown = "drains" if name in self.overlay.drained else "is as discovery has it"
            self._log(f"{name} {shown}, agreed at place {event.index}, told in {elapsed_ms:.1f} ms")

    def _log(self, text: str) -> None:
        self.report.log(EVENT, text)


def _install_overlay(parts: BalancerParts) -> EndpointOverlay:
    """Puts an overlay, which begins with the driver's endpoints, between discovery and the driver."""
    overlay = EndpointOverlay(_numbers_reader(parts.discovery), parts.driver.on_node_list)
    overlay.version = parts.discovery.version
    for number, endpoint in parts.driver.nodes.endpoints.items():
        overlay.endpoints[number] = endpoint.listed
    parts.discovery.on_node_list = overlay.on_listing
    return overlay


def _numbers_reader(discovery: Discovery) -> Callable[[], Mapping[str, int]]:
    """Discovery replaces its numbers with each list, so they are read when needed."""
    return lambda: discovery.node_numbers
