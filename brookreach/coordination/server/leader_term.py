"""What passes with time during one term of a leader: the agreed time, the sessions' leases, the timers.

It decides when the end of a session or the passing of time is proposed. It never answers a client.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.agreed_clock import AgreedClock
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.session_leases import SessionLeases
from brookreach.coordination.timing import Timing

LEASE_EXPIRED = "its lease ran out"  # the reason of a SessionEnded; replicated, so it never changes


class LeaderTerm:
    """One term.

    Attributes:
        number: The term's number.
        is_open: All entries of earlier terms are applied, so the state may be relied on.
        clock: The agreed time.
        leases: The sessions' leases.
    """

    def __init__(self, now: float, raft: RaftNode, machine: StateMachine, timing: Timing) -> None:
        self.number = raft.term
        self.is_open = False
        self.clock = AgreedClock(now, raft.low_median_wall_ms)
        self.leases = SessionLeases(timing)
        self._raft = raft
        self._machine = machine
        self._timing = timing
        self._time_passed_index: int | None = None  # of a TimePassed that is not yet applied
        self._next_attempt_at = now  # no TimePassed is proposed before

    def propose(self, now: float, command: sessions.SessionCommand) -> int | None:
        """Propose a command of the cluster itself; returns its index, or None if nothing can be proposed now."""
        return self._raft.propose(now, sessions.encode_command(command, self.clock.read(now)))

    def on_applied(self, now: float, entry: Entry) -> None:
        """Take note of an applied entry; the first one of this term opens it."""
        if not self.is_open and entry.term == self.number:
            self.clock.advance_to(now, self._machine.at_ms)
            self.leases.reset(now, self._machine.sessions())
            self.is_open = True
        if entry.index == self._time_passed_index:
            self._time_passed_index = None

    def tick(self, now: float) -> None:
        """Propose what is due."""
        if not self.is_open:
            return
        for session in self.leases.expirations_due(now):
            self.propose(now, sessions.SessionEnded(session, LEASE_EXPIRED))  # if not taken, it is due again later
        if self._timer_is_due(now):
            self._time_passed_index = self.propose(now, sessions.TimePassed())
            if self._time_passed_index is None:
                self._next_attempt_at = now + self._timing.heartbeat_ms
            else:
                self._next_attempt_at = now

    def _timer_is_due(self, now: float) -> bool:
        if self._time_passed_index is not None or now < self._next_attempt_at:
            return False
        timer_ms = self._machine.next_timer_ms()
        return timer_ms is not None and timer_ms <= self.clock.read(now)

    def next_wakeup_ms(self) -> float | None:
        """Return when to call `tick` next, or None if nothing will be due."""
        if not self.is_open:
            return None
        times = [self.leases.next_expiry_ms(), self._next_timer_attempt()]
        return min((time for time in times if time is not None), default=None)

    def _next_timer_attempt(self) -> float | None:
        if self._time_passed_index is not None:
            return None
        timer_ms = self._machine.next_timer_ms()
        if timer_ms is None:
            return None
        return max(self._next_attempt_at, self.clock.local_time_of(timer_ms))
