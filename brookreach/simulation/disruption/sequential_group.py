"""What keepers make of outages' records, without keepers: one after the other, time, sessions, snapshots."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, RowUpdate
from brookreach.disruption.application import APPLICATION
from brookreach.simulation.engine.ordered_tables import OrderedTables


def kept(tables: Mapping[str, type[Any]]) -> Mapping[str, type[Any]]:
    """What a snapshot holds: all of the piece's tables."""
    return tables


@dataclass(frozen=True)
class Step:
    """One record as it was taken. `order` None: time alone, or a session's end."""

    index: int
    at_ms: int
    by: str
    order: Any
    refused: str
    updates: list[RowUpdate]


class Group:
    """Keepers without keepers. `heard` is told each step, after the state has it."""

    def __init__(self, heard: Callable[[Step], None] = lambda step: None):
        self.view, self.index, self.at_ms, self.heard = OrderedTables(), 0, 0, heard
        self.sessions: dict[str, int] = {}

    def begin(self, by: str) -> int:
        self.index += 1
        self.sessions[by] = self.index
        return self.index

    def ask(self, at_ms: int, by: str, kind: str, order: Any) -> str:
        """The refusal's text, or nothing."""
        self.passed(at_ms)
        self.index += 1
        context = Context(self.index, at_ms, by, kind, self.sessions.get(by, 0))
        refused, puts = "", []
        try:
            puts = APPLICATION.apply(self.view, order, context)
        except CommandRejectedError as refusal:
            refused = str(refusal)
        self._took(Step(self.index, at_ms, by, order, refused, puts))
        return refused

    def ended(self, at_ms: int, by: str, kind: str) -> None:
        self.passed(at_ms)
        self.index += 1
        context = Context(self.index, at_ms, by, kind, self.sessions.pop(by))
        self._took(Step(self.index, at_ms, by, None, "", APPLICATION.end_session(self.view, context)))

    def passed(self, at_ms: int) -> None:
        while (due := APPLICATION.next_timer_ms(self.view)) is not None and due <= at_ms:
            self.index += 1
            context = Context(self.index, max(due, self.at_ms), "", "", 0)
            self._took(Step(self.index, context.now_ms, "", None, "", APPLICATION.advance_time(self.view, context)))

    def _took(self, step: Step) -> None:
        self.at_ms = step.at_ms
        self.view.apply_updates(step.updates)
        self.heard(step)

    def snapshot(self) -> None:
        """Another keeper goes on from what this one wrote."""
        fresh = OrderedTables()
        for table, form in kept(APPLICATION.tables).items():
            for key, row in self.view.rows(table):
                fresh.apply_updates(
                    [RowUpdate(table, key, msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=form))]
                )
        self.view = fresh
