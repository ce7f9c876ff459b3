"""One connection of a client: what was written on it, and what came back for it."""

from __future__ import annotations

import select
import socket
import time
from collections import deque
from collections.abc import Callable

import anyio
import anyio.abc

from brookreach.net import pgwire
from brookreach.simulation.balancer.messages import MessageStream
from brookreach.simulation.balancer.record import Outcome, Record, Request
from brookreach.simulation.stand_ins import GONE

REFUSALS = (pgwire.PUSH_BACK_SQLSTATE, pgwire.NOT_READY_SQLSTATE)
POLL_S = 0.005
NO_LINGER = b"\1\0\0\0\0\0\0\0"


class Connection:
    """One connection of a client, with the requests on it that have no answer, the oldest first."""

    def __init__(self, stream: anyio.abc.SocketStream, record: Record):
        self.stream = stream
        self.requests: deque[Request] = deque()
        self.has_asked = False
        self.has_ended = False
        self._record = record
        self._messages = MessageStream(stream)
        self._value = b""
        self._said: Outcome | None = None  # what the answer that is being read says; it counts once it is whole
        self._is_welcomed = False
        self._is_ending = False  # by a fatal error
        self._arrived_at = float("inf")  # when the answer that is read next arrived, where that is watched
        self.ended_at = float("inf")  # when the balancer was seen to end it, where that is watched
        self._changed = anyio.Event()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition on this connection holds."""
        while not condition():
            await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def send(self, data: bytes, requests: list[Request]) -> None:
        """Write bytes that end with the last byte of each of `requests`."""
        is_first, behind = not self.has_asked, len(self.requests)
        for request in requests:
            request.is_first, request.behind, request.batch = is_first, behind, requests[0].name
            request.previous = self.requests[-1] if self.requests else None
            self.has_asked = True
            self.requests.append(request)
        if requests and self.peer_has_ended():  # a write would be answered by a reset over what lies unread
            self._note_unwritten(requests, is_first)
            return
        try:
            await self.stream.send(data)
        except GONE:  # an answer may lie there all the same
            self._note_unwritten(requests, is_first)
            return
        for request in requests:
            request.written_at = time.monotonic()

    def _note_unwritten(self, requests: list[Request], is_first: bool) -> None:
        """A new connection owes an answer also where it ends before the first write."""
        for request in requests:
            if is_first:
                request.written_at = time.monotonic()
            else:
                request.unbound_reason = "not written whole"

    def peer_has_ended(self) -> bool:
        """Whether the balancer has ended its side of the connection, also behind answers that are not read yet."""
        return self._is_ready(select.POLLRDHUP)

    def reset(self) -> None:
        """Let it end by a reset when it is closed."""
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)

    def _is_ready(self, mask: int) -> bool:
        """Whether the connection is ready for this, or has ended."""
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(raw.fileno(), mask)
        return bool(poll.poll(0))

    async def watch(self) -> None:
        """Note when an answer has arrived and when the balancer ends its side, for a client that reads late."""
        while not self.peer_has_ended():
            if self._is_ready(select.POLLIN):
                self._arrived_at = min(self._arrived_at, time.monotonic())
            await anyio.sleep(POLL_S)
        self.ended_at = time.monotonic()

    async def read(self) -> None:
        """Read answers until the connection ends."""
        try:
            while True:
                tag, body = await self._messages.receive()
                self._on_message(tag, body)
        except (*GONE, OSError):
            self.end()

    def _on_message(self, tag: bytes, body: bytes) -> None:
        """Take one message. As strict as the protocol: an answer is whole with ReadyForQuery or as a fatal error."""
        if tag == b"D":
            self._value = body[6:]
        elif tag == b"C":
            self._said = Outcome.SERVED
        elif tag == b"E":
            view = memoryview(body)
            self._said = Outcome.REFUSED if pgwire.error_sqlstate(view) in REFUSALS else Outcome.FAILED
            if pgwire.ends_connection(view):
                self._on_fatal_error(self._said)
        elif tag == b"Z" and not self._is_ending:
            self._on_ready()

    def _on_ready(self) -> None:
        if not self._is_welcomed:
            self._is_welcomed = True
        elif self._said is None:
            self._record.surplus_messages.append("ready for a query without an answer")
        else:
            self._end_first(self._said)
        self._said = None

    def _on_fatal_error(self, outcome: Outcome) -> None:
        """The connection is refused as a whole, and with it what was written behind the startup; or it ends."""
        self._is_ending = True
        if self._is_welcomed:
            if self.requests:  # else it tells only that the connection ends
                self._end_first(outcome)
            return
        while self.requests:
            self._end_first(outcome)

    def _end_first(self, outcome: Outcome) -> None:
        if not self.requests:
            self._record.surplus_messages.append("an answer that no request waits for")
            return
        request = self.requests.popleft()
        request.end(outcome, self._value if outcome == Outcome.SERVED else b"")
        request.ended_at = min(request.ended_at, self._arrived_at)
        self._arrived_at = float("inf")
        self._notify()

    def end(self, outcome: Outcome = Outcome.CLOSED) -> None:
        """Note that the connection has ended: nothing that is open on it gets an answer."""
        self.has_ended = True
        while self.requests:
            request = self.requests.popleft()
            request.end(outcome)
            request.ended_at = min(request.ended_at, self.ended_at)
        self._notify()
