"""The last outcomes of the baseline build, one method at a time, with which a candidate build is compared."""

from __future__ import annotations

from collections import deque
from typing import Final

BaselineOutcome = tuple[float, float, float, bool, bool]
"""Sent (ms), ended (ms), natural log of the normalised duration, whether it was an error, and whether a failure.

A late answer is a failure and no error.
"""
ENDED_MS: Final = 1  # indices into a `BaselineOutcome`: unpacking would convert all of its fields in the compiled form
LOG_DURATION: Final = 2
IS_ERROR: Final = 3
IS_FAILURE: Final = 4


class BaselineOutcomes:
    """A bounded history of one method's outcomes on the baseline build."""

    def __init__(self, capacity: int, min_outcomes: int, fresh_ms: float, max_age_ms: float) -> None:
        """Creates an empty history.

        Args:
            capacity: How many outcomes are kept at most.
            min_outcomes: How many outcomes a rate needs.
            fresh_ms: Older outcomes are used only until there are `min_outcomes`.
            max_age_ms: Outcomes older than this are not used at all.
        """
        self.outcomes: deque[BaselineOutcome] = deque(maxlen=capacity)
        self.min_outcomes = min_outcomes
        self.fresh_ms = fresh_ms
        self.max_age_ms = max_age_ms

    def error_rate(self) -> float:
        """Returns the share of errors, or 0 while there are too few outcomes to tell."""
        if len(self.outcomes) < self.min_outcomes:
            return 0.0
        return sum([outcome[IS_ERROR] for outcome in self.outcomes]) / len(self.outcomes)

    def recent(self, now: float) -> list[BaselineOutcome]:
        """Returns the newest outcomes, newest first: those of the same seconds as the candidate's."""
        recent: list[BaselineOutcome] = []
        for outcome in reversed(self.outcomes):
            is_old = now - outcome[ENDED_MS] > (self.fresh_ms if len(recent) >= self.min_outcomes else self.max_age_ms)
            if is_old or len(recent) == 2 * self.min_outcomes:
                break
            recent.append(outcome)
        return recent
