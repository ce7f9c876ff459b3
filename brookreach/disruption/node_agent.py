"""A stand-in for nodes' agents, for trials and drills: it reports its nodes ready, and obeys drains.

A real agent stands beside its node, starts and stops it, and asks it whether it is warm; what it reports and when is as
here. It must never say that a node stays before its cache shows that the drain was withdrawn, nor stop the node while
a halt stands there.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any  # a balancer's configuration is plain JSON here

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.events import ClientEvent, ReplyReceived, RowsChanged, SessionEstablished
from brookreach.coordination.clock import now_ms
from brookreach.coordination.state_machine.application import Row
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import ReportNode
from brookreach.disruption.halt import HALT_KEY
from brookreach.disruption.permits import RELEASE_PREFIX
from brookreach.disruption.states import ACTIVE_STATES, PermitAction, PermitState, TargetStatus
from brookreach.disruption.tables import HALT, PERMITS, HaltRow, PermitRow

WriteLine = Callable[[str], object]
HALT_POLL_S = 0.1
DEFAULT_SERVICE = "nodes"


@dataclass(frozen=True, slots=True)
class NodeDescription:
    """What a balancer's configuration says of a node. `capacity`: for long jobs, in the operators' own unit."""

    name: str
    zone: str
    build: int
    service: str = DEFAULT_SERVICE
    capacity: int = 0


def nodes_from_configuration(settings: Mapping[str, Any]) -> list[NodeDescription]:
    """The nodes of a balancer's configuration.

    Raises:
        KeyError, TypeError, ValueError: the configuration lists none, or one without these fields.
    """
    members = settings["known"]["members"]
    return [
        NodeDescription(str(member["id"]), str(member["locality"]), int(member["revision_no"])) for member in members
    ]


class NodeAgent:
    """The agent of one node.

    Args:
        description: The node.
        cluster: The group of replicas.
        key: The group's key.
        outage_s: A granted drain is played to its end, and the node is back after so long; None: it only drains, and
            comes back as its permit is withdrawn.
        write_line: Is called with a line for each reply.
        more_tables: Tables that its cache has besides permits and halts.
    """

    def __init__(
        self,
        description: NodeDescription,
        cluster: configuration.ClusterConfiguration,
        key: bytes,
        outage_s: float | None,
        write_line: WriteLine,
        more_tables: Mapping[str, type[Row]] | None = None,
    ):
        self.description = description
        self.outage_s = outage_s
        self.write_line = write_line
        self.incarnation = int(time.time())  # later than any before: each start of an agent begins one
        self.status = TargetStatus.READY
        self.permit = ""  # the name of the one that it is out by
        self.awaits_withdrawal = False  # it said that the node stays; the permit hasn't ended yet
        tables = {name: APPLICATION.tables[name] for name in (PERMITS, HALT)} | dict(more_tables or {})
        addresses = cluster.addresses()
        self.client = Client(description.name, "agent", tuple(addresses), cluster.times(), random.Random(), tables)
        self.connection = ClientConnection(self.client, cluster.group.name, key, addresses, self.on_event)
        self.drain_started = anyio.Event()

    async def run(self) -> None:
        """Reports the node and obeys drains until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.connection.run)
            while self.outage_s is not None:
                await self.drain_started.wait()
                await self._play_outage(self.outage_s)

    async def _play_outage(self, outage_s: float) -> None:
        """Drains for the first half of the time, is down for the second, and starts as a new incarnation."""
        await anyio.sleep(outage_s / 2.0)
        while self.status == TargetStatus.DRAINING and self._is_halted(self.permit):
            await anyio.sleep(HALT_POLL_S)
        if self.status != TargetStatus.DRAINING:  # the permit was withdrawn meanwhile
            return
        self._set_status(TargetStatus.DOWN)
        await anyio.sleep(outage_s / 2.0)
        self.incarnation += 1
        self.drain_started = anyio.Event()
        self.permit = ""
        self.awaits_withdrawal = False
        self._set_status(TargetStatus.READY)

    def _set_status(self, status: TargetStatus) -> None:
        self.status = status
        self._report()

    def _report(self) -> None:
        if not self.client.session:
            return
        report = ReportNode(
            node=self.description.name,
            zone=self.description.zone,
            build=self.description.build,
            service=self.description.service,
            capacity=self.description.capacity,
            status=self.status,
            incarnation=self.incarnation,
            warm=self.status == TargetStatus.READY,
            applied_index=self.client.cache.index,
        )
        self.client.propose(now_ms(), APPLICATION.name, report)
        self.connection.wake()

    def on_event(self, event: ClientEvent) -> None:
        """Takes in what the group says."""
        match event:
            case SessionEstablished(resumed=False):
                self._report()
            case RowsChanged():
                self._follow_permits()
            case ReplyReceived():
                outcome = f"agreed at place {event.index}" if event.ok else f"refused: {event.text}"
                self.write_line(f"{self.description.name} {self.status}, life {self.incarnation}, {outcome}")

    def _is_halted(self, permit: str) -> bool:
        """Whether a halt, as far as its cache shows, keeps it from leaving by this permit."""
        halt = self.client.cache.get(HALT, HALT_KEY)
        return isinstance(halt, HaltRow) and not (halt.allows_rollback and permit.startswith(RELEASE_PREFIX))

    def _drains(self) -> list[tuple[str, PermitRow]]:
        """Drains of this node, by name."""
        return [
            (name, row)
            for name, row in self.client.cache.rows(PERMITS)
            if isinstance(row, PermitRow) and row.action == PermitAction.DRAIN and row.target == self.description.name
        ]

    def _follow_permits(self) -> None:
        """A granted drain begins, a withdrawn one ends; each is reported once."""
        drains = self._drains()
        granted = [
            name for name, row in drains if row.state == PermitState.GRANTED and row.incarnation == self.incarnation
        ]
        is_withdrawn = any(row.state in ACTIVE_STATES and row.withdrawn_index for _, row in drains)
        startable = [name for name in granted if not self._is_halted(name)]
        is_up = self.status in (TargetStatus.READY, TargetStatus.DRAINING)
        if startable and self.status == TargetStatus.READY:
            self.permit = startable[0]
            self.awaits_withdrawal = False
            self._set_status(TargetStatus.DRAINING)
            self.drain_started.set()
        elif is_withdrawn and not granted and is_up and not self.awaits_withdrawal:
            self.permit = ""
            self.awaits_withdrawal = True
            self.drain_started = anyio.Event()
            self._set_status(TargetStatus.READY)
        elif not is_withdrawn and self.awaits_withdrawal:
            self.awaits_withdrawal = False


async def run_agents(path: Path, nodes: list[NodeDescription], outage_s: float | None, write_line: WriteLine) -> None:
    """Agents of these nodes until cancelled.

    Raises:
        InvalidFileError: the group's file or key can't be read.
    """
    cluster = configuration.read(path)
    key = configuration.read_key(path, cluster)
    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(NodeAgent(node, cluster, key, outage_s, write_line).run)
