"""A client's copy of the tables that it watches: at `index` it is the state at that place of the log.

It owns what fits onto what it has. It must never show half an entry, nor part of a whole, nor go on over a
gap: what does not fit is named and has no effect, and the next Watch asks for the whole.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from brookreach.coordination.client.errors import RejectedUpdateError
from brookreach.coordination.client.events import RowsChanged, RowUnreadable
from brookreach.coordination.errors import InvalidRowError, RowTooLargeError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row, RowUpdate
from brookreach.coordination.state_machine.tables import ROW_DIGEST_BYTES, StoredRow, Tables, row_digest

MOST_STAGED = 1 << 20  # rows of a whole
OLDER = 3  # wholes older than what is held, each in answer to a new Watch, until one is believed
RECENT = 256  # messages that are known again if they come twice


@dataclass(slots=True)
class Staged:
    index: int
    total: bytes | None
    parts: int = 0
    rows: list[messages.RowChange] = field(default_factory=list)


class TableCache:
    """A `piece.View`. `unread` names rows that this program can't read; they are missing in its tables."""

    def __init__(self, types: Mapping[str, type[Row]], watched: Collection[str]):
        if strange := sorted(set(watched) - set(types)):
            raise ValueError(f"no type for table {strange[0]!r}; there are {', '.join(sorted(types))}")
        self.watched = tuple(sorted(set(watched)))
        self._names = frozenset(watched)
        self._tables = Tables({name: types[name] for name in self.watched})
        self.index = self.agreed_time_ms = 0
        self.unreadable: dict[tuple[str, str], str] = {}
        self._traces: dict[tuple[str, str], int] = {}  # what they count in the sum
        self.awaiting_reply = False  # a Watch is not yet answered
        self._anew = True
        self._staged: Staged | None = None
        self._older = 0
        self._recent: deque[int] = deque(maxlen=RECENT)  # hashes of what was taken since the last Watch

    def get(self, table: str, key: str) -> Any:
        return self._tables.get(table, key)

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        return self._tables.rows(table, prefix)

    def count(self, table: str) -> int:
        return self._tables.count(table)

    def digest(self) -> str:
        return self._tables.digest()

    def begin_watch(self) -> int:
        """From where the next Watch asks; what was told for an earlier one no longer counts."""
        self.awaiting_reply, self._staged = True, None
        self._recent.clear()  # it may be answered by what was told before
        return 0 if self._anew else self.index

    @property
    def up_to_date(self) -> bool:
        """What is told next is changes after `index`."""
        return not (self.awaiting_reply or self._anew or self._staged)

    def advance_agreed_time(self, at_ms: int) -> bool:
        """The agreed time never goes back. False: this would."""
        back = at_ms < self.agreed_time_ms
        self.agreed_time_ms = max(self.agreed_time_ms, at_ms)
        return not back

    def apply_update(self, message: messages.WatchUpdate) -> list[RowsChanged | RowUnreadable]:
        self._not_twice(message)
        if self._anew:
            raise RejectedUpdateError("not what was asked", False)  # that is answered by the whole
        rows = self._marked(message.rows, named=self.awaiting_reply)
        if message.since != self.index or message.index < message.since:
            raise self._misfit("gap")
        if self._staged:
            raise self._misfit("in a whole")
        told = self._laid(rows, message.rows[0].octets, message.index, whole=False)
        self.awaiting_reply = False
        self._recent.append(hash(message))
        return told

    def apply_snapshot(self, message: messages.WatchSnapshot) -> list[RowsChanged | RowUnreadable]:
        self._not_twice(message)
        staged = self._staged
        if message.part:
            if staged is None or message.index != staged.index or message.part != staged.parts:
                raise self._misfit("parts out of order")
            rows = list(message.rows)
            self._watched(rows)
        else:
            rows = self._marked(message.rows, named=True)
            self._young(message.index)
            staged = self._staged = Staged(message.index, message.rows[0].octets)
            self.awaiting_reply = False
        if len(staged.rows) + len(rows) > MOST_STAGED:
            raise self._misfit("too many rows")
        staged.rows += rows
        staged.parts += 1
        self._recent.append(hash(message))
        if not message.last:
            return []
        held = {(one.table, one.key) for one in staged.rows}
        gone = [
            messages.RowChange(table, key, None)
            for table in self.watched
            for key, _ in self.rows(table)
            if (table, key) not in held
        ]
        gone += [messages.RowChange(*place, None) for place in self.unreadable if place not in held]
        told = self._laid([*gone, *staged.rows], staged.total, staged.index, whole=True)
        self._staged, self._anew = None, False
        return told

    def _not_twice(self, message: messages.WatchUpdate | messages.WatchSnapshot) -> None:
        if hash(message) in self._recent:
            raise RejectedUpdateError("old news", False)

    def _young(self, index: int) -> None:
        """A whole that would take this back is one told before. Where one Watch after another is answered
        so, it is what is held here that was wrong."""
        if index < self.index:
            self._older += self.awaiting_reply
            if self._older < OLDER:
                raise self._misfit("older than held")
        self._older = 0

    def _marked(self, rows: tuple[messages.RowChange, ...], named: bool) -> list[messages.RowChange]:
        """The rows without the marks before them (ring.py), which name all the tables where `named`."""
        count = next((nth for nth, one in enumerate(rows) if one.key), len(rows))
        names = tuple(one.table for one in rows[:count])
        if names != self.watched:
            if names == self.watched[:1] and named:
                raise RejectedUpdateError("not what was asked", False)  # an earlier Watch is still being told
            if names != self.watched[:1]:
                raise self._misfit("other tables")
        self._watched(rows[count:])
        return list(rows[count:])

    def _watched(self, rows: Iterable[messages.RowChange]) -> None:
        if any(one.table not in self._names or not one.key for one in rows):
            raise self._misfit("other tables")

    def _misfit(self, name: str) -> RejectedUpdateError:
        self._anew, self._staged = True, None
        return RejectedUpdateError(name, True)

    def _laid(
        self, rows: list[messages.RowChange], total: bytes | None, index: int, whole: bool
    ) -> list[RowsChanged | RowUnreadable]:
        """All of it, if then the sum is as told; else nothing has changed."""
        before = [self._tables.stored(one.table, one.key) for one in rows]
        unread, traces = dict(self.unreadable), dict(self._traces)
        made, events = [], list[RowsChanged | RowUnreadable]()
        for one in rows:
            place = one.table, one.key
            self.unreadable.pop(place, None)
            self._traces.pop(place, None)
            try:
                made.append(self._tables.decode(one.table, one.key, one.octets))
            except (InvalidRowError, RowTooLargeError) as error:  # what stood there is no longer so
                self.unreadable[place], self._traces[place] = str(error), row_digest(one)
                made.append(StoredRow(None, messages.RowChange(one.table, one.key, None)))
                events.append(RowUnreadable(one.table, one.key, str(error)))
        moved = self._tables.write(made)
        ours = sum(self._tables.digest_sums.values()) + sum(self._traces.values())
        if (ours % (1 << 8 * ROW_DIGEST_BYTES)).to_bytes(ROW_DIGEST_BYTES, "big") != total:
            self._tables.write(before)
            self.unreadable, self._traces = unread, traces
            raise self._misfit("other sum")
        puts = tuple(RowUpdate(one.table, one.key, self.get(one.table, one.key)) for one in moved)
        self.index = index
        return [*events, RowsChanged(index, puts, whole)]
