"""PostgreSQL's protocol, version 3, as far as RPCs need it; no I/O.

It owns the bytes: messages are parsed in place in one buffer a connection, and written as lists of buffers.
It must never wait, open or close anything, nor know what an RPC's answer leads to.
"""

from __future__ import annotations

import struct

MESSAGE_HEADER = struct.Struct("!ci")
INT32 = struct.Struct("!i")
STARTUP, CANCEL, SSL, GSSENC = 196608, 80877102, 80877103, 80877104
PUSH_BACK_SQLSTATE, NOT_READY_SQLSTATE = b"53300", b"57P03"  # both tell the other side that nothing ran

HARMLESS_REPLY_TAGS: tuple[bytes, bytes] = (b"I", b"C")  # of an empty query; of a command that does nothing


class ProtocolViolationError(Exception):
    """The bytes are not the protocol; nothing more can be read from this connection."""


class SecondAnswerError(ProtocolViolationError):
    """What comes begins a second answer where one was asked for."""


class OutOfOrderError(ProtocolViolationError):
    """A reply of another query stands where that of the next one should."""


class ConnectionEndedError(ProtocolViolationError):
    """A fatal error in place of what should come: the other side ends the connection."""


class BufferPool:
    """Memory that connections share for what doesn't fit into their first buffers."""

    def __init__(self, free: int) -> None:
        self.free = free


class MessageBuffer:
    """Received bytes of one connection. A message is handed out as (tag, view); the view holds until the next
    call. The buffer grows with what has come, never with a length that was only claimed, as long as the pool
    has room, and shrinks again when it is empty."""

    def __init__(self, limit: int, pool: BufferPool, first: int = 512):
        self.limit, self.pool, self.first = limit, pool, first
        self.data = bytearray(first)
        self.head = self.tail = 0

    def __len__(self) -> int:
        return self.tail - self.head

    def free_space(self) -> memoryview:
        """Where the next bytes go."""
        if self.head == self.tail:
            self.head = self.tail = 0
            if len(self.data) > self.first:
                self._resize(self.first)
        if self.tail == len(self.data):
            held = self.data[self.head : self.tail]
            if self.head < len(self.data) // 2:  # more than half is one unfinished message
                self._resize(2 * len(self.data))
            self.data[: len(held)] = held
            self.head, self.tail = 0, len(held)
        return memoryview(self.data)[self.tail :]

    def _resize(self, size: int) -> None:
        more = size - len(self.data)
        if more > self.pool.free:
            raise ProtocolViolationError("all room for large messages is taken")
        self.pool.free -= more
        self.data = bytearray(size)

    def release(self) -> None:
        """Give back what the connection holds."""
        self.pool.free += len(self.data) - self.first
        self.data, self.first, self.head, self.tail = bytearray(), 0, 0, 0

    def received(self, count: int) -> None:
        self.tail += count

    def _take(self, start: int, length: int) -> memoryview | None:
        """`length` counts itself, as on the wire."""
        if not 4 <= length <= self.limit:
            raise ProtocolViolationError(f"a message of length {length}")
        end = start + length
        if end > self.tail:
            return None
        self.head = end
        return memoryview(self.data)[start + 4 : end]

    def next_startup_message(self) -> memoryview | None:
        """The next message of the kind that has no tag."""
        if len(self) < 4:
            return None
        return self._take(self.head, INT32.unpack_from(self.data, self.head)[0])

    def next_message(self) -> tuple[bytes, memoryview] | None:
        if len(self) < 5:
            return None
        tag, length = MESSAGE_HEADER.unpack_from(self.data, self.head)
        body = self._take(self.head + 1, length)
        return None if body is None else (tag, body)


def encode_message(tag: bytes, *parts: bytes) -> list[bytes]:
    return [MESSAGE_HEADER.pack(tag, 4 + sum([len(part) for part in parts])), *parts]


READY_FOR_QUERY = b"".join(encode_message(b"Z", b"I"))
EMPTY_QUERY_RESPONSE = b"".join(encode_message(b"I")) + READY_FOR_QUERY
COMMAND_RESPONSE = b"".join(encode_message(b"C", b"SET\0")) + READY_FOR_QUERY
STARTUP_RESPONSE = (
    b"".join(
        [
            *encode_message(b"R", INT32.pack(0)),
            *encode_message(b"S", b"server_encoding\0UTF8\0"),
            *encode_message(b"S", b"client_encoding\0UTF8\0"),
            *encode_message(b"S", b"standard_conforming_strings\0on\0"),
            *encode_message(b"K", INT32.pack(0), INT32.pack(0)),
        ]
    )
    + READY_FOR_QUERY
)
TERMINATE = b"".join(encode_message(b"X"))


def startup_message(user: str, database: str) -> bytes:
    body = b"".join(part.encode() + b"\0" for part in ("user", user, "database", database)) + b"\0"
    return INT32.pack(8 + len(body)) + INT32.pack(STARTUP) + body


def query_message(*parts: bytes) -> list[bytes]:
    return encode_message(b"Q", *parts, b"\0")


def error_response(state: bytes, text: str, detail: str = "", ready: bool = True) -> bytes:
    """An error behind which the connection goes on: with ReadyForQuery, or, in the extended protocol, until Sync."""
    return b"".join(_error_message(b"ERROR", state, text, detail)) + (READY_FOR_QUERY if ready else b"")


def fatal_response(state: bytes, text: str, ready: bool) -> bytes:
    """An error that ends its connection.

    By the protocol it is whole without ReadyForQuery, and in place of the welcome nothing may stand behind it. On a
    connection that was welcomed a query may be on its way, and common clients drop the code of its answer
    unless ReadyForQuery comes.
    """
    return b"".join(_error_message(b"FATAL", state, text, "")) + (READY_FOR_QUERY if ready else b"")


def _error_message(severity: bytes, state: bytes, text: str, detail: str) -> list[bytes]:
    fields = [b"S", severity, b"\0V", severity, b"\0C", state, b"\0M", text.encode(), b"\0"]
    if detail:
        fields += [b"D", detail.encode(), b"\0"]
    return encode_message(b"E", *fields, b"\0")


def error_sqlstate(body: memoryview) -> bytes:
    """An ErrorResponse's SQLSTATE."""
    return error_field(body, b"C")


def ends_connection(body: memoryview) -> bool:
    """Whether an ErrorResponse is the last message of its connection."""
    return (error_field(body, b"V") or error_field(body, b"S")) in (b"FATAL", b"PANIC")


def begins_answer(tag: bytes, body: memoryview) -> bool:
    """Whether a message is an answer's first: a row, or an error behind which the connection goes on."""
    return tag == b"T" or (tag == b"E" and not ends_connection(body))


def unexpected(tag: bytes, body: memoryview, why: str) -> ProtocolViolationError:
    """Return the error for a message that does not belong where it stands."""
    if tag == b"E" and ends_connection(body):
        return ConnectionEndedError(f"fatal error {error_sqlstate(body).decode(errors='replace')}")
    return ProtocolViolationError(f"message {tag!r} {why}")


def error_field(body: memoryview, kind: bytes) -> bytes:
    """The first field of this kind of an ErrorResponse; empty where it has none."""
    for field in bytes(body).split(b"\0"):
        if field[:1] == kind:
            return field[1:]
    return b""
