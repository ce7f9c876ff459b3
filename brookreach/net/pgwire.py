"""The messages of PostgreSQL's protocol, version 3, as far as RPCs need them; no I/O.

Messages to send are lists of buffers; received ones are cut by `message_buffer.py`. This module never waits, opens or
closes anything, and does not know what follows from the answer of an RPC.
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

HARMLESS_REPLY_TAGS: tuple[bytes, bytes] = (b"I", b"C")  # of an empty query; of a command that does nothing


class ProtocolViolationError(Exception):
    """The bytes are not the protocol; nothing more can be read from this connection."""


class SecondAnswerError(ProtocolViolationError):
    """A second answer begins where one was requested."""


class OutOfOrderError(ProtocolViolationError):
    """The reply to another query stands where the reply to the next query should."""


class ConnectionEndedError(ProtocolViolationError):
    """A fatal error in place of the expected message: the other side ends the connection."""


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
