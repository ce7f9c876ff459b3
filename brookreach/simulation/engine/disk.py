"""A keeper's disk in memory, with its faults: full, older, emptied, torn while it was being written.

What `save` confirmed lasts until a fault takes it away. It must never give back half of a save: that a disk
keeps whole or not at all is the store's promise, and drilled on real files by `processes.py`.
"""

from __future__ import annotations

from brookreach.coordination.errors import StorageError
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState

MOST_OLDER = 64  # earlier states kept, for a disk that comes back older


class MemoryDisk:
    """`torn`: what becomes of the next save, in which the process dies: "before" it lasts or "after";
    "promise": soon after it, if the term is a new one; "first": after it, if its lead begins with it.
    """

    def __init__(self, members: tuple[str, ...], name: str = ""):
        self.name, self.kept = name, StoredState(snapshot=Snapshot(members=members))
        self.older: list[StoredState] = []
        self.full = False
        self.torn = ""
        self.saves = 0
        self.promised = False  # the process is to die once it has said what it now may

    def load(self) -> StoredState:
        return self.kept

    def save(self, save: PendingSave) -> None:
        if self.full:
            raise StorageError("the disk is full")
        torn, self.torn = self.torn, ""
        if torn == "before":
            raise Died("before its save lasted")
        promised = torn == "promise" and save.term > self.kept.term
        begins = torn == "first" and save.voted_for == self.name and any(not one.octets for one in save.entries)
        if (torn == "promise" and not promised) or (torn == "first" and not begins):
            self.torn = torn
        self.older = [*self.older[1 - MOST_OLDER :], self.kept]
        self.kept = kept_after(self.kept, save)
        self.saves += 1
        self.promised = promised
        if torn == "after" or begins:
            raise Died("after its save, before it said so")

    def empty(self) -> None:
        self.kept, self.older = StoredState(), []

    def go_back(self, saves: int) -> None:
        """As it was so many saves ago."""
        if self.older:
            self.kept = self.older[max(0, len(self.older) - saves)]
            self.older = []


class Died(Exception):
    """The drill ends the process here, as SIGKILL would."""


def kept_after(kept: StoredState, save: PendingSave) -> StoredState:
    """What a disk holds after a save. Entries past `truncate_after` go, new ones come, a snapshot takes what it
    covers.
    """
    entries = [entry for entry in kept.entries if entry.index <= save.truncate_after]
    entries += save.entries
    snapshot = kept.snapshot
    if save.snapshot is not None:
        snapshot = save.snapshot
        entries = [entry for entry in entries if entry.index > snapshot.index]
    indexes = [entry.index for entry in entries]
    if indexes != list(range(snapshot.index + 1, snapshot.index + 1 + len(indexes))):
        raise ValueError(f"a save leaves a gap: snapshot at {snapshot.index}, entries {indexes[:1]} to {indexes[-1:]}")
    return StoredState(save.term, save.voted_for, snapshot, tuple(entries))
