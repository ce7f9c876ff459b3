"""Ways to place the model's jobs: by the scheduler, and a greedy one to compare it with."""

from __future__ import annotations

from brookreach.carbon_aware import reservations, scheduler
from brookreach.carbon_aware.placement import FlexibleJob, FutureCapacity
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.simulation.carbon_aware.model import ActiveJob, Decision, Model


def carbon_aware(
    model: Model, active: ActiveJob, now_ms: int, future_capacity: FutureCapacity | None = None
) -> Decision:
    """Follows the scheduler. Where no schedule was uploaded, this ignores carbon intensity."""
    job = active.job
    run = active.run
    request = FlexibleJob(
        holder=job.name,
        capacity=job.capacity,
        work_ms=active.remaining_ms,
        deadline_ms=job.deadline_ms,
        allowed_zones=job.zones,
        migration_cost_ms=job.migration_cost_ms,
        min_run_ms=job.min_run_ms,
        current_zone=run.zone if run else "",
        running_since_ms=run.start_ms if run else 0,
    )
    free = model.scenario.free_capacity(now_ms // SLOT_MS)
    placement = scheduler.choose_placement(model.view, now_ms, request, free, future_capacity)
    updates = reservations.reserve(model.view, now_ms, job.name, job.capacity, placement.intervals)
    model.view.apply_updates(updates)
    return Decision(placement.zone, bool(placement.zone) and placement.start_ms <= now_ms)


def carbon_aware_with_forecast(model: Model, active: ActiveJob, now_ms: int) -> Decision:
    """Follows the scheduler for a caller that knows the course of other work."""
    return carbon_aware(model, active, now_ms, lambda zone, slot: model.scenario.free_capacity(slot)[zone])


def greedy(model: Model, active: ActiveJob, now_ms: int) -> Decision:
    """Takes the cleanest zone of the hour with capacity for the job alone: what each job would do by itself."""
    job = active.job
    free = model.scenario.free_capacity(now_ms // SLOT_MS)
    zones = [zone for zone in sorted(free) if (not job.zones or zone in job.zones) and free[zone] >= job.capacity]
    if not zones:
        return Decision("", runs_now=False)
    cleanest = min(zones, key=lambda zone: (model.scenario.true_cost(zone, now_ms, now_ms + 1), zone))
    return Decision(cleanest, runs_now=True)
