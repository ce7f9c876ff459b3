"""What a node's messages say about one query.

This module owns which answers are complete. It passes on no others, and does not read from a connection.
"""

from __future__ import annotations

from typing import Final

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

MAX_VALUE_BYTES: Final = 64 * 1024
# Bodies of CommandComplete.
SELECT_TAG = b"SELECT 1\0"
INSERT_TAG = b"INSERT 0 1\0"
COLUMN_DESCRIPTION_BYTES: Final = 18  # of a column in RowDescription, after its name
VALUE_OFFSET: Final = 6  # of the value in a DataRow of one column: the count of columns, then the value's length


class QueryResult:
    """What a node's messages say about one query, message by message.

    `sqlstate` is None until the outcome is known: then b"" for one complete row, else the SQLSTATE of the error.
    Anything other than exactly one row of one column, closed by the tag of its statement, raises
    ProtocolViolationError.
    """

    def __init__(self, is_write: bool = False) -> None:
        self.messages: list[bytes | memoryview] = []
        self.completion_tag = INSERT_TAG if is_write else SELECT_TAG
        self.sqlstate: bytes | None = None
        self.is_ready = False

    def add_message(self, tag: bytes, body: memoryview) -> None:
        """Take the next message of the answer. Raises ProtocolViolationError."""
        match tag:
            case b"N" | b"S":
                return
            case b"Z" if self.sqlstate is not None and body == b"I":
                self.is_ready = True
                return
            case b"E" if self.sqlstate is None:
                # After the begin of a row, no state of an error proves that nothing ran.
                self.sqlstate = error_sqlstate(body) if not self.messages else b""
                self.sqlstate = self.sqlstate or b"XX000"
                return
            case b"T" if not self.messages and is_one_column(body):
                pass
            case b"D" if len(self.messages) == 2 and is_one_value(body):
                pass
            case b"C" if len(self.messages) == 4 and self.sqlstate is None and body == self.completion_tag:
                self.sqlstate = b""
            case _ if self.sqlstate is not None and begins_answer(tag, body):
                raise SecondAnswerError("a second answer in front of ReadyForQuery")
            case _ if not self.messages and tag in HARMLESS_REPLY_TAGS:
                raise OutOfOrderError("a reply to a harmless query in front of the answer")
            case _:
                raise unexpected(tag, body, "out of place or not whole")
        self.messages += [MESSAGE_HEADER.pack(tag, 4 + len(body)), bytes(body)]


def is_one_column(body: memoryview) -> bool:
    """Return whether a RowDescription has one column: its name, then its description."""
    return body[:2] == b"\0\1" and bytes(body[2:]).find(b"\0") == len(body) - 2 - COLUMN_DESCRIPTION_BYTES - 1


def is_one_value(body: memoryview) -> bool:
    """Return whether a DataRow has one column that holds a value of the length it states."""
    return (
        len(body) >= VALUE_OFFSET
        and body[:2] == b"\0\1"
        and len(body) - VALUE_OFFSET <= MAX_VALUE_BYTES
        and (INT32.unpack_from(body, 2)[0] == len(body) - VALUE_OFFSET)
    )
