"""The rules that the coordination service must keep, and a record of how they were kept in one run."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """A rule by the text that reports print."""

    ONE_ENTRY_PER_INDEX = "one record a place"
    SAME_STATE_AT_INDEX = "same state at one place"
    CACHES_MATCH_STATE = "mirrors are the state"
    ONE_VOTE_PER_TERM = "one vote a term"
    ONE_LEADER_PER_TERM = "one leader a term"
    NO_EARLY_ACKNOWLEDGEMENT = "nobody says done before it is"
    ONE_REPLY_PER_REQUEST = "one answer a question"
    ACKNOWLEDGED_IS_DURABLE = "no acknowledged record lost"
    READS_ARE_FRESH = "reads are fresh"
    READS_MATCH_STATE = "rows read are the state"
    ONE_HOLDER = "one holder at an instant"
    NO_PROCESS_FAILS = "no process gone"
    GROUP_MAKES_PROGRESS = "the group goes on"
    ALL_CATCH_UP = "all come along"
    FULL_QUEUE_IS_REPORTED = "a full queue says so"
    COMMANDS_APPLY_ONCE = "records apply once"
    FENCES_INCREASE = "fences grow"
    HALT_IS_OBEYED = "halt obeyed"


@dataclass(frozen=True, slots=True)
class RuleViolation:
    """A rule that did not hold at a true time of the run."""

    rule: str
    at_ms: float
    text: str


class RuleRecorder:
    """Collects the checks and violations of one run.

    Attributes:
        checks: How often each rule was checked.
        violations: In the order in which they were found.
    """

    def __init__(self) -> None:
        self.checks: Counter[str] = Counter()
        self.violations: list[RuleViolation] = []

    def record_check(self, rule: str) -> None:
        """Count that a rule was checked."""
        self.checks[str(rule)] += 1

    def record_violation(self, rule: str, at_ms: float, text: str) -> None:
        """Add a violation."""
        self.violations.append(RuleViolation(str(rule), at_ms, text))
