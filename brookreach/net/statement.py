"""Queries as clients word them: which do nothing, and what the comment of an RPC says.

It owns the reading of a query's text. It must never answer, nor know what becomes of a statement.
"""

from __future__ import annotations

import re

from brookreach.net.pgwire import COMMAND_RESPONSE, EMPTY_QUERY_RESPONSE, query_message


class InvalidStatementError(Exception):
    """One query can't be taken; the connection is still in step. Holds the SQLSTATE and a text."""

    def __init__(self, state: bytes, text: str):
        super().__init__(text)
        self.state = state


COMMENT = re.compile(rb"/\*([^*]*)\*/[\s;]*\Z")
WAIT = re.compile(rb"(?:\A|,)\s*d=\s*([^,\s]*)")
KINDS = re.compile(rb"\s*(select|insert)\b", re.IGNORECASE)
HARMLESS = re.compile(rb"\s*(set|reset|discard)\b", re.IGNORECASE)
NAME = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")


class Statement:
    """One RPC as its client worded it, ready to be passed on with another wait."""

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
        self.name, self.method, self.wait_ms, self.cost_ms = name, method, wait_ms, cost_ms
        self.is_retry, self.is_write, self.key = is_retry, is_write, key
        self.before, self.after = before, after

    def encode_query(self, wait_ms: float) -> list[bytes | memoryview]:
        return [*query_message(self.before, b"%d" % max(1, int(wait_ms)), self.after)]


def _number(values: dict[bytes, bytes], name: bytes) -> float:
    try:
        number = float(values[name])
        if b"_" in values[name]:  # Python reads it as a number; others needn't
            raise ValueError
    except (KeyError, ValueError):
        raise InvalidStatementError(b"22023", f"no readable {name.decode()} in the comment") from None
    if not 0.0 <= number <= 1e12:  # also what is not a number
        raise InvalidStatementError(b"22023", f"{name.decode()} out of range")
    return number


def harmless_response(text: memoryview) -> bytes | None:
    """The answer to what does nothing: an empty query, SET, RESET, DISCARD."""
    if not bytes(text[:64]).strip(b" \t\r\n;\0"):
        return EMPTY_QUERY_RESPONSE if len(text) <= 64 else None
    return COMMAND_RESPONSE if HARMLESS.match(text) else None


def parse_statement(text: memoryview, comment: int) -> Statement:
    """`text` is a query's body without the closing NUL; its comment is within the last `comment` bytes.

    Raises InvalidStatementError for what could be read in two ways: a node must find in the text what we found.
    """
    kind = KINDS.match(text)
    if kind is None:
        raise InvalidStatementError(b"42601", "neither SELECT nor INSERT")
    tail = max(0, len(text) - comment)
    found = COMMENT.search(text[tail:])
    if found is None:
        raise InvalidStatementError(b"42601", "no comment with names and values")
    said = found.group(1)
    values: dict[bytes, bytes] = {}
    for pair in said.split(b","):
        name, _, value = pair.strip().partition(b"=")
        if name and name in values:
            raise InvalidStatementError(b"22023", f"{name.decode(errors='replace')!r} twice in the comment")
        values[name] = value.strip()
    if not NAME.match(values.get(b"id", b"")):
        raise InvalidStatementError(b"22023", "no readable id in the comment")
    wait, at = WAIT.search(said), tail + found.start(1)
    wait_ms = _number(values, b"d")
    assert wait is not None  # d was read just now
    before, after = bytes(text[: at + wait.start(1)]), bytes(text[at + wait.end(1) :])
    if b"\0" in before or b"\0" in after:  # to a node the text would end there
        raise InvalidStatementError(b"22021", "a NUL in the statement")
    return Statement(
        name=values[b"id"],
        method=values.get(b"c", b""),
        wait_ms=wait_ms,
        cost_ms=_number(values, b"h") / 1000.0 if b"h" in values else None,
        is_retry=values.get(b"r") == b"1",
        is_write=kind.group(1).lower() == b"insert",
        # Ids stay as the wire gives them: equal keys, equal numbers.
        key=int.from_bytes(values[b"k"], "big") if b"k" in values else 0,
        before=before,
        after=after,
    )
