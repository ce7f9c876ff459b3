"""A follower's side of replication: which leader it accepts, and what of the leader's log it takes.

A committed entry is never removed. A message is taken whole or not at all: one that no leader can have sent is
rejected and changes nothing.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
)
from brookreach.coordination.raft.membership import decode_members
from brookreach.coordination.raft.node_state import NodeState, Role
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.snapshot_transfer import SnapshotReceiver, SnapshotTransferError


def find_defect(message: AppendEntries) -> Rejection | None:
    """Return why no leader can have sent this message, or None if one can."""
    index = message.prev_index
    term = message.prev_term
    if (index == 0) != (term == 0):
        return Rejection.IMPLAUSIBLE_PREVIOUS_ENTRY
    for entry in message.entries:
        index += 1
        if entry.index != index:
            return Rejection.GAP_IN_ENTRIES
        if entry.term < max(term, 1):
            return Rejection.DECREASING_TERMS
        term = entry.term
        try:
            decode_members(entry.octets)
        except ValueError:
            return Rejection.UNREADABLE_MEMBERSHIP
    return Rejection.ENTRY_TERM_AHEAD if term > message.term else None


class Follower:
    """A node towards the leader of its term."""

    def __init__(self, state: NodeState):
        self._state = state
        self.snapshot_receiver = SnapshotReceiver()

    # --- AppendEntries ---

    def on_append_entries(self, source: str, message: AppendEntries) -> None:
        """Take the leader's entries if the log up to them is the same, and answer how far it is."""
        state = self._state
        defect = find_defect(message)
        if defect is not None:
            state.reject(defect)
            return
        if message.term < state.term:  # tells it of the later term
            self._reply(source, message, success=False, index=state.log.last_index)
            return
        if not self._accepts_leader(source, message.term):
            return
        if not self._matches_at(message.prev_index, message.prev_term):
            if message.prev_index <= state.commit_index:
                state.reject(Rejection.CONFLICTS_WITH_COMMITTED)
            else:
                self._reply(source, message, success=False, index=self._conflict_hint(message.prev_index))
            return
        new_entries = self._new_entries(message.entries)
        if new_entries and new_entries[0].index <= state.commit_index:
            state.reject(Rejection.CONFLICTS_WITH_COMMITTED)
            return
        self._accept_entries(message, new_entries)
        # Up to the commit index every leader has the same entries, so that may be acknowledged beyond the message.
        index = max(message.prev_index + len(message.entries), state.commit_index)
        self._reply(source, message, success=True, index=index)

    def _accepts_leader(self, source: str, term: int) -> bool:
        state = self._state
        if term == state.term and (state.role == Role.LEADER or state.leader not in ("", source)):
            state.reject(Rejection.SECOND_LEADER)
            return False
        if term > state.term:
            state.enter_term(term)
        state.follow(source)
        return True

    def _matches_at(self, index: int, term: int) -> bool:
        """Whether the entry at `index` is the leader's. What is covered by a snapshot is committed, so it is."""
        log = self._state.log
        return index < log.base_index or log.term_at(index) == term

    def _conflict_hint(self, prev_index: int) -> int:
        """Where the leader may try next: before all entries of the term of the conflicting one."""
        state = self._state
        if prev_index > state.log.last_index:
            return state.log.last_index
        index = prev_index
        conflicting_term = state.log.term_at(index)
        while index > state.commit_index and state.log.term_at(index) == conflicting_term:
            index -= 1
        return index

    def _new_entries(self, entries: tuple[Entry, ...]) -> list[Entry]:
        """The entries from the first one on that this log does not hold."""
        log = self._state.log
        for position, entry in enumerate(entries):
            is_covered = entry.index < log.base_index
            if not is_covered and log.term_at(entry.index) != entry.term:
                return list(entries[position:])
        return []

    def _accept_entries(self, message: AppendEntries, new_entries: list[Entry]) -> None:
        state = self._state
        if new_entries:
            state.truncate_after(new_entries[0].index - 1)
            state.append(new_entries)
        last_index = message.prev_index + len(message.entries)
        state.commit_index = max(state.commit_index, min(message.commit_index, last_index))

    def _reply(self, source: str, message: AppendEntries | InstallSnapshot, *, success: bool, index: int) -> None:
        state = self._state
        state.send(source, AppendEntriesReply(state.term, success, index, message.round))

    # --- InstallSnapshot ---

    def on_install_snapshot(self, source: str, message: InstallSnapshot) -> None:
        """Take a chunk of the leader's snapshot; install it once it is complete."""
        state = self._state
        if message.index == 0 or not 1 <= message.index_term <= message.term:
            state.reject(Rejection.IMPLAUSIBLE_SNAPSHOT)
            return
        if message.term < state.term:
            self._reply(source, message, success=False, index=state.log.last_index)
            return
        if not self._accepts_leader(source, message.term):
            return
        if message.index <= state.commit_index:
            self._reply(source, message, success=True, index=state.commit_index)
            return
        self._receive(source, message)

    def _receive(self, source: str, message: InstallSnapshot) -> None:
        state = self._state
        next_offset = 0
        try:
            received = self.snapshot_receiver.add(message)
        except SnapshotTransferError as error:
            state.reject(error.rejection)
        else:
            if received.snapshot is not None:
                state.install(received.snapshot)
                self._reply(source, message, success=True, index=received.snapshot.index)
                return
            next_offset = received.next_offset
        state.send(source, InstallSnapshotReply(state.term, message.index, next_offset, message.round))
