"""Flexible jobs under the scheduler and a virtual clock, for drills and measurements.

The model plays a simple caller of the scheduler: one state that all see, and jobs asked about at the edge of each
slot and at each arrival, those with most time first. What happened is kept as runs; the true intensities and
capacities stand in the scenario, apart from the replicated state. Figures from it are the model's.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from brookreach.carbon_aware import commands, reservations, schedule_file
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context, InMemoryView
from brookreach.simulation.carbon_aware.scenario import (
    DAY_MS,
    HOUR_MS,
    START_MS,
    Job,
    JobRun,
    Scenario,
    schedule_values,
)


@dataclass
class ActiveJob:
    """A job that has arrived and not finished. `remaining_ms` holds the load of one that was stopped."""

    job: Job
    remaining_ms: int
    run: JobRun | None = None

    def by_slack(self) -> tuple[int, str]:
        """Sorts jobs that may begin last first."""
        return self.remaining_ms - self.job.deadline_ms, self.job.name


@dataclass(frozen=True)
class Decision:
    """The zone that a job is to run in, and whether it runs there now. "": none has capacity."""

    zone: str
    runs_now: bool


Strategy = Callable[["Model", ActiveJob, int], Decision]
"""What a job is to do at a time in ms."""

Event = Callable[["Model", int], None]
"""What happens in the model at a time in ms."""


@dataclass
class Model:
    """One scenario under one strategy."""

    scenario: Scenario
    strategy: Strategy
    view: InMemoryView = field(default_factory=InMemoryView)
    runs: list[JobRun] = field(default_factory=list)
    active_jobs: dict[str, ActiveJob] = field(default_factory=dict)
    events: list[tuple[int, Event]] = field(default_factory=list)
    log_index: int = 0
    rejections: list[str] = field(default_factory=list)

    def apply(self, now_ms: int, command: Command, client: str, client_kind: str, session: int) -> bool:
        """Applies one command of the log; returns whether it was accepted."""
        self.log_index += 1
        context = Context(self.log_index, now_ms, client, client_kind, session)
        try:
            self.view.apply_updates(APPLICATION.apply(self.view, command, context))
        except CommandRejectedError as rejection:
            self.rejections.append(str(rejection))
            return False
        return True

    def upload(
        self,
        now_ms: int,
        version: int,
        offset_min: int,
        grams: Mapping[str, tuple[int, ...]],
        max_commands: int | None = None,
    ) -> None:
        """An operator uploads a schedule, or only the first `max_commands` of its commands."""
        values = schedule_values(version, offset_min, grams)
        schedule = schedule_file.parse_schedule(Path("drawn.toml"), values)
        upload = list(commands.upload_commands(schedule.version, schedule.zones, schedule.intervals))
        for command in upload[:max_commands]:
            self.apply(now_ms, command, f"operator-{version}", "operator", version)

    def run(self) -> None:
        """Runs until all jobs have finished and all events have happened, at most a day beyond the scenario."""
        arrivals = sorted(self.scenario.jobs, key=lambda job: (job.arrival_ms, job.name))
        last_ms = START_MS
        for now_ms in self._instants():
            self._advance_work(last_ms, now_ms)
            self.log_index += 1
            self.view.apply_updates(APPLICATION.advance_time(self.view, Context(self.log_index, now_ms, "", "", 0)))
            for event_ms, event in self.events:
                if event_ms == now_ms:
                    event(self, now_ms)
            while arrivals and arrivals[0].arrival_ms <= now_ms:
                job = arrivals.pop(0)
                self.active_jobs[job.name] = ActiveJob(job, job.work_ms)
            for active in sorted(self.active_jobs.values(), key=ActiveJob.by_slack):
                self._decide(active, now_ms)
            last_ms = now_ms
            no_events_remain = all(event_ms <= now_ms for event_ms, _ in self.events)
            if not arrivals and not self.active_jobs and no_events_remain:
                break

    def _instants(self) -> list[int]:
        """Returns the beginnings of slots, the arrivals and the events in order."""
        end_ms = START_MS + self.scenario.hours * HOUR_MS + DAY_MS
        instants = set(range(START_MS, end_ms, SLOT_MS))
        instants |= {job.arrival_ms for job in self.scenario.jobs}
        instants |= {event_ms for event_ms, _ in self.events}
        return sorted(instants)

    def _advance_work(self, last_ms: int, now_ms: int) -> None:
        for name, active in list(self.active_jobs.items()):
            if active.run is None:
                continue
            done_ms = min(active.remaining_ms, now_ms - last_ms)
            active.remaining_ms -= done_ms
            active.run.end_ms = last_ms + done_ms
            if active.remaining_ms <= 0:
                active.run.finished = True
                del self.active_jobs[name]
                self.view.apply_updates(reservations.release(self.view, name))

    def _decide(self, active: ActiveJob, now_ms: int) -> None:
        decision = self.strategy(self, active, now_ms)
        if active.run is not None and not (decision.runs_now and decision.zone == active.run.zone):
            active.run = None
            active.remaining_ms += active.job.migration_cost_ms
        if decision.runs_now and active.run is None:
            active.run = JobRun(active.job, decision.zone, now_ms, now_ms, finished=False)
            self.runs.append(active.run)
