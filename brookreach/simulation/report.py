"""What every drill gives back: figures, and violations that name the seed which shows them again."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import asdict, dataclass, field
from typing import Any

REPORTS = "the drill reports"  # the rule of a seed that ended by an error instead of by its rules


class NotReported(Exception):
    """A drill, or a part of one, that ended without a report. `part` is its name."""

    def __init__(self, part: str, why: str):
        super().__init__(f"{part} did not report: {why}")
        self.part = part


@dataclass(frozen=True)
class Violation:
    """A rule that did not hold. `at_ms` is the drill's own time."""

    rule: str
    case: str
    seed: int
    at_ms: float
    text: str


@dataclass
class Report:
    """One drill's outcome. Violations past `most` are counted only."""

    drill: str
    seed: int
    seeds: int
    plant: str = ""
    checked: dict[str, int] = field(default_factory=dict)  # by rule: how often it was looked at
    figures: dict[str, Any] = field(default_factory=dict)
    lines: list[str] = field(default_factory=list)  # a table, for people
    violations: list[Violation] = field(default_factory=list)
    more: int = 0
    most: int = 20

    def looked(self, rule: str, times: int = 1) -> None:
        self.checked[rule] = self.checked.get(rule, 0) + times

    def broken(self, violation: Violation) -> None:
        if len(self.violations) < self.most:
            self.violations.append(violation)
        else:
            self.more += 1

    def not_reported(self, part: str, seed: int, error: BaseException) -> None:
        """The part of this drill that ended by `error` breaks the rule that each reports."""
        self.looked(REPORTS)
        self.broken(Violation(REPORTS, part, seed, 0.0, str(NotReported(part, reason(error)))))

    def play(self, progress: Callable[[int, int], None] | None) -> Iterator[int]:
        """Its seeds in order; with a planted defect no more after the first that shows it."""
        for at in range(self.seeds):
            yield self.seed + at
            if progress:
                progress(at + 1, self.seeds)
            if self.plant and self.violations:
                return

    @property
    def good(self) -> bool:
        return not self.violations

    def told(self) -> dict[str, Any]:
        return asdict(self) | {"good": self.good}

    def text(self) -> str:
        lines = [
            f"drill {self.drill}, seeds {self.seed} to {self.seed + self.seeds - 1}"
            + (f", planted: {self.plant}" if self.plant else "")
        ]
        lines += [f"  {rule}: looked at {times} times" for rule, times in sorted(self.checked.items())]
        lines += [f"  {name}: {figure}" for name, figure in self.figures.items()]
        lines += self.lines
        lines += [
            f"BROKEN {one.rule}: case {one.case}, seed {one.seed}, {one.at_ms:.0f} ms: {one.text}"
            for one in self.violations
        ]
        if self.more:
            lines.append(f"and {self.more} more")
        return "\n".join([*lines, "all rules kept" if self.good else "rules broken"])


def reason(error: BaseException) -> str:
    """An error in one line; of a group all that it holds, each with the place where it was raised."""
    if isinstance(error, BaseExceptionGroup):
        return "; ".join(reason(one) for one in error.exceptions)
    at = error.__traceback__
    while at is not None and at.tb_next is not None:
        at = at.tb_next
    place = f" (line {at.tb_lineno} of {at.tb_frame.f_code.co_filename})" if at is not None else ""
    return f"{type(error).__name__}: {error}{place}"


def gathered(parts: Mapping[str, Callable[[], Report]], at_once: int) -> dict[str, Future[Report]]:
    """Each part's outcome by its name, once all are over; at most `at_once` run at the same time."""
    with ThreadPoolExecutor(max_workers=max(1, at_once)) as threads:
        return {name: threads.submit(part) for name, part in parts.items()}


def report_of(outcomes: Mapping[str, Future[Report]], part: str) -> Report:
    """What `part` reported; raises NotReported with its name where it ended by an error or never ran."""
    outcome = outcomes.get(part)
    if outcome is None:
        raise NotReported(part, f"only {', '.join(sorted(outcomes)) or 'nothing'} was started")
    error = outcome.exception()
    if error is not None:
        raise NotReported(part, reason(error)) from error
    return outcome.result()
