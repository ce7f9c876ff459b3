"""`brookreach drill standstill`: a balancer's process stands still while input comes from two sides, one run a seed.

Six seeds in a row meet each pair of inputs once; some runs go side by side. A seed gives the same scenario again, at
the same real times; what processes and the machine do in between may differ.
"""

from __future__ import annotations

import os
import tempfile
from collections import Counter
from collections.abc import Callable, Generator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

import anyio

from brookreach.simulation.balancer.checker import count_outcomes
from brookreach.simulation.balancer.program import SOURCE_COMMAND, run_command
from brookreach.simulation.processes.parent_death import end_with_parent
from brookreach.simulation.report import Report, Violation, describe_error
from brookreach.simulation.standstill.checker import RULES, find_violations
from brookreach.simulation.standstill.defects import DEFECTS
from brookreach.simulation.standstill.run import StandstillRun
from brookreach.simulation.standstill.scenario import StandstillScenario, plan_standstill

__all__ = ["DEFECTS", "run", "run_scenario"]

MAX_CONCURRENT = 4
SHOWN_TEXTS = 3  # of the violations of one rule on one seed


@dataclass(slots=True)
class SeedResult:
    """What one seed showed. `violations` are rules with texts, `outcomes` counts of requests by how they ended."""

    seed: int
    violations: list[tuple[str, str]] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    held_up_s: float = 0.0
    error: str = ""


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
    results = _results(range(seed, seed + seeds), plant)
    for _ in report.iterate_seeds(progress):
        result = next(results)
        _add_to_report(report, result)
        totals.update(result.outcomes)
        held_up_s = max(held_up_s, result.held_up_s)
    results.close()
    report.figures.update(sorted(totals.items()))
    report.figures["held up by the machine, s"] = round(held_up_s, 3)
    return report


def _results(seeds: range, defect: str) -> Generator[SeedResult]:
    """Yield the results in the order of the seeds; each runs in a process of its own."""
    workers = min(MAX_CONCURRENT, len(seeds))
    context = get_context("spawn")
    with ProcessPoolExecutor(workers, context, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
        futures = [pool.submit(_run_seed, seed, defect) for seed in seeds]
        try:
            for future in futures:
                yield future.result()
        finally:
            for future in futures:
                future.cancel()


def _add_to_report(report: Report, result: SeedResult) -> None:
    if result.error:
        report.add_failed_seed("the run", result.seed, RuntimeError(result.error))
        return
    for rule in RULES:
        report.record_check(rule)
    case = plan_standstill(result.seed).describe()
    for rule, count in Counter(rule for rule, _ in result.violations).items():
        texts = [text for broken, text in result.violations if broken == rule]
        shown = "; ".join(texts[:SHOWN_TEXTS])
        report.add_violation(Violation(rule, case, result.seed, 0.0, f"{count} times: {shown}"))
