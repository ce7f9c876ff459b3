"""A fleet of balancers under a virtual clock: one replicated log, and links that delay, lose and duplicate messages.

The real `HoldDown` and `SubsetHandover` run in it; sessions, leases, rows and RPCs are modelled.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from msgspec import structs

from brookreach.simulation.subsetting.invariants import InvariantChecker
from brookreach.simulation.subsetting.virtual_clock import VirtualClock
from brookreach.subsetting.effects import (
    DrainService,
    Effect,
    HandoverAck,
    HandoverQuery,
    LoadService,
    RequestFullView,
)
from brookreach.subsetting.fleet_view import Balancer, FleetView, ViewChange, diff_views
from brookreach.subsetting.handover import SubsetHandover
from brookreach.subsetting.hold_down import HoldDown
from brookreach.subsetting.settings import Settings

LEASE_MS = 4_000  # by the holder's clock; it ends before the grantor's
GRANTOR_LEASE_MS = 5_000
RENEWAL_INTERVAL_MS = 1_000
ANNOUNCEMENT_INTERVAL_MS = 2_000  # of the latest version
TICK_INTERVAL_MS = 250
CHECK_INTERVAL_MS = 1_000
MAX_VIEW_DELAY_MS = 2_000
MIN_LOAD_DELAY_MS = 50
MAX_LOAD_DELAY_MS = 1_500
MAX_RPC_MS = 3_000
MAX_PEER_DELAY_MS = 500  # of messages between balancers
MAX_SLOW_PEER_DELAY_MS = 12_000
SLOW_FRACTION = 0.1
LOSS_FRACTION = 0.05
DUPLICATION_FRACTION = 0.05

Receive = Callable[[], list[Effect]]
"""Hands a message to a handover and returns its effects."""


@dataclass
class BalancerProcess:
    """One balancer, which may be dead or suspended.

    Attributes:
        balancer: Its size and place.
        handover: The code under test.
        alive: It was not killed.
        suspended: It does not run; messages wait in `inbox`.
        session: Of its present lease.
        session_ended: The log has ended that session.
        renewed_ms: When the lease was renewed last, as the grantor knows.
        inbox: Messages that arrived while it was suspended.
    """

    balancer: Balancer
    handover: SubsetHandover
    alive: bool = True
    suspended: bool = False
    session: int = 1
    session_ended: bool = False
    renewed_ms: int = 0
    inbox: list[Receive] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """It is neither dead nor suspended."""
        return self.alive and not self.suspended


class FleetModel:
    """The fleet of one seed."""

    def __init__(self, seed: int, settings: Settings, checker: InvariantChecker) -> None:
        self._random_source = random.Random(seed)
        self._settings = settings
        self._checker = checker
        self.clock = VirtualClock()
        self.hold_down = HoldDown(settings.times)
        self.latest = FleetView()
        self.processes: dict[str, BalancerProcess] = {}
        self.clock.call_every(settings.times.batch_interval_ms // 2, self._publish_version)
        self.clock.call_every(ANNOUNCEMENT_INTERVAL_MS, self._announce_version)
        self.clock.call_every(TICK_INTERVAL_MS, self._tick)
        self.clock.call_every(CHECK_INTERVAL_MS, lambda: checker.check_coverage(self.clock.now_ms))
        self.clock.call_every(RENEWAL_INTERVAL_MS, self._renew_leases)

    # --- balancers ---

    def start(self, balancer: Balancer) -> None:
        """Starts a process, in a new session."""
        earlier = self.processes.get(balancer.name)
        session = earlier.session + 1 if earlier else 1
        process = BalancerProcess(balancer, SubsetHandover(balancer.name, self._settings), session=session)
        self.processes[balancer.name] = process
        self._begin_session(process, session)

    def resize(self, name: str, weight: int) -> None:
        """Changes a balancer's weight."""
        process = self.processes[name]
        process.balancer = structs.replace(process.balancer, weight=weight)
        if process.alive and not process.session_ended:
            reported = structs.replace(process.balancer, session=process.session)
            self.hold_down.session_started(reported, self.clock.now_ms)

    def crash(self, name: str, *, gracefully: bool = False) -> None:
        """Ends a process; gracefully it ends its session too, else the log does when the lease has expired."""
        process = self.processes[name]
        if not process.alive:
            return
        process.alive = False
        self._checker.on_lost(name, self.clock.now_ms)
        if gracefully and not process.session_ended:
            process.session_ended = True
            self.hold_down.session_ended(name, self.clock.now_ms)

    def restart(self, name: str) -> None:
        """Starts a process that has ended."""
        if not self.processes[name].alive:
            self.start(self.processes[name].balancer)

    def suspend(self, name: str, duration_ms: int) -> None:
        """Suspends a process for some time."""
        process = self.processes[name]
        if process.is_running:
            process.suspended = True
            self._checker.on_lost(name, self.clock.now_ms)
            self.clock.call_later(duration_ms, lambda: self._resume(process))

    def _resume(self, process: BalancerProcess) -> None:
        process.suspended = False
        if not process.alive:
            return
        self._report_serving(process)
        inbox = process.inbox
        process.inbox = []
        for receive in inbox:
            self._execute(process, receive())

    def _begin_session(self, process: BalancerProcess, session: int) -> None:
        process.session = session
        process.session_ended = False
        process.renewed_ms = self.clock.now_ms
        self.hold_down.session_started(structs.replace(process.balancer, session=session), self.clock.now_ms)
        self._grant_lease(process)

    def _grant_lease(self, process: BalancerProcess) -> None:
        self._execute(process, process.handover.lease_renewed(process.session, self.clock.now_ms + LEASE_MS))

    # --- the log ---

    def _publish_version(self) -> None:
        view = self.hold_down.next_version(self.clock.now_ms)
        if view is None:
            return
        change = diff_views(self.latest, view)
        self.latest = view
        for process in self.processes.values():
            self._send(process, partial(self._receive_change, process, change))

    def _receive_change(self, process: BalancerProcess, change: ViewChange) -> list[Effect]:
        return process.handover.view_change_received(change, self.clock.now_ms)

    def _renew_leases(self) -> None:
        for process in list(self.processes.values()):
            if process.is_running and process.session_ended:
                self._begin_session(process, process.session + 1)
            elif process.is_running:
                process.renewed_ms = self.clock.now_ms
                self._grant_lease(process)
            elif not process.session_ended and self.clock.now_ms - process.renewed_ms > GRANTOR_LEASE_MS:
                process.session_ended = True
                self.hold_down.session_ended(process.balancer.name, self.clock.now_ms)

    def _announce_version(self) -> None:
        version = self.latest.version
        for process in self.processes.values():
            self._send(process, partial(process.handover.version_announced, version))

    def _tick(self) -> None:
        for process in self.processes.values():
            if process.is_running:
                self._execute(process, process.handover.tick(self.clock.now_ms))

    # --- links ---

    def _send(self, process: BalancerProcess, receive: Receive, max_delay_ms: int = MAX_VIEW_DELAY_MS) -> None:
        """Sends to this process; one that is started later under its name receives nothing of it."""
        is_lost = self._random_source.random() < LOSS_FRACTION
        copies = 0 if is_lost else 1 + (self._random_source.random() < DUPLICATION_FRACTION)
        for _ in range(copies):
            delay_ms = self._random_source.randint(1, max_delay_ms)
            self.clock.call_later(delay_ms, lambda: self._deliver(process, receive))

    def _deliver(self, process: BalancerProcess, receive: Receive) -> None:
        if process.is_running:
            self._execute(process, receive())
        elif process.alive:
            process.inbox.append(receive)

    def _send_to_peer(self, name: str, receive: Callable[[SubsetHandover], list[Effect]]) -> None:
        process = self.processes.get(name)
        if process is None:
            return
        is_slow = self._random_source.random() < SLOW_FRACTION
        max_delay_ms = MAX_SLOW_PEER_DELAY_MS if is_slow else MAX_PEER_DELAY_MS
        self._send(process, lambda: receive(process.handover), max_delay_ms)

    # --- effects ---

    def _execute(self, process: BalancerProcess, effects: list[Effect]) -> None:
        if process.is_running:
            self._report_serving(process)
        for effect in effects:
            self._execute_effect(process, effect)

    def _execute_effect(self, process: BalancerProcess, effect: Effect) -> None:
        handover = process.handover
        match effect:
            case LoadService(service):
                delay_ms = self._random_source.randint(MIN_LOAD_DELAY_MS, MAX_LOAD_DELAY_MS)
                self.clock.call_later(
                    delay_ms, lambda: self._deliver(process, lambda: handover.service_loaded(service))
                )
            case DrainService(service):
                delay_ms = self._random_source.randint(1, MAX_RPC_MS)
                self.clock.call_later(delay_ms, lambda: self._deliver(process, lambda: handover.service_idle(service)))
            case RequestFullView():
                view = self.latest
                self._send(process, lambda: handover.full_view_received(view, self.clock.now_ms))
            case HandoverQuery() as query:
                self._send_to_peer(query.to, lambda peer: peer.query_received(query, self.clock.now_ms))
            case HandoverAck() as ack:
                self._send_to_peer(ack.to, lambda peer: peer.ack_received(ack, self.clock.now_ms))

    def _report_serving(self, process: BalancerProcess) -> None:
        self._checker.on_serving(process.balancer.name, set(process.handover.serving), self.clock.now_ms)
