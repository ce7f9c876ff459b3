"""Reads operators' schedule files: TOML that names CSV files or contains rows, validated as a whole.

The module owns the file format and every check that needs only the file. Times need a UTC offset: local time alone
is rejected, because one hour a year occurs twice in it and one not at all. Every error names the file, the line or
key, the value found and the values allowed; a file with any error is rejected as a whole.
"""

from __future__ import annotations

import csv
import io
import re
from collections.abc import Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from decimal import ROUND_HALF_UP, Decimal
from itertools import islice
from pathlib import Path
from typing import Annotated, Any

import msgspec

from brookreach.carbon_aware.commands import CallsPerSecond, ScheduleVersion
from brookreach.carbon_aware.errors import InvalidIntensityError, InvalidTimeError
from brookreach.carbon_aware.schedule import (
    EPOCH,
    MAX_GRAMS_PER_KWH,
    MAX_INTERVALS,
    MAX_TIME_MS,
    MAX_ZONES,
    IntensityInterval,
    ZoneQuota,
    find_problems,
    schedule_digest,
)
from brookreach.coordination.protocol.messages import Name
from brookreach.files import InvalidFileError, convert_values, read_bounded, read_toml

UNIT = "gCO2e/kWh"
CSV_HEADER = ["zone", "from", "to", UNIT]
TIME_EXAMPLE = "2026-10-25T01:00:00+02:00"
MAX_CSV_BYTES = 4 << 20
MAX_ERRORS = 50  # reported per file
NUMBER_PATTERN = re.compile(r"-?[0-9]{1,9}(\.[0-9]{1,9})?")


class ScheduleSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The [schedule] section. Each version number is greater than the previous one."""

    version: ScheduleVersion
    unit: str  # stated explicitly, so that pounds or grams per MJ are rejected
    csv: tuple[str, ...] = ()  # paths relative to this file's directory


class ZoneSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A [[zone]] section: the name that nodes use, and the flexible calls per second beyond the zone's usual share."""

    name: Name
    calls_per_s: CallsPerSecond = msgspec.field(name="calls", default=0)


class RowSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A [[row]] section: the intensity of a zone for a time.

    Fields of type `Any` hold TOML values that `parse_time` and `parse_intensity` check, for their error messages.
    """

    zone: str
    from_time: Any = msgspec.field(name="from")
    to_time: Any = msgspec.field(name="to")
    grams: Any


class ScheduleFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of a schedule file."""

    schedule: ScheduleSection
    zones: Annotated[tuple[ZoneSection, ...], msgspec.Meta(min_length=1, max_length=MAX_ZONES)] = msgspec.field(
        name="zone"
    )
    rows: tuple[RowSection, ...] = msgspec.field(name="row", default=())


class Schedule(msgspec.Struct, frozen=True):
    """A validated schedule. Intervals are sorted by zone and time. `check --show` prints the encoded field names."""

    version: int
    zones: tuple[ZoneQuota, ...]
    intervals: tuple[IntensityInterval, ...] = msgspec.field(name="spans")
    digest: str


@dataclass(frozen=True)
class _LocatedInterval:
    """An interval and its location: the file, with the line or the key."""

    location: str
    interval: IntensityInterval


def read_schedule(path: Path) -> Schedule:
    """Reads a schedule and the CSV files that it names; raises InvalidFileError with the errors of all of them."""
    return parse_schedule(path, read_toml(path))


def parse_schedule(path: Path, values: dict[str, Any]) -> Schedule:
    """Returns the schedule in the parsed TOML `values` of the file at `path`; raises InvalidFileError."""
    file = convert_values(path, values, ScheduleFile)
    collector = _RowCollector()
    _check_sections(path, file, collector.errors)
    for name in file.schedule.csv:
        _collect_csv(path.parent / name, collector)
    for index, row in enumerate(file.rows):
        collector.add(f"{path}: row[{index}]", [row.zone, row.from_time, row.to_time, row.grams])
    if not collector.rows and not collector.errors:
        collector.errors.append(f"{path}: no rows; schedule.csv has to name files, or [[row]] to stand here")
    errors = collector.errors or _problems(path, file, collector.rows)  # gaps are not reported while rows are invalid
    if errors:
        more = [f"{path}: and more"] if len(errors) > MAX_ERRORS else []
        raise InvalidFileError(errors[:MAX_ERRORS] + more)
    version = file.schedule.version
    zones = tuple(ZoneQuota(zone.name, zone.calls_per_s) for zone in file.zones)
    intervals = tuple(sorted(row.interval for row in collector.rows))
    return Schedule(version, zones, intervals, schedule_digest(version, zones, intervals))


