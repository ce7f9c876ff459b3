"""Carbon intensity schedules: value types, limits, digest and validation. Does no I/O."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import NamedTuple

import msgspec

MAX_GRAMS_PER_KWH = 3000  # the most carbon-intensive power plants stay below half of this
MAX_ZONES = 64
MAX_INTERVALS = 10_000
MAX_INTERVAL_MS = 31 * 86_400_000  # a single value for a longer time is rejected as an error
MAX_TIME_MS = 4_102_444_800_000  # the beginning of the year 2100
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class ZoneQuota(NamedTuple):
    """A zone and the flexible calls per second that it accepts beyond its usual share."""

    zone: str
    calls_per_s: int


class IntensityInterval(NamedTuple):
    """The carbon intensity of a zone from `from_ms` to before `to_ms`, in grams of CO2e per kWh."""

    zone: str
    from_ms: int
    to_ms: int
    grams: int


@dataclass(frozen=True, slots=True)
class ScheduleProblem:
    """A reason why a schedule is invalid.

    Attributes:
        interval_index: Index of the interval that shows the problem; None: the schedule as a whole shows it.
        text: Description of the problem.
    """

    interval_index: int | None
    text: str


def format_time(time_ms: int) -> str:
    """Formats ms since 1970 as UTC text, truncated to seconds."""
    return (EPOCH + timedelta(milliseconds=time_ms)).strftime("%Y-%m-%dT%H:%M:%SZ")


def schedule_digest(
    version: int, zones: Sequence[tuple[str, int]], intervals: Sequence[tuple[str, int, int, int]]
) -> str:
    """Returns the SHA-256 of a complete schedule in hex, independent of the order of its zones and intervals."""
    content = [version, sorted(zones), sorted(intervals)]
    return hashlib.sha256(msgspec.msgpack.encode(content)).hexdigest()


def find_problems(zones: Sequence[str], intervals: Sequence[IntensityInterval]) -> Iterator[ScheduleProblem]:
    """Yields the problems that make a schedule invalid.

    The intervals of each zone have to come in order of time, without gaps or overlaps. All zones have to cover the
    same time, because otherwise they could not be compared throughout it.
    """
    coverage = _Coverage(zones, intervals)
    for index, interval in enumerate(intervals):
        for text in coverage.add(index, interval):
            yield ScheduleProblem(index, text)
    if len(intervals) > MAX_INTERVALS:
        yield ScheduleProblem(None, f"{len(intervals)} rows; up to {MAX_INTERVALS} are allowed")
    for text in coverage.compare_zones():
        yield ScheduleProblem(None, text)


class _Coverage:
    """Tracks the time that the intervals added so far cover in each zone."""

    def __init__(self, zones: Sequence[str], intervals: Sequence[IntensityInterval]) -> None:
        self._zones = zones
        self._intervals = intervals
        self._start_ms: dict[str, int] = {}
        self._end_ms: dict[str, int] = {}
        self._seen: set[IntensityInterval] = set()

    def add(self, index: int, interval: IntensityInterval) -> Iterator[str]:
        """Adds the next interval and yields the problems with it."""
        zone, from_ms, to_ms, grams = interval
        if zone not in self._zones:
            yield f"zone {zone!r} is not known; {', '.join(self._zones) or 'none'} are allowed"
            return
        if interval in self._seen:
            yield f"the same row stands twice ({format_time(from_ms)} to {format_time(to_ms)})"
            return
        self._seen.add(interval)
        if not 0 <= grams <= MAX_GRAMS_PER_KWH:
            yield f"{grams} g a kWh; 0 to {MAX_GRAMS_PER_KWH} are allowed"
        if not 0 <= from_ms < to_ms <= MAX_TIME_MS or to_ms - from_ms > MAX_INTERVAL_MS:
            yield f"from {format_time(from_ms)} to {format_time(to_ms)}; over 0 and up to 31 days are allowed"
            return
        covered_until = self._end_ms.get(zone)
        if covered_until is not None and from_ms != covered_until:
            yield self._discontinuity(index, interval, covered_until)
        self._start_ms.setdefault(zone, from_ms)
        self._end_ms[zone] = max(to_ms, covered_until or 0)

    def compare_zones(self) -> Iterator[str]:
        """Yields a problem for each zone that does not cover the time covered by all zones together."""
        for zone in self._zones:
            if zone not in self._start_ms:
                yield f"zone {zone!r} has no rows"
                continue
            covered = self._start_ms[zone], self._end_ms[zone]
            needed = min(self._start_ms.values()), max(self._end_ms.values())
            if covered != needed:
                yield (
                    f"zone {zone!r} covers {format_time(covered[0])} to {format_time(covered[1])}; "
                    f"all have to cover {format_time(needed[0])} to {format_time(needed[1])}"
                )

    def _discontinuity(self, index: int, interval: IntensityInterval, covered_until: int) -> str:
        zone, from_ms, to_ms, _ = interval
        if from_ms > covered_until:
            return f"gap in zone {zone!r}: {format_time(covered_until)} to {format_time(from_ms)} (UTC) is not covered"
        if any(earlier.zone == zone and to_ms <= earlier.from_ms for earlier in self._intervals[:index]):
            return f"out of order in zone {zone!r}: {format_time(from_ms)} comes after later rows"
        return (
            f"overlap in zone {zone!r}: from {format_time(from_ms)} (UTC), "
            f"the row before lasts to {format_time(covered_until)}"
        )
