"""Copies of whole tables, cut into messages and shared by all clients that watch the same tables."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import ChangeFeed, Rows, TableNames, digest_markers
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.tables import encoded_size


@dataclass(frozen=True, slots=True)
class CopyPart:
    """The rows of one message, and their bytes."""

    rows: Rows
    size: int


@dataclass(frozen=True, slots=True)
class TableCopy:
    """Tables as of `index`."""

    index: int
    parts: tuple[CopyPart, ...]


class TableCopies:
    """The last copy of each combination of tables that is watched."""

    def __init__(self, machine: StateMachine, feed: ChangeFeed, max_message_bytes: int):
        self._machine = machine
        self._feed = feed
        self._max_message_bytes = max_message_bytes
        self._copies: dict[TableNames, TableCopy] = {}

    def clear(self) -> None:
        """Forget all copies."""
        self._copies.clear()

    def forget(self, tables: TableNames) -> None:
        """Forget the copy of tables that nobody watches any more."""
        self._copies.pop(tables, None)

    def get(self, tables: TableNames, min_index: int) -> TableCopy:
        """Return a copy as of `min_index` or later: the last one, if the changes since are shorter than a new one."""
        copy = self._copies.get(tables)
        if copy is None or copy.index < min_index or self._feed.update_after(tables, copy.index) is None:
            copy = TableCopy(self._feed.index, self._cut(tables))
            self._copies[tables] = copy
        return copy

    def _cut(self, tables: TableNames) -> tuple[CopyPart, ...]:
        parts: list[CopyPart] = []
        rows = list(digest_markers(tables, self._feed.digest_sum(tables)))
        size = 0
        for table in tables:
            for row in self._machine.view.changes(table):
                row_size = encoded_size(row)
                if len(rows) >= messages.MAX_ROWS or size + row_size > self._max_message_bytes:
                    parts.append(CopyPart(tuple(rows), size))
                    rows = []
                    size = 0
                rows.append(row)
                size += row_size
        parts.append(CopyPart(tuple(rows), size))
        return tuple(parts)
