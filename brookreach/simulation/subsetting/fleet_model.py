"""Model of a fleet of balancers: a virtual clock, a replicated log, and links that delay, lose and duplicate messages.

The model runs the real `HoldDown` and `SubsetHandover`; sessions, leases, rows and RPCs are simulated.
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

LEASE_MS = 4_000  # by the clock of the lease holder; shorter than the grantor's
GRANTOR_LEASE_MS = 5_000
RENEWAL_INTERVAL_MS = 1_000
ANNOUNCEMENT_INTERVAL_MS = 2_000  # between announcements of the latest version
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
"""Passes a message to a handover and returns the resulting effects."""


@dataclass
class BalancerProcess:
    """The process of one balancer; it may have ended or be suspended.

    Attributes:
        balancer: Its weight and locality.
        handover: The code under test.
        alive: Whether the process has not ended.
        suspended: Whether the process is suspended; messages then wait in `inbox`.
        session: The session of its current lease.
        session_ended: Whether the log has recorded the end of that session.
        renewed_ms: When the grantor last renewed the lease.
        inbox: Messages that arrived while the process was suspended.
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
        """Whether the process has neither ended nor been suspended."""
        return self.alive and not self.suspended


class FleetModel:
    """The simulated fleet of one seed."""

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
        """Starts a process for the balancer in a new session."""
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
        """Ends a process. If graceful, its session ends at once; otherwise it ends when the lease expires."""
        process = self.processes[name]
        if not process.alive:
            return
        process.alive = False
        self._checker.on_lost(name, self.clock.now_ms)
        if gracefully and not process.session_ended:
            process.session_ended = True
            self.hold_down.session_ended(name, self.clock.now_ms)

    def restart(self, name: str) -> None:
        """Starts the balancer again if its process has ended."""
        if not self.processes[name].alive:
            self.start(self.processes[name].balancer)

    def suspend(self, name: str, duration_ms: int) -> None:
        """Suspends a running process for `duration_ms`."""
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
        """Sends a message to this process; a later process of the same balancer does not receive it."""
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
