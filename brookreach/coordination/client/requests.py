"""A client's questions: a bounded queue, one of them on the wire at a time, each numbered in its session.

It owns which number a question has on the wire and whether its outcome may be unknown. It must never give a
question's number to another while a copy of the first may still take effect, nor carry one that was sent into
another session.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import msgspec

from brookreach.coordination.client.errors import RequestOutOfOrderError, TooManyRequestsError
from brookreach.coordination.client.events import OutcomeUnknown, ReplyReceived
from brookreach.coordination.client.leader_discovery import Pauses
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command
from brookreach.coordination.state_machine.sessions import ENTRY_OVERHEAD_BYTES
from brookreach.coordination.timing import Timing

MAX_PENDING_REQUESTS = 64

_out = msgspec.msgpack.Encoder(order="deterministic")


@dataclass(slots=True)
class PendingRequest:
    seq: int  # as its asker knows it
    piece: str
    version: int
    body: bytes
    flying: bool = False  # sent on this connection, not answered
    doubtful: bool = False  # sent on an earlier one, with no answer
    refusals: int = 0


class RequestQueue:
    def __init__(self, timing: Timing, chance: random.Random, most: int = MAX_PENDING_REQUESTS):
        self._most, self._again, self._pauses = most, timing.lease_ms, Pauses(timing, chance)
        self._queue: deque[PendingRequest] = deque()
        self._count = 0
        self._wire = 1  # the number of the first in the queue, in its session
        self._at: float | None = None  # when the first is sent again, or at last; None: at once

    def add(self, piece: str, version: int, order: Command) -> int:
        body = _out.encode(order)
        if len(body) > messages.MAX_COMMAND_BYTES - ENTRY_OVERHEAD_BYTES:
            raise ValueError(
                f"an order of {len(body)} bytes; {messages.MAX_COMMAND_BYTES - ENTRY_OVERHEAD_BYTES} are allowed"
            )
        if len(self._queue) >= self._most:
            raise TooManyRequestsError(f"{len(self._queue)} questions wait for the group; {self._most} are allowed")
        self._count += 1
        self._queue.append(PendingRequest(self._count, piece, version, body))
        return self._count

    def wake_ms(self) -> float | None:
        return self._at if self._queue else None

    def fly(self, now: float, session: int) -> messages.ProposeRequest | None:
        """What is to be sent now. One without an answer for a lease is sent again under its number."""
        if not self._queue or (self._at is not None and now < self._at):
            return None
        one = self._queue[0]
        one.doubtful = one.doubtful or one.flying
        one.flying, self._at = True, now + self._again
        return messages.ProposeRequest(session, self._wire, one.piece, one.version, one.body)

    def flies(self, seq: int) -> bool:
        return bool(self._queue) and self._queue[0].flying and seq == self._wire

    def done(self, message: messages.ProposeReply) -> ReplyReceived:
        self._wire += 1
        return self._answered(message.ok, message.text, message.index)

    def sorry(self, now: float, message: messages.RequestRejected) -> ReplyReceived | None:
        """None: it is asked again. That it was refused before it got into the log is believed at the second
        time: the first may be about another question that once had the number."""
        one = self._queue[0]
        if message.reason == "busy":
            one.flying = False
            self._at = now + self._pauses.next_delay_ms(self._again, message.retry_after_ms)
            return None
        if message.reason not in ("refused", "too new") or one.doubtful:
            raise RequestOutOfOrderError(f"{message.reason}: {message.text}")
        one.refusals += 1
        if one.refusals < 2:
            one.flying, self._at = False, None
            return None
        return self._answered(False, message.text, 0)  # the next question has its number

    def _answered(self, ok: bool, text: str, index: int) -> ReplyReceived:
        self._at = None
        self._pauses.reset()
        return ReplyReceived(self._queue.popleft().seq, ok, text, index)

    def dropped(self) -> None:
        """The connection is gone. What was on it is asked again on the next, under its number."""
        self._at = None
        if self._queue and self._queue[0].flying:
            one = self._queue[0]
            one.flying, one.doubtful, one.refusals = False, True, 0

    def over(self, why: str) -> list[ReplyReceived | OutcomeUnknown]:
        """What becomes of all that were asked in a session that has ended: none is carried on."""
        left = list(self._queue)
        self._queue.clear()
        self._wire, self._at = 1, None
        return [
            OutcomeUnknown(one.seq, why)
            if one.flying or one.doubtful
            else ReplyReceived(one.seq, False, f"not asked: {why}", 0)
            for one in left
        ]
