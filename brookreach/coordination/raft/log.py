"""A keeper's log in memory: which entries stand at which places, and how much of it is on disk.

It owns places, terms and what is still to be saved. It must never decide whether an entry may go: those who
know what is committed ask before they call `back_to`.
"""

from __future__ import annotations

from collections.abc import Iterable

from brookreach.coordination.protocol.messages import MAX_ENTRIES, MAX_FRAME_BYTES, Entry

RETAINED_ENTRIES = 1024  # entries kept in memory before a snapshot, so that one slightly behind needs no whole
MAX_APPEND_BYTES = MAX_FRAME_BYTES // 2  # of entries in one Append
AROUND = 32  # bytes that an entry takes in a frame beside its octets, at most


class RaftLog:
    """`base` is the place before the first entry in memory; a snapshot holds all up to it at least."""

    def __init__(self, base: int, base_term: int, entries: Iterable[Entry]):
        self.base, self.base_term = base, base_term
        self.entries = list(entries)
        self.handed = self.last  # up to here as handed out to be saved
        self.on_disk = self.last  # where the log ends on disk, once that is saved
        self.saved = self.last  # up to here confirmed

    @property
    def last(self) -> int:
        return self.base + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, place: int) -> int | None:
        """None: not held, or no longer."""
        if place == self.base:
            return self.base_term
        if self.base < place <= self.last:
            return self.entries[place - self.base - 1].term
        return None

    def span(self, after: int, to: int) -> list[Entry]:
        return self.entries[after - self.base : to - self.base]

    def since(self, after: int) -> tuple[Entry, ...]:
        """What of the entries after a place fits one Append; at least one, where there is any."""
        start, size, count = after - self.base, 0, 0
        for entry in self.entries[start : start + MAX_ENTRIES]:
            size += len(entry.octets) + AROUND
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        return tuple(self.entries[start : start + count])

    def add(self, entries: Iterable[Entry]) -> None:
        self.entries.extend(entries)

    def back_to(self, place: int) -> None:
        """Entries past this place go."""
        del self.entries[place - self.base :]
        self.handed, self.saved = min(self.handed, place), min(self.saved, place)

    def cut(self, place: int) -> None:
        """All up to this place is in a snapshot; a tail of it stays for those slightly behind."""
        base = place - RETAINED_ENTRIES
        if base > self.base:
            self.base_term = self.entries[base - self.base - 1].term
            del self.entries[: base - self.base]
            self.base = base

    def begin_at(self, place: int, term: int) -> None:
        """A leader's snapshot takes the place of all that stood here."""
        self.base, self.base_term, self.entries = place, term, []
        self.handed = self.on_disk = place
        self.saved = min(self.saved, place)

    def changed(self) -> bool:
        return self.handed < max(self.last, self.on_disk)

    def to_save(self) -> tuple[int, list[Entry]]:
        """The place past which the disk's log goes, and what then is added; now it counts as handed."""
        after = max(self.handed, self.base)
        entries = self.entries[after - self.base :]
        self.handed = self.on_disk = self.last
        return after, entries

    def confirmed(self) -> None:
        """What was handed, and not changed since, is on disk."""
        self.saved = self.handed
