"""`brookreach drill balancer`: the soak of the balancer's real process, one scenario a seed, some side by side.

A seed gives the same scenario again, at the same real times; what processes and the machine do in between may differ.
With a planted defect the program is run from its sources, and the drill has to find it.
"""

from __future__ import annotations

import os
import shutil
import tempfile
from collections import Counter
from collections.abc import Callable, Generator
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from pathlib import Path

import anyio

from brookreach.simulation.balancer.checker import RULES, count_outcomes, find_violations
from brookreach.simulation.balancer.defects import DEFECTS
from brookreach.simulation.balancer.program import SOURCE_COMMAND, run_command
from brookreach.simulation.balancer.scenario import Scenario, plan_scenario
from brookreach.simulation.balancer.soak_run import SoakRun
from brookreach.simulation.processes.parent_death import end_with_parent
from brookreach.simulation.report import Report, Violation, describe_error

__all__ = ["DEFECTS", "run", "run_scenario"]

MAX_CONCURRENT = 4
SHOWN_TEXTS = 3  # of the violations of one rule on one seed
KEEP_LOGS_VARIABLE = "BROOKREACH_SOAK_LOGS"  # a folder in which the logs of failing seeds are kept


@dataclass(slots=True)
class SeedResult:
    """What one seed showed. `violations` are rules with texts, `outcomes` counts of requests by how they ended."""

    seed: int
    violations: list[tuple[str, str]] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    requests: int = 0
    attempts: int = 0
    refused_connections: int = 0
    slowest_start_s: float = 0.0
    stop_share: float = 0.0
    held_up_s: float = 0.0
    loop_delay_s: float = 0.0
    error: str = ""


def run_scenario(scenario: Scenario, command: str = "", defect: str = "") -> SeedResult:
    """Play one scenario and judge it.

    Args:
        scenario: What happens.
        command: What starts the balancer; the deploy file's `run` if empty.
        defect: A defect to plant; the program is then run from its sources.
    """
    command = SOURCE_COMMAND if defect else command or run_command()
    with tempfile.TemporaryDirectory(prefix="brookreach-soak-") as folder:
        soak_run = SoakRun(scenario, Path(folder), command, defect)
        anyio.run(soak_run.run)
        result = _judge(scenario, soak_run)
        if result.violations:
            _keep_log(Path(folder), scenario.seed)
    return result


def _judge(scenario: Scenario, soak_run: SoakRun) -> SeedResult:
    record = soak_run.record
    return SeedResult(
        scenario.seed,
        list(find_violations(scenario, record)),
        count_outcomes(scenario, record),
        len(record.requests),
        len(record.attempts),
        record.refused_connections,
        max(record.ready_s, default=0.0),
        record.ended_by_itself_s / scenario.kill_after_s,
        record.held_up_s,
        record.loop_delay_s,
    )


def _keep_log(folder: Path, seed: int) -> None:
    kept = os.environ.get(KEEP_LOGS_VARIABLE)
    if kept:
        Path(kept).mkdir(parents=True, exist_ok=True)
        shutil.copy(folder / "balancer.log", Path(kept) / f"seed-{seed}.log")


def _run_seed(seed: int, defect: str) -> SeedResult:
    try:
        return run_scenario(plan_scenario(seed), defect=defect)
    except Exception as error:  # any error is reported with its seed
        return SeedResult(seed, error=describe_error(error))


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
) -> Report:
    """Run the soak.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        plant: The name of a defect to plant.
        progress: Called after each seed with the seeds done and all.
    """
    report = Report("balancer", seed, seeds, plant)
    report.figures["started by"] = "the sources" if plant or run_command() == SOURCE_COMMAND else "the deploy file"
    totals: Counter[str] = Counter()
    done: list[SeedResult] = []
    results = _results(range(seed, seed + seeds), plant)
    for _ in report.iterate_seeds(progress):
        result = next(results)
        _add_to_report(report, result)
        totals.update(result.outcomes)
        totals.update({"attempts": result.attempts, "connections refused": result.refused_connections})
        done.append(result)
    results.close()
    report.figures.update(sorted(totals.items()))
    report.figures["longest stop, as a share of the time until the kill"] = round(
        max(one.stop_share for one in done), 3
    )
    report.figures["slowest start, s"] = round(max(one.slowest_start_s for one in done), 2)
    report.figures["held up by the machine, s"] = round(max(one.held_up_s for one in done), 3)
    report.figures["the drill's own delay, s"] = round(max(one.loop_delay_s for one in done), 3)
    return report


def _results(seeds: range, defect: str) -> Generator[SeedResult]:
    """Yield the results in the order of the seeds; some are run side by side, each in a process of its own."""
    context = get_context("spawn")
    workers = min(MAX_CONCURRENT, len(seeds))
    with ProcessPoolExecutor(workers, context, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
        futures: list[Future[SeedResult]] = [pool.submit(_run_seed, seed, defect) for seed in seeds]
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
    case = plan_scenario(result.seed).describe()
    by_rule = Counter(rule for rule, _ in result.violations)
    for rule, count in by_rule.items():
        texts = [text for broken, text in result.violations if broken == rule]
        shown = "; ".join(texts[:SHOWN_TEXTS])
        report.add_violation(Violation(rule, case, result.seed, 0.0, f"{count} times: {shown}"))
