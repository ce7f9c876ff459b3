"""One placement request: its planning problem and the possible placements, in slots from the current one on."""

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
EARLIEST_START_SLOTS = 96  # a day; the start is searched over this plus twice the slots that the job needs
CONGESTION_PERMILLE = 50  # surcharge of a fully reserved slot, so that jobs with a nearly equal alternative avoid it
SPARE_SLOTS = 1  # left unused before the deadline, because the current slot may be nearly over


class _ImmediateRun(NamedTuple):
    """A candidate for a run as soon as possible. Candidates compare by their fields in order; the least is taken."""

    net_lost_ms: int  # work lost by moving, minus the length of the run
    cost: int  # mean cost of a slot
    negative_free: int
    zone_index: int
    end: int


class PlacementRequest:
    """A job together with the replicated state and the free capacity that its placement depends on.

    Attributes:
        slot: The current slot.
        zones: Zones that the job may use, its current zone first.
        slots_remaining: Slots before the deadline that a plan may use.
        slots_needed: Slots that the work takes without interruption.
        min_run_slots: Minimum length of a run in slots.
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
        """Returns the planning problem; `ignore_later_reservations` counts those of others in the current slot only."""
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
        """Returns whether a reserved plan still keeps capacity, deadline and minimum run, and does all of the work."""
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
        """Converts reserved intervals to runs of the planning problem."""
        return [
            Run(
                self.zones.index(interval.zone),
                interval.first_slot - self.slot,
                interval.end_slot - self.slot,
            )
            for interval in reserved
        ]

    def immediate_runs(self, problem: PlanningProblem) -> list[Run]:
        """Returns one run of all work from now on, in the current or else the cheapest zone: the baseline for plans."""
        if self.slots_needed > problem.slot_count:
            return []
        zones = range(len(self.zones)) if problem.current_zone is None else [problem.current_zone]
        candidates = [[Run(zone, 0, self.slots_needed)] for zone in zones]
        possible = [runs for runs in candidates if problem.cost(runs) < INFINITE_COST]
        return min(possible, key=problem.cost, default=[])

    def reserved_placement(self, reserved: tuple[ReservedInterval, ...]) -> Placement:
        """Returns the placement of a plan that is reserved already."""
        intervals = tuple(PlannedInterval(*interval[:3]) for interval in reserved)
        grams = [
            self._reserved_grams(interval.zone, slot)
            for interval in intervals
            for slot in range(interval.first_slot, interval.end_slot)
        ]
        return self._placement(intervals, sum(grams) // len(grams), "as planned, ")

    def new_placement(self, curve: CostCurve, plan: Sequence[Run], remark: str = "") -> Placement:
        """Returns the placement of a new plan."""
        intervals = tuple(
            PlannedInterval(self.zones[run.zone], run.first + self.slot, run.end + self.slot) for run in plan
        )
        return self._placement(intervals, curve.mean_grams(intervals), remark)

    def earliest_placement(self, curve: CostCurve, remark: str, *, is_late: bool) -> Placement:
        """Returns a placement that starts as soon as there is capacity.

        The current zone is preferred, then the zone in which capacity lasts longest.

        A job that would otherwise be late (`is_late`) ignores the later reservations of others and may overbook
        them. Plans that no longer fit are replaced when their owners ask again, as far as those have time.
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
                continue  # no capacity, or the run would be shorter than its minimum
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
        """Returns the number of slots until the current run reaches its minimum length."""
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
        """Returns the cost of each slot, with a surcharge for its reservations; None: too little capacity."""
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
        """Returns whether the total reserved in each slot of the interval, this job included, fits the capacity."""
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
