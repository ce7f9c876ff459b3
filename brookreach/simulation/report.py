"""The report of a drill: its figures, and violations that name the seed which reproduces them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any

DRILL_COMPLETES_RULE = "the drill reports"
"""Violated by a seed that ended by an error before its rules could be judged."""

MAX_VIOLATIONS = 20


class MissingReportError(Exception):
    """A drill, or a part of one, ended without a report.

    Attributes:
        part: The name of the drill or of its part.
    """

    def __init__(self, part: str, cause: str):
        super().__init__(f"{part} did not report: {cause}")
        self.part = part


@dataclass(frozen=True)
class Violation:
    """A rule that did not hold. `at_ms` is the time in the drill, virtual or real. The fields are printed as JSON."""

    rule: str
    case: str
    seed: int
    at_ms: float
    text: str


@dataclass
class Report:
    """The outcome of a drill.

    Attributes:
        drill: The name that users type.
        seed: The first seed.
        seeds: How many seeds are run, one after the other.
        injected_defect: The defect that the checkers have to find; empty for none.
        checked: By rule: how often it was checked.
        figures: What was measured, by the name that is printed.
        lines: A table for people, printed after the figures.
        violations: The first `max_violations` of them.
        omitted_violations: How many were found after these.
        max_violations: How many violations are kept.
    """

    drill: str
    seed: int
    seeds: int
    injected_defect: str = ""
    checked: dict[str, int] = field(default_factory=dict)
    figures: dict[str, Any] = field(default_factory=dict)  # any: printed as JSON, each drill has its own
    lines: list[str] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    omitted_violations: int = 0
    max_violations: int = MAX_VIOLATIONS

    @property
    def passed(self) -> bool:
        """Whether no rule was violated."""
        return not self.violations

    def record_check(self, rule: str, times: int = 1) -> None:
        """Count that a rule was checked, whatever came of it."""
        self.checked[rule] = self.checked.get(rule, 0) + times

    def add_violation(self, violation: Violation) -> None:
        """Keep a violation, or only count it if there are too many."""
        if len(self.violations) < self.max_violations:
            self.violations.append(violation)
        else:
            self.omitted_violations += 1

    def add_failed_seed(self, part: str, seed: int, error: BaseException) -> None:
        """Record that a part of this drill ended by an error instead of by its rules."""
        self.record_check(DRILL_COMPLETES_RULE)
        text = str(MissingReportError(part, describe_error(error)))
        self.add_violation(Violation(DRILL_COMPLETES_RULE, part, seed, 0.0, text))

    def iterate_seeds(self, progress: Callable[[int, int], None] | None) -> Iterator[int]:
        """Yield the seeds in order; with an injected defect it stops after the first seed that found it.

        Args:
            progress: Called after each seed with the number of seeds done and of all.
        """
        for index in range(self.seeds):
            yield self.seed + index
            if progress:
                progress(index + 1, self.seeds)
            if self.injected_defect and self.violations:
                return

    def as_dict(self) -> dict[str, Any]:
        """Return the object that `--json` prints."""
        return {
            "drill": self.drill,
            "seed": self.seed,
            "seeds": self.seeds,
            "plant": self.injected_defect,
            "checked": self.checked,
            "figures": self.figures,
            "lines": self.lines,
            "violations": [asdict(violation) for violation in self.violations],
            "more": self.omitted_violations,
            "most": self.max_violations,
            "good": self.passed,
        }

    def as_text(self) -> str:
        """Return the report for people, one fact a line."""
        title = f"drill {self.drill}, seeds {self.seed} to {self.seed + self.seeds - 1}"
        if self.injected_defect:
            title += f", planted: {self.injected_defect}"
        lines = [title]
        lines += [f"  {rule}: looked at {times} times" for rule, times in sorted(self.checked.items())]
        lines += [f"  {name}: {figure}" for name, figure in self.figures.items()]
        lines += self.lines
        lines += [
            f"BROKEN {violation.rule}: case {violation.case}, seed {violation.seed}, "
            f"{violation.at_ms:.0f} ms: {violation.text}"
            for violation in self.violations
        ]
        if self.omitted_violations:
            lines.append(f"and {self.omitted_violations} more")
        lines.append("all rules kept" if self.passed else "rules broken")
        return "\n".join(lines)


def describe_error(error: BaseException) -> str:
    """Describe an error in one line with the place where it was raised; of a group, all that it holds."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(describe_error(member) for member in error.exceptions)
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    place = ""
    if traceback is not None:
        place = f" (line {traceback.tb_lineno} of {traceback.tb_frame.f_code.co_filename})"
    return f"{type(error).__name__}: {error}{place}"


def run_concurrently(parts: Mapping[str, Callable[[], Report]], max_concurrent: int) -> dict[str, Future[Report]]:
    """Run drills in threads and return their outcomes by name, once all of them are over."""
    with ThreadPoolExecutor(max_workers=max(1, max_concurrent)) as threads:
        return {name: threads.submit(part) for name, part in parts.items()}


def require_report(outcomes: Mapping[str, Future[Report]], part: str) -> Report:
    """Return what a part reported.

    Raises:
        MissingReportError: The part ended by an error, or never ran.
    """
    outcome = outcomes.get(part)
    if outcome is None:
        raise MissingReportError(part, f"only {', '.join(sorted(outcomes)) or 'nothing'} was started")
    error = outcome.exception()
    if error is not None:
        raise MissingReportError(part, describe_error(error)) from error
    return outcome.result()
