"""What a piece is to the ground: named tables of rows, and decisions on records. No I/O, no clock, no chance.

A piece never changes the state itself. `apply` looks at a `View` and says what changes; the ground puts that
into the tables, the log's snapshots and the watches. So the same records give the same state on every keeper,
and a record that is refused changes nothing. Times are the agreed time in whole ms, handed in.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec


class Row(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One row of a table. Fields are whole numbers, text, booleans and tuples of these: never a float."""


class Command(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True):
    """One record of a piece: what somebody asks the whole fleet to take as fact."""


class CommandRejectedError(Exception):
    """Raised by `apply`: the state does not allow this record. Its text is for the operator who asked."""


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """A row as it is to be; None removes it."""

    table: str
    key: str
    row: Row | None


@dataclass(frozen=True, slots=True)
class Context:
    """Where a record stands: its place in the log (a fencing token), the agreed time, who asked."""

    index: int
    now_ms: int
    client: str  # the client's name; "" for what the group does of itself
    client_kind: str  # marshal, agent, operator or ""
    session: int


class View(Protocol):
    """The state as it stands. Rows come in the order of their keys, on every process."""

    def get(self, table: str, key: str) -> Any: ...

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]: ...

    def count(self, table: str) -> int: ...


class Application(Protocol):
    """`tables` names each table's type of row; a piece changes no table but its own and those of the pieces
    whose decisions it calls (power before outages before gangs).
    """

    name: str
    version: int  # of its records; a greater one halts the keeper that reads it
    orders: Any  # the union of its Orders
    tables: Mapping[str, type[Row]]

    def apply(self, view: View, order: Any, context: Context) -> list[RowUpdate]:
        """What this record changes; raises CommandRejectedError."""
        ...

    def next_timer_ms(self, view: View) -> int | None:
        """When time alone next changes something; None: never."""
        ...

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        """What has changed by time alone until `context.now_ms`."""
        ...

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """What changes as the session `context.session` of `context.client` ends."""
        ...


@dataclass
class StagedChanges:
    """A view with changes of one record laid over it, for decisions made of several steps."""

    under: View
    over: dict[tuple[str, str], Row | None] = field(default_factory=dict)

    def put(self, table: str, key: str, row: Row | None) -> None:
        self.over[table, key] = row

    def take(self, puts: Iterable[RowUpdate]) -> None:
        for one in puts:
            self.put(one.table, one.key, one.row)

    def get(self, table: str, key: str) -> Any:
        return self.over[table, key] if (table, key) in self.over else self.under.get(table, key)

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        laid = {key: row for (name, key), row in self.over.items() if name == table and key.startswith(prefix)}
        if not laid:
            return self.under.rows(table, prefix)
        merged = dict(self.under.rows(table, prefix)) | laid
        return [(key, merged[key]) for key in sorted(merged) if merged[key] is not None]

    def count(self, table: str) -> int:
        return sum(1 for _ in self.rows(table))

    def updates(self) -> list[RowUpdate]:
        return [RowUpdate(table, key, row) for (table, key), row in self.over.items()]


class InMemoryView:
    """A view of plain tables, for tests and models; the keeper's own is `machine.Tables`."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, Any]] = {}

    def get(self, table: str, key: str) -> Any:
        return self.tables.get(table, {}).get(key)

    def rows(self, table: str, prefix: str = "") -> Iterable[tuple[str, Any]]:
        held = self.tables.get(table, {})
        return [(key, held[key]) for key in sorted(held) if key.startswith(prefix)]

    def count(self, table: str) -> int:
        return len(self.tables.get(table, {}))

    def take(self, puts: Iterable[RowUpdate]) -> None:
        for one in puts:
            held = self.tables.setdefault(one.table, {})
            if one.row is None:
                held.pop(one.key, None)
            else:
                held[one.key] = one.row
