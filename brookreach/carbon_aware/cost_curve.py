"""What power costs by zone and slot under the schedule in force. Pure.

No schedule in force means the neutral curve: every zone and time costs 0, so nobody waits or moves for power.
It must never give a value of a version that is not the agreed one, or of one that has expired.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from typing import Any

import msgspec

from brookreach.carbon_aware.tables import (
    ACTIVE_SCHEDULE,
    SCHEDULE_INTERVALS,
    SLOT_MS,
    ActiveScheduleRow,
    IntensityRow,
    version_key,
)
from brookreach.coordination.state_machine.application import View

MAX_GRAMS_PER_KWH = 3000  # a kWh; the dirtiest plants stay under half of it
MAX_ZONES, MAX_INTERVALS = 64, 10_000
MAX_INTERVAL_MS = 31 * 86_400_000  # one value for longer is no schedule
MAX_TIME_MS = 4_102_444_800_000  # the year 2100

Spans = Sequence[tuple[str, int, int, int]]  # zone, from, to, grams


@dataclass(frozen=True, slots=True)
class CostCurve:
    version: int  # 0: neutral
    spans: Mapping[str, tuple[IntensityRow, ...]]
    worst: int  # of all spans: what nobody knows must not look clean

    def slots(self, zone: str, first: int, count: int) -> list[int]:
        """Grams a kWh x ms of running through each slot. What no span covers counts as the dirtiest span."""
        costs, known = [0] * count, [0] * count
        begin, end = first * SLOT_MS, (first + count) * SLOT_MS
        for span in self.spans.get(zone, ()):
            at, stop = max(span.from_ms, begin), min(span.to_ms, end)
            while at < stop:
                nth = at // SLOT_MS - first
                to = min(stop, (first + nth + 1) * SLOT_MS)
                costs[nth] += (to - at) * span.grams
                known[nth] += to - at
                at = to
        return [cost + (SLOT_MS - sure) * self.worst for cost, sure in zip(costs, known, strict=True)]


NEUTRAL_CURVE = CostCurve(0, {}, 0)


def active_schedule(view: View, at_ms: int) -> ActiveScheduleRow | None:
    """The agreed version, while its time lasts."""
    row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, "all")
    return row if row is not None and row.from_ms <= at_ms < row.until_ms else None


def active_curve(view: View, at_ms: int) -> CostCurve:
    row = active_schedule(view, at_ms)
    if row is None:
        return NEUTRAL_CURVE
    spans: dict[str, list[IntensityRow]] = {}
    for key, span in view.rows(SCHEDULE_INTERVALS, version_key(row.version) + "/"):
        spans.setdefault(key.split("/")[1], []).append(span)
    worst = max((span.grams for some in spans.values() for span in some), default=0)
    return CostCurve(row.version, {zone: tuple(some) for zone, some in spans.items()}, worst)


def describe_schedule(view: View, at_ms: int) -> str:
    """What stands before a reason: the version gone by, or why there is none."""
    row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, "all")
    if row is None:
        return "no schedule"
    if at_ms < row.from_ms:
        return f"schedule {row.version} begins at {format_time(row.from_ms)}, all zones alike"
    if at_ms >= row.until_ms:
        return f"schedule {row.version} {row.reason or 'expired'}, all zones alike"
    return f"schedule {row.version}"


def format_time(ms: int) -> str:
    return (datetime(1970, 1, 1, tzinfo=UTC) + timedelta(milliseconds=ms)).strftime("%Y-%m-%dT%H:%M:%SZ")


def schedule_digest(version: int, zones: Sequence[tuple[str, int]], spans: Spans) -> str:
    """Of a whole version, whatever parts and order it came in."""
    whole: Any = [version, sorted(zones), sorted(spans)]
    return hashlib.sha256(msgspec.msgpack.encode(whole)).hexdigest()


def schedule_errors(zones: Sequence[str], spans: Spans) -> Iterator[tuple[int, str]]:
    """All that no schedule may have, with the span's place among `spans` (-1: the whole).

    Each zone's spans come in the order of time, without gap or overlap, and all zones cover the same time:
    else they could not be compared in all of it.
    """
    last: dict[str, int] = {}
    first: dict[str, int] = {}
    seen: dict[tuple[str, int, int, int], int] = {}
    for nth, (zone, from_ms, to_ms, grams) in enumerate(spans):
        if zone not in zones:
            yield nth, f"zone {zone!r} is not known; {', '.join(zones) or 'none'} are allowed"
            continue
        if (zone, from_ms, to_ms, grams) in seen:
            yield nth, f"the same row stands twice ({format_time(from_ms)} to {format_time(to_ms)})"
            continue
        seen[zone, from_ms, to_ms, grams] = nth
        if not 0 <= grams <= MAX_GRAMS_PER_KWH:
            yield nth, f"{grams} g a kWh; 0 to {MAX_GRAMS_PER_KWH} are allowed"
        if not 0 <= from_ms < to_ms <= MAX_TIME_MS or to_ms - from_ms > MAX_INTERVAL_MS:
            yield nth, f"from {format_time(from_ms)} to {format_time(to_ms)}; over 0 and up to 31 days are allowed"
            continue
        begun = last.get(zone)
        if begun is not None and from_ms != begun:
            yield nth, _misfit(zone, spans, nth, begun)
        first.setdefault(zone, from_ms)
        last[zone] = max(to_ms, begun or 0)
    if len(spans) > MAX_INTERVALS:
        yield -1, f"{len(spans)} rows; up to {MAX_INTERVALS} are allowed"
    for zone in zones:
        if zone not in first:
            yield -1, f"zone {zone!r} has no rows"
        elif (first[zone], last[zone]) != (min(first.values()), max(last.values())):
            mine, whole = (first[zone], last[zone]), (min(first.values()), max(last.values()))
            yield (
                -1,
                (
                    f"zone {zone!r} covers {format_time(mine[0])} to {format_time(mine[1])}; all have to cover "
                    f"{format_time(whole[0])} to {format_time(whole[1])}"
                ),
            )


def _misfit(zone: str, spans: Spans, nth: int, begun: int) -> str:
    from_ms, to_ms = spans[nth][1:3]
    if from_ms > begun:
        return f"gap in zone {zone!r}: {format_time(begun)} to {format_time(from_ms)} (UTC) is not covered"
    if any(one[0] == zone and to_ms <= one[1] for one in spans[:nth]):
        return f"out of order in zone {zone!r}: {format_time(from_ms)} comes after later rows"
    return f"overlap in zone {zone!r}: from {format_time(from_ms)} (UTC), the row before lasts to {format_time(begun)}"
