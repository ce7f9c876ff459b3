"""Whether a process may act in the group's name now: its session, as long as its lease holds by its own clock.

It must never say that a lease holds once the group may have given it up.
"""

from __future__ import annotations

from brookreach.coordination.client.errors import SessionNotHeldError
from brookreach.coordination.client.lease import Lease


class SessionHolder:
    """The holder `name` of at most one session; 0 stands for none."""

    def __init__(self, name: str, lease: Lease) -> None:
        self.name, self._lease = name, lease

    @property
    def session(self) -> int:
        return self._lease.session

    def holds_lease(self, now: float) -> bool:
        """By a clock that is read now, and not before something that may have taken long."""
        return self._lease.holds(now)

    def fencing_token(self, now: float) -> int | None:
        return self._lease.session if self._lease.holds(now) else None

    def require_fencing_token(self, now: float) -> int:
        """The fence to act with; raises SessionNotHeldError."""
        if (fence := self.fencing_token(now)) is None:
            raise SessionNotHeldError(f"{self.name} holds no session at {now:.0f} ms of its clock")
        return fence
