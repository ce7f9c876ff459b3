"""What a leader sends to its followers: entries, heartbeats and chunks of snapshots.

All messages carry the number of the leader's *round*. A majority of answers to a round shows that the node still led
when it began the round; stepping down and linearizable reads rely on that.
"""

from __future__ import annotations

from brookreach.coordination.protocol.messages import AppendEntries, Entry
from brookreach.coordination.raft.node_state import NodeState
from brookreach.coordination.raft.progress import FollowerProgress, Mode


class ReplicationSender:
    """The sending half of a leader's replication.

    Attributes:
        round: Number of the last round.
    """

    def __init__(self, state: NodeState, progress: dict[str, FollowerProgress]):
        self._state = state
        self._progress = progress
        self.round = 0

    def begin_round(self) -> None:
        """Send one message to each follower, with entries where that is possible now."""
        self.round += 1
        for name, follower in self._progress.items():
            if follower.mode == Mode.SNAPSHOT:
                self._send_append(name, follower, self._state.log.last_index, ())
            else:
                self.send(name, follower, with_entries=follower.may_send_entries())

    def send_pending(self) -> None:
        """Send the entries and chunks that may be sent now."""
        for name, follower in self._progress.items():
            self._replicate(name, follower)

    def _replicate(self, name: str, follower: FollowerProgress) -> None:
        match follower.mode:
            case Mode.SNAPSHOT:
                self._send_chunk(name, follower)
            case Mode.PROBE:
                if follower.may_send_entries():
                    self.send(name, follower, with_entries=True)
            case Mode.STREAM:
                while follower.next_index <= self._state.log.last_index and follower.may_send_entries():
                    self.send(name, follower, with_entries=True)

    def send(self, name: str, follower: FollowerProgress, *, with_entries: bool) -> None:
        """Send an AppendEntries, or begin a snapshot if the log no longer reaches back far enough."""
        state = self._state
        prev_index = follower.next_index - 1
        if prev_index < state.log.base_index:
            follower.begin_snapshot(state.snapshot)
            self._send_chunk(name, follower)
            return
        entries = state.log.batch_after(prev_index) if with_entries else ()
        self._send_append(name, follower, prev_index, entries)
        if follower.mode == Mode.PROBE:
            follower.probe_outstanding = True
        elif entries:
            follower.on_entries_sent(entries[-1].index, state.now)

    def _send_append(self, name: str, follower: FollowerProgress, prev_index: int, entries: tuple[Entry, ...]) -> None:
        state = self._state
        follower.sent_round = self.round
        follower.sent_index = max(follower.sent_index, prev_index + len(entries))
        prev_term = state.log.term_at(prev_index) or 0
        message = AppendEntries(state.term, prev_index, prev_term, state.commit_index, self.round, entries)
        state.send(name, message)

    def _send_chunk(self, name: str, follower: FollowerProgress) -> None:
        """Send the next chunk of the snapshot, unless one is outstanding."""
        state = self._state
        sender = follower.snapshot_sender
        if sender is None or sender.chunk_outstanding:
            return
        follower.sent_round = self.round
        follower.sent_index = max(follower.sent_index, sender.index)
        state.send(name, sender.next_chunk(state.now, state.term, self.round))
