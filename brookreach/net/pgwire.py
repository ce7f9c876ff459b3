"""The messages of PostgreSQL's protocol, version 3, as far as RPCs need them; no I/O.

Received bytes are parsed in place in one buffer per connection; messages to send are lists of buffers. This module
never waits, opens or closes anything, and does not know what follows from the answer of an RPC.
"""

from __future__ import annotations

import struct

MESSAGE_HEADER = struct.Struct("!ci")
INT32 = struct.Struct("!i")
# Codes in the first message of a connection.
STARTUP = 196608
CANCEL = 80877102
SSL = 80877103
GSSENC = 80877104
# SQLSTATEs that both tell the other side that nothing ran.
PUSH_BACK_SQLSTATE = b"53300"
NOT_READY_SQLSTATE = b"57P03"

DISCARDED = memoryview(bytearray(64 * 1024))  # where all connections receive what they do not keep
SKIPPED_TAG = b"\0"  # no message has it on the wire
HARMLESS_REPLY_TAGS: tuple[bytes, bytes] = (b"I", b"C")  # of an empty query; of a command that does nothing


class ProtocolViolationError(Exception):
    """The bytes are not the protocol; nothing more can be read from this connection."""


class SecondAnswerError(ProtocolViolationError):
    """A second answer begins where one was requested."""


class OutOfOrderError(ProtocolViolationError):
    """The reply to another query stands where the reply to the next query should."""


class ConnectionEndedError(ProtocolViolationError):
    """A fatal error in place of the expected message: the other side ends the connection."""


class BufferPool:
    """Memory, in bytes, that connections share for what does not fit into their first buffers."""

    def __init__(self, free: int) -> None:
        self.free = free


class MessageBuffer:
    """Received bytes of one connection, handed out message by message.

    A message is a pair of tag and view; the view is valid until the next call. The buffer grows with the bytes
    that have arrived, never with a length that was only claimed, as long as the pool has room, and shrinks again
    when it is empty. Where `can_skip` is set, a message that the pool has no room for is read to its end without being
    kept; the other messages of the connection stay in step.

    Args:
        limit: The longest accepted message, in bytes.
        pool: Pays for the size beyond `first`.
        first: The initial size, in bytes.
    """

    def __init__(self, limit: int, pool: BufferPool, first: int = 512):
        self.limit = limit
        self.pool = pool
        self.first = first
        self.data = bytearray(first)
        self.head = self.tail = 0
        self.can_skip = False
        self.skipped_tag = b""  # of the message that is not kept
        self.bytes_to_skip = 0  # of it, that have not arrived

    def __len__(self) -> int:
        return self.tail - self.head + len(self.skipped_tag)

    def free_space(self) -> memoryview:
        """Return where the next received bytes go. Raises ProtocolViolationError if the pool is exhausted."""
        self.shrink_if_empty()
        if self.bytes_to_skip:
            return DISCARDED[: self.bytes_to_skip]
        if self.tail == len(self.data):
            held = self.data[self.head : self.tail]
            if self.head < len(self.data) // 2:  # more than half is one unfinished message
                if self.can_skip and len(self.data) > self.pool.free:
                    self._skip_message()
                    return DISCARDED[: self.bytes_to_skip]
                self._resize(2 * len(self.data))
            self.data[: len(held)] = held
            self.head, self.tail = 0, len(held)
        return memoryview(self.data)[self.tail :]

    def shrink_if_empty(self) -> None:
        """Return the memory of messages that have been handled to the pool: others may need it before this one does."""
        if self.head == self.tail:
            self.head = self.tail = 0
            if len(self.data) > self.first:
                self._resize(self.first)

    def _skip_message(self) -> None:
        """Drop what has arrived of the unfinished message, and what will."""
        tag, length = MESSAGE_HEADER.unpack_from(self.data, self.head)
        self.skipped_tag = tag
        self.bytes_to_skip = 1 + length - (self.tail - self.head)
        self.head = self.tail = 0
        self._resize(self.first)  # at once: it may be room for another connection's message

    def _resize(self, size: int) -> None:
        growth = size - len(self.data)
        if growth > self.pool.free:
            raise ProtocolViolationError("all room for large messages is taken")
        self.pool.free -= growth
        self.data = bytearray(size)

    def release(self) -> None:
        """Return the memory of a closed connection to the pool."""
        self.pool.free += len(self.data) - self.first
        self.data, self.first, self.head, self.tail = bytearray(), 0, 0, 0

    def received(self, count: int) -> None:
        """Count the bytes that were written into `free_space`."""
        if self.bytes_to_skip:
            self.bytes_to_skip -= count
        else:
            self.tail += count

    def _take(self, start: int, length: int) -> memoryview | None:
        """Return the body of a message whose length field stands at `start`; `length` counts itself, as on the wire.

        None while the message is incomplete. Raises ProtocolViolationError for a length that is out of bounds.
        """
        if not 4 <= length <= self.limit:
            raise ProtocolViolationError(f"a message of length {length}")
        end = start + length
        if end > self.tail:
            return None
        self.head = end
        return memoryview(self.data)[start + 4 : end]

    def next_startup_message(self) -> memoryview | None:
        """Return the body of the next message of the kind without a tag; None while it is incomplete."""
        if len(self) < 4:
            return None
        return self._take(self.head, INT32.unpack_from(self.data, self.head)[0])

    def next_message(self) -> tuple[bytes, memoryview] | None:
        """Return the tag and body of the next message; None while it is incomplete.

        In place of a message that was not kept: `SKIPPED_TAG`, and its own tag.
        """
        if self.skipped_tag:
            if self.bytes_to_skip:
                return None
            skipped = memoryview(self.skipped_tag)
            self.skipped_tag = b""
            return SKIPPED_TAG, skipped
        if len(self) < 5:
            return None
        tag, length = MESSAGE_HEADER.unpack_from(self.data, self.head)
        body = self._take(self.head + 1, length)
        return None if body is None else (tag, body)


