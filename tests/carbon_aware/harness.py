"""Helpers that build schedules, jobs and placements for the tests of carbon-aware scheduling."""

from __future__ import annotations

from brookreach.carbon_aware import commands, reservations, scheduler
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.placement import FlexibleJob, Placement
from brookreach.carbon_aware.schedule import IntensityInterval
from brookreach.coordination.state_machine.application import Command, Context, InMemoryView

HOUR_MS = 3_600_000
START_MS = 500_000 * HOUR_MS
OPERATOR = Context(7, START_MS, "anna", "operator", 1)
FREE = {"a": 10, "b": 10}


def hourly_intervals(**grams: list[int]) -> list[IntensityInterval]:
    """Returns consecutive hourly intervals from START_MS on, given the grams per kWh of each zone."""
    return [
        IntensityInterval(zone, START_MS + hour * HOUR_MS, START_MS + (hour + 1) * HOUR_MS, amount)
        for zone, amounts in grams.items()
        for hour, amount in enumerate(amounts)
    ]


def apply(view: InMemoryView, command: Command, context: Context = OPERATOR) -> None:
    view.apply_updates(APPLICATION.apply(view, command, context))


def with_schedule(version: int = 1, view: InMemoryView | None = None, **grams: list[int]) -> InMemoryView:
    """Commits a schedule to the view, or to a new one, and returns the view."""
    view = view or InMemoryView()
    for command in commands.upload_commands(version, tuple((zone, 100) for zone in grams), hourly_intervals(**grams)):
        apply(view, command)
    return view


def make_job(
    holder: str = "gang:x",
    work: float = 2,
    deadline: float = 12,
    current_zone: str = "",
    running_since: float = 0,
    capacity: int = 4,
    min_run: float = 1,
    migration_cost_min: int = 5,
) -> FlexibleJob:
    """Returns a job. Times are in hours, those of the deadline and the start counted from START_MS."""
    return FlexibleJob(
        holder=holder,
        capacity=capacity,
        work_ms=round(work * HOUR_MS),
        deadline_ms=START_MS + round(deadline * HOUR_MS),
        allowed_zones=(),
        migration_cost_ms=migration_cost_min * 60_000,
        min_run_ms=round(min_run * HOUR_MS),
        current_zone=current_zone,
        running_since_ms=START_MS + round(running_since * HOUR_MS),
    )


def place(view: InMemoryView, at_hour: float, job: FlexibleJob, free: dict[str, int]) -> Placement:
    """Requests a placement and reserves its intervals, as callers do."""
    now_ms = START_MS + round(at_hour * HOUR_MS)
    placement = scheduler.choose_placement(view, now_ms, job, free)
    view.apply_updates(reservations.reserve(view, now_ms, job.holder, job.capacity, placement.intervals))
    return placement
