"""The drill of canary analysis: rollouts in the model, each balancer wrapped by independent checkers.

The checkers look at what goes in and comes out of a balancer (`routing_rules`), and at its charts before and after each
event (`checked_balancer`). Over all seeds the error rates have to lie within the stated ones.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach import interface as ifc
from brookreach.model.case import CASES
from brookreach.model.experiment import interval
from brookreach.model.world import Wave
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report, Violation
from brookreach.simulation.verdict.checked_balancer import CheckedBalancer
from brookreach.simulation.verdict.defects import DEFECTS

__all__ = ["DEFECTS", "run"]

DRILL_CASES = ("good", "good-busy-0.8", "good-crawler", "good-restarts", "all+20", "scheda+36", "work-2.5")
ERROR_RATE_RULE = "error rates as stated"


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    names: tuple[str, ...] = DRILL_CASES,
    progress: Callable[[int, int], None] | None = None,
) -> Report:
    """Play rollouts and return the report; with a planted defect the run ends at the first seed that shows it.

    Args:
        seed: The first seed.
        seeds: How many seeds are played of each case.
        plant: The defect of `DEFECTS` to inject; empty for none.
        names: The cases.
        progress: Called with the seeds done and their number.
    """
    report = Report("verdict", seed, seeds, plant)
    errors: dict[str, list[bool]] = {}
    with inject_defect(DEFECTS, plant):
        for current_seed in report.iterate_seeds(progress):
            for name in names:
                errors.setdefault(name, []).append(_play_rollout(report, name, current_seed))
    _check_error_rates(report, errors)
    return report


def _play_rollout(report: Report, name: str, seed: int) -> bool:
    """Play one rollout under the rules; return whether its build was released or rejected wrongly."""
    case = CASES[name]

    def report_violation(rule: str, at_ms: float, text: str) -> None:
        report.add_violation(Violation(rule, name, seed, at_ms, text))

    def make_balancer(start: ifc.BalancerSettings) -> CheckedBalancer:
        return CheckedBalancer(start, report_violation, report.record_check)

    result = Wave(case, seed, make=make_balancer).run()
    return result.ended == ("released" if case.bad else "back")


def _check_error_rates(report: Report, errors: dict[str, list[bool]]) -> None:
    """Put the error rate of each case into the report; one that is clearly above the stated rate is a violation."""
    for name, wrong in errors.items():
        case = CASES[name]
        stated = case.miss if case.bad else case.false_alarm
        low, high = interval(sum(wrong), len(wrong))
        kind = "released" if case.bad else "sent back"
        report.figures[f"{name} {kind}"] = f"{sum(wrong)} of {len(wrong)} ({low:.3f} to {high:.3f})"
        report.record_check(ERROR_RATE_RULE)
        if low > stated:
            text = f"{sum(wrong)} of {len(wrong)} {kind}, stated {stated:g}"
            report.add_violation(Violation(ERROR_RATE_RULE, name, report.seed, 0.0, text))
