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
from brookreach.coordination.raft.membership import listed
from brookreach.coordination.raft.node_state import FOLLOWS, LEADS, NodeState
from brookreach.coordination.raft.snapshot_transfer import Taking, Torn


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
            listed(entry.octets)
        except ValueError:
            return "seats that can't be read"
    return "terms that run ahead" if term > append.term else None


class Follower:
    def __init__(self, core: NodeState):
        self.core = core
        self.taking = Taking()

    def _follows(self, source: str, term: int) -> bool:
        core = self.core
        if term == core.term and (core.role == LEADS or core.leader not in ("", source)):
            core.refuse("another leads this term")
            return False
        if term > core.term:
            core.rise(term)
        core.role, core.leader, core.heard_at = FOLLOWS, source, core.now
        core.rest()
        return True

    def append(self, source: str, message: AppendEntries) -> None:
        core, log = self.core, self.core.log
        wrong = misshapen(message)
        if wrong:
            return core.refuse(wrong)
        if message.term < core.term:  # so that it hears of the newer term
            return core.say(source, AppendEntriesReply(core.term, False, log.last, message.round))
        if not self._follows(source, message.term):
            return
        prev, end = message.prev_index, message.prev_index + len(message.entries)
        if prev >= log.base and log.term_at(prev) != message.prev_term:
            if prev <= core.commit:
                return core.refuse("against what is committed")
            return core.say(source, AppendEntriesReply(core.term, False, self._before(prev), message.round))
        new = self._new(message.entries)
        if new is None:
            return core.refuse("against what is committed")
        if new:
            core.back_to(new[0].index - 1)
            core.add(new)
        core.commit = max(core.commit, min(message.commit_index, end))
        # Up to `commit` every leader has what stands here, so this may be told beyond the message's end.
        core.say(source, AppendEntriesReply(core.term, True, max(end, core.commit), message.round))

    def _before(self, prev: int) -> int:
        """Where a leader whose entry at `prev` is another may try: before all of mine of that term."""
        core, log = self.core, self.core.log
        if prev > log.last:
            return log.last
        term = log.term_at(prev)
        while prev > core.commit and log.term_at(prev) == term:
            prev -= 1
        return prev

    def _new(self, entries: tuple[Entry, ...]) -> list[Entry] | None:
        """Those from the first on that isn't held; None: one goes against what is committed."""
        core, log = self.core, self.core.log
        for nth, entry in enumerate(entries):
            if entry.index < log.base:
                continue  # in the snapshot
            if log.term_at(entry.index) == entry.term:
                continue
            return None if entry.index <= core.commit else list(entries[nth:])
        return []

    def part(self, source: str, message: InstallSnapshot) -> None:
        core = self.core
        if message.index == 0 or not 1 <= message.index_term <= message.term:
            return core.refuse("a snapshot that can't be")
        if message.term < core.term:
            return core.say(source, AppendEntriesReply(core.term, False, core.log.last, message.round))
        if not self._follows(source, message.term):
            return
        if message.index <= core.commit:
            return core.say(source, AppendEntriesReply(core.term, True, core.commit, message.round))
        held, snapshot = 0, None
        try:
            held, snapshot = self.taking.take(message)
        except Torn as torn:
            core.refuse(str(torn))
        if snapshot is None:
            return core.say(source, InstallSnapshotReply(core.term, message.index, held, message.round))
        core.install(snapshot)
        core.say(source, AppendEntriesReply(core.term, True, snapshot.index, message.round))
