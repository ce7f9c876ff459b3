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
from brookreach.net.rpc_memory import RPC_OVERHEAD_BYTES, RpcMemory

ABORTED = pgwire.error_response(b"XX000", "aborted")  # promises nothing
NOT_HELD = pgwire.error_response(b"XX000", "no room for the answer until it can be written")  # promises nothing
NO_ROOM = pgwire.error_response(pgwire.PUSH_BACK_SQLSTATE, "no room for the request")
MAX_SMALL_ANSWER_BYTES = 512  # errors and refusals: always held
MAX_BYTES_PER_WRITE = 64 * 1024  # and one answer more


def push_back_response(retry_after_ms: float) -> bytes:
    """Return the refusal that nothing of an RPC ran, with the time after which to retry if there is one."""
    detail = str(round(retry_after_ms)) if retry_after_ms > 0.0 else ""
    return pgwire.error_response(pgwire.PUSH_BACK_SQLSTATE, "pushed back", detail)


class AnswerWriter(Protocol):
    """What writes answers: a client connection."""

    def on_answered(self, answer: PendingAnswer) -> None:
        """An answer has been set: write what is ready."""
        ...


class PendingAnswer:
    """The place of one answer in the order of its connection.

    Args:
        client: Writes the answer.
        due: When the answer must be written, in seconds of the monotonic clock: at the end of its own time, or of the
            time of an answer after it.
        size: Bytes of its query.

    `rpc_id` is 0 for an answer to what is no RPC. `reserved_bytes` are those of the RPC until it is answered,
    `held_bytes` those of its answer while it can't be written.
    """

    def __init__(self, client: AnswerWriter, due: float = math.inf, size: int = 0) -> None:
        self.client = client
        self.due = due
        self.size = size
        self.reserved_bytes = 0
        self.held_bytes = 0
        self.is_taken = False  # to be written
        self.rpc_id = 0
        self.buffers: list[bytes | memoryview] | None = None

    def answer(self, buffers: list[bytes | memoryview]) -> None:
        """Set the answer, and write it if all before it are written."""
        assert self.buffers is None  # one answer
        self.buffers = buffers
        self.client.on_answered(self)


class AnswerQueue:
    """The answers of one connection that are not written yet, the oldest first.

    Args:
        limits: How many RPCs may be under way.
        memory: What the RPCs and answers of all connections hold.
    """

    def __init__(self, limits: Limits, memory: RpcMemory) -> None:
        self.limits = limits
        self.memory = memory
        self.answers: deque[PendingAnswer] = deque()
        self.unsent_bytes = 0  # of answers that the kernel has not taken

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
        if answer.rpc_id:
            answer.reserved_bytes = answer.size + RPC_OVERHEAD_BYTES
            self.memory.requests.take(answer.reserved_bytes)

    def has_memory(self, query_bytes: int) -> bool:
        """Return whether there is memory for one more RPC with a query of this size."""
        return self.memory.requests.has_room(query_bytes + RPC_OVERHEAD_BYTES, is_first=not self.answers)

    def release_request(self, answer: PendingAnswer) -> None:
        """The RPC is answered: what it held is free."""
        self.memory.requests.give_back(answer.reserved_bytes)
        answer.reserved_bytes = 0

    def hold(self, answer: PendingAnswer) -> None:
        """Keep an answer that can't be written yet; without room for it, an error stands in its place."""
        if answer.buffers is None or answer.is_taken:
            return
        size = _total_length(answer.buffers)
        if size > MAX_SMALL_ANSWER_BYTES and not self.memory.answers.has_room(size):
            answer.buffers = [NOT_HELD]  # shared by all
            return
        answer.held_bytes = size
        self.memory.answers.take(size)

    def take_ready(self) -> list[bytes | memoryview]:
        """Remove and return what may be written now, up to the first query without an answer or the size of a write."""
        ready: list[bytes | memoryview] = []
        size = 0
        while self.answers and self.answers[0].buffers is not None and size < MAX_BYTES_PER_WRITE:
            answer = self.answers.popleft()
            answer.is_taken = True
            self.memory.answers.give_back(answer.held_bytes)
            ready.extend(answer.buffers or [])
            size += _total_length(answer.buffers or [])
        return ready

    def note_unsent(self, unsent: list[bytes | memoryview]) -> None:
        """Count what the kernel has not taken of the answers that were written."""
        size = _total_length(unsent)
        self.memory.answers.take(size - self.unsent_bytes)
        self.unsent_bytes = size

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
        self.memory.requests.give_back(sum([answer.reserved_bytes for answer in self.answers]))
        self.memory.answers.give_back(sum([answer.held_bytes for answer in self.answers]))
        self.note_unsent([])
        self.answers.clear()
        return rpc_ids


def _total_length(buffers: list[bytes | memoryview]) -> int:
    return sum([len(buffer) for buffer in buffers])
