"""A small fleet in virtual time: nodes and balancers that do what agreed rows say, and fail.

They see rows late, report late, crash, lose their zone or the quorum. What they truly did is told to an observer.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable

from brookreach.coordination.state_machine.application import Command
from brookreach.disruption import targets
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.halt import current_halt
from brookreach.disruption.permits import RELEASE_PREFIX
from brookreach.disruption.states import PermitState, TargetKind, TargetStatus
from brookreach.disruption.tables import BUILD_ASSIGNMENTS, HALT, PERMITS, PermitRow
from brookreach.simulation.disruption.fleet_members import AgreedRows, FleetObserver, Member, report_of
from brookreach.simulation.disruption.sequential_group import AppliedStep, SequentialGroup

START_MS = 1_000_000
LEASE_MS = 3000
MIN_NETWORK_DELAY_MS = 5  # of a report
MAX_NETWORK_DELAY_MS = 300
MAX_REACTION_MS = 400  # from a row's change until a member acts on it


class FleetModel:
    """Members on a group, in virtual time.

    Args:
        seed: Of all chance.
        members: The fleet.
        observer: Of members and records.
        transition_ms: Shortest and longest time of a warm-up, of draining, and from a stop to the next start.
    """

    def __init__(
        self,
        seed: int,
        members: Iterable[Member],
        observer: FleetObserver,
        transition_ms: tuple[int, int] = (2000, 9000),
    ):
        self.random = random.Random(seed)
        self.observer = observer
        self.transition_ms = transition_ms
        self.now_ms = START_MS
        self.has_quorum = True
        self.group = SequentialGroup(self._on_step)
        self.members = {member.name: member for member in members}
        self._event_count = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []  # a heap: time, number, what happens
        self._deferred: list[Callable[[], None]] = []  # what waits for the quorum

    def schedule(self, delay_ms: int, event: Callable[[], None]) -> None:
        """`event` happens after the delay; of two at one time, the one that was scheduled first."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._event_count, event))

    def run(self, until_ms: int) -> None:
        """Lets all happen that is due until then."""
        while True:
            timer_ms = APPLICATION.next_timer_ms(self.group.view) if self.has_quorum else None
            event_ms = self._events[0][0] if self._events else until_ms + 1
            if timer_ms is not None and timer_ms <= min(event_ms, until_ms):
                self.now_ms = max(self.now_ms, timer_ms)
                self.group.advance_time(self.now_ms)
            elif event_ms <= until_ms:
                self.now_ms, _, event = heapq.heappop(self._events)
                event()
            else:
                self.now_ms = until_ms
                return

    def propose(self, client: str, client_kind: str, command: Command) -> None:
        """The command is applied, or waits for the quorum."""
        if self.has_quorum:
            self.group.propose(self.now_ms, client, client_kind, command)
        else:
            self._deferred.append(lambda: self.propose(client, client_kind, command))

    def lose_quorum(self, duration_ms: int) -> None:
        """Nothing is applied for so long."""
        self.has_quorum = False
        self.schedule(duration_ms, self._restore_quorum)

    def _restore_quorum(self) -> None:
        self.has_quorum = True
        deferred = self._deferred
        self._deferred = []
        for action in deferred:
            action()

    def start(self, member: Member) -> None:
        """A new incarnation, on the build that the member last heard of as its own."""
        member.starts += 1
        member.incarnation += member.kind == TargetKind.NODE
        member.build = member.next_build or member.build
        member.status = TargetStatus.WARMING
        self.observer.on_start(member)
        if not member.partitioned:
            self._join(member)
        starts = member.starts
        self.schedule(self.random.randint(*self.transition_ms), lambda: self._finish_warm_up(member, starts))

    def _join(self, member: Member) -> None:
        session = self.group.begin_session(member.name)
        if member.kind == TargetKind.BALANCER:
            member.incarnation = session
        self._report(member)
        self._read_rows(member)

    def _finish_warm_up(self, member: Member, starts: int) -> None:
        if member.starts == starts and member.status == TargetStatus.WARMING:
            member.status = TargetStatus.READY
            member.outage_fence = 0
            self._report(member)
            self._read_rows(member)

    def crash(self, member: Member) -> None:
        """The member is down without a word, and starts again later."""
        if member.status == TargetStatus.DOWN:
            return
        if member.status == TargetStatus.READY:
            member.unready_since_ms = self.now_ms
        member.status = TargetStatus.DOWN
        self._lose_session(member)
        self._restart_later(member)

    def set_partitioned(self, member: Member, partitioned: bool) -> None:
        """Cuts the member off, or connects it again."""
        member.partitioned = partitioned
        if partitioned:
            self._lose_session(member)
        elif member.status != TargetStatus.DOWN:
            self._join(member)

    def _lose_session(self, member: Member) -> None:
        session = self.group.sessions.get(member.name, 0)
        self.schedule(LEASE_MS, lambda: self._end_session(member, session))

    def _end_session(self, member: Member, session: int) -> None:
        if not self.has_quorum:
            self._deferred.append(lambda: self._end_session(member, session))
        elif session and self.group.sessions.get(member.name) == session:
            self.group.end_session(self.now_ms, member.name, member.client_kind)

    def _report(self, member: Member) -> None:
        """Its status, as it is now and with what it knows now; arrives later, in the order of reports."""
        if member.partitioned:
            return
        report = report_of(member)
        session = self.group.sessions.get(member.name, 0)
        delay_ms = self.random.randint(MIN_NETWORK_DELAY_MS, MAX_NETWORK_DELAY_MS)
        member.last_report_ms = max(member.last_report_ms, self.now_ms + delay_ms)
        self.schedule(member.last_report_ms - self.now_ms, lambda: self._deliver(member, session, report))

    def _deliver(self, member: Member, session: int, report: Command) -> None:
        if not self.has_quorum:
            self._deferred.append(lambda: self._deliver(member, session, report))
        elif session and self.group.sessions.get(member.name) == session:
            self.group.propose(self.now_ms, member.name, member.client_kind, report)

    def _read_rows(self, member: Member) -> None:
        """Reads the rows that concern it, and acts on them some time later."""
        if member.partitioned:
            return
        view = self.group.view
        assignment = view.get(BUILD_ASSIGNMENTS, member.name)
        rows = AgreedRows(
            index=self.group.index,
            permits=dict(targets.permits_of(view, member.kind, member.name)),
            assigned_build=assignment.build if assignment else 0,
            halt=current_halt(view),
        )
        starts = member.starts
        self.schedule(self.random.randint(1, MAX_REACTION_MS), lambda: self._apply_rows(member, starts, rows))

    def _apply_rows(self, member: Member, starts: int, rows: AgreedRows) -> None:
        is_stale = member.starts != starts or rows.index < member.applied_index
        if member.partitioned or is_stale or member.status == TargetStatus.DOWN:
            return
        member.applied_index = rows.index
        member.next_build = rows.assigned_build
        for name, permit in rows.permits.items():
            is_halted = rows.halt is not None and not (rows.halt.allows_rollback and name.startswith(RELEASE_PREFIX))
            is_usable = permit.state == PermitState.GRANTED and permit.incarnation == member.incarnation
            if is_usable and member.status == TargetStatus.READY and not is_halted:
                self._drain(member, name, permit)
        self._report(member)

    def _drain(self, member: Member, permit_name: str, permit: PermitRow) -> None:
        member.status = TargetStatus.DRAINING
        member.outage_fence = permit.fence
        member.unready_since_ms = self.now_ms
        self.observer.on_departure(member, permit_name, permit)
        starts = member.starts
        self.schedule(self.random.randint(*self.transition_ms), lambda: self._stop(member, starts))

    def _stop(self, member: Member, starts: int) -> None:
        if member.starts == starts and member.status == TargetStatus.DRAINING:
            member.status = TargetStatus.DOWN
            self._lose_session(member)
            self._restart_later(member)

    def _restart_later(self, member: Member) -> None:
        extra_ms = member.extra_start_ms
        member.extra_start_ms = 0
        self.schedule(extra_ms + self.random.randint(*self.transition_ms), lambda: self.start(member))

    def _on_step(self, step: AppliedStep) -> None:
        """Members whose rows changed are notified."""
        self.observer.on_step(step)
        for update in step.updates:
            if update.table == PERMITS and isinstance(update.row, PermitRow):
                self._notify(update.row.target)
            elif update.table == BUILD_ASSIGNMENTS:
                self._notify(update.key)
            elif update.table == HALT:
                for name in self.members:
                    self._notify(name)

    def _notify(self, name: str) -> None:
        member = self.members.get(name)
        if member is not None and not member.partitioned and member.status != TargetStatus.DOWN:
            self._read_rows(member)
