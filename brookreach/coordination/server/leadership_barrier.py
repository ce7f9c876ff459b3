"""Requests that may be answered only by a replica that is known to lead still.

They wait for a round of Raft's messages (a linearizable read) that was begun after they came; one round serves all
requests that came before it.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request."""

    source: str
    body: messages.Body


class LeadershipBarrier:
    """The requests of one term that wait for a round."""

    def __init__(self, raft: RaftNode):
        self._raft = raft
        self._waiting: list[Request] = []  # until the next round
        self._in_round: list[Request] = []
        self._ticket = 0  # of the round under way; 0: none

    def __len__(self) -> int:
        """Return how many requests wait until the next round."""
        return len(self._waiting)

    def add(self, source: str, body: messages.Body) -> None:
        """Let a request wait."""
        self._waiting.append(Request(source, body))

    def begin_round(self, now: float) -> None:
        """Begin a round for all that wait, unless one is under way."""
        if not self._waiting or self._ticket:
            return
        self._ticket = self._raft.request_read(now)
        if self._ticket:
            self._in_round = self._waiting
            self._waiting = []

    def release(self, ticket: int) -> list[Request]:
        """Return the requests of a round that was confirmed."""
        if ticket != self._ticket:
            return []
        released = self._in_round
        self._in_round = []
        self._ticket = 0
        return released

    def sources(self) -> list[str]:
        """Return the clients that wait."""
        return [request.source for request in self._in_round + self._waiting]
