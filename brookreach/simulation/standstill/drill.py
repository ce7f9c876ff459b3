"""`brookreach drill standstill`: a balancer's process stands still while input comes from two sides, one run a seed.

Six seeds in a row meet each pair of inputs once; some runs go side by side. A seed gives the same scenario again, at
the same real times; what processes and the machine do in between may differ.
"""

from __future__ import annotations

import tempfile
from collections import Counter
from collections.abc import Callable
from pathlib import Path

import anyio

from brookreach.simulation.balancer.checker import count_outcomes
from brookreach.simulation.balancer.program import SOURCE_COMMAND, run_command
from brookreach.simulation.report import Report, describe_error
from brookreach.simulation.seed_results import SeedResult, add_to_report, play_seeds
from brookreach.simulation.standstill.checker import RULES, find_violations
from brookreach.simulation.standstill.defects import DEFECTS
from brookreach.simulation.standstill.run import StandstillRun
from brookreach.simulation.standstill.scenario import StandstillScenario, plan_standstill

__all__ = ["DEFECTS", "run", "run_scenario"]


def run_scenario(scenario: StandstillScenario, command: str = "", defect: str = "") -> SeedResult:
    """Play one scenario and judge it.

    Args:
        scenario: What happens.
        command: What starts the balancer; the deploy file's `run` if empty.
        defect: A defect to plant; the program is then run from its sources.
    """
    command = SOURCE_COMMAND if defect else command or run_command()
    with tempfile.TemporaryDirectory(prefix="brookreach-standstill-") as folder:
        played = StandstillRun(scenario, Path(folder), command, defect)
        anyio.run(played.run)
    return SeedResult(
        scenario.usual.seed,
        list(find_violations(played)),
        count_outcomes(scenario.usual, played.record),
        played.record.held_up_s,
    )


def _run_seed(seed: int, defect: str) -> SeedResult:
    try:
        return run_scenario(plan_standstill(seed), defect=defect)
    except Exception as error:  # any error is reported with its seed
        return SeedResult(seed, error=describe_error(error))


def _describe(seed: int) -> str:
    return plan_standstill(seed).describe()


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
) -> Report:
    """Run the drill.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        plant: The name of a defect to plant.
        progress: Called after each seed with the seeds done and all.
    """
    report = Report("standstill", seed, seeds, plant)
    report.figures["started by"] = "the sources" if plant or run_command() == SOURCE_COMMAND else "the deploy file"
    totals: Counter[str] = Counter()
    held_up_s = 0.0
    results = play_seeds(_run_seed, range(seed, seed + seeds), plant)
    for _ in report.iterate_seeds(progress):
        result = next(results)
        add_to_report(report, result, RULES, _describe)
        totals.update(result.outcomes)
        held_up_s = max(held_up_s, result.held_up_s)
    results.close()
    report.figures.update(sorted(totals.items()))
    report.figures["held up by the machine, s"] = round(held_up_s, 3)
    return report
