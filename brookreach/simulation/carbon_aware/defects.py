"""Known defects of carbon-aware scheduling that the drill's invariants have to find."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from types import SimpleNamespace
from typing import Any

from brookreach.carbon_aware import cost_curve, placement_request, schedule_file, scheduler
from brookreach.carbon_aware.cost_curve import CostCurve
from brookreach.carbon_aware.placement_request import PlacementRequest
from brookreach.carbon_aware.tables import ACTIVE_KEY, ACTIVE_SCHEDULE, SCHEDULE_DRAFTS, SLOT_MS, ActiveScheduleRow
from brookreach.coordination.state_machine.application import View
from brookreach.simulation.defect import Plants

SLOTS_PER_DAY = 96

ActiveSchedule = Callable[[View, int], ActiveScheduleRow | None]


def _ignore_reservations(_correct: object) -> Callable[..., Mapping[tuple[str, int], int]]:
    """Makes a defect that counts no capacity reserved by others."""
    return lambda *_arguments: {}


def _use_drafts(correct: ActiveSchedule) -> ActiveSchedule:
    """Makes a defect by which the latest draft counts as active."""

    def latest_draft(view: View, now_ms: int) -> ActiveScheduleRow | None:
        for key, draft in reversed(list(view.rows(SCHEDULE_DRAFTS))):
            return ActiveScheduleRow(int(key), draft.digest, draft.until_ms, 0, draft.operator, draft.from_ms)
        return correct(view, now_ms)

    return latest_draft


class _RepeatingCurve(CostCurve):
    """A curve whose last day comes again and again after its end."""

    def slot_costs(self, zone: str, first_slot: int, count: int) -> list[int]:
        end_slot = max(row.to_ms for rows in self.intervals.values() for row in rows) // SLOT_MS
        costs: list[int] = []
        for slot in range(first_slot, first_slot + count):
            days_beyond = max(0, slot - end_slot + SLOTS_PER_DAY) // SLOTS_PER_DAY
            costs += super().slot_costs(zone, slot - days_beyond * SLOTS_PER_DAY, 1)
        return costs


def _never_expire(correct: Any) -> SimpleNamespace:  # Any: the module, whose functions are called
    """Makes a defect by which the scheduler does not see that a schedule has ended."""

    def last_row(view: View, _now_ms: int) -> ActiveScheduleRow | None:
        row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
        return row

    def repeating_curve(view: View, now_ms: int) -> CostCurve:
        until_ms = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY).until_ms
        curve = correct.active_curve(view, min(now_ms, until_ms - 1))
        return _RepeatingCurve(curve.version, curve.intervals, curve.highest_grams)

    return SimpleNamespace(**{**vars(correct), "active_curve": repeating_curve, "active_schedule": last_row})


class _RestlessRequest(PlacementRequest):
    """A request without a minimum run."""

    def __init__(self, *arguments: Any) -> None:  # Any: handed on as they come
        super().__init__(*arguments)
        self.min_run_slots = 1
        self._locked_slots = 0


def _ignore_minimum_run(_correct: object) -> type[PlacementRequest]:
    """Makes a defect by which a run may end at any time."""
    return _RestlessRequest


def _ignore_offsets(correct: Callable[[object], int]) -> Callable[[object], int]:
    """Makes a defect that reads local times as UTC."""

    def parse_as_utc(value: object) -> int:
        return correct(value[:19] + "+00:00") if isinstance(value, str) else correct(value)

    return parse_as_utc


DEFECTS: Plants = {
    "uncounted": (placement_request, "capacity_reserved_by_others", _ignore_reservations),
    "half-sent": (cost_curve, "active_schedule", _use_drafts),
    "expired": (scheduler, "cost_curve", _never_expire),
    "restless": (scheduler, "PlacementRequest", _ignore_minimum_run),
    "offset-ignored": (schedule_file, "parse_time", _ignore_offsets),
}