def encode_message(tag: bytes, *parts: bytes) -> list[bytes]:
    """Return a message as buffers: its header, then the parts of its body."""
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
    """Return a client's first message."""
    body = b"".join(part.encode() + b"\0" for part in ("user", user, "database", database)) + b"\0"
    return INT32.pack(8 + len(body)) + INT32.pack(STARTUP) + body


def query_message(*parts: bytes) -> list[bytes]:
    """Return a simple query whose text is the concatenated parts."""
    return encode_message(b"Q", *parts, b"\0")


def error_response(sqlstate: bytes, text: str, detail: str = "", ready: bool = True) -> bytes:
    """Return an error after which the connection goes on.

    With `ready`, ReadyForQuery follows; without it, in the extended protocol, messages are skipped until Sync.
    """
    return b"".join(_error_message(b"ERROR", sqlstate, text, detail)) + (READY_FOR_QUERY if ready else b"")


def fatal_response(sqlstate: bytes, text: str, ready: bool) -> bytes:
    """Return an error that ends its connection.

    By the protocol it is complete without ReadyForQuery, and in place of the startup response nothing may follow it.
    On a connection that had its startup response a query may be on its way, and common clients drop the code of the
    answer to it unless ReadyForQuery follows.
    """
    return b"".join(_error_message(b"FATAL", sqlstate, text, "")) + (READY_FOR_QUERY if ready else b"")


def _error_message(severity: bytes, sqlstate: bytes, text: str, detail: str) -> list[bytes]:
    fields = [b"S", severity, b"\0V", severity, b"\0C", sqlstate, b"\0M", text.encode(), b"\0"]
    if detail:
        fields += [b"D", detail.encode(), b"\0"]
    return encode_message(b"E", *fields, b"\0")


def error_sqlstate(body: memoryview) -> bytes:
    """Return the SQLSTATE of an ErrorResponse."""
    return error_field(body, b"C")


def ends_connection(body: memoryview) -> bool:
    """Return whether an ErrorResponse is the last message of its connection."""
    return (error_field(body, b"V") or error_field(body, b"S")) in (b"FATAL", b"PANIC")


def begins_answer(tag: bytes, body: memoryview) -> bool:
    """Return whether a message is the first of an answer: a row, or an error after which the connection goes on."""
    return tag == b"T" or (tag == b"E" and not ends_connection(body))


def unexpected(tag: bytes, body: memoryview, why: str) -> ProtocolViolationError:
    """Return the error for a message that does not belong where it stands."""
    if tag == b"E" and ends_connection(body):
        return ConnectionEndedError(f"fatal error {error_sqlstate(body).decode(errors='replace')}")
    return ProtocolViolationError(f"message {tag!r} {why}")


def error_field(body: memoryview, kind: bytes) -> bytes:
    """Return the first field of this kind of an ErrorResponse; empty if it has none."""
    for field in bytes(body).split(b"\0"):
        if field[:1] == kind:
            return field[1:]
    return b""
