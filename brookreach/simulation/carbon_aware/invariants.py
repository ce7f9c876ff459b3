"""Invariants of carbon-aware scheduling, checked on what happened: runs, capacities, true grams, calls by zone.

None reads the replicated state. In ample scenarios no job is ever short of capacity, so every stop, move and wait is
the scheduler's own decision and has to pay off. In tight ones the capacity is what is checked.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from brookreach.carbon_aware import zone_preference
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.simulation.carbon_aware.model import Model
from brookreach.simulation.carbon_aware.scenario import HOUR_MS, START_MS, ZONE_QUOTA_CALLS, Job, JobRun, Scenario
from brookreach.simulation.report import Report, Violation

MARSHALS = 12
MAX_CALLS = 30  # that a marshal asks for


@dataclass
class PublishedSchedule:
    """A schedule as its operator knows it: while it is active, and the true grams."""

    from_ms: int
    until_ms: int
    scenario: Scenario


class CallDistribution(NamedTuple):
    """Calls by zone that marshals sent together at a time, times `zone_preference.TOTAL_WEIGHT`."""

    time_ms: int
    by_zone: dict[str, int]


@dataclass
class DrillRun:
    """One seed: its model and what was generated for it."""

    seed: int
    model: Model
    ample: bool
    published: list[PublishedSchedule] = field(default_factory=list)
    distributions: list[CallDistribution] = field(default_factory=list)

    def schedule_at(self, time_ms: int) -> PublishedSchedule | None:
        """Returns the schedule that was active at a time."""
        active = (schedule for schedule in self.published if schedule.from_ms <= time_ms < schedule.until_ms)
        return next(active, None)


class Finding(NamedTuple):
    """Where an invariant did not hold."""

    time_ms: int
    text: str


Invariant = Callable[[DrillRun], Iterator[Finding]]


def check_invariants(run: DrillRun, report: Report) -> None:
    """Checks the invariants that hold in such a scenario and reports each violation."""
    invariants = INVARIANTS | AMPLE_INVARIANTS if run.ample else INVARIANTS
    case = "ample" if run.ample else "tight"
    for name, invariant in invariants.items():
        report.looked(name)
        for finding in invariant(run):
            report.broken(Violation(name, case, run.seed, finding.time_ms - START_MS, finding.text))


def _capacity_holds(run: DrillRun) -> Iterator[Finding]:
    """At no time flexible work takes more capacity than other work leaves."""
    job_runs = run.model.runs
    times = {job_run.start_ms for job_run in job_runs}
    for job_run in job_runs:
        first_edge_ms = (job_run.start_ms // SLOT_MS + 1) * SLOT_MS
        times |= set(range(first_edge_ms, job_run.end_ms, SLOT_MS))
    for time_ms in sorted(times):
        free = run.model.scenario.free_capacity(time_ms // SLOT_MS)
        for zone, in_use in _capacity_in_use(job_runs, time_ms).items():
            if in_use > free[zone]:
                yield Finding(time_ms, f"{in_use} taken in zone {zone}, {free[zone]} is free")
                return


def _capacity_in_use(job_runs: list[JobRun], time_ms: int) -> dict[str, int]:
    in_use: dict[str, int] = {}
    for job_run in job_runs:
        if job_run.start_ms <= time_ms < job_run.end_ms:
            in_use[job_run.zone] = in_use.get(job_run.zone, 0) + job_run.job.capacity
    return in_use


def _each_job_runs_once(run: DrillRun) -> Iterator[Finding]:
    """Each job runs in one place at a time, in a zone that it may use, until its work is done."""
    by_job: dict[str, list[JobRun]] = {}
    for job_run in run.model.runs:
        by_job.setdefault(job_run.job.name, []).append(job_run)
    for job in run.model.scenario.jobs:
        yield from _job_findings(job, by_job.get(job.name, []))


def _job_findings(job: Job, job_runs: list[JobRun]) -> Iterator[Finding]:
    for earlier, later in itertools.pairwise(job_runs):
        if later.start_ms < earlier.end_ms:
            yield Finding(later.start_ms, f"{job.name} runs twice")
    if any(job.zones and job_run.zone not in job.zones for job_run in job_runs):
        yield Finding(job_runs[0].start_ms, f"{job.name} runs outside {job.zones}")
    lost_ms = job.migration_cost_ms * max(0, len(job_runs) - 1)
    done_ms = sum(job_run.end_ms - job_run.start_ms for job_run in job_runs) - lost_ms
    if not job_runs or not job_runs[-1].finished or done_ms != job.work_ms:
        yield Finding(job.arrival_ms, f"{job.name} did {done_ms} of {job.work_ms} ms")


def _calls_within_quotas(run: DrillRun) -> Iterator[Finding]:
    """Beyond its usual share no zone gets more calls than its quota, but for rounding."""
    rounding = (MAX_CALLS + 1) * MARSHALS
    for time_ms, by_zone in run.distributions:
        usual_share = sum(by_zone.values()) // len(by_zone)
        for zone, calls in by_zone.items():
            beyond = calls - usual_share
            if beyond > ZONE_QUOTA_CALLS * zone_preference.TOTAL_WEIGHT + rounding:
                excess = beyond // zone_preference.TOTAL_WEIGHT
                yield Finding(time_ms, f"zone {zone} gets {excess} calls beyond its share of {ZONE_QUOTA_CALLS}")


def _deadlines_kept(run: DrillRun) -> Iterator[Finding]:
    for job_run in run.model.runs:
        late_ms = job_run.end_ms - job_run.job.deadline_ms
        if job_run.finished and late_ms > 0:
            yield Finding(job_run.end_ms, f"{job_run.job.name} late by {late_ms} ms")


def _minimum_run_kept(run: DrillRun) -> Iterator[Finding]:
    for job_run in run.model.runs:
        lasted_ms = job_run.end_ms - job_run.start_ms
        if not job_run.finished and lasted_ms < job_run.job.min_run_ms:
            yield Finding(job_run.end_ms, f"{job_run.job.name} left zone {job_run.zone} after {lasted_ms} ms")


def _neutral_without_schedule(run: DrillRun) -> Iterator[Finding]:
    """While no schedule is active, no job waits, pauses or moves."""
    idle_since_ms = {job.name: job.arrival_ms for job in run.model.scenario.jobs}
    for job_run in sorted(run.model.runs, key=lambda job_run: job_run.start_ms):
        name = job_run.job.name
        idle = range(idle_since_ms[name], job_run.start_ms, SLOT_MS)
        without_schedule = [time_ms for time_ms in idle if run.schedule_at(time_ms) is None]
        if without_schedule:
            waited = f"{name} waits until {job_run.start_ms - START_MS} ms for zone {job_run.zone}"
            yield Finding(without_schedule[0], waited)
        if not job_run.finished and run.schedule_at(job_run.end_ms) is None:
            yield Finding(job_run.end_ms, f"{name} leaves zone {job_run.zone}")
        idle_since_ms[name] = job_run.end_ms


def _waiting_pays(run: DrillRun) -> Iterator[Finding]:
    """A job that lived under one schedule cost no more than started at once in its cheapest zone."""
    for job in run.model.scenario.jobs:
        job_runs = [job_run for job_run in run.model.runs if job_run.job is job]
        schedule = run.schedule_at(job.arrival_ms)
        if schedule is None or not job_runs or job_runs[-1].end_ms > schedule.until_ms:
            continue
        scenario = schedule.scenario
        cost = sum(scenario.true_cost(job_run.zone, job_run.start_ms, job_run.end_ms) for job_run in job_runs)
        immediate = min(_immediate_cost(scenario, job, zone) for zone in job.zones or scenario.grams)
        tolerance = 2 * SLOT_MS * max(max(grams) for grams in scenario.grams.values())  # plans use whole slots
        if job.arrival_ms + job.work_ms <= schedule.until_ms and cost > immediate + tolerance:
            text = f"{job.name} cost {cost // HOUR_MS} g h a kW, {immediate // HOUR_MS} at once"
            yield Finding(job.arrival_ms, text)


def _immediate_cost(scenario: Scenario, job: Job, zone: str) -> int:
    return scenario.true_cost(zone, job.arrival_ms, job.arrival_ms + job.work_ms)


INVARIANTS: dict[str, Invariant] = {
    "room": _capacity_holds,
    "once each": _each_job_runs_once,
    "steered within the offer": _calls_within_quotas,
}
"""By the names that reports print; these hold in every scenario."""

AMPLE_INVARIANTS: dict[str, Invariant] = {
    "deadline": _deadlines_kept,
    "least stay": _minimum_run_kept,
    "neutral without a schedule": _neutral_without_schedule,
    "worth it": _waiting_pays,
}
"""These hold where capacity is never short."""
