"""The agreed time, the leases and the due records of time in one term of a leader.

It owns when a record of time or of an ended session is proposed. It must never answer a client.
"""

from __future__ import annotations

from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.agreed_clock import AgreedTime
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.session_leases import SessionLeases
from brookreach.coordination.timing import Timing


class LeaderTerm:
    """One term; `open` once all entries of earlier terms are applied."""

    def __init__(self, now: float, raft: RaftNode, machine: StateMachine, timing: Timing) -> None:
        self.raft, self.machine, self.timing = raft, machine, timing
        self.term = raft.term
        self.clock = AgreedTime(now, raft.low_median_wall_ms)
        self.open = False
        self.leases = SessionLeases(timing)
        self.passing = 0  # where a Passed stands that is not yet applied
        self.again_at = now  # no Passed before

    def _open(self, now: float) -> None:
        self.clock.no_less(now, self.machine.at_ms)
        self.leases.reset(now, self.machine.sessions())
        self.open = True

    def tick(self, now: float) -> None:
        if not self.open:
            return
        for session in self.leases.expirations_due(now):
            self._propose(now, sessions.SessionEnded(session, "its lease ran out"))  # else it is named again
        due = self.machine.next_timer_ms()
        if due is not None and not self.passing and now >= self.again_at and due <= self.clock.at(now):
            self.passing = self._propose(now, sessions.TimePassed()) or 0
            self.again_at = now if self.passing else now + self.timing.heartbeat_ms

    def next_wakeup_ms(self) -> float | None:
        if not self.open:
            return None
        due = None if self.passing else self.machine.next_timer_ms()
        times = (self.leases.next_expiry_ms(), None if due is None else max(self.again_at, self.clock.when(due)))
        return min((one for one in times if one is not None), default=None)

    def _propose(
        self, now: float, order: sessions.SessionStarted | sessions.SessionEnded | sessions.TimePassed
    ) -> int | None:
        return self.raft.propose(now, sessions.encode_command(order, self.clock.at(now)))
