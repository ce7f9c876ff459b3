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

from brookreach.carbon_aware.tables import CURRENT, SCHEDULES, SLOT_MS, CurrentRow, SpanRow, version_key
from brookreach.coordination.state_machine.application import View

MOST_GRAMS = 3000  # a kWh; the dirtiest plants stay under half of it
MOST_ZONES, MOST_SPANS = 64, 10_000
MOST_SPAN_MS = 31 * 86_400_000  # one value for longer is no schedule
MOST_MS = 4_102_444_800_000  # the year 2100

Spans = Sequence[tuple[str, int, int, int]]  # zone, from, to, grams


@dataclass(frozen=True, slots=True)
class Curve:
    version: int  # 0: neutral
    spans: Mapping[str, tuple[SpanRow, ...]]
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


NEUTRAL = Curve(0, {}, 0)


def in_force(view: View, at_ms: int) -> CurrentRow | None:
    """The agreed version, while its time lasts."""
    row: CurrentRow | None = view.get(CURRENT, "all")
    return row if row is not None and row.from_ms <= at_ms < row.until_ms else None


def curve(view: View, at_ms: int) -> Curve:
    row = in_force(view, at_ms)
    if row is None:
        return NEUTRAL
    spans: dict[str, list[SpanRow]] = {}
    for key, span in view.rows(SCHEDULES, version_key(row.version) + "/"):
        spans.setdefault(key.split("/")[1], []).append(span)
    worst = max((span.grams for some in spans.values() for span in some), default=0)
    return Curve(row.version, {zone: tuple(some) for zone, some in spans.items()}, worst)


def named(view: View, at_ms: int) -> str:
    """What stands before a reason: the version gone by, or why there is none."""
    row: CurrentRow | None = view.get(CURRENT, "all")
    if row is None:
        return "no schedule"
    if at_ms < row.from_ms:
        return f"schedule {row.version} begins at {told(row.from_ms)}, all zones alike"
    if at_ms >= row.until_ms:
        return f"schedule {row.version} {row.reason or 'expired'}, all zones alike"
    return f"schedule {row.version}"


def told(ms: int) -> str:
    return (datetime(1970, 1, 1, tzinfo=UTC) + timedelta(milliseconds=ms)).strftime("%Y-%m-%dT%H:%M:%SZ")


def digest(version: int, zones: Sequence[tuple[str, int]], spans: Spans) -> str:
    """Of a whole version, whatever parts and order it came in."""
    whole: Any = [version, sorted(zones), sorted(spans)]
    return hashlib.sha256(msgspec.msgpack.encode(whole)).hexdigest()


def flaws(zones: Sequence[str], spans: Spans) -> Iterator[tuple[int, str]]:
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
            yield nth, f"the same row stands twice ({told(from_ms)} to {told(to_ms)})"
            continue
        seen[zone, from_ms, to_ms, grams] = nth
        if not 0 <= grams <= MOST_GRAMS:
            yield nth, f"{grams} g a kWh; 0 to {MOST_GRAMS} are allowed"
        if not 0 <= from_ms < to_ms <= MOST_MS or to_ms - from_ms > MOST_SPAN_MS:
            yield nth, f"from {told(from_ms)} to {told(to_ms)}; over 0 and up to 31 days are allowed"
            continue
        begun = last.get(zone)
        if begun is not None and from_ms != begun:
            yield nth, _misfit(zone, spans, nth, begun)
        first.setdefault(zone, from_ms)
        last[zone] = max(to_ms, begun or 0)
    if len(spans) > MOST_SPANS:
        yield -1, f"{len(spans)} rows; up to {MOST_SPANS} are allowed"
    for zone in zones:
        if zone not in first:
            yield -1, f"zone {zone!r} has no rows"
        elif (first[zone], last[zone]) != (min(first.values()), max(last.values())):
            mine, whole = (first[zone], last[zone]), (min(first.values()), max(last.values()))
            yield (
                -1,
                (
                    f"zone {zone!r} covers {told(mine[0])} to {told(mine[1])}; all have to cover "
                    f"{told(whole[0])} to {told(whole[1])}"
                ),
            )


def _misfit(zone: str, spans: Spans, nth: int, begun: int) -> str:
    from_ms, to_ms = spans[nth][1:3]
    if from_ms > begun:
        return f"gap in zone {zone!r}: {told(begun)} to {told(from_ms)} (UTC) is not covered"
    if any(one[0] == zone and to_ms <= one[1] for one in spans[:nth]):
        return f"out of order in zone {zone!r}: {told(from_ms)} comes after later rows"
    return f"overlap in zone {zone!r}: from {told(from_ms)} (UTC), the row before lasts to {told(begun)}"
