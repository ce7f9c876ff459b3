"""A group without replicas: commands on planned disruptions applied one after the other, with time and sessions."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from brookreach.coordination.state_machine.application import (
    Command,
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
)
from brookreach.disruption.application import APPLICATION
from brookreach.simulation.engine.ordered_tables import Ordered


def snapshot_tables(tables: Mapping[str, type[Row]]) -> Mapping[str, type[Row]]:
    """The tables that a snapshot holds: all of the application. A defect leaves one out."""
    return tables


@dataclass(frozen=True)
class AppliedStep:
    """One record as it was applied.

    Attributes:
        index: Its log index.
        at_ms: The agreed time.
        client: Who sent the command or lost the session; "" for a timer.
        command: None for a timer and for a session's end.
        rejection: Why the command was rejected; "" where it was not.
        updates: What it changed.
    """

    index: int
    at_ms: int
    client: str
    command: Command | None
    rejection: str
    updates: Sequence[RowUpdate]


def _ignore_step(step: AppliedStep) -> None:
    """The observer of a group that nobody observes."""


class SequentialGroup:
    """The agreed state, and what changes it. `on_step` is called with each step after the state has it."""

    def __init__(self, on_step: Callable[[AppliedStep], None] = _ignore_step):
        self.view = Ordered()
        self.index = 0
        self.now_ms = 0
        self.on_step = on_step
        self.sessions: dict[str, int] = {}

    def begin_session(self, client: str) -> int:
        """Begins a session in place of the client's last one; returns its number."""
        self.index += 1
        self.sessions[client] = self.index
        return self.index

    def propose(self, at_ms: int, client: str, client_kind: str, command: Command) -> str:
        """Applies the command; returns why it was rejected, or ""."""
        self.advance_time(at_ms)
        self.index += 1
        context = Context(self.index, at_ms, client, client_kind, self.sessions.get(client, 0))
        rejection = ""
        updates: list[RowUpdate] = []
        try:
            updates = APPLICATION.apply(self.view, command, context)
        except CommandRejectedError as error:
            rejection = str(error)
        self._record(AppliedStep(self.index, at_ms, client, command, rejection, updates))
        return rejection

    def end_session(self, at_ms: int, client: str, client_kind: str) -> None:
        """Ends the client's session."""
        self.advance_time(at_ms)
        self.index += 1
        context = Context(self.index, at_ms, client, client_kind, self.sessions.pop(client))
        updates = APPLICATION.end_session(self.view, context)
        self._record(AppliedStep(self.index, at_ms, client, None, "", updates))

    def advance_time(self, until_ms: int) -> None:
        """Applies the timers that are due until then."""
        while (deadline_ms := APPLICATION.next_timer_ms(self.view)) is not None and deadline_ms <= until_ms:
            self.index += 1
            context = Context(self.index, max(deadline_ms, self.now_ms), "", "", 0)
            updates = APPLICATION.advance_time(self.view, context)
            self._record(AppliedStep(self.index, context.now_ms, "", None, "", updates))

    def _record(self, step: AppliedStep) -> None:
        self.now_ms = step.at_ms
        self.view.apply_updates(step.updates)
        self.on_step(step)

    def restore_from_snapshot(self) -> None:
        """Another replica goes on from what this one wrote."""
        restored = Ordered()
        for table, row_type in snapshot_tables(APPLICATION.tables).items():
            for key, row in self.view.rows(table):
                copy = msgspec.msgpack.decode(msgspec.msgpack.encode(row), type=row_type)
                restored.apply_updates([RowUpdate(table, key, copy)])
        self.view = restored
