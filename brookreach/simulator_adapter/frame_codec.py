"""Frames of the simulator's wire: one table for each direction, and the reading and writing of whole frames.

A record is a u16 code, fields of fixed size, and for some codes one counted field at the end.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

HEADER = struct.Struct("<III")
CLOCK = struct.Struct("<Q")
CODE = struct.Struct("<H")
ROW = struct.Struct("<HBQfHHIf")
FLOAT_BYTES = 4


class WireError(Exception):
    """The input is not as the page of the wire specifies; the text says what is wrong and where."""


class Layout(NamedTuple):
    """The layout of a record."""

    name: str
    fixed: struct.Struct
    tail: str  # "" for none, else a key of TAILS


TAILS = {
    "rows": struct.Struct("<I"),
    "text": struct.Struct("<I"),
    "octets": struct.Struct("<H"),
    "floats": struct.Struct("<B"),
}


def _table(rows: dict[int, tuple[str, str, str]]) -> dict[int, Layout]:
    return {code: Layout(name, struct.Struct("<" + fixed), tail) for code, (name, fixed, tail) in rows.items()}


EVENTS = _table(
    {
        256: ("Mail", "HH", "octets"),
        257: ("Ring", "HQ", ""),
        258: ("Up", "HQ", "text"),
        259: ("Disputed", "HIBI", ""),
        260: ("Exit", "H", ""),
        261: ("AckFirst", "HQHII", ""),
        262: ("Pool", "I", "rows"),
        263: ("Returned", "HQBBHII", "floats"),
        264: ("PeriodSums", "HHIIIIB", ""),
        265: ("Probed", "HIIB", "floats"),
        266: ("NewRequest", "HQBHQQIB", ""),
        267: ("Registry", "HBII", ""),
        268: ("RolloutState", "HBBfBBIH", ""),
        269: ("Dropped", "HQ", ""),
    }
)

ACTIONS = _table(
    {
        256: ("Assign", "HQIi", ""),
        257: ("Shed", "HQI", ""),
        258: ("ReportFailure", "HQ", ""),
        259: ("StopAttempt", "HQH", ""),
        260: ("Schedule", "HIQ", ""),
        261: ("Touch", "HI", ""),
        262: ("LetGo", "HI", ""),
        263: ("BroadcastTo", "HH", "octets"),
        264: ("SayLog", "H", "octets"),
        265: ("Crash", "H", "octets"),
        266: ("Tail", "HB", ""),
        267: ("QueryAll", "H", ""),
        268: ("SaySo", "HBBH", ""),
    }
)
ACTION_CODES = {layout.name: code for code, layout in ACTIONS.items()}


def _unpack_tail(kind: str, body: bytes, at: int) -> tuple[Any, int]:
    """Return the counted field at `at`, and where it ends. Raises struct.error if it is cut short."""
    count_struct = TAILS[kind]
    (count,) = count_struct.unpack_from(body, at)
    at += count_struct.size
    width = {"rows": ROW.size, "floats": FLOAT_BYTES}.get(kind, 1)
    end = at + count * width
    if end > len(body):
        raise struct.error
    if kind == "rows":
        return tuple(ROW.iter_unpack(body[at:end])), end
    if kind == "floats":
        return struct.unpack_from(f"<{count}f", body, at), end
    return body[at:end], end


def decode(body: bytes, count: int, table: dict[int, Layout] = EVENTS) -> list[tuple[str, tuple[Any, ...]]]:
    """Return the records of a frame's body, as names and fields. Raises WireError."""
    records: list[tuple[str, tuple[Any, ...]]] = []
    at = 0
    for number in range(count):
        start = at
        try:
            (code,) = CODE.unpack_from(body, at)
            layout = table.get(code)
            if layout is None:
                raise WireError(f"record {number} at byte {start}: unknown code {code}")
            fields = layout.fixed.unpack_from(body, at + 2)
            at += 2 + layout.fixed.size
            if layout.tail:
                tail, at = _unpack_tail(layout.tail, body, at)
                fields += (tail,)
        except struct.error:
            raise WireError(f"record {number} at byte {start}: cut short") from None
        records.append((layout.name, fields))
    if at != len(body):
        raise WireError(f"after {count} records {len(body) - at} bytes are left over")
    return records


def encode(records: list[tuple[str, tuple[Any, ...]]]) -> bytes:
    """Return the body of a reply from names and fields."""
    parts = []
    for name, fields in records:
        code = ACTION_CODES[name]
        layout = ACTIONS[code]
        parts.append(CODE.pack(code))
        if layout.tail:
            octets = fields[-1]
            parts.append(layout.fixed.pack(*fields[:-1]) + TAILS[layout.tail].pack(len(octets)) + octets)
        else:
            parts.append(layout.fixed.pack(*fields))
    return b"".join(parts)


def _exactly(stream: BinaryIO, size: int, what: str) -> bytes:
    data = stream.read(size)
    if len(data) != size:
        raise WireError(f"input ends inside {what}: {len(data)} of {size} bytes")
    return data


def read_frame(stream: BinaryIO) -> tuple[int, int, list[tuple[str, tuple[Any, ...]]]] | None:
    """Return the batch number, the clock in µs and the events, or None at a clean end of input. Raises WireError."""
    first = stream.read(1)
    if not first:
        return None
    number, count, size = HEADER.unpack(first + _exactly(stream, HEADER.size - 1, "a batch header"))
    if size < CLOCK.size:
        raise WireError(f"batch {number}: length {size} leaves no room for the clock")
    content = _exactly(stream, size, f"batch {number}")
    try:
        return number, CLOCK.unpack_from(content)[0], decode(content[CLOCK.size :], count)
    except WireError as error:
        raise WireError(f"batch {number}: {error}") from None


def write_frame(stream: BinaryIO, number: int, records: list[tuple[str, tuple[Any, ...]]]) -> None:
    """Write the reply to batch `number`."""
    body = encode(records)
    stream.write(HEADER.pack(number, len(records), len(body)) + body)
    stream.flush()
