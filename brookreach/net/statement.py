"""The text of queries: which do nothing, and what the comment of an RPC says.

This module owns the reading of a query's text. It answers nothing and does not know what becomes of a statement.
"""

from __future__ import annotations

import re
from typing import Final

from brookreach.net.pgwire import COMMAND_RESPONSE, EMPTY_QUERY_RESPONSE, query_message


class InvalidStatementError(Exception):
    """A query that can't be taken; the connection is still in step. `sqlstate` is the code of the error."""

    def __init__(self, sqlstate: bytes, text: str):
        super().__init__(text)
        self.sqlstate = sqlstate


COMMENT_PATTERN = re.compile(rb"/\*([^*]*)\*/[\s;]*\Z")
WAIT_PATTERN = re.compile(rb"(?:\A|,)\s*d=\s*([^,\s]*)")
RPC_PATTERN = re.compile(rb"\s*(select|insert)\b", re.IGNORECASE)
HARMLESS_PATTERN = re.compile(rb"\s*(set|reset|discard)\b", re.IGNORECASE)
ID_PATTERN = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")
MAX_BLANK_BYTES: Final = 64  # of an empty query
MAX_NUMBER: Final = 1e12  # of all numbers in the comment
MIN_WORK_US: Final = 0.001  # no work takes less; 0 states none
US_PER_MS: Final = 1000.0


class Statement:
    """One RPC in its client's words, ready to be sent on with another wait.

    Args:
        name: The id that the client gave it.
        method: The name of the method.
        wait_ms: How long the client waits for the answer.
        cost_ms: The cost that the client states, if it does.
        is_retry: Whether the client says that it sends the RPC again.
        is_write: Whether it is an INSERT.
        key: A number for the client's key; 0 without one.
        before: The text in front of the wait.
        after: The text after the wait.
    """

    def __init__(
        self,
        name: bytes,
        method: bytes,
        wait_ms: float,
        cost_ms: float | None,
        is_retry: bool,
        is_write: bool,
        key: int,
        before: bytes,
        after: bytes,
    ) -> None:
        self.name = name
        self.method = method
        self.wait_ms = wait_ms
        self.cost_ms = cost_ms
        self.is_retry = is_retry
        self.is_write = is_write
        self.key = key
        self.before = before
        self.after = after

    def drop_text(self) -> None:
        """Free the text: nothing of it is to be sent any more."""
        self.before = self.after = b""

    def encode_query(self, wait_ms: float) -> list[bytes | memoryview]:
        """Return the query message with this wait, at least 1 ms, in place of the client's own."""
        return [*query_message(self.before, b"%d" % max(1, int(wait_ms)), self.after)]


def _number(values: dict[bytes, bytes], name: bytes) -> float:
    try:
        number = float(values[name])
        if b"_" in values[name]:  # Python reads it as a number; others need not
            raise ValueError
    except (KeyError, ValueError):
        raise InvalidStatementError(b"22023", f"no readable {name.decode()} in the comment") from None
    if not 0.0 <= number <= MAX_NUMBER:  # also what is not a number
        raise InvalidStatementError(b"22023", f"{name.decode()} out of range")
    return number


def _work_ms(values: dict[bytes, bytes]) -> float | None:
    """Return the client's guess at the work, None if it states none."""
    if b"h" not in values:
        return None
    work_us = _number(values, b"h")
    if 0.0 < work_us < MIN_WORK_US:
        raise InvalidStatementError(b"22023", "h out of range")
    return work_us / US_PER_MS


def harmless_response(text: memoryview) -> bytes | None:
    """Return the response to a query that does nothing (an empty one, SET, RESET, DISCARD), None for any other."""
    if not bytes(text[:MAX_BLANK_BYTES]).strip(b" \t\r\n;\0"):
        return EMPTY_QUERY_RESPONSE if len(text) <= MAX_BLANK_BYTES else None
    return COMMAND_RESPONSE if HARMLESS_PATTERN.match(text) else None


def parse_statement(text: memoryview, max_comment_bytes: int) -> Statement:
    """Return the statement of a query's text without the closing NUL; its comment is within the last bytes.

    Raises InvalidStatementError also for what could be read in two ways: a node must find in the text what was found
    here.
    """
    verb = RPC_PATTERN.match(text)
    if verb is None:
        raise InvalidStatementError(b"42601", "neither SELECT nor INSERT")
    tail = max(0, len(text) - max_comment_bytes)
    found = COMMENT_PATTERN.search(text[tail:])
    if found is None:
        raise InvalidStatementError(b"42601", "no comment with names and values")
    comment = found.group(1)
    values: dict[bytes, bytes] = {}
    for pair in comment.split(b","):
        name, _, value = pair.strip().partition(b"=")
        if name and name in values:
            raise InvalidStatementError(b"22023", f"{name.decode(errors='replace')!r} twice in the comment")
        values[name] = value.strip()
    if not ID_PATTERN.match(values.get(b"id", b"")):
        raise InvalidStatementError(b"22023", "no readable id in the comment")
    wait = WAIT_PATTERN.search(comment)
    comment_start = tail + found.start(1)
    wait_ms = _number(values, b"d")
    assert wait is not None  # d was read just now
    before = bytes(text[: comment_start + wait.start(1)])
    after = bytes(text[comment_start + wait.end(1) :])
    if b"\0" in before or b"\0" in after:  # to a node the text would end there
        raise InvalidStatementError(b"22021", "a NUL in the statement")
    return Statement(
        name=values[b"id"],
        method=values.get(b"c", b""),
        wait_ms=wait_ms,
        cost_ms=_work_ms(values),
        is_retry=values.get(b"r") == b"1",
        is_write=verb.group(1).lower() == b"insert",
        # Keys stay as the wire gives them: equal keys, equal numbers.
        key=int.from_bytes(values[b"k"], "big") if b"k" in values else 0,
        before=before,
        after=after,
    )
