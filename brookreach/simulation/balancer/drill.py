"""`brookreach drill balancer`: the soak of the balancer's real process, one scenario a seed, some side by side.

A seed gives the same scenario again, at the same real times; what processes and the machine do in between may differ.
With a planted defect the program is run from its sources, and the drill has to find it.
"""

from __future__ import annotations

import os
import shutil
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import anyio

from brookreach.simulation.balancer.checker import RULES, count_outcomes, find_violations
from brookreach.simulation.balancer.defects import DEFECTS
from brookreach.simulation.balancer.program import SOURCE_COMMAND, run_command
from brookreach.simulation.balancer.scenario import Scenario, plan_scenario
from brookreach.simulation.balancer.soak_run import SoakRun
from brookreach.simulation.report import Report, describe_error
from brookreach.simulation.seed_results import SeedResult, add_to_report, play_seeds

__all__ = ["DEFECTS", "run", "run_scenario"]

KEEP_LOGS_VARIABLE = "BROOKREACH_SOAK_LOGS"  # a folder in which the logs of failing seeds are kept


@dataclass(slots=True)
class SoakResult(SeedResult):
    """What one seed of the soak showed, with the figures of its process."""

    requests: int = 0
    attempts: int = 0
    refused_connections: int = 0
    slowest_start_s: float = 0.0
    stop_share: float = 0.0
    loop_delay_s: float = 0.0


def run_scenario(scenario: Scenario, command: str = "", defect: str = "") -> SoakResult:
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


def _judge(scenario: Scenario, soak_run: SoakRun) -> SoakResult:
    record = soak_run.record
    return SoakResult(
        scenario.seed,
        list(find_violations(scenario, record)),
        count_outcomes(scenario, record),
        held_up_s=record.held_up_s,
        requests=len(record.requests),
        attempts=len(record.attempts),
        refused_connections=record.refused_connections,
        slowest_start_s=max(record.ready_s, default=0.0),
        stop_share=record.ended_by_itself_s / scenario.kill_after_s,
        loop_delay_s=record.loop_delay_s,
    )


def _keep_log(folder: Path, seed: int) -> None:
    kept = os.environ.get(KEEP_LOGS_VARIABLE)
    if kept:
        Path(kept).mkdir(parents=True, exist_ok=True)
        shutil.copy(folder / "balancer.log", Path(kept) / f"seed-{seed}.log")


def _run_seed(seed: int, defect: str) -> SoakResult:
    try:
        return run_scenario(plan_scenario(seed), defect=defect)
    except Exception as error:  # any error is reported with its seed
        return SoakResult(seed, error=describe_error(error))


def _describe(seed: int) -> str:
    return plan_scenario(seed).describe()


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
    done: list[SoakResult] = []
    results = play_seeds(_run_seed, range(seed, seed + seeds), plant)
    for _ in report.iterate_seeds(progress):
        result = next(results)
        add_to_report(report, result, RULES, _describe)
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
