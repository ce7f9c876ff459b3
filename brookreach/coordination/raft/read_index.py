"""Linearizable reads without log entries (section 6.4 of Ongaro's thesis).

A read may be served at the commit index of the moment it was requested, once a majority has answered a round of
messages that the leader began afterwards: then no other leader had been elected when it was requested.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from brookreach.coordination.raft.types import ConfirmedRead


@dataclass(frozen=True, slots=True)
class PendingRead:
    """A read that waits for a round; `needed_round` is the first one begun after it was requested."""

    ticket: int
    needed_round: int
    index: int


class ReadQueue:
    """The reads of one leader's term, in the order of their requests."""

    def __init__(self) -> None:
        self._pending: deque[PendingRead] = deque()
        self._confirmed: list[ConfirmedRead] = []
        self._last_round = 0  # the last round begun for the sake of reads

    def __len__(self) -> int:
        return len(self._pending)

    @property
    def has_confirmed(self) -> bool:
        """Whether `take_confirmed` has something to return."""
        return bool(self._confirmed)

    def add(self, ticket: int, *, current_round: int, index: int) -> None:
        """Add a read at `index`; it needs a round after the current one."""
        self._pending.append(PendingRead(ticket, current_round + 1, index))

    def need_round(self, current_round: int, confirmed_round: int) -> bool:
        """Whether to begin a round now: reads wait for one, and none that was begun for reads is outstanding."""
        if not self._pending or self._pending[-1].needed_round <= current_round:
            return False
        return confirmed_round >= self._last_round

    def on_round_begun(self, round_number: int) -> None:
        """Take note of a round begun for the sake of reads."""
        self._last_round = round_number

    def confirm(self, confirmed_round: int) -> None:
        """Confirm the reads whose round a majority has answered."""
        while self._pending and self._pending[0].needed_round <= confirmed_round:
            read = self._pending.popleft()
            self.confirm_now(read.ticket, read.index)

    def confirm_now(self, ticket: int, index: int) -> None:
        """Confirm a read without a round."""
        self._confirmed.append(ConfirmedRead(ticket, index))

    def take_confirmed(self) -> list[ConfirmedRead]:
        """Return the reads confirmed since the last call."""
        confirmed = self._confirmed
        self._confirmed = []
        return confirmed
