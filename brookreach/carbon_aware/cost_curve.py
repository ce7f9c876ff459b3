"""The carbon cost of running in each zone and slot under the active schedule. Does no I/O.

Without an active schedule the curve is neutral: every zone and time costs 0, so no work waits or moves. A curve
never contains values of a version that is not committed or has expired.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from brookreach.carbon_aware.schedule import format_time
from brookreach.carbon_aware.tables import (
    ACTIVE_KEY,
    ACTIVE_SCHEDULE,
    SCHEDULE_INTERVALS,
    SLOT_MS,
    ActiveScheduleRow,
    IntensityRow,
    version_key,
)
from brookreach.coordination.state_machine.application import View


@dataclass(frozen=True, slots=True)
class CostCurve:
    """Carbon intensities per zone, in grams of CO2e per kWh.

    Attributes:
        version: Version of the schedule; 0: the curve is neutral.
        intervals: Intervals per zone, in order of time.
        highest_grams: The highest intensity of all intervals. Time that no interval covers costs as much, so that
            an unknown intensity does not look clean.
    """

    version: int
    intervals: Mapping[str, tuple[IntensityRow, ...]]
    highest_grams: int

    def slot_costs(self, zone: str, first_slot: int, count: int) -> list[int]:
        """Returns the cost of each of `count` slots from `first_slot` on, in grams per kWh times ms."""
        costs = [0] * count
        covered_ms = [0] * count
        start_ms = first_slot * SLOT_MS
        end_ms = (first_slot + count) * SLOT_MS
        for interval in self.intervals.get(zone, ()):
            time_ms = max(interval.from_ms, start_ms)
            until_ms = min(interval.to_ms, end_ms)
            while time_ms < until_ms:
                index = time_ms // SLOT_MS - first_slot
                next_ms = min(until_ms, (first_slot + index + 1) * SLOT_MS)
                costs[index] += (next_ms - time_ms) * interval.grams
                covered_ms[index] += next_ms - time_ms
                time_ms = next_ms
        return [
            cost + (SLOT_MS - covered) * self.highest_grams for cost, covered in zip(costs, covered_ms, strict=True)
        ]

    def mean_grams(self, intervals: Iterable[tuple[str, int, int]]) -> int:
        """Returns the mean grams per kWh over intervals, each a zone, its first slot and the slot after its last."""
        costs = [
            cost
            for zone, first_slot, end_slot in intervals
            for cost in self.slot_costs(zone, first_slot, end_slot - first_slot)
        ]
        return sum(costs) // (len(costs) * SLOT_MS)


NEUTRAL_CURVE = CostCurve(0, {}, 0)


def active_schedule(view: View, now_ms: int) -> ActiveScheduleRow | None:
    """Returns the committed schedule if it covers `now_ms`, else None."""
    row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
    if row is not None and row.from_ms <= now_ms < row.until_ms:
        return row
    return None


def active_version(view: View, now_ms: int) -> int:
    """Returns the version of the active schedule; 0: no schedule is active."""
    row = active_schedule(view, now_ms)
    return 0 if row is None else row.version


def active_curve(view: View, now_ms: int) -> CostCurve:
    """Returns the curve of the active schedule, or the neutral curve if none is active."""
    row = active_schedule(view, now_ms)
    if row is None:
        return NEUTRAL_CURVE
    intervals: dict[str, list[IntensityRow]] = {}
    for key, interval in view.rows(SCHEDULE_INTERVALS, version_key(row.version) + "/"):
        zone = key.split("/")[1]
        intervals.setdefault(zone, []).append(interval)
    by_zone = {zone: tuple(rows) for zone, rows in intervals.items()}
    highest_grams = max((interval.grams for rows in by_zone.values() for interval in rows), default=0)
    return CostCurve(row.version, by_zone, highest_grams)


def describe_schedule(view: View, now_ms: int) -> str:
    """Returns the first part of a placement's reason: the version in use, or why no schedule is active."""
    row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
    if row is None:
        return "no schedule"
    if now_ms < row.from_ms:
        return f"schedule {row.version} begins at {format_time(row.from_ms)}, all zones alike"
    if now_ms >= row.until_ms:
        return f"schedule {row.version} {row.end_reason or 'expired'}, all zones alike"
    return f"schedule {row.version}"
