"""Storage in memory, for tests and for models on a virtual clock."""

from __future__ import annotations

from dataclasses import replace

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState


class InMemoryStorage:
    """A `Storage` that lasts as long as the object; initialized with `members`, if there are any.

    Attributes:
        saves: How many saves succeeded.
        entries: The entries after the snapshot.
    """

    def __init__(self, members: tuple[str, ...] = ()):
        self._state = StoredState(snapshot=Snapshot(members=members))
        self._failure = ""
        self.entries: list[Entry] = []
        self.saves = 0

    @property
    def snapshot(self) -> Snapshot:
        """The last snapshot that was saved."""
        return self._state.snapshot

    def bootstrap(self, members: tuple[str, ...]) -> None:
        """Initialize the empty storage with the members of the cluster.

        Raises:
            StorageError: If it is initialized already.
        """
        if self.snapshot.members:
            raise StorageError("already initialized: only an empty storage can be bootstrapped or joined")
        self._state = StoredState(snapshot=Snapshot(members=members))

    join = bootstrap

    def fail_next(self, reason: str = "is full") -> None:
        """Let the next save fail."""
        self._failure = reason

    def load(self) -> StoredState:
        """Return what was saved last."""
        return replace(self._state, entries=tuple(self.entries))

    def save(self, save: PendingSave) -> None:
        """Keep the changes.

        Raises:
            StorageError: If `fail_next` was called since the last save.
        """
        if self._failure:
            reason, self._failure = self._failure, ""
            raise StorageError(f"storage in memory {reason}")
        del self.entries[max(0, save.truncate_after - self.snapshot.index) :]
        self.entries.extend(save.entries)
        snapshot = self.snapshot
        if save.snapshot is not None:
            snapshot = save.snapshot
            self.entries = [entry for entry in self.entries if entry.index > snapshot.index]
        self._state = StoredState(save.term, save.voted_for, snapshot)
        self.saves += 1
