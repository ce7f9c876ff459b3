"""The leader's record of when each session's lease ends, so that it ends sessions no sooner than their clients do.

A client stops acting `Timing.lease_ms` x (1 - drift) by its own clock after it sent the request that renewed its lease;
the leader may end the session `lease_ms` x (1 + drift) by its clock after it answered (Gray and Cheriton, "Leases",
1989). The record is lost with the leader; the next leader gives every session a full lease.
"""

from __future__ import annotations

from collections.abc import Iterable

from brookreach.coordination.timing import Timing


class SessionLeases:
    """When each session was last renewed. All times are ms of the leader's monotonic clock."""

    def __init__(self, timing: Timing):
        self.duration_ms = timing.lease_ms * (1.0 + timing.drift)
        self._renewed: dict[int, float] = {}  # by session, oldest first
        self._expiring: dict[int, float] = {}  # by session: when its end was last proposed; never renewed again

    def reset(self, now: float, sessions: Iterable[int]) -> None:
        """Gives all sessions a full lease, as a leader's term begins.

        What an earlier leader answered, and which sessions it meant to end, is not known here; but it answered only
        what was asked before now.
        """
        self._renewed = dict.fromkeys(sessions, now)
        self._expiring = {}

    def renew(self, now: float, session: int) -> bool:
        """Renews a lease as its request is answered; returns False if the session is already being ended.

        The leader must have been confirmed as such since the request arrived.
        """
        if session in self._expiring:
            return False
        self._renewed.pop(session, None)
        self._renewed[session] = now
        return True

    def remove(self, session: int) -> None:
        """Forgets a session that has ended."""
        self._renewed.pop(session, None)
        self._expiring.pop(session, None)

    def remaining_ms(self, now: float, session: int) -> float:
        """Returns how long the session's client may still act, at most."""
        if session not in self._renewed:
            return 0.0
        return max(0.0, self._renewed[session] + self.duration_ms - now)

    def expired(self, now: float, session: int) -> bool:
        """Returns whether the session's client has certainly stopped acting."""
        return self.remaining_ms(now, session) <= 0.0

    def expirations_due(self, now: float) -> list[int]:
        """Returns the sessions whose end is to be proposed now, and renews them no more.

        They are returned again after each further lease until `remove`, in case the proposal was lost.
        """
        expired = []
        for session, renewed in self._renewed.items():
            if now < renewed + self.duration_ms:
                break
            expired.append(session)
        retried = [session for session, proposed in self._expiring.items() if now >= proposed + self.duration_ms]
        for session in expired:
            del self._renewed[session]
        for session in expired + retried:
            self._expiring.pop(session, None)
            self._expiring[session] = now
        return expired + retried

    def next_expiry_ms(self) -> float | None:
        """Returns when `expirations_due` next returns something; None: never."""
        oldest = [next(iter(times.values())) for times in (self._renewed, self._expiring) if times]
        return min(oldest) + self.duration_ms if oldest else None
