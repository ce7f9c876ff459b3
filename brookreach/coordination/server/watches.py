"""Who watches which tables, and what each is told next: changes, or the whole where that is shorter.

It owns each watcher's place in the one ring of changes, and the order of turns. It must never queue anything
for anyone: a client that takes nothing stays where it is until the ring no longer reaches back to it, and is
told the whole later. Nor may the many that return at once wait for a few.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from brookreach.coordination.ports import AppliedCommand
from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import MARKS, ChangeFeed, Copy, Found, Names, digest_markers
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.machine import StateMachine

MAX_HISTORY_BYTES = 16 << 20  # bytes of changes held for all
MAX_MESSAGE_BYTES = messages.MAX_FRAME_BYTES // 2 - (16 << 10)  # of one message's rows
MAX_UNREPORTED_ENTRIES = 4096  # entries that change nothing for a client, before it's told how far the log is


@dataclass(slots=True)
class Watcher:
    names: Names
    since: int  # as it asked
    told: int  # up to where
    seen: int  # between `told` and this nothing is for it
    least: int  # an older copy would take it back
    fresh: bool = True  # no answer yet
    whole: bool = False  # changes won't do
    copy: Copy | None = None
    nth: int = 0


class Watches:
    def __init__(self, machine: StateMachine, most_ring: int = MAX_HISTORY_BYTES, most_bytes: int = MAX_MESSAGE_BYTES):
        self._machine, self._ring = machine, ChangeFeed(machine, most_ring, most_bytes)
        self._clients: dict[str, Watcher] = {}
        self._groups: dict[Names, dict[str, None]] = {}
        self._pending: dict[str, None] = {}  # in the order of their turns

    @property
    def waits(self) -> bool:
        return bool(self._pending)

    @property
    def octets(self) -> int:
        """Held for all watchers together."""
        return self._ring.octets

    # --- what the machine did ---

    def took(self, applied: AppliedCommand) -> None:
        """After each `StateMachine.apply`, before the next."""
        index = self._machine.applied
        if index != self._ring.index + 1:
            raise ValueError(f"watches were told of place {self._ring.index}, then of {index}")
        moved = self._ring.took(applied.changes)
        if index % MAX_UNREPORTED_ENTRIES == 0:
            for client, watcher in self._clients.items():
                if watcher.told <= index - MAX_UNREPORTED_ENTRIES:
                    self._due(client, index - 1)
        if moved:
            for names, group in self._groups.items():
                if not set(moved).isdisjoint(names):
                    for client in group:
                        self._due(client, index - 1)

    def restored(self) -> None:
        """After `StateMachine.restore`: all are told the whole."""
        self._ring.restored()
        for client, watcher in self._clients.items():
            watcher.whole, watcher.copy = True, None
            self._pending[client] = None

    def _due(self, client: str, before: int) -> None:
        """Nothing up to `before` was for it, or it waits already."""
        if client not in self._pending:
            watcher = self._clients[client]
            watcher.seen = max(watcher.seen, before)
            self._pending[client] = None

    # --- what clients ask ---

    def watch(self, client: str, tables: Collection[str], since: int) -> str | None:
        names = tuple(sorted(set(tables)))
        known = sorted(set(self._machine.view.types) - sessions.UNWATCHED_TABLES)
        if not names or len(names) > MARKS:
            return f"{len(names)} tables; 1 to {MARKS} are allowed"
        if strange := [one for one in names if one not in known]:
            return f"no table {strange[0]!r}; there are {', '.join(known)}"[:400]
        old, index = self._clients.get(client), self._ring.index
        if old and old.fresh and (old.names, old.since) == (names, since):
            return None  # asked again while it waits: it keeps its turn
        self.gone(client)
        whole = not 0 < since <= index or since < self._ring.floor
        told = 0 if whole else since
        self._clients[client] = Watcher(names, since, told, told, index if old else told, whole=whole)
        self._groups.setdefault(names, {})[client] = None
        self._pending[client] = None
        return None

    def gone(self, client: str) -> None:
        watcher = self._clients.pop(client, None)
        self._pending.pop(client, None)
        if watcher is None:
            return
        group = self._groups[watcher.names]
        del group[client]
        if not group:
            del self._groups[watcher.names]
            self._ring.forget(watcher.names)

    # --- what they are told ---

    def out(self, octets: int, held: Collection[str] = ()) -> list[tuple[str, messages.Body]]:
        """One message each by turns, until they are about so many bytes. Those in `held` have not taken yet
        what they were told before, and wait."""
        if self._machine.applied != self._ring.index:
            raise ValueError(f"place {self._machine.applied} is applied, watches know {self._ring.index}")
        said: list[tuple[str, messages.Body]] = []
        spent = passed = 0
        while spent < octets and passed < len(self._pending):
            client = next(iter(self._pending))
            del self._pending[client]
            if client in held:
                self._pending[client] = None
                passed += 1
                continue
            passed = 0
            watcher = self._clients[client]
            body, weighs = self._next(watcher)
            if body is not None:
                said.append((client, body))
                spent += weighs
            if watcher.copy or watcher.whole or watcher.seen < self._ring.index:
                self._pending[client] = None
        return said

    def _next(self, watcher: Watcher) -> tuple[messages.Body | None, int]:
        if watcher.copy and watcher.copy.index < self._ring.floor:
            watcher.copy, watcher.whole = None, True  # the rest of it would lead nowhere
        if not watcher.copy and not watcher.whole:
            found = self._ring.changes(watcher.names, watcher.seen)
            if found is not None:
                return self._changes(watcher, found)
        if watcher.copy is None:
            watcher.copy, watcher.nth = self._ring.copy(watcher.names, watcher.least), 0
            watcher.whole = False
        copy, nth = watcher.copy, watcher.nth
        last = nth + 1 == len(copy.parts)
        watcher.nth, watcher.fresh = nth + 1, False
        if last:
            watcher.copy = None
            watcher.told = watcher.seen = watcher.least = copy.index
        rows, octets = copy.parts[nth]
        return messages.WatchSnapshot(copy.index, nth, last, rows), 64 + octets

    def _changes(self, watcher: Watcher, found: Found) -> tuple[messages.Body | None, int]:
        since, fresh = watcher.told, watcher.fresh
        watcher.told = watcher.seen = watcher.least = found.upto
        watcher.fresh = False
        if since == found.upto and not fresh:
            return None, 0
        marks = digest_markers(watcher.names if fresh else watcher.names[:1], found.total)
        return messages.WatchUpdate(since, found.upto, marks + found.rows), 64 + found.octets
