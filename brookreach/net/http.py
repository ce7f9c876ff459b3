"""One HTTP/1.1 connection as a client: h11 over an anyio stream.

It owns what is left to read of an answer. It must never try a call again: the caller knows what that means.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute


class NotHttp(Exception):
    """What came back can't be read, or broke off."""


CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, NotHttp)


class HttpConnection:
    def __init__(self, stream: ByteStream, host: str):
        self.stream, self.host = stream, host
        self.wire = h11.Connection(h11.CLIENT)
        self.is_request_sent = False
        self.last_body = b""  # of the answer before

    @classmethod
    async def connect(cls, to: tuple[str, int]) -> HttpConnection:
        return cls(await anyio.connect_tcp(*to), f"{to[0]}:{to[1]}")

    async def request(self, method: str, target: str, body: bytes = b"") -> int:
        """The answer's status; its body is read by `body_chunks`.

        Answers belong to calls by order alone: where bytes stand behind the last one already, nothing tells whose the
        next is, and NotHttp is raised before the call is written.
        """
        headers = [("Host", self.host), ("Accept", "application/json")]
        if body:
            headers += [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        events: list[h11.Event] = [h11.Request(method=method, target=target, headers=headers)]
        events += [h11.Data(data=body)] if body else []
        self.is_request_sent = False
        if self.wire.trailing_data[0] or self._has_unread():
            raise NotHttp("bytes behind the last answer")
        try:
            head = b"".join([self.wire.send(event) or b"" for event in [*events, h11.EndOfMessage()]])
        except h11.LocalProtocolError as error:  # the answer before this call was the connection's last
            raise NotHttp(str(error)) from None
        await self.stream.send(head)
        self.is_request_sent = True
        while True:
            event = await self._next()
            if isinstance(event, h11.Response):
                return event.status_code
            if not isinstance(event, h11.InformationalResponse):
                raise NotHttp(f"{type(event).__name__} instead of an answer")

    async def body_chunks(self) -> AsyncIterator[bytes]:
        while True:
            event = await self._next()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self.wire.our_state is h11.DONE and self.wire.their_state is h11.DONE:
                    self.wire.start_next_cycle()
                return
            else:
                raise NotHttp("the answer broke off")

    async def read_body(self, most: int) -> bytes:
        parts, size = [], 0
        async for part in self.body_chunks():
            size += len(part)
            if size > most:
                raise NotHttp("an endless body")
            parts.append(part)
        self.last_body = b"".join(parts)
        return self.last_body

    def _has_unread(self) -> bool:
        """Whether bytes lie in the kernel. An end does not count: the call finds it."""
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

    async def _next(self) -> object:
        try:
            while (event := self.wire.next_event()) is h11.NEED_DATA:
                self.wire.receive_data(await self.stream.receive())
        except h11.RemoteProtocolError as error:
            raise NotHttp(str(error)) from None
        return event

    async def close(self) -> None:
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)
