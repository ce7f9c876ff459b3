"""Operators' schedules: a TOML file that names CSV files or holds rows, checked as a whole.

It owns the file's form and every check that needs only the file. Times need an offset from UTC: local time
alone is refused, since one hour a year comes twice in it and one not at all. Every error names the file, the
line or key, what stands there and what is allowed; a file with any error gives nothing.
"""

from __future__ import annotations

import csv
import io
import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from decimal import ROUND_HALF_UP, Decimal
from itertools import islice
from pathlib import Path
from typing import Annotated, Any

import msgspec

from brookreach.carbon_aware.commands import Calls, Number
from brookreach.carbon_aware.cost_curve import (
    MAX_GRAMS_PER_KWH,
    MAX_INTERVALS,
    MAX_TIME_MS,
    MAX_ZONES,
    schedule_digest,
    schedule_errors,
)
from brookreach.coordination.protocol.messages import Name
from brookreach.files import BadFile, checked, read_bounded, read_toml

UNIT = "gCO2e/kWh"
HEADER = ["zone", "from", "to", UNIT]
LIKE = "2026-10-25T01:00:00+02:00"
MOST_CSV = 4 << 20  # bytes
MOST_ERRORS = 50  # told of one file
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
FIGURE = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?")

Row = tuple[str, str, int, int, int]  # where it stands; zone, from, to, grams


class SchedulePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[schedule]: each version's number is greater than the one before."""

    version: Number
    unit: str  # named, so that nobody sends pounds or grams a MJ
    csv: tuple[str, ...] = ()  # beside this file


class ZonePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[zone]]: as nodes name it, and the flexible calls a second that may come beyond its usual share."""

    name: Name
    calls: Calls = 0


class RowPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[row]]: one span of time in a zone."""

    zone: str
    start: Any = msgspec.field(name="from")
    to: Any
    grams: Any


class ScheduleFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file."""

    schedule: SchedulePart
    zone: Annotated[tuple[ZonePart, ...], msgspec.Meta(min_length=1, max_length=MAX_ZONES)]
    row: tuple[RowPart, ...] = ()


@dataclass(frozen=True)
class Schedule:
    """What `orders.parts` sends. Spans are sorted by zone and time."""

    version: int
    zones: tuple[tuple[str, int], ...]
    spans: tuple[tuple[str, int, int, int], ...]
    digest: str


def read_schedule(path: Path) -> Schedule:
    """Raises BadFile with all that is wrong in it, or in the files that it names."""
    return parse_schedule(path, read_toml(path))


def parse_schedule(path: Path, values: dict[str, Any]) -> Schedule:
    """The values of the file at `path`; raises BadFile."""
    told = checked(path, values, ScheduleFile)
    errors: list[str] = []
    if told.schedule.unit != UNIT:
        errors.append(f"{path}: schedule.unit: {told.schedule.unit!r}; {UNIT!r} is allowed")
    names = [one.name for one in told.zone]
    errors += [
        f"{path}: zone[{nth}].name: {name!r} stands twice; each zone may stand once"
        for nth, name in enumerate(names)
        if names.index(name) != nth
    ]
    rows: list[Row] = []
    for name in told.schedule.csv:
        rows += _from_csv(path.parent / name, errors)
    for nth, one in enumerate(told.row):
        _add(rows, f"{path}: row[{nth}]", (one.zone, one.start, one.to, one.grams), errors)
    if not rows and not errors:
        errors.append(f"{path}: no rows; schedule.csv has to name files, or [[row]] to stand here")
    if not errors:  # of rows that are left out because they are wrong no gaps are told
        found = schedule_errors(names, [row[1:] for row in rows])
        errors = [f"{rows[nth][0] if nth >= 0 else path}: {flaw}" for nth, flaw in islice(found, MOST_ERRORS + 1)]
    if errors:
        more = [f"{path}: and more"] if len(errors) > MOST_ERRORS else []
        raise BadFile(errors[:MOST_ERRORS] + more)
    zones = tuple((one.name, one.calls) for one in told.zone)
    spans = tuple(sorted(row[1:] for row in rows))
    return Schedule(told.schedule.version, zones, spans, schedule_digest(told.schedule.version, zones, spans))


def _from_csv(path: Path, errors: list[str]) -> list[Row]:
    rows: list[Row] = []
    try:
        text = read_bounded(path, MOST_CSV).decode("utf-8-sig")
    except BadFile as error:
        errors += error.errors
        return rows
    except UnicodeDecodeError as error:
        errors.append(f"{path}: byte {error.start} is no UTF-8; text in UTF-8 is allowed")
        return rows
    lines = csv.reader(io.StringIO(text, newline=""), strict=True)
    try:
        header = [word.strip() for word in next(lines, [])]
        if header != HEADER:
            errors.append(f"{path}:1: {','.join(header)!r}; the header {','.join(HEADER)!r} is allowed")
            return rows
        for line in lines:
            where = f"{path}:{lines.line_num}"
            if len(line) == len(HEADER):
                _add(rows, where, tuple(word.strip() for word in line), errors)
            elif line:  # an empty line is nothing
                errors.append(f"{where}: {len(line)} fields; {len(HEADER)} are allowed: {','.join(HEADER)}")
            if len(errors) > MOST_ERRORS or len(rows) > MAX_INTERVALS:
                break
    except csv.Error as error:
        errors.append(f"{path}:{lines.line_num}: no CSV: {error}")
    return rows


def _add(rows: list[Row], where: str, fields: tuple[Any, ...], errors: list[str]) -> None:
    zone, start, to, amount = fields
    try:
        rows.append((where, zone, parse_time(start), parse_time(to), parse_intensity(amount)))
    except ValueError as error:
        errors.append(f"{where}: {error}")


def parse_time(told: object) -> int:
    """Ms since 1970; raises ValueError."""
    time = told
    if isinstance(told, str):
        try:
            time = datetime.fromisoformat(told)
        except ValueError:
            raise ValueError(f"{told!r} is no time; one like {LIKE} is allowed") from None
    if not isinstance(time, datetime):
        raise ValueError(f"{told!s} is no time; one like {LIKE} is allowed")
    if time.utcoffset() is None:
        raise ValueError(f"{told!s} has no offset from UTC; one like {LIKE} is allowed")
    ms, rest = divmod(time - EPOCH, timedelta(milliseconds=1))
    if rest or not 0 <= ms <= MAX_TIME_MS:
        raise ValueError(f"{told!s}; whole ms from 1970 to 2099 are allowed")
    return ms


def parse_intensity(told: object) -> int:
    """Whole grams a kWh, halves up; raises ValueError."""
    text = str(told) if isinstance(told, str | int | float) and not isinstance(told, bool) else ""
    if not FIGURE.fullmatch(text):
        raise ValueError(f"{told!r} is no figure; 0 to {MAX_GRAMS_PER_KWH} ({UNIT}) are allowed")
    value = Decimal(text)
    if not 0 <= value <= MAX_GRAMS_PER_KWH:
        raise ValueError(f"{text}; 0 to {MAX_GRAMS_PER_KWH} ({UNIT}) are allowed")
    return int(value.quantize(Decimal(1), ROUND_HALF_UP))
