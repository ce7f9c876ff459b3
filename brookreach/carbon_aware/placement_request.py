"""One request for a placement, in slots counted from the current one: what the scheduler's decision is made of."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from typing import NamedTuple

from brookreach.carbon_aware.cost_curve import CostCurve, describe_schedule
from brookreach.carbon_aware.placement import FlexibleJob, FutureCapacity, Placement
from brookreach.carbon_aware.planning_problem import INFINITE_COST, PlanningProblem, Run, ceil_divide
from brookreach.carbon_aware.reservations import PlannedInterval, ReservedInterval, capacity_reserved_by_others
from brookreach.carbon_aware.schedule import format_time
from brookreach.carbon_aware.tables import (
    SLOT_MS,
    SLOT_RESERVATIONS,
    SLOT_TOTALS,
    SlotReservationRow,
    SlotTotalsRow,
    slot_reservation_key,
    slot_totals_key,
)
from brookreach.coordination.state_machine.application import View

HORIZON_SLOTS = 672  # a week
EARLIEST_START_SLOTS = 96  # a day, beyond twice the job's need, that a start is looked for in
CONGESTION_PERMILLE = 50  # dearer where all is reserved: jobs that do nearly as well elsewhere leave it to others
SPARE_SLOTS = 1  # before the deadline, that no plan counts on: the current one may be nearly over


class _ImmediateRun(NamedTuple):
    """A run as soon as possible; the least one is taken."""

    net_lost_ms: int  # work lost by moving, less the time that capacity lasts
    cost: int  # of a slot, on average
    negative_free: int
    zone_index: int
    end: int


class PlacementRequest:
    """A job with the state that it is placed in.

    Attributes:
        slot: The current one.
        zones: That the job may use, the current one first.
        slots_remaining: That a plan may use before the deadline.
        slots_needed: For the work without interruption.
        min_run_slots: How long a run lasts at least.
    """

    def __init__(
        self,
        view: View,
        now_ms: int,
        job: FlexibleJob,
        free: Mapping[str, int],
        future_capacity: FutureCapacity | None = None,
    ) -> None:
        self._view = view
        self._now_ms = now_ms
        self._job = job
        self._free = free
        self._future_capacity = future_capacity
        self.slot = now_ms // SLOT_MS
        self.zones = _usable_zones(job, free)
        self.slots_remaining = max(job.deadline_ms // SLOT_MS - SPARE_SLOTS - self.slot, 0)
        self.slots_needed = max(1, ceil_divide(job.work_ms, SLOT_MS))
        self.min_run_slots = max(1, min(ceil_divide(job.min_run_ms, SLOT_MS), self.slots_needed))
        self._locked_slots = self._remaining_locked_slots()

    def problem(self, curve: CostCurve, slot_count: int, *, ignore_later_reservations: bool = False) -> PlanningProblem:
        """Returns the planning problem of the next slots; with the option, others give way after this slot."""
        counted_slots = 1 if ignore_later_reservations else slot_count
        reserved = capacity_reserved_by_others(self._view, self._job.holder, self.slot, self.slot + counted_slots)
        costs = [self._zone_costs(curve, zone, slot_count, reserved) for zone in self.zones]
        current_zone = self._current_zone_index()
        return PlanningProblem(
            costs,
            self._job.work_ms,
            self._job.migration_cost_ms,
            self.min_run_slots,
            current_zone,
            0 if current_zone is None else self._locked_slots,
        )

    def fits(self, reserved: tuple[ReservedInterval, ...]) -> bool:
        """Returns whether a reserved plan still holds: capacity, deadline, minimum run and all of the work."""
        if not reserved or reserved[-1].end_slot > self.slot + self.slots_remaining:
            return False
        is_continued = (reserved[0].zone, reserved[0].first_slot) == (self._job.current_zone, self.slot)
        if self._locked_slots and self._job.current_zone in self.zones and not is_continued:
            return False
        if not all(self._has_capacity(interval) for interval in reserved):
            return False
        problem = PlanningProblem(
            (),
            self._job.work_ms,
            self._job.migration_cost_ms,
            self.min_run_slots,
            self._current_zone_index(),
        )
        return problem.capacity_ms(self.runs(reserved)) >= self._job.work_ms

    def runs(self, reserved: Sequence[ReservedInterval]) -> list[Run]:
        """Returns reserved intervals as runs of the planning problem."""
        return [
            Run(
                self.zones.index(interval.zone),
                interval.first_slot - self.slot,
                interval.end_slot - self.slot,
            )
            for interval in reserved
        ]

    def immediate_runs(self, problem: PlanningProblem) -> list[Run]:
        """Returns all work in one run from now on, in the current zone or the cheapest; a plan is compared to it."""
        if self.slots_needed > problem.slot_count:
            return []
        zones = range(len(self.zones)) if problem.current_zone is None else [problem.current_zone]
        candidates = [[Run(zone, 0, self.slots_needed)] for zone in zones]
        possible = [runs for runs in candidates if problem.cost(runs) < INFINITE_COST]
        return min(possible, key=problem.cost, default=[])

    def reserved_placement(self, reserved: tuple[ReservedInterval, ...]) -> Placement:
        """Returns the placement that a reserved plan stands for."""
        intervals = tuple(PlannedInterval(*interval[:3]) for interval in reserved)
        grams = [
            self._reserved_grams(interval.zone, slot)
            for interval in intervals
            for slot in range(interval.first_slot, interval.end_slot)
        ]
        return self._placement(intervals, sum(grams) // len(grams), "as planned, ")

    def new_placement(self, curve: CostCurve, plan: Sequence[Run], remark: str = "") -> Placement:
        """Returns the placement that a new plan stands for."""
        intervals = tuple(
            PlannedInterval(self.zones[run.zone], run.first + self.slot, run.end + self.slot) for run in plan
        )
        return self._placement(intervals, curve.mean_grams(intervals), remark)

    def earliest_placement(self, curve: CostCurve, remark: str, *, is_late: bool) -> Placement:
        """Returns a placement as soon as there is capacity: in the current zone, else where capacity lasts longest.

        A job that would be late otherwise reserves beside others. Their plans no longer fit then, and whichever of
        them has time makes another.
        """
        slot_count = min(HORIZON_SLOTS, 2 * self.slots_needed + EARLIEST_START_SLOTS)
        problem = self.problem(curve, slot_count, ignore_later_reservations=is_late)
        for first in range(slot_count):
            best = min(self._immediate_candidates(problem, first, is_late=is_late), default=None)
            if best is not None:
                return self.new_placement(curve, [Run(best.zone_index, first, best.end)], remark)
        reason = f"no room in {', '.join(self.zones) or 'any zone'}"
        next_slot_ms = (self.slot + 1) * SLOT_MS
        return Placement("", next_slot_ms, next_slot_ms, 0, reason, (), bool(self._job.current_zone))

    def _immediate_candidates(self, problem: PlanningProblem, first: int, *, is_late: bool) -> Iterator[_ImmediateRun]:
        last_end = min(problem.slot_count, first + self.slots_needed)
        for index, row in enumerate(problem.costs):
            end = first
            while end < last_end and row[end] is not None:
                end += 1
            length = end - first
            continues = index == problem.current_zone
            if not length or (length < self.min_run_slots and not continues and not is_late):
                continue  # no capacity, or it would have to leave before its minimum run
            lost_ms = 0 if continues or not self._job.current_zone else self._job.migration_cost_ms
            cost = sum(slot_cost or 0 for slot_cost in row[first:end]) // length
            yield _ImmediateRun(lost_ms - length * SLOT_MS, cost, -self._free[self.zones[index]], index, end)

    def _placement(self, intervals: tuple[PlannedInterval, ...], grams: int, remark: str) -> Placement:
        zone, first_slot, _ = intervals[0]
        runs_now = first_slot <= self.slot
        current_zone = self._job.current_zone
        start_ms = self._now_ms if runs_now else first_slot * SLOT_MS
        action = self._running_action(zone) if runs_now else self._waiting_action(zone, start_ms)
        price = f", {grams} g a kWh" if grams else ""
        return Placement(
            zone=zone,
            start_ms=start_ms,
            valid_until_ms=(self.slot + 1) * SLOT_MS,
            grams=grams,
            reason=f"{describe_schedule(self._view, self._now_ms)}: {remark}{action}{price}",
            intervals=intervals,
            is_interrupted=bool(current_zone) and not (runs_now and zone == current_zone),
        )

    def _running_action(self, zone: str) -> str:
        current_zone = self._job.current_zone
        if zone == current_zone:
            return f"stays in {zone}"
        return f"moves from {current_zone} to {zone}" if current_zone else f"starts in {zone}"

    def _waiting_action(self, zone: str, start_ms: int) -> str:
        verb = "pauses" if self._job.current_zone else "waits"
        return f"{verb} until {format_time(start_ms)}, then in {zone}"

    def _remaining_locked_slots(self) -> int:
        """Returns the slots until the current run has lasted its minimum."""
        if not self._job.current_zone:
            return 0
        locked_until_ms = self._job.running_since_ms + self._job.min_run_ms
        remaining = ceil_divide(locked_until_ms - self.slot * SLOT_MS, SLOT_MS)
        return min(max(0, remaining), self.slots_needed)

    def _current_zone_index(self) -> int | None:
        zone = self._job.current_zone
        return self.zones.index(zone) if zone in self.zones else None

    def _zone_costs(
        self, curve: CostCurve, zone: str, slot_count: int, reserved: Mapping[tuple[str, int], int]
    ) -> list[int | None]:
        """Returns what each slot costs, dearer the more is reserved in it; None where capacity is short."""
        costs: list[int | None] = []
        for slot, cost in enumerate(curve.slot_costs(zone, self.slot, slot_count), self.slot):
            load = reserved.get((zone, slot), 0)
            capacity = self._capacity(zone, slot)
            surcharge = cost * CONGESTION_PERMILLE * load * load // (1000 * max(1, capacity) ** 2)
            costs.append(cost + surcharge if load + self._job.capacity <= capacity else None)
        return costs

    def _capacity(self, zone: str, slot: int) -> int:
        if slot == self.slot or self._future_capacity is None:
            return self._free[zone]
        return self._future_capacity(zone, slot)

    def _has_capacity(self, interval: ReservedInterval) -> bool:
        """Returns whether all that is reserved beside the interval is still free."""
        if interval.zone not in self.zones or interval.amount != self._job.capacity:
            return False
        for slot in range(interval.first_slot, interval.end_slot):
            total: SlotTotalsRow | None = self._view.get(SLOT_TOTALS, slot_totals_key(slot, interval.zone))
            if total is None or total.capacity > self._capacity(interval.zone, slot):
                return False
        return True

    def _reserved_grams(self, zone: str, slot: int) -> int:
        key = slot_reservation_key(zone, slot, self._job.holder)
        row: SlotReservationRow = self._view.get(SLOT_RESERVATIONS, key)
        return row.grams


def _usable_zones(job: FlexibleJob, free: Mapping[str, int]) -> list[str]:
    allowed = (zone for zone in free if not job.allowed_zones or zone in job.allowed_zones)
    return sorted(allowed, key=lambda zone: (zone != job.current_zone, zone))
