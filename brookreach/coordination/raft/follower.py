"""A follower: whom it takes as leader, what of the leader's log it takes, what it answers.

It owns the comparison of the leader's log with this one's. It must never let go what is committed, nor take
half of a message: what can't be as a whole is refused by a name and changes nothing.
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
from brookreach.coordination.raft.node_state import FOLLOWS, LEADS, NodeState
from brookreach.coordination.raft.snapshot_transfer import SnapshotReceiver, SnapshotTransferError


def misshapen(append: AppendEntries) -> str | None:
    """Why no leader can have said this; None: one can."""
    place, term = append.prev_index, append.prev_term
    if (place == 0) != (term == 0):
        return "a place that can't be"
    for entry in append.entries:
        place += 1
        if entry.index != place:
            return "entries with gaps"
        if entry.term < max(term, 1):
            return "terms that run backwards"
        term = entry.term
        try:
            decode_members(entry.octets)
        except ValueError:
            return "seats that can't be read"
    return "terms that run ahead" if term > append.term else None


class Follower:
    def __init__(self, state: NodeState):
        self.state = state
        self.taking = SnapshotReceiver()

    def _follows(self, source: str, term: int) -> bool:
        state = self.state
        if term == state.term and (state.role == LEADS or state.leader not in ("", source)):
            state.refuse("another leads this term")
            return False
        if term > state.term:
            state.rise(term)
        state.role, state.leader, state.heard_at = FOLLOWS, source, state.now
        state.rest()
        return True

    def append(self, source: str, message: AppendEntries) -> None:
        state, log = self.state, self.state.log
        wrong = misshapen(message)
        if wrong:
            return state.refuse(wrong)
        if message.term < state.term:  # so that it hears of the newer term
            return state.say(source, AppendEntriesReply(state.term, False, log.last, message.round))
        if not self._follows(source, message.term):
            return
        prev, end = message.prev_index, message.prev_index + len(message.entries)
        if prev >= log.base and log.term_at(prev) != message.prev_term:
            if prev <= state.commit:
                return state.refuse("against what is committed")
            return state.say(source, AppendEntriesReply(state.term, False, self._before(prev), message.round))
        new = self._new(message.entries)
        if new is None:
            return state.refuse("against what is committed")
        if new:
            state.back_to(new[0].index - 1)
            state.add(new)
        state.commit = max(state.commit, min(message.commit_index, end))
        # Up to `commit` every leader has what stands here, so this may be told beyond the message's end.
        state.say(source, AppendEntriesReply(state.term, True, max(end, state.commit), message.round))

    def _before(self, prev: int) -> int:
        """Where a leader whose entry at `prev` is another may try: before all of mine of that term."""
        state, log = self.state, self.state.log
        if prev > log.last:
            return log.last
        term = log.term_at(prev)
        while prev > state.commit and log.term_at(prev) == term:
            prev -= 1
        return prev

    def _new(self, entries: tuple[Entry, ...]) -> list[Entry] | None:
        """Those from the first on that isn't held; None: one goes against what is committed."""
        state, log = self.state, self.state.log
        for nth, entry in enumerate(entries):
            if entry.index < log.base:
                continue  # in the snapshot
            if log.term_at(entry.index) == entry.term:
                continue
            return None if entry.index <= state.commit else list(entries[nth:])
        return []

    def part(self, source: str, message: InstallSnapshot) -> None:
        state = self.state
        if message.index == 0 or not 1 <= message.index_term <= message.term:
            return state.refuse("a snapshot that can't be")
        if message.term < state.term:
            return state.say(source, AppendEntriesReply(state.term, False, state.log.last, message.round))
        if not self._follows(source, message.term):
            return
        if message.index <= state.commit:
            return state.say(source, AppendEntriesReply(state.term, True, state.commit, message.round))
        held, snapshot = 0, None
        try:
            held, snapshot = self.taking.take(message)
        except SnapshotTransferError as torn:
            state.refuse(str(torn))
        if snapshot is None:
            return state.say(source, InstallSnapshotReply(state.term, message.index, held, message.round))
        state.install(snapshot)
        state.say(source, AppendEntriesReply(state.term, True, snapshot.index, message.round))
