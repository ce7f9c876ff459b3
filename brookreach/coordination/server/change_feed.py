"""Recent changes of the replicated state, kept once for all clients that watch it.

The memory that it takes does not depend on the number of watchers. A message never begins or ends within a log entry.

Each message begins with *digest markers*, changes of the key "", which no row has. The first one carries the sum of
the row digests of all watched tables at the message's index: a client that comes to another sum knows that it missed
or was told something wrong. Markers that name all the tables stand before a copy of the tables and in the first answer
to a WatchRequest.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.tables import ROW_DIGEST_BYTES, encoded_size

MAX_CHANGED_ROWS = messages.MAX_ROWS - messages.MAX_WATCHED_TABLES  # of a message, beside its markers

Rows = tuple[messages.RowChange, ...]
TableNames = tuple[str, ...]
RowId = tuple[str, str]  # table and key


def digest_markers(tables: Collection[str], digest_sum: int) -> Rows:
    """Return a marker for each table, the first one with the sum of the row digests."""
    modulus = 1 << 8 * ROW_DIGEST_BYTES
    encoded = (digest_sum % modulus).to_bytes(ROW_DIGEST_BYTES, "big")
    return tuple(messages.RowChange(table, "", None if position else encoded) for position, table in enumerate(tables))


@dataclass(frozen=True, slots=True)
class FeedEntry:
    """A log entry that changed something.

    Attributes:
        index: Its index.
        changes: The rows it changed.
        size: Bytes of these.
        digest_deltas: By how much each table's sum of row digests changed.
    """

    index: int
    changes: Rows
    size: int
    digest_deltas: dict[str, int]


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """What one message tells: the rows changed up to `index`, the sum of digests there, and the rows' bytes."""

    index: int
    rows: Rows
    digest_sum: int
    size: int


class ChangeFeed:
    """The changes after `floor_index`.

    Attributes:
        index: Index of the last applied entry.
        floor_index: All changes after this index are in the feed.
        size: Bytes of the changes in the feed.
    """

    def __init__(self, machine: StateMachine, max_history_bytes: int, max_message_bytes: int):
        self._machine = machine
        self._max_history_bytes = max_history_bytes
        self._max_message_bytes = max_message_bytes
        self._entries: deque[FeedEntry] = deque()
        self._digest_sums: dict[str, int] = {}
        self._updates: dict[tuple[TableNames, int], FeedUpdate | None] = {}  # computed since the last entry
        self.index = 0
        self.floor_index = 0
        self.size = 0
        self.reset()

    def reset(self) -> None:
        """Begin anew at the machine's state: what changed before is not known."""
        self._entries.clear()
        self._updates.clear()
        self.index = self._machine.applied
        self.floor_index = self._machine.applied
        self.size = 0
        self._digest_sums = dict(self._machine.view.digest_sums)

    def append(self, changes: Rows) -> Collection[str]:
        """Add what the entry changed that was just applied; returns the tables."""
        self.index = self._machine.applied
        self._updates.clear()
        if not changes:
            return ()
        digest_sums = self._machine.view.digest_sums
        tables = sorted({change.table for change in changes})
        deltas = {table: digest_sums[table] - self._digest_sums[table] for table in tables}
        self._digest_sums.update((table, digest_sums[table]) for table in tables)
        size = sum(encoded_size(change) for change in changes)
        self._entries.append(FeedEntry(self.index, changes, size, deltas))
        self.size += size
        self._drop_oldest()
        return tables

    def _drop_oldest(self) -> None:
        while self.size > self._max_history_bytes:
            dropped = self._entries.popleft()
            self.floor_index = dropped.index
            self.size -= dropped.size

    def digest_sum(self, tables: TableNames) -> int:
        """Return the sum of the row digests of these tables now."""
        return sum(self._digest_sums[table] for table in tables)

    def update_after(self, tables: TableNames, index: int) -> FeedUpdate | None:
        """Return the changes of these tables after `index`, as many whole entries as one message carries.

        None: a copy of the tables is shorter, or the feed does not reach back that far, or the first entry is too
        large for a message.
        """
        if index < self.floor_index:
            return None
        key = (tables, index)
        if key not in self._updates:
            self._updates[key] = self._collect(tables, index)
        return self._updates[key]

    def _collect(self, tables: TableNames, after: int) -> FeedUpdate | None:
        rows: dict[RowId, messages.RowChange] = {}
        final_sizes: dict[RowId, int] = {}  # of each changed row as it is now
        size = 0
        last_index = after
        digest_sum = self.digest_sum(tables)
        is_full = False
        for entry in self._entries_after(after):
            changes = [change for change in entry.changes if change.table in tables]
            entry_size = sum(encoded_size(change) for change in changes)
            final_sizes.update(((change.table, change.key), encoded_size(change)) for change in changes)
            has_too_many_rows = len(rows) + len(changes) > MAX_CHANGED_ROWS
            is_full = is_full or has_too_many_rows or size + entry_size > self._max_message_bytes
            if is_full:
                digest_sum -= sum(entry.digest_deltas.get(table, 0) for table in tables)
            else:
                rows.update(((change.table, change.key), change) for change in changes)
                size += entry_size
                last_index = entry.index
        if is_full and not rows:
            return None
        if sum(final_sizes.values()) > sum(self._machine.view.table_size(table) for table in tables):
            return None
        return FeedUpdate(last_index if is_full else self.index, tuple(rows.values()), digest_sum, size)

    def _entries_after(self, index: int) -> list[FeedEntry]:
        later = []
        for entry in reversed(self._entries):
            if entry.index <= index:
                break
            later.append(entry)
        later.reverse()
        return later
