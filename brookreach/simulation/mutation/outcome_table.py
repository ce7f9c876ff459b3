"""How often each outcome came of each kind of message under each family of mutations."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.engine.links import SentFrame
from brookreach.simulation.mutation.mutation import Family, Mutation
from brookreach.simulation.mutation.verdicts import TRUSTED_FIELDS, Outcome


class OutcomeTable:
    """Counts outcomes."""

    def __init__(self) -> None:
        self._cells: Counter[tuple[str, str, str]] = Counter()  # by message, family, outcome
        self._mutations: Counter[tuple[str, str, str]] = Counter()  # by message, mutation, outcome
        self._rejections: Counter[str] = Counter()  # by the name of the receiver's error
        self._trusted: dict[tuple[str, str], Counter[str]] = {}  # by message and mutation: violated rules

    def add(self, frame: SentFrame, mutation: Mutation, outcome: Outcome, rejection: str, rules: Iterable[str]) -> None:
        """Count one outcome.

        Args:
            frame: The frame as it was sent.
            mutation: What was sent instead.
            outcome: What came of it.
            rejection: The name of the error with which it was rejected; empty if it was accepted.
            rules: The rules that were violated.
        """
        message = wire_name(frame.body)
        self._cells[message, str(mutation.family), str(outcome)] += 1
        self._mutations[message, mutation.name, str(outcome)] += 1
        if rejection:
            self._rejections[rejection] += 1
        if outcome is Outcome.TRUSTED_SENDER:
            self._trusted.setdefault((message, mutation.name), Counter()).update(set(rules))

    def total(self, outcome: Outcome) -> int:
        """Return how often an outcome came in all."""
        return sum(count for (_, _, counted), count in self._cells.items() if counted == outcome)

    def as_figures(self) -> dict[str, Any]:
        """Return the figures of a report. Any: they are printed as JSON."""
        return {
            "played": sum(self._cells.values()),
            "by column": {str(outcome): self.total(outcome) for outcome in Outcome},
            "refusals by name": dict(sorted(self._rejections.items())),
            "messages never said": self._messages_never_sent(),
            "table": self._rows(),
            "trusted": {
                f"{message} {mutation}": dict(sorted(rules.items()))
                for (message, mutation), rules in sorted(self._trusted.items())
            },
            "ways": {
                f"{message} {mutation}: {outcome}": count
                for (message, mutation, outcome), count in sorted(self._mutations.items())
            },
        }

    def as_lines(self) -> list[str]:
        """Return the table for people, and for each trusted message why it has to be believed."""
        outcomes = "".join(f"{outcome:>19}" for outcome in Outcome)
        lines = [f"{'message':<10} {'change':<22}{outcomes}"]
        for message, family, *counts in self._rows():
            cells = "".join(f"{count or '.':>19}" for count in counts)
            lines.append(f"{message:<10} {family:<22}{cells}")
        for (message, mutation), rules in sorted(self._trusted.items()):
            lines.append(f"  trusted: {message} {mutation}: {', '.join(sorted(rules))}")
        trusted_messages = sorted({message for message, _ in self._trusted if message in TRUSTED_FIELDS})
        lines += [f"  {message}: {TRUSTED_FIELDS[message].reason}" for message in trusted_messages]
        return lines

    def _messages_never_sent(self) -> list[str]:
        sent = {message for message, _, _ in self._cells}
        return [wire_name(kind) for kind in messages.ALL_MESSAGES if wire_name(kind) not in sent]

    def _rows(self) -> list[list[Any]]:
        rows: list[list[Any]] = []
        for kind in messages.ALL_MESSAGES:
            message = wire_name(kind)
            for family in Family:
                counts = [self._cells[message, str(family), str(outcome)] for outcome in Outcome]
                if any(counts):
                    rows.append([message, str(family), *counts])
        return rows
