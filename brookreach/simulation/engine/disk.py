"""A replica's disk in memory, with its faults: full, rolled back, lost, or a crash while it is written.

What `save` confirmed lasts until a fault takes it away. A save is kept whole or not at all: that is the promise of the
real store, which drills between processes test on files.
"""

from __future__ import annotations

from brookreach.coordination.errors import StorageError
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState
from brookreach.simulation.engine.faults import CrashPoint

MAX_EARLIER_STATES = 64  # kept for a disk that is rolled back


class SimulatedCrashError(Exception):
    """The simulation kills the process here, as SIGKILL would."""


class MemoryDisk:
    """Implements the `Disk` that a replica is given.

    Attributes:
        is_full: Whether every save fails.
        crash_point: In which save the process dies; reset as soon as it does.
        dies_after_promise: The process is to die once it has sent what its last save allows.
        saves: How many saves succeeded.
    """

    def __init__(self, members: tuple[str, ...], name: str = ""):
        self.is_full = False
        self.crash_point = CrashPoint.IMMEDIATELY
        self.dies_after_promise = False
        self.saves = 0
        self._name = name
        self._state = StoredState(snapshot=Snapshot(members=members))
        self._earlier_states: list[StoredState] = []

    def load(self) -> StoredState:
        """Return what the last confirmed save left."""
        return self._state

    def save(self, save: PendingSave) -> None:
        """Make a save durable.

        Raises:
            StorageError: The disk is full.
            SimulatedCrashError: The process dies at its crash point.
        """
        if self.is_full:
            raise StorageError("the disk is full")
        crash_point = self._take_crash_point(save)
        if crash_point is CrashPoint.BEFORE_SAVE:
            raise SimulatedCrashError("before its save lasted")
        self._earlier_states = [*self._earlier_states[1 - MAX_EARLIER_STATES :], self._state]
        self._state = state_after_save(self._state, save)
        self.saves += 1
        self.dies_after_promise = crash_point is CrashPoint.AFTER_PROMISE
        if crash_point in (CrashPoint.AFTER_SAVE, CrashPoint.AFTER_FIRST_ENTRY):
            raise SimulatedCrashError("after its save, before it said so")

    def _take_crash_point(self, save: PendingSave) -> CrashPoint:
        """Return the crash point if this save reaches it; otherwise it stays for a later one."""
        if self.crash_point is CrashPoint.AFTER_PROMISE and save.term <= self._state.term:
            return CrashPoint.IMMEDIATELY
        if self.crash_point is CrashPoint.AFTER_FIRST_ENTRY and not self._begins_leadership(save):
            return CrashPoint.IMMEDIATELY
        crash_point = self.crash_point
        self.crash_point = CrashPoint.IMMEDIATELY
        return crash_point

    def _begins_leadership(self, save: PendingSave) -> bool:
        """A new leader votes for itself and begins its term with an entry without a command."""
        return save.voted_for == self._name and any(not entry.octets for entry in save.entries)

    def erase(self) -> None:
        """Lose all that was saved."""
        self._state = StoredState()
        self._earlier_states = []

    def roll_back(self, saves: int) -> None:
        """Return to the state of so many saves ago."""
        if self._earlier_states:
            self._state = self._earlier_states[max(0, len(self._earlier_states) - saves)]
            self._earlier_states = []


def state_after_save(state: StoredState, save: PendingSave) -> StoredState:
    """Return what a disk holds after a save.

    Entries past `save.truncate_after` are removed and new ones added; a snapshot replaces the entries that it covers.

    Raises:
        ValueError: The save would leave a gap in the log.
    """
    snapshot = state.snapshot
    entries = [entry for entry in state.entries if entry.index <= save.truncate_after]
    entries += save.entries
    if save.snapshot is not None:
        snapshot = save.snapshot
        entries = [entry for entry in entries if entry.index > snapshot.index]
    indices = [entry.index for entry in entries]
    if indices != list(range(snapshot.index + 1, snapshot.index + 1 + len(indices))):
        raise ValueError(f"a save leaves a gap: snapshot at {snapshot.index}, entries {indices[:1]} to {indices[-1:]}")
    return StoredState(save.term, save.voted_for, snapshot, tuple(entries))
