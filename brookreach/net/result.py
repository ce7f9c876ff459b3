"""What a node's messages say about one query.

It owns which answers are whole. It must never pass on what is not, nor read from a connection.
"""

from __future__ import annotations

from brookreach.net.pgwire import (
    HARMLESS_REPLY_TAGS,
    HEAD,
    INT,
    OutOfOrderError,
    SecondAnswerError,
    begins_answer,
    error_state,
    unexpected,
)

VALUE = 64 * 1024  # bytes of a value at most
SELECTED, INSERTED = b"SELECT 1\0", b"INSERT 0 1\0"


class Result:
    """What a node's messages say about one query, message by message.

    `verdict` stays None until its end is known: then b"" for one whole row, else an SQLSTATE. What is not
    exactly one row of one column, closed by the words for its statement, raises."""

    def __init__(self, write: bool = False) -> None:
        self.parts: list[bytes | memoryview] = []
        self.words = INSERTED if write else SELECTED
        self.verdict: bytes | None = None
        self.ready = False

    def message(self, tag: bytes, body: memoryview) -> None:
        match tag:
            case b"N" | b"S":
                return
            case b"Z" if self.verdict is not None and body == b"I":
                self.ready = True
                return
            case b"E" if self.verdict is None:
                # Behind the begin of a row, no state of an error proves that nothing ran.
                self.verdict = error_state(body) if not self.parts else b""
                self.verdict = self.verdict or b"XX000"
                return
            case b"T" if not self.parts and one_column(body):
                pass
            case b"D" if len(self.parts) == 2 and one_value(body):
                pass
            case b"C" if len(self.parts) == 4 and self.verdict is None and body == self.words:
                self.verdict = b""
            case _ if self.verdict is not None and begins_answer(tag, body):
                raise SecondAnswerError("a second answer in front of ReadyForQuery")
            case _ if not self.parts and tag in HARMLESS_REPLY_TAGS:
                raise OutOfOrderError("a reply to a harmless query in front of the answer")
            case _:
                raise unexpected(tag, body, "out of place or not whole")
        self.parts += [HEAD.pack(tag, 4 + len(body)), bytes(body)]


def one_column(body: memoryview) -> bool:
    """A RowDescription of one column: its name, then 18 bytes of what it is."""
    return body[:2] == b"\0\1" and bytes(body[2:]).find(b"\0") == len(body) - 2 - 19


def one_value(body: memoryview) -> bool:
    """A DataRow of one column that holds a value, of the length it says."""
    return (
        len(body) >= 6
        and body[:2] == b"\0\1"
        and len(body) - 6 <= VALUE
        and (INT.unpack_from(body, 2)[0] == len(body) - 6)
    )
