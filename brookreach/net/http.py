"""A client's HTTP/1.1 connection: h11 over an anyio stream.

This module owns what is left to be read of a response. It must never repeat a request: only the caller knows what a
repetition means.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute

HTTP_OK = 200


class NotHttp(Exception):
    """A response can't be read or broke off. The name is part of log lines."""


CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, NotHttp)


class HttpConnection:
    """One connection to a server, used for one request after another.

    Args:
        stream: The connected stream.
        host: The value of the Host header.
    """

    def __init__(self, stream: ByteStream, host: str):
        self.stream = stream
        self.host = host
        self.protocol = h11.Connection(h11.CLIENT)
        self.is_request_sent = False  # the last request was written completely
        self.status: int | None = None  # of the last request's response, once its head has arrived
        self.last_body = b""  # of the response before

    @classmethod
    async def connect(cls, address: tuple[str, int]) -> HttpConnection:
        """Connect to a host and port. Raises OSError."""
        return cls(await anyio.connect_tcp(*address), f"{address[0]}:{address[1]}")

    async def request(self, method: str, target: str, body: bytes = b"") -> int:
        """Send a request and return the status of its response, whose body is read by `body_chunks` or `read_body`.

        Responses belong to requests by order alone. If bytes have already arrived behind the last response, nothing
        tells which request the next one belongs to, and NotHttp is raised before the request is written.

        Raises:
            NotHttp: As above, or the response can't be read.
            OSError: The connection broke; so do anyio's errors of streams.
        """
        headers = [("Host", self.host), ("Accept", "application/json")]
        if body:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=headers)]
        events += [h11.Data(data=body)] if body else []
        self.is_request_sent = False
        self.status = None
        if self.protocol.trailing_data[0] or self._has_unread():
            raise NotHttp("bytes behind the last answer")
        try:
            data = b"".join([self.protocol.send(event) or b"" for event in [*events, h11.EndOfMessage()]])
        except h11.LocalProtocolError as error:  # the last response was to be the connection's last
            raise NotHttp(str(error)) from None
        await self.stream.send(data)
        self.is_request_sent = True
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.status = event.status_code
                return event.status_code
            if not isinstance(event, h11.InformationalResponse):
                raise NotHttp(f"{type(event).__name__} instead of an answer")

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the response's body in chunks as they arrive. Raises NotHttp if it breaks off."""
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE:
                    self.protocol.start_next_cycle()
                return
            else:
                raise NotHttp("the answer broke off")

    async def read_body(self, max_bytes: int) -> bytes:
        """Return the response's whole body. Raises NotHttp if it breaks off or is longer than `max_bytes`."""
        chunks, size = [], 0
        async for chunk in self.body_chunks():
            size += len(chunk)
            if size > max_bytes:
                raise NotHttp("an endless body")
            chunks.append(chunk)
        self.last_body = b"".join(chunks)
        return self.last_body

    def _has_unread(self) -> bool:
        """Whether the kernel holds unread bytes. The end of the stream does not count: the request meets it."""
        raw = self.stream.extra(SocketAttribute.raw_socket)
        if raw.fileno() < 0:
            return False
        borrowed = socket.socket(raw.family, raw.type, raw.proto, fileno=raw.fileno())
        try:
            return bool(borrowed.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False
        finally:
            borrowed.detach()

    async def _next_event(self) -> object:
        try:
            while (event := self.protocol.next_event()) is h11.NEED_DATA:
                self.protocol.receive_data(await self.stream.receive())
        except h11.RemoteProtocolError as error:
            raise NotHttp(str(error)) from None
        return event

    async def close(self) -> None:
        """Close the connection at once, also while being cancelled."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)
