"""What a node's messages say about one query.

It owns which answers are whole. It must never pass on what is not, nor read from a connection.
"""

from __future__ import annotations

from brookreach.net.pgwire import (
    HARMLESS_REPLY_TAGS,
    INT32,
    MESSAGE_HEADER,
    OutOfOrderError,
    SecondAnswerError,
    begins_answer,
    error_sqlstate,
    unexpected,
)

VALUE = 64 * 1024  # bytes of a value at most
SELECT_TAG, INSERT_TAG = b"SELECT 1\0", b"INSERT 0 1\0"


class QueryResult:
    """What a node's messages say about one query, message by message.

    `sqlstate` stays None until its end is known: then b"" for one whole row, else an SQLSTATE. What is not
    exactly one row of one column, closed by the words for its statement, raises."""

    def __init__(self, write: bool = False) -> None:
        self.messages: list[bytes | memoryview] = []
        self.words = INSERT_TAG if write else SELECT_TAG
        self.sqlstate: bytes | None = None
        self.is_ready = False

    def add_message(self, tag: bytes, body: memoryview) -> None:
        match tag:
            case b"N" | b"S":
                return
            case b"Z" if self.sqlstate is not None and body == b"I":
                self.is_ready = True
                return
            case b"E" if self.sqlstate is None:
                # Behind the begin of a row, no state of an error proves that nothing ran.
                self.sqlstate = error_sqlstate(body) if not self.messages else b""
                self.sqlstate = self.sqlstate or b"XX000"
                return
            case b"T" if not self.messages and one_column(body):
                pass
            case b"D" if len(self.messages) == 2 and one_value(body):
                pass
            case b"C" if len(self.messages) == 4 and self.sqlstate is None and body == self.words:
                self.sqlstate = b""
            case _ if self.sqlstate is not None and begins_answer(tag, body):
                raise SecondAnswerError("a second answer in front of ReadyForQuery")
            case _ if not self.messages and tag in HARMLESS_REPLY_TAGS:
                raise OutOfOrderError("a reply to a harmless query in front of the answer")
            case _:
                raise unexpected(tag, body, "out of place or not whole")
        self.messages += [MESSAGE_HEADER.pack(tag, 4 + len(body)), bytes(body)]


def one_column(body: memoryview) -> bool:
    """A RowDescription of one column: its name, then 18 bytes of what it is."""
    return body[:2] == b"\0\1" and bytes(body[2:]).find(b"\0") == len(body) - 2 - 19


def one_value(body: memoryview) -> bool:
    """A DataRow of one column that holds a value, of the length it says."""
    return (
        len(body) >= 6
        and body[:2] == b"\0\1"
        and len(body) - 6 <= VALUE
        and (INT32.unpack_from(body, 2)[0] == len(body) - 6)
    )
