"""The interface that every application of the replicated state machine implements.

An application owns named tables of rows and decides on commands. It never changes the state itself: its methods
read a `View` and return the rows to change; the state machine writes these to the tables, and thereby to snapshots
and watches. So equal commands lead to equal states on every replica, and a rejected command changes nothing.

Applications do no I/O, read no clock and draw no random numbers. All times are the agreed time in whole ms since
1970, which is handed in with each command.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from brookreach.coordination.errors import CommandRejectedError

__all__ = [
    "Application",
    "Command",
    "CommandRejectedError",
    "Context",
    "InMemoryView",
    "Row",
    "RowUpdate",
    "StagedChanges",
    "View",
]


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """Base class of the rows of a table. Fields are integers, strings, booleans and tuples of these, never floats.

    Rows are stored as arrays: the order and types of the fields are the stored form, their names are not.
    """


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True):
    """Base class of an application's commands: what a client proposes to the whole cluster.

    Commands are stored as maps under a tag: a renamed class keeps its `tag`, a renamed field its encoded name.
    """


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """The new content of one row; `row` None deletes it."""

    table: str
    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class Context:
    """Circumstances of one command.

    Attributes:
        index: Index of the command's log entry, usable as a fencing token.
        now_ms: The agreed time, in ms since 1970.
        client: Name of the client that proposed the command; "" for the cluster itself.
        client_kind: "marshal", "agent", "operator", or "" for the cluster itself.
        session: Number of the client's session; 0 for the cluster itself.
    """

    index: int
    now_ms: int
    client: str
    client_kind: str
    session: int


class View(Protocol):
    """Read access to the tables. Rows come in the order of their keys, on every replica.

    Rows are typed `Any`: which type a table holds is known by the table's name only (`Application.tables`).
    """

    def get(self, table: str, key: str) -> Any:
        """Returns the row of this key, or None."""
        ...

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        """Returns keys and rows of all keys that begin with `prefix`."""
        ...

    def count(self, table: str) -> int:
        """Returns the number of rows."""
        ...


class Application(Protocol):
    """One application: its tables, its commands, and the decisions on them.

    An application writes its own tables and those of the applications before it in the order of
    `brookreach.applications`, whose decisions it may call; any other table is an error.

    Attributes:
        name: Stored with each command; never changes.
        version: Version of the commands. A replica halts at a command of a greater version than it knows.
        commands: The command type or union of types, as msgspec's decoder takes it (hence `Any`).
        tables: The type of row of each table.
    """

    name: str
    version: int
    commands: Any
    tables: Mapping[str, type[Row]]

    def apply(self, view: View, command: Any, context: Context) -> list[RowUpdate]:
        """Returns the changes that a command, one of `commands`, makes.

        Raises:
            CommandRejectedError: The state does not allow the command.
        """
        ...

    def next_timer_ms(self, view: View) -> int | None:
        """Returns the agreed time at which time alone next changes something; None: never."""
        ...

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns the changes that are due by time alone up to `context.now_ms`."""
        ...

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns the changes made by the end of session `context.session` of `context.client`."""
        ...


@dataclass
class StagedChanges:
    """A view of `base` with the changes of one command on top, for decisions made in several steps."""

    base: View
    changes: dict[tuple[str, str], Row | None] = field(default_factory=dict)

    def put(self, table: str, key: str, row: Row | None) -> None:
        """Stages the new content of a row; None deletes it."""
        self.changes[table, key] = row

    def apply_updates(self, updates: Iterable[RowUpdate]) -> None:
        """Stages each update in turn."""
        for update in updates:
            self.put(update.table, update.key, update.row)

    def get(self, table: str, key: str) -> Any:
        """Returns the row of this key as staged, or None."""
        if (table, key) in self.changes:
            return self.changes[table, key]
        return self.base.get(table, key)

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        """Returns keys and rows as staged, in the order of the keys."""
        staged = {
            key: row
            for (changed_table, key), row in self.changes.items()
            if changed_table == table and key.startswith(prefix)
        }
        if not staged:
            return self.base.rows(table, prefix)
        merged = dict(self.base.rows(table, prefix)) | staged
        return [(key, merged[key]) for key in sorted(merged) if merged[key] is not None]

    def count(self, table: str) -> int:
        """Returns the number of rows as staged."""
        return sum(1 for _ in self.rows(table))

    def updates(self) -> list[RowUpdate]:
        """Returns the staged changes, in the order in which each row was first changed."""
        return [RowUpdate(table, key, row) for (table, key), row in self.changes.items()]


class InMemoryView:
    """A view of plain dictionaries for tests and models; a replica's own tables are `tables.Tables`."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, Any]] = {}

    def get(self, table: str, key: str) -> Any:
        """Returns the row of this key, or None."""
        return self.tables.get(table, {}).get(key)

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        """Returns keys and rows, in the order of the keys."""
        rows = self.tables.get(table, {})
        return [(key, rows[key]) for key in sorted(rows) if key.startswith(prefix)]

    def count(self, table: str) -> int:
        """Returns the number of rows."""
        return len(self.tables.get(table, {}))

    def apply_updates(self, updates: Iterable[RowUpdate]) -> None:
        """Writes each update in turn."""
        for update in updates:
            rows = self.tables.setdefault(update.table, {})
            if update.row is None:
                rows.pop(update.key, None)
            else:
                rows[update.key] = update.row
