"""A replica's log in memory, and how much of it is durable.

The log does not decide whether an entry may be removed: callers that know the commit index check before they call
`truncate_after`.
"""

from __future__ import annotations

from collections.abc import Iterable

from brookreach.coordination.protocol.messages import MAX_ENTRIES, MAX_FRAME_BYTES, Entry

# Entries before a snapshot that stay in memory, so that a follower slightly behind needs no snapshot.
RETAINED_ENTRIES = 1024

MAX_APPEND_BYTES = MAX_FRAME_BYTES // 2  # of entries in one AppendEntries
ENTRY_OVERHEAD_BYTES = 32  # the most that an entry takes in a frame beside its own data


class RaftLog:
    """The entries after `base_index`; a snapshot covers all up to that index at least.

    Attributes:
        base_index: Index before the first entry in memory.
        base_term: Term of the entry at `base_index`.
        entries: The entries in memory.
        durable_index: Index of the last entry whose save was confirmed.
    """

    def __init__(self, base_index: int, base_term: int, entries: Iterable[Entry]):
        self.base_index = base_index
        self.base_term = base_term
        self.entries = list(entries)
        self.durable_index = self.last_index
        self._unconfirmed_index = self.last_index  # handed out to be saved up to here
        self._stored_last_index = self.last_index  # where the stored log ends once that save is done

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at `index`, or None if that entry is not in memory."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def between(self, after: int, to: int) -> list[Entry]:
        """Return the entries after one index, up to another."""
        return self.entries[after - self.base_index : to - self.base_index]

    def batch_after(self, index: int) -> tuple[Entry, ...]:
        """Return as many entries after `index` as fit one AppendEntries; at least one, if there is any."""
        start = index - self.base_index
        size = 0
        count = 0
        for entry in self.entries[start : start + MAX_ENTRIES]:
            size += len(entry.octets) + ENTRY_OVERHEAD_BYTES
            if count and size > MAX_APPEND_BYTES:
                break
            count += 1
        return tuple(self.entries[start : start + count])

    def append(self, entries: Iterable[Entry]) -> None:
        """Add entries at the end."""
        self.entries.extend(entries)

    def truncate_after(self, index: int) -> None:
        """Remove the entries after `index`."""
        del self.entries[index - self.base_index :]
        self._unconfirmed_index = min(self._unconfirmed_index, index)
        self.durable_index = min(self.durable_index, index)

    def compact(self, snapshot_index: int) -> None:
        """Remove the entries that a snapshot covers, but for the last `RETAINED_ENTRIES` of them."""
        base_index = snapshot_index - RETAINED_ENTRIES
        if base_index <= self.base_index:
            return
        removed = base_index - self.base_index
        self.base_term = self.entries[removed - 1].term
        del self.entries[:removed]
        self.base_index = base_index

    def reset(self, snapshot_index: int, snapshot_term: int) -> None:
        """Replace the whole log by a leader's snapshot."""
        self.base_index = snapshot_index
        self.base_term = snapshot_term
        self.entries = []
        self._unconfirmed_index = snapshot_index
        self._stored_last_index = snapshot_index
        self.durable_index = min(self.durable_index, snapshot_index)

    def has_unsaved_changes(self) -> bool:
        """Whether the stored log differs from this one, once what was handed out is saved."""
        return self._unconfirmed_index < max(self.last_index, self._stored_last_index)

    def take_unsaved(self) -> tuple[int, list[Entry]]:
        """Return the index after which the stored log is truncated, and the entries to append there."""
        truncate_after = max(self._unconfirmed_index, self.base_index)
        entries = self.entries[truncate_after - self.base_index :]
        self._unconfirmed_index = self.last_index
        self._stored_last_index = self.last_index
        return truncate_after, entries

    def confirm_saved(self) -> None:
        """Count as durable what was handed out and has not been removed since."""
        self.durable_index = self._unconfirmed_index
