"""Recent changes of the agreed state, once for all that watch it, and copies of the whole cut into messages.

It owns up to where a message may go and what it carries. It must never grow with the number of watchers, nor
give out a message that begins or ends within an entry of the log.

Before its rows a message has marks, changes of the key "", which no row has. The first bears the sum of all
rows of the watched tables at the message's place: a client that comes to another one took or was told
something wrong. Marks that name all the tables stand before a whole and in the first answer to a Watch.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from dataclasses import dataclass
from typing import NamedTuple

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.tables import ROW_DIGEST_BYTES, encoded_size

MARKS = 64  # watched tables, at most, as words.Watch
Rows = tuple[messages.RowChange, ...]
Names = tuple[str, ...]


def digest_markers(names: Collection[str], total: int) -> Rows:
    octets = (total % (1 << 8 * ROW_DIGEST_BYTES)).to_bytes(ROW_DIGEST_BYTES, "big")
    return tuple(messages.RowChange(one, "", None if nth else octets) for nth, one in enumerate(names))


class Step(NamedTuple):
    """One entry of the log that changed something."""

    place: int
    changes: Rows
    octets: int
    moved: dict[str, int]  # by how much each table's sum did


class Found(NamedTuple):
    """What one message can tell: up to where, rows, the sum there, bytes."""

    upto: int
    rows: Rows
    total: int
    octets: int


@dataclass(frozen=True, slots=True)
class Copy:
    """The watched tables as of `index`, cut into messages; shared by all that watch the same."""

    index: int
    parts: tuple[tuple[Rows, int], ...]  # and their bytes


class ChangeFeed:
    def __init__(self, machine: StateMachine, most_ring: int, most_bytes: int):
        self._machine, self._most_ring, self._most_bytes = machine, most_ring, most_bytes
        self.index = self.floor = 0
        self.octets = 0
        self._steps: deque[Step] = deque()
        self._sums: dict[str, int] = {}
        self._copies: dict[Names, Copy] = {}
        self._found: dict[tuple[Names, int], Found | None] = {}  # as long as `index` stands
        self.restored()

    def restored(self) -> None:
        """What changed before this is not known."""
        self._steps.clear()
        self._copies.clear()
        self._found.clear()
        self.index = self.floor = self._machine.applied  # all changes after `floor` are in the ring
        self.octets, self._sums = 0, dict(self._machine.view.digest_sums)

    def took(self, changes: Rows) -> Collection[str]:
        """What the entry that was just applied changed; hands back the tables."""
        self.index = self._machine.applied
        self._found.clear()
        if not changes:
            return ()
        sums = self._machine.view.digest_sums
        moved = {name: sums[name] - self._sums[name] for name in sorted({one.table for one in changes})}
        self._sums.update((name, sums[name]) for name in moved)
        self._steps.append(Step(self.index, changes, sum(encoded_size(one) for one in changes), moved))
        self.octets += self._steps[-1].octets
        while self.octets > self._most_ring:
            gone = self._steps.popleft()
            self.floor, self.octets = gone.place, self.octets - gone.octets
        return moved

    def changes(self, names: Names, seen: int) -> Found | None:
        """Whole entries after `seen`, as many as one message carries. None: the whole is shorter, or the
        ring does not reach back, or the first entry is too large."""
        if seen < self.floor:
            return None
        key = names, seen
        if key not in self._found:
            self._found[key] = self._gathered(names, seen)
        return self._found[key]

    def _gathered(self, names: Names, seen: int) -> Found | None:
        later = []
        for step in reversed(self._steps):
            if step.place <= seen:
                break
            later.append(step)
        rows: dict[tuple[str, str], messages.RowChange] = {}
        last: dict[tuple[str, str], int] = {}  # what each row weighs at the end
        octets, upto, full = 0, seen, False
        total = sum(self._sums[one] for one in names)
        for step in reversed(later):
            mine = [one for one in step.changes if one.table in names]
            size = sum(encoded_size(one) for one in mine)
            last.update(((one.table, one.key), encoded_size(one)) for one in mine)
            many = len(rows) + len(mine) > messages.MAX_ROWS - MARKS
            full = full or many or octets + size > self._most_bytes
            if full:
                total -= sum(step.moved.get(one, 0) for one in names)
            else:
                rows.update(((one.table, one.key), one) for one in mine)
                octets, upto = octets + size, step.place
        if full and not rows:
            return None
        if sum(last.values()) > sum(self._machine.view.table_size(one) for one in names):
            return None
        return Found(upto if full else self.index, tuple(rows.values()), total, octets)

    def copy(self, names: Names, least: int) -> Copy:
        """The whole at `least` or later. One made before does, where what changed since then is shorter."""
        copy = self._copies.get(names)
        if copy is None or copy.index < least or self.changes(names, copy.index) is None:
            parts: list[tuple[Rows, int]] = []
            part, octets = list(digest_markers(names, sum(self._sums[one] for one in names))), 0
            for name in names:
                for one in self._machine.view.changes(name):
                    size = encoded_size(one)
                    if len(part) >= messages.MAX_ROWS or octets + size > self._most_bytes:
                        parts.append((tuple(part), octets))
                        part, octets = [], 0
                    part.append(one)
                    octets += size
            copy = self._copies[names] = Copy(self.index, (*parts, (tuple(part), octets)))
        return copy

    def forget(self, names: Names) -> None:
        self._copies.pop(names, None)
