"""What a process of hollow marshals is told and what it reports: one JSON object a line, on its standard streams.

It owns the message types. Times are ms of the machine's monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import msgspec

BUCKET_MS = 100  # width of a bucket of received bytes
MOST_LINE = 16 << 20  # bytes of one report


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True):
    """One command to a process of hollow marshals."""


class Begin(Message, frozen=True):
    """Start all marshals, at most `at_once` of them not yet up to date at a time; 0: all at once."""

    at_once: int


class Mark(Message, frozen=True):
    """Forget who is up to date. From now on a marshal is if it has another keeper than `gone` and holds `index`."""

    gone: str = ""
    index: int = 0


class Report(Message, frozen=True):
    """Ask for one `Figures`."""


class End(Message, frozen=True):
    """Leave all sessions and end."""


Command = Begin | Mark | Report | End


class Step(msgspec.Struct, frozen=True, array_like=True):
    """From `at_ms` on the slowest marshal of the process was at place `index` of the log."""

    at_ms: float
    index: int


class Figures(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A process of hollow marshals since its start; lists since the report before."""

    at_ms: float
    processor_s: float
    resident_bytes: int
    bytes_in: int
    bytes_out: int
    messages_in: int
    rows: dict[str, int]  # rows told that differ from what was held, by table
    up_to_date: int  # marshals since the last Mark
    up_to_date_ms: float  # when the last of them was
    sessions_lost: int
    steps: tuple[Step, ...]
    buckets: dict[int, int]  # bytes received, by time in BUCKET_MS
