"""The answers of one client connection, in the order of its queries, and when each is due.

It owns what may be written next and how much the connection holds. It must never read from a connection, nor
word an answer.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Protocol

from brookreach.net import pgwire
from brookreach.net.limits import Limits

ABORTED = pgwire.error_response(b"XX000", "aborted")  # promises nothing


def push_back_response(retry_after_ms: float) -> bytes:
    """The refusal that nothing of an RPC ran, with the time to come again after, if there is one."""
    detail = str(round(retry_after_ms)) if retry_after_ms > 0.0 else ""
    return pgwire.error_response(pgwire.PUSH_BACK_SQLSTATE, "pushed back", detail)


class AnswerWriter(Protocol):
    """What writes answers: a client's connection."""

    def flush(self) -> None: ...


class PendingAnswer:
    """The place of one answer in the order of its connection.

    `due` is when its answer has to be written, by the monotonic clock in seconds: at the end of its own time or
    of that of one behind it. `size` are the bytes of its query.
    """

    def __init__(self, client: AnswerWriter, due: float = math.inf, size: int = 0) -> None:
        self.client, self.due, self.size, self.rpc_id = client, due, size, 0
        self.buffers: list[bytes | memoryview] | None = None

    def answer(self, buffers: list[bytes | memoryview]) -> None:
        assert self.buffers is None  # one answer
        self.buffers = buffers
        self.client.flush()


class AnswerQueue:
    """The slots of one connection that are not written yet, the oldest first."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.slots: deque[PendingAnswer] = deque()

    def __len__(self) -> int:
        return len(self.slots)

    def has_room(self) -> bool:
        """Whether one more RPC may be under way: a few always, more while all that they hold is small."""
        limits, count = self.limits, len(self.slots)
        return count < limits.messages_per_turn or (
            count < limits.max_pipelined and self._held() < limits.max_pipelined_bytes
        )

    def _held(self) -> int:
        """Bytes of queries without an answer, and of answers that wait for those before them."""
        return sum([slot.size if slot.buffers is None else _length(slot.buffers) for slot in self.slots])

    def add(self, slot: PendingAnswer) -> None:
        self.slots.append(slot)

    def take_ready(self) -> list[bytes | memoryview]:
        """What may be written now, up to the first slot that has no answer."""
        ready: list[bytes | memoryview] = []
        while self.slots and self.slots[0].buffers is not None:
            ready.extend(self.slots.popleft().buffers or [])
        return ready

    def advance_deadlines(self) -> list[PendingAnswer]:
        """Answers go out in order: each is due when the first of those behind it is. Hands back the RPCs that
        have become due sooner by that."""
        sooner: list[PendingAnswer] = []
        due = math.inf
        for slot in reversed(self.slots):
            if slot.due > due:
                slot.due = due
                if slot.rpc_id and slot.buffers is None:
                    sooner.append(slot)
            due = slot.due
        return sooner

    def clear(self) -> list[int]:
        """Forget them all; hands back the RPCs that have no answer."""
        rpcs = [slot.rpc_id for slot in self.slots if slot.rpc_id and slot.buffers is None]
        self.slots.clear()
        return rpcs


def _length(buffers: list[bytes | memoryview]) -> int:
    return sum([len(one) for one in buffers])
