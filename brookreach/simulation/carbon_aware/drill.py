"""The drill of carbon-aware scheduling: jobs, marshals and operators in the model, checked by `invariants`.

Each seed generates a scenario, schedules that replace each other and end, schedules that are uploaded only in part,
and marshals that ask for flexible calls. The drill never looks into the replicated state either.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from functools import partial

from brookreach.carbon_aware import commands, zone_preference
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.coordination.state_machine.application import Context
from brookreach.simulation.carbon_aware import strategies
from brookreach.simulation.carbon_aware.defects import DEFECTS
from brookreach.simulation.carbon_aware.invariants import (
    MARSHALS,
    MAX_CALLS,
    CallDistribution,
    DrillRun,
    PublishedSchedule,
    check_invariants,
)
from brookreach.simulation.carbon_aware.model import Model
from brookreach.simulation.carbon_aware.scenario import (
    HOUR_MS,
    SLOTS_PER_HOUR,
    START_MS,
    Scenario,
    generate_scenario,
)
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report

UTC_OFFSETS_MIN = (-420, 120, 330, 540)
CALL_REQUESTS = 16  # times that marshals ask for calls, every two hours
REPLACED_FRACTION = 0.6  # of the seeds, in which a schedule is replaced while jobs run
PARTIAL_UPLOAD_COMMANDS = 2
USUAL_SHARE = 100  # of each zone


def run_seed(seed: int) -> DrillRun:
    """Generates one seed and runs it."""
    random_source = random.Random(seed * 7919)
    ample = seed % 2 == 0
    scenario = generate_scenario(seed, ample)
    run = DrillRun(seed, Model(scenario, strategies.carbon_aware), ample)
    _publish(run, random_source, 2, START_MS, scenario)
    if random_source.random() < REPLACED_FRACTION:
        _publish_replacement(run, random_source)
    for version in (3, 5):
        _upload_opposite_partially(run, random_source, version)
    for index in range(CALL_REQUESTS):
        run.model.events.append((START_MS + index * 2 * HOUR_MS, lambda _model, now_ms: _request_calls(run, now_ms)))
    run.model.run()
    return run


def _publish(run: DrillRun, random_source: random.Random, version: int, start_ms: int, scenario: Scenario) -> None:
    """From `start_ms` on the schedule of `scenario` is active, and the one before no longer."""
    offset_min = random_source.choice(UTC_OFFSETS_MIN)
    if run.published:
        replaced = run.published[-1]
        replaced.until_ms = min(replaced.until_ms, start_ms)
    run.published.append(PublishedSchedule(start_ms, START_MS + scenario.hours * HOUR_MS, scenario))

    def upload(model: Model, now_ms: int) -> None:
        model.upload(now_ms, version, offset_min, scenario.grams)

    run.model.events.append((start_ms, upload))


def _publish_replacement(run: DrillRun, random_source: random.Random) -> None:
    """Replaces the schedule while jobs run by one that may end early."""
    scenario = run.model.scenario
    hours = random_source.choice((scenario.hours, scenario.hours - 30))
    other_grams = generate_scenario(run.seed + 100_000, run.ample).grams
    grams = {zone: (other_grams.get(zone) or scenario.grams[zone])[:hours] for zone in scenario.grams}
    start_ms = START_MS + random_source.randrange(SLOTS_PER_HOUR * (hours - 8)) * SLOT_MS
    replacement = Scenario(hours, grams, scenario.capacity, scenario.other_load, scenario.jobs)
    _publish(run, random_source, 4, start_ms, replacement)


def _upload_opposite_partially(run: DrillRun, random_source: random.Random, version: int) -> None:
    """An operator uploads a part of a schedule with the opposite intensities, before it would be too old."""
    opposite = {zone: tuple(700 - amount for amount in grams) for zone, grams in run.model.scenario.grams.items()}
    start_ms = START_MS + random_source.randrange(SLOTS_PER_HOUR * 12) * SLOT_MS + SLOT_MS
    if version > 4 or len(run.published) < 2 or start_ms < run.published[-1].from_ms:
        run.model.events.append((start_ms, partial(_upload_partially, version, opposite)))


def _upload_partially(version: int, grams: Mapping[str, tuple[int, ...]], model: Model, now_ms: int) -> None:
    model.upload(now_ms, version, 0, grams, max_commands=PARTIAL_UPLOAD_COMMANDS)


def _request_calls(run: DrillRun, now_ms: int) -> None:
    """Marshals ask for calls in the slot, then share theirs by the weights; one session ends in between."""
    model = run.model
    zones = tuple(model.scenario.grams)
    random_source = random.Random(run.seed + now_ms)
    calls = {f"m{index}": random_source.randint(1, MAX_CALLS) for index in range(MARSHALS)}
    for index, (marshal, calls_per_s) in enumerate(calls.items()):
        request = commands.RequestFlexibleCalls(now_ms // SLOT_MS, calls_per_s, zones)
        model.apply(now_ms, request, marshal, "marshal", index + 1)
        if index == MARSHALS // 2:  # what the first marshal held is for others again
            context = Context(model.log_index, now_ms, "m0", "marshal", 1)
            model.view.apply_updates(APPLICATION.end_session(model.view, context))
    sent = dict.fromkeys(zones, 0)
    usual_shares = dict.fromkeys(zones, USUAL_SHARE)
    for marshal, calls_per_s in calls.items():
        weights = zone_preference.zone_weights(model.view, now_ms, marshal, usual_shares, calls_per_s)
        for zone, weight in weights.items():
            sent[zone] += calls_per_s * weight
    run.distributions.append(CallDistribution(now_ms, sent))


def run(
    seed: int, seeds: int, plant: str = "", progress: Callable[[int, int], None] | None = None, processes: int = 0
) -> Report:
    """Runs one scenario a seed, or between processes of the program.

    Args:
        seed: The first one.
        seeds: How many; with an injected defect the drill ends at the first seed that shows it.
        plant: The name of an injected defect; "": none.
        progress: Called with the seeds that are done and all of them.
        processes: Nodes of the drill between processes; 0: the model.
    """
    if processes:
        from brookreach.simulation.carbon_aware import process_drill

        return process_drill.run(seed, seeds, processes, progress)
    report = Report("power", seed, seeds, plant)
    jobs = 0
    interruptions = 0
    late_starts = 0
    with inject_defect(DEFECTS, plant):
        for one_seed in report.iterate_seeds(progress):
            drill_run = run_seed(one_seed)
            check_invariants(drill_run, report)
            job_runs = drill_run.model.runs
            jobs += len(drill_run.model.scenario.jobs)
            interruptions += sum(not job_run.finished for job_run in job_runs)
            first_runs = {job_run.job.name: job_run for job_run in reversed(job_runs)}
            late_starts += sum(job_run.start_ms > job_run.job.arrival_ms for job_run in first_runs.values())
    report.figures = {"jobs": jobs, "moves and pauses": interruptions, "begun later": late_starts}
    return report
