"""Seeds that are played side by side, each in a process of its own, and their results in a report."""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable, Generator, Iterable
from concurrent.futures import Future, ProcessPoolExecutor
from dataclasses import dataclass, field
from multiprocessing import get_context
from typing import TypeVar

from brookreach.simulation.processes.parent_death import end_with_parent
from brookreach.simulation.report import Report, Violation

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


Result = TypeVar("Result", bound=SeedResult)


def play_seeds(play: Callable[[int, str], Result], seeds: range, defect: str) -> Generator[Result]:
    """Yield the results in the order of the seeds; some are run side by side.

    Args:
        play: Plays one seed with a planted defect; a function of a module, as processes take it by its name.
        seeds: The seeds.
        defect: The name of the defect; empty for none.
    """
    context = get_context("spawn")
    workers = min(MAX_CONCURRENT, len(seeds))
    with ProcessPoolExecutor(workers, context, initializer=end_with_parent, initargs=(os.getpid(),)) as pool:
        futures: list[Future[Result]] = [pool.submit(play, seed, defect) for seed in seeds]
        try:
            for future in futures:
                yield future.result()
        finally:
            for future in futures:
                future.cancel()


def add_to_report(report: Report, result: SeedResult, rules: Iterable[str], describe: Callable[[int], str]) -> None:
    """Record that the rules were checked on a seed, and what broke them; `describe` words the scenario of a seed."""
    if result.error:
        report.add_failed_seed("the run", result.seed, RuntimeError(result.error))
        return
    for rule in rules:
        report.record_check(rule)
    case = describe(result.seed)
    for rule, count in Counter(rule for rule, _ in result.violations).items():
        texts = [text for broken, text in result.violations if broken == rule]
        shown = "; ".join(texts[:SHOWN_TEXTS])
        report.add_violation(Violation(rule, case, result.seed, 0.0, f"{count} times: {shown}"))
