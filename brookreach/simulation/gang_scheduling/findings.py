"""Where invariants leave what they found."""

from __future__ import annotations

from typing import Protocol

from brookreach.simulation.report import Report, Violation


class Findings(Protocol):
    """Takes how often an invariant was checked, and where it did not hold."""

    def checked(self, rule: str, times: int = 1) -> None:
        """Counts checks of an invariant."""
        ...

    def violated(self, rule: str, at_ms: float, text: str) -> None:
        """Takes a violation, at a moment of the cluster's clock."""
        ...


class ReportedFindings:
    """Findings of one seed in a drill's report."""

    def __init__(self, report: Report, seed: int) -> None:
        self._report = report
        self._seed = seed

    def checked(self, rule: str, times: int = 1) -> None:
        """Counts checks of an invariant."""
        self._report.looked(rule, times)

    def violated(self, rule: str, at_ms: float, text: str) -> None:
        """Adds a violation, which names the seed that shows it again."""
        self._report.broken(Violation(rule, "rough", self._seed, at_ms, text))


class CountedViolations:
    """Findings of which only the number of violations is wanted."""

    def __init__(self) -> None:
        self.count = 0

    def checked(self, rule: str, times: int = 1) -> None:
        """Ignores a check."""

    def violated(self, rule: str, at_ms: float, text: str) -> None:  # noqa: ARG002  as the protocol says
        """Counts a violation."""
        self.count += 1
