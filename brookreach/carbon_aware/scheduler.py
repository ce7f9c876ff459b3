"""Where and when flexible work runs: the decision that applications with jobs of their own ask for. No I/O.

A placement follows the active schedule, the capacity that others have reserved, and the free capacity that the
caller hands in. Disruption budgets, drains, caps, cold budgets, halts and work that is not flexible are known to the
caller alone: a zone that one of them closes is missing from `free`, or has capacity 0 there. No placement goes
beyond that.

Time is counted in whole slots from the current one, so the answer is the same for everyone who asks within a slot.
A reserved plan stands while its schedule is active and it still fits; another replaces it only where it saves
`MIN_SAVING_PERMILLE`. So curves that cross change nothing by themselves, and no job oscillates between zones.
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

MIN_SAVING_PERMILLE = 20  # of the grams still to come, that a change of plan has to save


def choose_placement(
    view: View,
    now_ms: int,
    job: FlexibleJob,
    free: Mapping[str, int],
    future_capacity: FutureCapacity | None = None,
) -> Placement:
    """Returns the placement with the least grams that keeps the deadline, the capacity and the minimum run.

    In the same command, the caller applies `reservations.reserve` with the placement's intervals beside its own
    changes, so that the next decision counts this one's capacity; as the job ends, `reservations.release`. Asked
    again while nothing has changed, it answers the same. Of several jobs, those with most time to their deadline
    come first: where capacity is short, they give way.

    Args:
        view: The replicated state.
        now_ms: The agreed time.
        job: As its owner knows it now.
        free: Capacity by zone for flexible work in all. What the job itself and other work with reservations hold
            is not subtracted, everything else is.
        future_capacity: The free capacity of later slots; by default that of now is taken to last.
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
    """Returns whether the reservation was made under the schedule that is active; without any, for running now."""
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
    """Returns how many slots are planned for: all zones count alike after the schedule's end."""
    slots_of_schedule = active.until_ms // SLOT_MS - request.slot
    useful_slots = slots_of_schedule + 2 * request.slots_needed + request.min_run_slots
    slots_reserved = reserved[-1].end_slot - request.slot if reserved else 0
    return min(request.slots_remaining, HORIZON_SLOTS, max(useful_slots, slots_reserved))
