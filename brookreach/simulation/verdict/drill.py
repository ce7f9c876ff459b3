"""The drill of the judging: waves in the model, each marshal wrapped by checkers of their own.

The checkers look at what goes in and comes out of a marshal, and at its charts before and after each event.
Rules of the charts: never under 0; thresholds by the stated rates, the marshals and the weights; no outcome
of the earlier build moves them; an error of the trial build lowers none, a good answer raises no failures.
Of the votes: back only from a chart at its threshold, on not before 3 s. Of the routing: exposure by window,
one final answer, drains, effects. Over all seeds: error rates within the stated ones.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach import interface as ifc
from brookreach.model.case import CASES
from brookreach.model.experiment import interval
from brookreach.model.world import Wave
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report, Violation
from brookreach.simulation.verdict.checked_balancer import Checked
from brookreach.simulation.verdict.defects import DEFECTS
from brookreach.simulation.verdict.routing_rules import Say

__all__ = ["DEFECTS", "run"]

DRILLED = ("good", "good-busy-0.8", "good-crawler", "good-restarts", "all+20", "scheda+36", "work-2.5")


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    names: tuple[str, ...] = DRILLED,
    progress: Callable[[int, int], None] | None = None,
) -> Report:
    """Play `seeds` waves of each case; with a planted defect it ends at the first seed that shows it."""
    report = Report("verdict", seed, seeds, plant)
    errors: dict[str, list[int]] = {}
    with inject_defect(DEFECTS, plant):
        for one in report.iterate_seeds(progress):
            for name in names:
                case = CASES[name]

                def say(rule: str, now: float, text: str, name: str = name, one: int = one) -> None:
                    report.add_violation(Violation(rule, name, one, now, text))

                def made(start: ifc.BalancerSettings, say: Say = say) -> Checked:
                    return Checked(start, say, report.record_check)

                out = Wave(case, one, make=made).run()
                wrong = out.ended == ("released" if case.bad else "back")
                errors.setdefault(name, []).append(wrong)
    _rates(report, errors)
    return report


def _rates(report: Report, errors: dict[str, list[int]]) -> None:
    for name, wrong in errors.items():
        case = CASES[name]
        stated = case.miss if case.bad else case.false_alarm
        low, high = interval(sum(wrong), len(wrong))
        kind = "released" if case.bad else "sent back"
        report.figures[f"{name} {kind}"] = f"{sum(wrong)} of {len(wrong)} ({low:.3f} to {high:.3f})"
        report.record_check("error rates as stated")
        if low > stated:
            report.add_violation(
                Violation(
                    "error rates as stated",
                    name,
                    report.seed,
                    0.0,
                    f"{sum(wrong)} of {len(wrong)} {kind}, stated {stated:g}",
                )
            )
