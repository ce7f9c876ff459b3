"""A small application for drills: counters, and locks that one client may hold at a time.

It never helps the state machine: a token that is applied twice counts twice, so that a checker sees it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import (
    Command,
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    View,
)

MARKS = "marks"
COUNTERS = "counts"
LOCKS = "holds"


class MarkRow(Row):
    """By token: how often it was added, and the index of the last time."""

    times: int
    index: int


class CounterRow(Row):
    """By counter: its value."""

    value: int


class LockRow(Row):
    """By resource: who holds it, in which session, under which fencing token."""

    holder: str
    session: int
    fence: int


class Add(Command):
    """Count up a counter; the token is used by one command only."""

    token: messages.Name
    counter: messages.Name


class Acquire(Command, tag="Take"):
    """Take a lock."""

    resource: messages.Name = msgspec.field(name="what")


class Release(Command, tag="Drop"):
    """Give a lock back that is held under this fence."""

    resource: messages.Name = msgspec.field(name="what")
    fence: messages.Count


class SampleApplication:
    """Implements `Application`."""

    name = "toy"  # in every record of a drill's log
    version = 1
    commands: Any = Add | Acquire | Release  # any: a union as msgspec decodes it
    tables: Mapping[str, type[Row]] = {MARKS: MarkRow, COUNTERS: CounterRow, LOCKS: LockRow}

    def apply(self, view: View, order: Add | Acquire | Release, context: Context) -> list[RowUpdate]:
        """Return what a command changes.

        Raises:
            CommandRejectedError: The lock is held by somebody else, or isn't held.
        """
        match order:
            case Add():
                return self._add(view, order, context)
            case Acquire():
                return self._acquire(view, order, context)
            case Release():
                return self._release(view, order, context)
        raise CommandRejectedError(f"toy knows no record {wire_name(order)}")

    def _add(self, view: View, command: Add, context: Context) -> list[RowUpdate]:
        mark = view.get(MARKS, command.token)
        counter = view.get(COUNTERS, command.counter)
        times = mark.times + 1 if mark else 1
        value = counter.value + 1 if counter else 1
        return [
            RowUpdate(MARKS, command.token, MarkRow(times, context.index)),
            RowUpdate(COUNTERS, command.counter, CounterRow(value)),
        ]

    def _acquire(self, view: View, command: Acquire, context: Context) -> list[RowUpdate]:
        lock = view.get(LOCKS, command.resource)
        if lock is not None:
            raise CommandRejectedError(f"{command.resource} is held by {lock.holder}, fence {lock.fence}")
        return [RowUpdate(LOCKS, command.resource, LockRow(context.client, context.session, context.index))]

    def _release(self, view: View, command: Release, context: Context) -> list[RowUpdate]:
        lock = view.get(LOCKS, command.resource)
        if lock is None or (lock.session, lock.fence) != (context.session, command.fence):
            raise CommandRejectedError(
                f"{command.resource} is not held under fence {command.fence} by {context.client}"
            )
        return [RowUpdate(LOCKS, command.resource, None)]

    def next_timer_ms(self, view: View) -> int | None:  # noqa: ARG002  the interface's
        """Nothing changes by time alone."""
        return None

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:  # noqa: ARG002  the interface's
        """Nothing changes by time alone."""
        return []

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """Release all locks of the session."""
        return [RowUpdate(LOCKS, key, None) for key, row in view.rows(LOCKS) if row.session == context.session]


APPLICATION = SampleApplication()


def encode_command(command: Command) -> bytes:
    """Encode a command as a client does."""
    return msgspec.msgpack.encode(command)
