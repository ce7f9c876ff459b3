"""Which client watches which tables, and what each is told next: changes, or a copy of the tables where it is shorter.

Nothing is queued for a client: it has an index in the one feed of changes. A client that takes nothing stays there
until the feed no longer reaches back to it, and is sent a copy later. Clients take turns, one message each, so that
many that return at once don't wait for a few.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import (
    ChangeFeed,
    FeedUpdate,
    TableNames,
    digest_markers,
)
from brookreach.coordination.server.table_copies import TableCopies
from brookreach.coordination.server.watcher import Watcher
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.machine import StateMachine

MAX_HISTORY_BYTES = 16 << 20  # of changes kept for all clients
MAX_MESSAGE_BYTES = messages.MAX_FRAME_BYTES // 2 - (16 << 10)  # of one message's rows
MAX_UNREPORTED_ENTRIES = 4096  # that change nothing for a client, before it is told the log's index
MESSAGE_OVERHEAD_BYTES = 64  # of a message beside its rows, about


@dataclass(frozen=True, slots=True)
class _Next:
    """What a client is told next, if anything, and about how many bytes that takes."""

    message: messages.Body | None = None
    size: int = 0


class WatchService:
    """All watches of one replica."""

    def __init__(
        self,
        machine: StateMachine,
        max_history_bytes: int = MAX_HISTORY_BYTES,
        max_message_bytes: int = MAX_MESSAGE_BYTES,
    ):
        self._machine = machine
        self._feed = ChangeFeed(machine, max_history_bytes, max_message_bytes)
        self._copies = TableCopies(machine, self._feed, max_message_bytes)
        self._watchers: dict[str, Watcher] = {}
        self._clients_by_tables: dict[TableNames, dict[str, None]] = {}
        self._pending: dict[str, None] = {}  # clients in the order of their turns

    @property
    def has_pending(self) -> bool:
        """Whether a client is still to be told something."""
        return bool(self._pending)

    @property
    def history_bytes(self) -> int:
        """Bytes of the changes kept for all clients."""
        return self._feed.size

    # --- Events of the state machine ---

    def on_applied(self, result: AppliedCommand) -> None:
        """Take the changes of an entry, after each `StateMachine.apply` and before the next."""
        index = self._machine.applied
        if index != self._feed.index + 1:
            raise ValueError(f"watches were told of index {self._feed.index}, then of {index}")
        tables = self._feed.append(result.changes)
        if index % MAX_UNREPORTED_ENTRIES == 0:
            for client, watcher in self._watchers.items():
                if watcher.reported_index <= index - MAX_UNREPORTED_ENTRIES:
                    self._schedule(client, index - 1)
        if not tables:
            return
        for watched, clients in self._clients_by_tables.items():
            if not set(tables).isdisjoint(watched):
                for client in clients:
                    self._schedule(client, index - 1)

    def on_restored(self) -> None:
        """Let all clients be sent a copy, after `StateMachine.restore`."""
        self._feed.reset()
        self._copies.clear()
        for client, watcher in self._watchers.items():
            watcher.require_copy()
            self._pending[client] = None

    def _schedule(self, client: str, checked_index: int) -> None:
        """Give the client a turn, unless it waits for one: nothing up to `checked_index` concerned it."""
        if client not in self._pending:
            watcher = self._watchers[client]
            watcher.checked_index = max(watcher.checked_index, checked_index)
            self._pending[client] = None

    # --- Requests ---

    def watch(self, client: str, tables: Collection[str], since: int) -> str | None:
        """Begin to tell a client what changes in these tables after `since`; returns what is wrong with that, if any.

        A client has one watch: another request replaces it, the same one again keeps its turn.
        """
        names = tuple(sorted(set(tables)))
        defect = self._find_defect(names)
        if defect is not None:
            return defect
        old = self._watchers.get(client)
        index = self._feed.index
        if old is not None and old.is_new and (old.tables, old.since) == (names, since):
            return None
        self.remove(client)
        needs_copy = not 0 < since <= index or since < self._feed.floor_index
        reported_index = 0 if needs_copy else since
        min_copy_index = reported_index if old is None else index
        self._watchers[client] = Watcher(
            names, since, reported_index, reported_index, min_copy_index, needs_copy=needs_copy
        )
        self._clients_by_tables.setdefault(names, {})[client] = None
        self._pending[client] = None
        return None

    def _find_defect(self, names: TableNames) -> str | None:
        known = sorted(set(self._machine.view.types) - sessions.UNWATCHED_TABLES)
        if not names or len(names) > messages.MAX_WATCHED_TABLES:
            return f"{len(names)} tables; 1 to {messages.MAX_WATCHED_TABLES} are allowed"
        unknown = [name for name in names if name not in known]
        if unknown:
            return f"no table {unknown[0]!r}; there are {', '.join(known)}"[: messages.MAX_TEXT_LENGTH]
        return None

    def remove(self, client: str) -> None:
        """Forget a client's watch."""
        watcher = self._watchers.pop(client, None)
        self._pending.pop(client, None)
        if watcher is None:
            return
        clients = self._clients_by_tables[watcher.tables]
        del clients[client]
        if not clients:
            del self._clients_by_tables[watcher.tables]
            self._copies.forget(watcher.tables)

    # --- Messages ---

    def next_messages(self, max_bytes: int, slow_clients: Collection[str] = ()) -> list[tuple[str, messages.Body]]:
        """Return one message for each client by turns, until they are about `max_bytes` together.

        Args:
            max_bytes: Bound on the messages' bytes, which the last one may exceed.
            slow_clients: Clients that have not taken earlier messages yet; they keep waiting.
        """
        if self._machine.applied != self._feed.index:
            raise ValueError(f"index {self._machine.applied} is applied, watches know {self._feed.index}")
        found: list[tuple[str, messages.Body]] = []
        size = 0
        skipped = 0
        while size < max_bytes and skipped < len(self._pending):
            client = next(iter(self._pending))
            del self._pending[client]
            if client in slow_clients:
                self._pending[client] = None
                skipped += 1
                continue
            skipped = 0
            watcher = self._watchers[client]
            following = self._next_for(watcher)
            if following.message is not None:
                found.append((client, following.message))
                size += following.size
            if watcher.copy or watcher.needs_copy or watcher.checked_index < self._feed.index:
                self._pending[client] = None
        return found

    def _next_for(self, watcher: Watcher) -> _Next:
        if watcher.copy is not None and watcher.copy.index < self._feed.floor_index:
            watcher.require_copy()  # the changes after the rest of it are gone
        if watcher.copy is None and not watcher.needs_copy:
            update = self._feed.update_after(watcher.tables, watcher.checked_index)
            if update is not None:
                return self._next_update(watcher, update)
        if watcher.copy is None:
            watcher.begin_copy(self._copies.get(watcher.tables, watcher.min_copy_index))
        return self._next_part(watcher)

    @staticmethod
    def _next_part(watcher: Watcher) -> _Next:
        copy = watcher.copy
        if copy is None:
            return _Next()
        number = watcher.next_part
        part = copy.parts[number]
        is_last = number + 1 == len(copy.parts)
        watcher.next_part = number + 1
        watcher.is_new = False
        if is_last:
            watcher.copy = None
            watcher.report(copy.index)
        message = messages.WatchSnapshot(copy.index, number, is_last, part.rows)
        return _Next(message, MESSAGE_OVERHEAD_BYTES + part.size)

    @staticmethod
    def _next_update(watcher: Watcher, update: FeedUpdate) -> _Next:
        since = watcher.reported_index
        is_first = watcher.is_new
        watcher.report(update.index)
        watcher.is_new = False
        if since == update.index and not is_first:
            return _Next()
        markers = digest_markers(watcher.tables if is_first else watcher.tables[:1], update.digest_sum)
        message = messages.WatchUpdate(since, update.index, markers + update.rows)
        return _Next(message, MESSAGE_OVERHEAD_BYTES + update.size)
