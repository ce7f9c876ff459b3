"""The answers of one client connection, in the order of its queries, and when each is due.

This module owns what may be written next and how much the connection holds. It never reads from a connection, nor
words an answer.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from brookreach.net import pgwire
from brookreach.net.limits import Limits

ABORTED = pgwire.error_response(b"XX000", "aborted")  # promises nothing


def push_back_response(retry_after_ms: float) -> bytes:
    """Return the refusal that nothing of an RPC ran, with the time after which to retry if there is one."""
    detail = str(round(retry_after_ms)) if retry_after_ms > 0.0 else ""
    return pgwire.error_response(pgwire.PUSH_BACK_SQLSTATE, "pushed back", detail)


class AnswerWriter(Protocol):
    """What writes answers: a client connection."""

    def flush(self) -> None:
        """Write the answers that are ready."""
        ...


class PendingAnswer:
    """The place of one answer in the order of its connection.

    Args:
        client: Writes the answer.
        due: When the answer must be written, in seconds of the monotonic clock: at the end of its own time, or of the
            time of an answer after it.
        size: Bytes of its query.

    `rpc_id` is 0 for an answer to what is no RPC.
    """

    def __init__(self, client: AnswerWriter, due: float = math.inf, size: int = 0) -> None:
        self.client = client
        self.due = due
        self.size = size
        self.rpc_id = 0
        self.buffers: list[bytes | memoryview] | None = None

    def answer(self, buffers: list[bytes | memoryview]) -> None:
        """Set the answer, and write it if all before it are written."""
        assert self.buffers is None  # one answer
        self.buffers = buffers
        self.client.flush()


class AnswerQueue:
    """The answers of one connection that are not written yet, the oldest first."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.answers: deque[PendingAnswer] = deque()

    def __len__(self) -> int:
        return len(self.answers)

    def has_room(self) -> bool:
        """Return whether one more RPC may be under way: a few always, more while all that they hold is small."""
        limits, count = self.limits, len(self.answers)
        return count < limits.messages_per_turn or (
            count < limits.max_pipelined and self._held_bytes() < limits.max_pipelined_bytes
        )

    def _held_bytes(self) -> int:
        """Return the bytes of queries without an answer, and of answers that wait for those before them."""
        return sum(
            [answer.size if answer.buffers is None else _total_length(answer.buffers) for answer in self.answers]
        )

    def add(self, answer: PendingAnswer) -> None:
        """Append the place of the answer to a new query."""
        self.answers.append(answer)

    def take_ready(self) -> list[bytes | memoryview]:
        """Remove and return what may be written now, up to the first query without an answer."""
        ready: list[bytes | memoryview] = []
        while self.answers and self.answers[0].buffers is not None:
            ready.extend(self.answers.popleft().buffers or [])
        return ready

    def advance_deadlines(self) -> list[PendingAnswer]:
        """Make each answer due when the first of those after it is, since they go out in order.

        Returns the answers to open RPCs that have become due sooner.
        """
        sooner: list[PendingAnswer] = []
        due = math.inf
        for answer in reversed(self.answers):
            if answer.due > due:
                answer.due = due
                if answer.rpc_id and answer.buffers is None:
                    sooner.append(answer)
            due = answer.due
        return sooner

    def clear(self) -> list[int]:
        """Remove all answers; return the RPCs that have none."""
        rpc_ids = [answer.rpc_id for answer in self.answers if answer.rpc_id and answer.buffers is None]
        self.answers.clear()
        return rpc_ids


def _total_length(buffers: list[bytes | memoryview]) -> int:
    return sum([len(buffer) for buffer in buffers])
