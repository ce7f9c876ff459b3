"""PostgreSQL's protocol, version 3, as far as RPCs need it; no I/O.

It owns the bytes: messages are parsed in place in one buffer a connection, and written as lists of buffers.
It must never wait, open or close anything, nor know what an RPC's answer leads to.
"""

from __future__ import annotations

import re
import struct

HEAD = struct.Struct("!ci")
INT = struct.Struct("!i")
STARTUP, CANCEL, SSL, GSSENC = 196608, 80877102, 80877103, 80877104
PUSHED_BACK, NOT_READY = b"53300", b"57P03"  # both tell the other side that nothing ran


class BrokenStream(Exception):
    """The bytes are not the protocol; nothing more can be read from this connection."""


class BadStatement(Exception):
    """One query can't be taken; the connection is still in step. Holds the SQLSTATE and a text."""

    def __init__(self, state: bytes, text: str):
        super().__init__(text)
        self.state = state


class Pool:
    """Memory that connections share for what doesn't fit into their first buffers."""

    def __init__(self, free: int) -> None:
        self.free = free


class Inbound:
    """Received bytes of one connection. A message is handed out as (tag, view); the view holds until the next
    call. The buffer grows with what has come, never with a length that was only claimed, as long as the pool
    has room, and shrinks again when it is empty."""

    def __init__(self, limit: int, pool: Pool, first: int = 512):
        self.limit, self.pool, self.first = limit, pool, first
        self.data = bytearray(first)
        self.head = self.tail = 0

    def __len__(self) -> int:
        return self.tail - self.head

    def space(self) -> memoryview:
        """Where the next bytes go."""
        if self.head == self.tail:
            self.head = self.tail = 0
            if len(self.data) > self.first:
                self._resize(self.first)
        if self.tail == len(self.data):
            held = self.data[self.head:self.tail]
            if self.head < len(self.data) // 2:  # more than half is one unfinished message
                self._resize(2 * len(self.data))
            self.data[:len(held)] = held
            self.head, self.tail = 0, len(held)
        return memoryview(self.data)[self.tail:]

    def _resize(self, size: int) -> None:
        more = size - len(self.data)
        if more > self.pool.free:
            raise BrokenStream("all room for large messages is taken")
        self.pool.free -= more
        self.data = bytearray(size)

    def release(self) -> None:
        """Give back what the connection holds."""
        self.pool.free += len(self.data) - self.first
        self.data, self.first, self.head, self.tail = bytearray(), 0, 0, 0

    def came(self, count: int) -> None:
        self.tail += count

    def _take(self, start: int, length: int) -> memoryview | None:
        """`length` counts itself, as on the wire."""
        if not 4 <= length <= self.limit:
            raise BrokenStream(f"a message of length {length}")
        end = start + length
        if end > self.tail:
            return None
        self.head = end
        return memoryview(self.data)[start + 4:end]

    def startup(self) -> memoryview | None:
        """The next message of the kind that has no tag."""
        if len(self) < 4:
            return None
        return self._take(self.head, INT.unpack_from(self.data, self.head)[0])

    def message(self) -> tuple[bytes, memoryview] | None:
        if len(self) < 5:
            return None
        tag, length = HEAD.unpack_from(self.data, self.head)
        body = self._take(self.head + 1, length)
        return None if body is None else (tag, body)


def framed(tag: bytes, *parts: bytes) -> list[bytes]:
    return [HEAD.pack(tag, 4 + sum([len(part) for part in parts])), *parts]


READY = b"".join(framed(b"Z", b"I"))
EMPTY = b"".join(framed(b"I")) + READY
DONE = b"".join(framed(b"C", b"SET\0")) + READY
WELCOME = b"".join(
    [*framed(b"R", INT.pack(0)), *framed(b"S", b"server_encoding\0UTF8\0"),
     *framed(b"S", b"client_encoding\0UTF8\0"), *framed(b"S", b"standard_conforming_strings\0on\0"),
     *framed(b"K", INT.pack(0), INT.pack(0))]) + READY
TERMINATE = b"".join(framed(b"X"))


def hello(user: str, database: str) -> bytes:
    body = b"".join(part.encode() + b"\0" for part in ("user", user, "database", database)) + b"\0"
    return INT.pack(8 + len(body)) + INT.pack(STARTUP) + body


def query(*parts: bytes) -> list[bytes]:
    return framed(b"Q", *parts, b"\0")


def error(state: bytes, text: str, detail: str = "", ready: bool = True) -> bytes:
    fields = [b"SERROR\0VERROR\0C", state, b"\0M", text.encode(), b"\0"]
    if detail:
        fields += [b"D", detail.encode(), b"\0"]
    return b"".join(framed(b"E", *fields, b"\0")) + (READY if ready else b"")


