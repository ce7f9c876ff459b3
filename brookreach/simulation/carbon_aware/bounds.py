"""Grams for work done: ignoring carbon intensity, greedily, by the scheduler, and the least that is possible.

Figures are the model's. `python -m brookreach.simulation.carbon_aware.bounds --seeds 20`
"""

from __future__ import annotations

import json
import random
from dataclasses import dataclass
from typing import Any

import click

from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.simulation.carbon_aware import strategies
from brookreach.simulation.carbon_aware.lower_bound import least_grams
from brookreach.simulation.carbon_aware.model import Model, Strategy
from brookreach.simulation.carbon_aware.scenario import HOUR_MS, START_MS, JobRun, Scenario, generate_scenario

SCENARIO_HOURS = 66  # a day of arrivals, and the longest time to a deadline
SAMPLES_PER_SLOT = 3  # of other work, whose mean is what free capacity is counted by
LOAD_DEVIATION = 0.05  # of the mean
BOUND = "bound"
BLIND = "blind"
CHOSEN = "chosen"
FORESEEN = "chosen, room foreseen"
NO_FLEXIBLE_WORK = "no flexible work"


@dataclass(frozen=True)
class StrategyResult:
    """One strategy in one scenario.

    Attributes:
        grams: Of capacity times work, a kWh times ms.
        missed_deadlines: Of jobs that finished.
        displaced: Other work that found no capacity, in thousandths of a per cent.
        interruptions: Moves and pauses.
    """

    grams: int
    missed_deadlines: int
    displaced: int
    interruptions: int


@dataclass(frozen=True)
class _Compared:
    strategy: Strategy
    uses_schedule: bool


COMPARED = {
    BLIND: _Compared(strategies.carbon_aware, uses_schedule=False),
    "greedy": _Compared(strategies.greedy, uses_schedule=False),
    CHOSEN: _Compared(strategies.carbon_aware, uses_schedule=True),
    FORESEEN: _Compared(strategies.carbon_aware_with_forecast, uses_schedule=True),
}


def measure(scenario: Scenario, job_runs: list[JobRun], seed: int) -> StrategyResult:
    """Returns what the runs cost, and what they did to other work."""
    grams = sum(
        job_run.job.capacity * scenario.true_cost(job_run.zone, job_run.start_ms, job_run.end_ms)
        for job_run in job_runs
    )
    missed = sum(job_run.finished and job_run.end_ms > job_run.job.deadline_ms for job_run in job_runs)
    displaced = _displaced_fraction(scenario, job_runs, random.Random(seed))
    interruptions = sum(not job_run.finished for job_run in job_runs)
    return StrategyResult(grams, missed, round(100_000 * displaced), interruptions)


def _displaced_fraction(scenario: Scenario, job_runs: list[JobRun], random_source: random.Random) -> float:
    requested = 0.0
    displaced = 0.0
    for zone, load in scenario.other_load.items():
        for slot, mean in enumerate(load):
            for sample in range(SAMPLES_PER_SLOT):
                current = mean * (1.0 + LOAD_DEVIATION * random_source.gauss(0.0, 1.0))
                time_ms = START_MS + slot * SLOT_MS + (2 * sample + 1) * SLOT_MS // (2 * SAMPLES_PER_SLOT)
                in_use = sum(
                    job_run.job.capacity
                    for job_run in job_runs
                    if job_run.zone == zone and job_run.start_ms <= time_ms < job_run.end_ms
                )
                requested += current
                displaced += max(0.0, min(current, current + in_use - scenario.capacity))
    return displaced / requested


def compare(seed: int, percent: int, jobs: int) -> dict[str, StrategyResult] | None:
    """Returns each strategy's result; None: no plan of the scenario keeps all deadlines."""
    scenario = generate_scenario(seed, False, jobs, SCENARIO_HOURS, percent)
    least = least_grams(scenario)
    if least is None:
        return None
    results = {BOUND: StrategyResult(least, 0, 0, 0), NO_FLEXIBLE_WORK: measure(scenario, [], seed)}
    for name, compared in COMPARED.items():
        model = Model(scenario, compared.strategy)
        if compared.uses_schedule:
            model.upload(START_MS, 1, 60, scenario.grams)
        model.run()
        results[name] = measure(scenario, model.runs, seed)
    return results


def summarize(scenarios: list[dict[str, StrategyResult]]) -> dict[str, dict[str, Any]]:
    """Returns sums over the scenarios by strategy."""
    blind_grams = sum(results[BLIND].grams for results in scenarios)
    possible_saving = max(1, blind_grams - sum(results[BOUND].grams for results in scenarios))
    summary: dict[str, dict[str, Any]] = {}
    for name in (NO_FLEXIBLE_WORK, *COMPARED, BOUND):
        results = [by_strategy[name] for by_strategy in scenarios]
        grams = sum(result.grams for result in results)
        summary[name] = {
            "grams": grams // HOUR_MS,
            "missed": sum(result.missed_deadlines for result in results),
            "moves": sum(result.interruptions for result in results),
            "pushed, %": sum(result.displaced for result in results) / 1000 / max(1, len(scenarios)),
            "of the bound's saving": round((blind_grams - grams) / possible_saving, 4),
        }
    return summary


def saving_shares(scenarios: list[dict[str, StrategyResult]]) -> list[float]:
    """Returns the scheduler's share of the possible saving in the worst, the median and the best scenario."""
    shares = sorted(
        (results[BLIND].grams - results[CHOSEN].grams) / max(1, results[BLIND].grams - results[BOUND].grams)
        for results in scenarios
    )
    return [round(shares[index], 3) for index in (0, len(shares) // 2, -1)] if shares else []


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=20, show_default=True)
@click.option("--percent", default=150, show_default=True, help="Room, of what the jobs take in the mean.")
@click.option("--jobs", default=40, show_default=True)
def main(seed: int, seeds: int, percent: int, jobs: int) -> None:
    """One JSON object: sums over the seeds, and the share of the bound's saving by seed."""
    compared = [compare(one_seed, percent, jobs) for one_seed in range(seed, seed + seeds)]
    scenarios = [results for results in compared if results is not None]
    figures = {
        "worlds": len(scenarios),
        "left out": seeds - len(scenarios),
        "percent": percent,
        "jobs": jobs,
        "ways": summarize(scenarios),
        "by world: worst, median, best": saving_shares(scenarios),
    }
    click.echo(json.dumps(figures, indent=1))


if __name__ == "__main__":
    main()