def _check_sections(path: Path, file: ScheduleFile, errors: list[str]) -> None:
    if file.schedule.unit != UNIT:
        errors.append(f"{path}: schedule.unit: {file.schedule.unit!r}; {UNIT!r} is allowed")
    names = [zone.name for zone in file.zones]
    for index, name in enumerate(names):
        if names.index(name) != index:
            errors.append(f"{path}: zone[{index}].name: {name!r} stands twice; each zone may stand once")


def _problems(path: Path, file: ScheduleFile, rows: Sequence[_LocatedInterval]) -> list[str]:
    """Returns the problems of the schedule as a whole, up to one more than MAX_ERRORS."""
    zones = [zone.name for zone in file.zones]
    problems = find_problems(zones, [row.interval for row in rows])
    return [
        f"{path if problem.interval_index is None else rows[problem.interval_index].location}: {problem.text}"
        for problem in islice(problems, MAX_ERRORS + 1)
    ]


class _RowCollector:
    """Collects the valid rows, and the errors of the invalid ones."""

    def __init__(self) -> None:
        self.rows: list[_LocatedInterval] = []
        self.errors: list[str] = []

    def add(self, location: str, fields: Sequence[Any]) -> None:
        """Parses a row: its zone, two times and intensity."""
        zone, from_time, to_time, grams = fields
        try:
            interval = IntensityInterval(zone, parse_time(from_time), parse_time(to_time), parse_intensity(grams))
        except (InvalidTimeError, InvalidIntensityError) as error:
            self.errors.append(f"{location}: {error}")
        else:
            self.rows.append(_LocatedInterval(location, interval))


def _collect_csv(path: Path, collector: _RowCollector) -> None:
    try:
        text = read_bounded(path, MAX_CSV_BYTES).decode("utf-8-sig")
    except InvalidFileError as error:
        collector.errors += error.errors
        return
    except UnicodeDecodeError as error:
        collector.errors.append(f"{path}: byte {error.start} is no UTF-8; text in UTF-8 is allowed")
        return
    reader = csv.reader(io.StringIO(text, newline=""), strict=True)
    first_row = len(collector.rows)
    try:
        header = [field.strip() for field in next(reader, [])]
        if header != CSV_HEADER:
            collector.errors.append(f"{path}:1: {','.join(header)!r}; the header {','.join(CSV_HEADER)!r} is allowed")
            return
        for fields in reader:
            _collect_csv_row(f"{path}:{reader.line_num}", fields, collector)
            if len(collector.errors) > MAX_ERRORS or len(collector.rows) - first_row > MAX_INTERVALS:
                break
    except csv.Error as error:
        collector.errors.append(f"{path}:{reader.line_num}: no CSV: {error}")


def _collect_csv_row(location: str, fields: list[str], collector: _RowCollector) -> None:
    if len(fields) == len(CSV_HEADER):
        collector.add(location, [field.strip() for field in fields])
    elif fields:  # an empty line is skipped
        collector.errors.append(
            f"{location}: {len(fields)} fields; {len(CSV_HEADER)} are allowed: {','.join(CSV_HEADER)}"
        )


def parse_time(value: object) -> int:
    """Converts a time with a UTC offset to ms since 1970; raises InvalidTimeError."""
    time = value
    if isinstance(value, str):
        try:
            time = datetime.fromisoformat(value)
        except ValueError:
            raise InvalidTimeError(f"{value!r} is no time; one like {TIME_EXAMPLE} is allowed") from None
    if not isinstance(time, datetime):
        raise InvalidTimeError(f"{value!s} is no time; one like {TIME_EXAMPLE} is allowed")
    if time.utcoffset() is None:
        raise InvalidTimeError(f"{value!s} has no offset from UTC; one like {TIME_EXAMPLE} is allowed")
    time_ms, remainder = divmod(time - EPOCH, timedelta(milliseconds=1))
    if remainder or not 0 <= time_ms <= MAX_TIME_MS:
        raise InvalidTimeError(f"{value!s}; whole ms from 1970 to 2099 are allowed")
    return time_ms


def parse_intensity(value: object) -> int:
    """Returns the intensity in whole grams per kWh, halves rounded up; raises InvalidIntensityError."""
    is_number = isinstance(value, str | int | float) and not isinstance(value, bool)
    text = str(value) if is_number else ""
    if not NUMBER_PATTERN.fullmatch(text):
        raise InvalidIntensityError(f"{value!r} is no figure; 0 to {MAX_GRAMS_PER_KWH} ({UNIT}) are allowed")
    number = Decimal(text)
    if not 0 <= number <= MAX_GRAMS_PER_KWH:
        raise InvalidIntensityError(f"{text}; 0 to {MAX_GRAMS_PER_KWH} ({UNIT}) are allowed")
    return int(number.quantize(Decimal(1), ROUND_HALF_UP))
