"""Decides where and when flexible jobs run, for applications that own such jobs. Does no I/O.

A placement depends on the active schedule, the capacity that others have reserved, and the free capacity that the
caller passes in. Only the caller knows disruption budgets, drains, caps, cold budgets, halts and work that is not
flexible: a zone that one of them closes is missing from `free` or has capacity 0 there. No placement exceeds `free`.

Time is counted in whole slots from the current one, so all requests within a slot get the same answer. A reserved
plan is kept while its schedule is active and it still fits. Under a new schedule, a plan that still fits is replaced
only by one that saves more than `MIN_SAVING_PERMILLE`, so that jobs do not oscillate between zones whose curves
cross.
"""

from __future__ import annotations

from collections.abc import Mapping

from brookreach.carbon_aware import cost_curve
from brookreach.carbon_aware.placement import FlexibleJob, FutureCapacity, Placement
from brookreach.carbon_aware.placement_request import HORIZON_SLOTS, PlacementRequest
from brookreach.carbon_aware.planner import cheapest_plan
from brookreach.carbon_aware.planning_problem import Run
from brookreach.carbon_aware.reservations import ReservedInterval, upcoming_intervals
from brookreach.carbon_aware.tables import RESERVATIONS, SLOT_MS, ActiveScheduleRow, ReservationRow
from brookreach.coordination.state_machine.application import View

MIN_SAVING_PERMILLE = 20  # of the remaining cost; a new plan has to save more than this


def choose_placement(
    view: View,
    now_ms: int,
    job: FlexibleJob,
    free: Mapping[str, int],
    future_capacity: FutureCapacity | None = None,
) -> Placement:
    """Returns the placement with the lowest emissions found that keeps the deadline, the capacity and the minimum run.

    In the same command, the caller applies `reservations.reserve` with the placement's intervals together with its
    own changes, so that the next decision counts this job's capacity. When the job ends, the caller applies
    `reservations.release`. Repeated requests return the same placement while nothing has changed. Of several jobs,
    callers place those with the most time before their deadline first: these give way where capacity is short.

    Args:
        view: The replicated state.
        now_ms: The agreed time.
        job: The job in its current state.
        free: Total capacity per zone for flexible work. Capacity in use by the job itself and by other work with
            reservations is not subtracted, everything else is.
        future_capacity: Free capacity of later slots; by default it is assumed to stay as it is now.
    """
    request = PlacementRequest(view, now_ms, job, free, future_capacity)
    active = cost_curve.active_schedule(view, now_ms)
    reservation: ReservationRow | None = view.get(RESERVATIONS, job.holder)
    reserved: tuple[ReservedInterval, ...] = ()
    if reservation is not None and not reservation.is_calls:
        reserved = upcoming_intervals(reservation.intervals, request.slot)
    if not request.fits(reserved):
        reserved = ()
    if reservation is not None and reserved and _is_current(reservation, reserved, active, request.slot):
        return request.reserved_placement(reserved)
    curve = cost_curve.active_curve(view, now_ms)
    has_time = request.slots_remaining * SLOT_MS >= job.work_ms
    if active is None:
        return request.earliest_placement(curve, "", is_late=not has_time)
    if not has_time:
        return request.earliest_placement(curve, "no time to wait, ", is_late=True)
    return _planned_placement(request, curve, active, reserved)


def _is_current(
    reservation: ReservationRow, reserved: tuple[ReservedInterval, ...], active: ActiveScheduleRow | None, slot: int
) -> bool:
    """Returns whether the reservation was made under the active schedule; if none is active, whether it runs now."""
    if active is None:
        return reservation.schedule_version == 0 and reserved[0].first_slot == slot
    return reservation.schedule_version == active.version


def _planned_placement(
    request: PlacementRequest,
    curve: cost_curve.CostCurve,
    active: ActiveScheduleRow,
    reserved: tuple[ReservedInterval, ...],
) -> Placement:
    horizon = _horizon(request, active, reserved)
    problem = request.problem(curve, horizon)
    plan = cheapest_plan(problem)
    if plan is None:
        return request.earliest_placement(curve, "no room for a plan, ", is_late=True)
    baseline: list[Run] = request.runs(reserved) if reserved else request.immediate_runs(problem)
    if baseline and problem.cost(baseline) * (1000 - MIN_SAVING_PERMILLE) <= problem.cost(plan) * 1000:
        plan = baseline
    return request.new_placement(curve, plan)


def _horizon(request: PlacementRequest, active: ActiveScheduleRow, reserved: tuple[ReservedInterval, ...]) -> int:
    """Returns the number of slots to plan for, which is bounded because all zones cost the same after the schedule."""
    slots_of_schedule = active.until_ms // SLOT_MS - request.slot
    useful_slots = slots_of_schedule + 2 * request.slots_needed + request.min_run_slots
    slots_reserved = reserved[-1].end_slot - request.slot if reserved else 0
    return min(request.slots_remaining, HORIZON_SLOTS, max(useful_slots, slots_reserved))
