"""What a replica needs of its storage."""

from __future__ import annotations

from typing import Protocol

from brookreach.coordination.raft.types import PendingSave, StoredState


class Storage(Protocol):
    """The durable state of one replica."""

    def load(self) -> StoredState:
        """Return what was saved last.

        Raises:
            StorageError: If it can't be read, or is not what was saved.
        """
        ...

    def save(self, save: PendingSave) -> None:
        """Return once the changes are durable (fsync).

        Raises:
            StorageError: If they can't be saved; then none of them is.
        """
        ...
