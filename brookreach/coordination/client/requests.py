"""The commands that a client proposes: a bounded queue, one of them in flight at a time.

Each request has a sequence number of its session, under which it is sent again until it is answered, so the cluster
applies it at most once. A number is never given to another request while a copy of the first may still take effect,
and a request that was sent in one session is never carried into the next.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass

import msgspec

from brookreach.coordination.client.backoff import Backoff
from brookreach.coordination.client.errors import RequestOutOfOrderError, TooManyRequestsError
from brookreach.coordination.client.events import OutcomeUnknown, ReplyReceived
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command
from brookreach.coordination.state_machine.sessions import ENTRY_OVERHEAD_BYTES
from brookreach.coordination.timing import Timing

RECORD_VERSION = 1  # of the commands that this client encodes
MAX_PENDING_REQUESTS = 64
MAX_ENCODED_COMMAND_BYTES = messages.MAX_COMMAND_BYTES - ENTRY_OVERHEAD_BYTES
FIRST_SEQUENCE_NUMBER = 1
REJECTIONS_TO_BELIEVE = 2

_encoder = msgspec.msgpack.Encoder(order="deterministic")


@dataclass(slots=True)
class PendingRequest:
    """A command that waits for its reply.

    Attributes:
        request_id: The number by which the caller knows it.
        in_flight: It was sent on the present connection and is not answered.
        maybe_applied: It was sent before, so a copy that nobody answered may still take effect.
        rejections: How often it was rejected on the present connection.
    """

    request_id: int
    application: str
    body: bytes
    in_flight: bool = False
    maybe_applied: bool = False
    rejections: int = 0


class RequestQueue:
    """The pending requests of one client, in the order in which they were proposed."""

    def __init__(self, timing: Timing, rng: random.Random, max_pending: int = MAX_PENDING_REQUESTS):
        self._max_pending = max_pending
        self._resend_after_ms = timing.lease_ms
        self._backoff = Backoff(timing, rng)
        self._pending: deque[PendingRequest] = deque()
        self._last_request_id = 0
        self._sequence_number = FIRST_SEQUENCE_NUMBER  # of the first pending request, in its session
        self._next_send_ms: float | None = None  # None: at once

    def add(self, application: str, command: Command) -> int:
        """Queues a command and returns its request ID.

        Raises:
            ValueError: The encoded command is longer than an entry of the log may be.
            TooManyRequestsError: The queue is full.
        """
        body = _encoder.encode(command)
        if len(body) > MAX_ENCODED_COMMAND_BYTES:
            raise ValueError(f"a command of {len(body)} bytes; {MAX_ENCODED_COMMAND_BYTES} are allowed")
        if len(self._pending) >= self._max_pending:
            raise TooManyRequestsError(f"{len(self._pending)} requests are pending; {self._max_pending} are allowed")
        self._last_request_id += 1
        self._pending.append(PendingRequest(self._last_request_id, application, body))
        return self._last_request_id

    def next_wakeup_ms(self) -> float | None:
        """Returns when the first request is sent again; None without one."""
        return self._next_send_ms if self._pending else None

    def take_request(self, now: float, session: int) -> messages.ProposeRequest | None:
        """Returns the request to be sent now, if any. One without a reply for a lease is sent again."""
        is_due = self._next_send_ms is None or now >= self._next_send_ms
        if not self._pending or not is_due:
            return None
        request = self._pending[0]
        request.maybe_applied = request.maybe_applied or request.in_flight
        request.in_flight = True
        self._next_send_ms = now + self._resend_after_ms
        return messages.ProposeRequest(
            session, self._sequence_number, request.application, RECORD_VERSION, request.body
        )

    def is_in_flight(self, sequence_number: int) -> bool:
        """Whether the request of that number waits for its reply."""
        return bool(self._pending) and self._pending[0].in_flight and sequence_number == self._sequence_number

    def complete(self, message: messages.ProposeReply) -> ReplyReceived:
        """Takes the reply to the request in flight."""
        self._sequence_number += 1
        return self._finish_first(message.ok, message.text, message.index)

    def reject(self, now: float, message: messages.RequestRejected) -> ReplyReceived | None:
        """Takes the rejection of the request in flight.

        That a request was rejected before it got into the log is believed the second time: the first rejection may be
        about another request that once had the number.

        Returns:
            The outcome, or None where the request is sent again.

        Raises:
            RequestOutOfOrderError: An earlier copy of the request may have been applied.
        """
        request = self._pending[0]
        if message.reason == "busy":
            request.in_flight = False
            self._next_send_ms = now + self._backoff.next_delay_ms(self._resend_after_ms, message.retry_after_ms)
            return None
        if message.reason not in ("refused", "too new") or request.maybe_applied:
            raise RequestOutOfOrderError(f"{message.reason}: {message.text}")
        request.rejections += 1
        if request.rejections < REJECTIONS_TO_BELIEVE:
            request.in_flight = False
            self._next_send_ms = None
            return None
        return self._finish_first(False, message.text, 0)  # the next request takes over its number

    def _finish_first(self, ok: bool, text: str, index: int) -> ReplyReceived:
        self._next_send_ms = None
        self._backoff.reset()
        request = self._pending.popleft()
        return ReplyReceived(request.request_id, ok, text, index)

    def connection_lost(self) -> None:
        """Prepares to send the request in flight again, under its number, on the next connection."""
        self._next_send_ms = None
        if not self._pending or not self._pending[0].in_flight:
            return
        request = self._pending[0]
        request.in_flight = False
        request.maybe_applied = True
        request.rejections = 0

    def end_session(self, reason: str) -> list[ReplyReceived | OutcomeUnknown]:
        """Drops all requests, whose session has ended, and returns their outcomes."""
        pending = list(self._pending)
        self._pending.clear()
        self._sequence_number = FIRST_SEQUENCE_NUMBER
        self._next_send_ms = None
        return [_outcome_at_end(request, reason) for request in pending]


def _outcome_at_end(request: PendingRequest, reason: str) -> ReplyReceived | OutcomeUnknown:
    if request.in_flight or request.maybe_applied:
        return OutcomeUnknown(request.request_id, reason)
    return ReplyReceived(request.request_id, False, f"not asked: {reason}", 0)