def error_state(body: memoryview) -> bytes:
    """An ErrorResponse's SQLSTATE."""
    for field in bytes(body).split(b"\0"):
        if field[:1] == b"C":
            return field[1:]
    return b""


# --- statements ---

COMMENT = re.compile(rb"/\*([^*]*)\*/[\s;]*\Z")
WAIT = re.compile(rb"(?:\A|,)\s*d=([^,\s]*)")
KINDS = re.compile(rb"\s*(select|insert)\b", re.IGNORECASE)
HARMLESS = re.compile(rb"\s*(set|reset|discard)\b", re.IGNORECASE)
NAME = re.compile(rb"[0-9A-Za-z_.:-]{1,64}\Z")


class Statement:
    """One RPC as its client worded it, ready to be passed on with another wait."""

    def __init__(self, name: bytes, method: bytes, wait_ms: float, cost_ms: float | None, repeat: bool,
                 write: bool, key: int, before: bytes, after: bytes) -> None:
        self.name, self.method, self.wait_ms, self.cost_ms = name, method, wait_ms, cost_ms
        self.repeat, self.write, self.key = repeat, write, key
        self.before, self.after = before, after

    def passed_on(self, wait_ms: float) -> list[bytes | memoryview]:
        return [*query(self.before, b"%d" % max(1, int(wait_ms)), self.after)]


def _number(values: dict[bytes, bytes], name: bytes) -> float:
    try:
        number = float(values[name])
    except (KeyError, ValueError):
        raise BadStatement(b"22023", f"no readable {name.decode()} in the comment") from None
    if not 0.0 <= number <= 1e12:  # also what is not a number
        raise BadStatement(b"22023", f"{name.decode()} out of range")
    return number


def harmless(text: memoryview) -> bytes | None:
    """The answer to what does nothing: an empty query, SET, RESET, DISCARD."""
    if not bytes(text[:64]).strip(b" \t\r\n;\0"):
        return EMPTY if len(text) <= 64 else None
    return DONE if HARMLESS.match(text) else None


def statement(text: memoryview, comment: int) -> Statement:
    """`text` is a query's body without the closing NUL; its comment is within the last `comment` bytes."""
    kind = KINDS.match(text)
    if kind is None:
        raise BadStatement(b"42601", "neither SELECT nor INSERT")
    tail = max(0, len(text) - comment)
    found = COMMENT.search(text[tail:])
    if found is None:
        raise BadStatement(b"42601", "no comment with names and values")
    said = found.group(1)
    values: dict[bytes, bytes] = {}
    for pair in said.split(b","):
        name, _, value = pair.strip().partition(b"=")
        values[name] = value.strip()
    if not NAME.match(values.get(b"id", b"")):
        raise BadStatement(b"22023", "no readable id in the comment")
    wait, at = WAIT.search(said), tail + found.start(1)
    wait_ms = _number(values, b"d")
    assert wait is not None  # d was read just now
    return Statement(
        name=values[b"id"], method=values.get(b"c", b""), wait_ms=wait_ms,
        cost_ms=_number(values, b"h") / 1000.0 if b"h" in values else None,
        repeat=values.get(b"r") == b"1", write=kind.group(1).lower() == b"insert",
        # Ids stay as the wire gives them: equal keys, equal numbers.
        key=int.from_bytes(values[b"k"], "big") if b"k" in values else 0,
        before=bytes(text[:at + wait.start(1)]), after=bytes(text[at + wait.end(1):]))


# --- results ---


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
                self.verdict = error_state(body) or b"XX000"
                return
            case b"T" if not self.parts and one_column(body):
                pass
            case b"D" if len(self.parts) == 2 and one_value(body):
                pass
            case b"C" if len(self.parts) == 4 and self.verdict is None and body == self.words:
                self.verdict = b""
            case _:
                raise BrokenStream(f"message {tag!r} out of place or not whole")
        self.parts += [HEAD.pack(tag, 4 + len(body)), bytes(body)]


def one_column(body: memoryview) -> bool:
    """A RowDescription of one column: its name, then 18 bytes of what it is."""
    return body[:2] == b"\0\1" and bytes(body[2:]).find(b"\0") == len(body) - 2 - 19


def one_value(body: memoryview) -> bool:
    """A DataRow of one column that holds a value, of the length it says."""
    return len(body) >= 6 and body[:2] == b"\0\1" and len(body) - 6 <= VALUE and (
        INT.unpack_from(body, 2)[0] == len(body) - 6)
