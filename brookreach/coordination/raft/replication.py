"""A leader's side of Raft, for one term: commit index, heartbeats, reads, and handing the leadership over.

An entry counts for a replica only once it is durable there, and entries of earlier terms are never committed by
counting replicas (section 5.4.2 of the Raft paper): the leader's first entry commits them along with itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from brookreach.coordination.protocol.messages import (
    AppendEntriesReply,
    Entry,
    InstallSnapshotReply,
    TimeoutNow,
)
from brookreach.coordination.raft.node_state import NodeState, Role
from brookreach.coordination.raft.progress import RETRANSMIT_HEARTBEATS, FollowerProgress, Mode
from brookreach.coordination.raft.read_index import ReadQueue
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.replication_sender import ReplicationSender

Figure = TypeVar("Figure", int, float)


@dataclass(slots=True)
class LeadershipTransfer:
    """A transfer to `target`, given up at `deadline`."""

    target: str
    deadline: float
    requested: bool = False  # since the last heartbeat


class LeaderReplication:
    """The leader of one term.

    Attributes:
        progress: What is known of each follower, by name.
        transfer: The transfer of the leadership that is under way, if any.
        first_index: Index of the entry by which this leader began its term.
        heartbeat_due: When the next heartbeat is due.
    """

    def __init__(self, state: NodeState):
        self._state = state
        self.progress: dict[str, FollowerProgress] = {}
        self.reads = ReadQueue()
        self.transfer: LeadershipTransfer | None = None
        self._sender = ReplicationSender(state, self.progress)
        self.first_index = state.log.last_index + 1
        self.track_members(self.first_index)
        state.append([Entry(self.first_index, state.term, b"")])
        self.heartbeat_due = state.now + state.timing.heartbeat_ms

    @property
    def round(self) -> int:
        """Number of the last round of messages."""
        return self._sender.round

    def track_members(self, next_index: int) -> None:
        """Begin to replicate to new members. A removed one is still sent its removal, until that is committed."""
        for name in self._state.peers:
            self.progress.setdefault(name, FollowerProgress(next_index, self._state.now))

    def majority_value(self, own: Figure, of_follower: Callable[[FollowerProgress], Figure]) -> Figure:
        """Return the highest value that a majority of the members has reached."""
        state = self._state
        values = [own if name == state.name else of_follower(self.progress[name]) for name in state.members]
        return sorted(values, reverse=True)[len(values) // 2]

    def _confirmed_round(self) -> int:
        """The last round that a majority has answered."""
        return self.majority_value(self.round, lambda follower: follower.answered_round)

    # --- Requests ---

    def may_change_members(self) -> bool:
        """Whether the last change is committed, and an entry of this term, too."""
        state = self._state
        needed_index = max(self.first_index, state.membership.last_change_index)
        return state.commit_index >= needed_index and self.transfer is None

    def append(self, data: bytes) -> int:
        """Append an entry; returns its index."""
        state = self._state
        index = state.log.last_index + 1
        state.append([Entry(index, state.term, data)])
        return index

    def request_read(self, ticket: int) -> None:
        """Add a read that sees all that is committed now."""
        index = max(self._state.commit_index, self.first_index)
        self.reads.add(ticket, current_round=self.round, index=index)

    def begin_transfer(self) -> bool:
        """Hand the leadership over to the most up-to-date follower that was heard of late; False: there is none."""
        state = self._state
        timeout_ms = state.timing.election_timeout_ms
        candidates = [name for name in state.peers if state.now - self.progress[name].last_contact_at < timeout_ms]
        if not candidates:
            return False
        target = self._most_up_to_date(candidates)
        self.transfer = LeadershipTransfer(target, state.now + timeout_ms)
        self._continue_transfer()
        return True

    def _most_up_to_date(self, names: list[str] | tuple[str, ...]) -> str:
        return max(names, key=lambda name: self.progress[name].match_index)  # the first of equals

    def _continue_transfer(self) -> None:
        """Ask the target to stand once it has the whole log: then it wins, and no entry is lost."""
        state = self._state
        transfer = self.transfer
        if transfer is None or transfer.requested:
            return
        if self.progress[transfer.target].match_index == state.log.last_index:
            transfer.requested = True
            state.send(transfer.target, TimeoutNow(state.term))

    # --- Time ---

    def tick(self) -> None:
        """Send heartbeats when they are due; step down if a majority has been silent for an election timeout."""
        state = self._state
        majority_contact_at = self.majority_value(state.now, lambda follower: follower.last_contact_at)
        if state.now - majority_contact_at > state.timing.election_timeout_ms:
            state.step_down()  # others may have a leader by now
            return
        if self.transfer is not None and state.now >= self.transfer.deadline:
            self.transfer = None
        if state.now >= self.heartbeat_due:
            self._send_heartbeats()

    def _send_heartbeats(self) -> None:
        state = self._state
        heartbeat_ms = state.timing.heartbeat_ms
        self.heartbeat_due = state.now + heartbeat_ms
        for follower in self.progress.values():
            follower.retransmit_if_late(state.now, RETRANSMIT_HEARTBEATS * heartbeat_ms)
        self._sender.begin_round()
        if self.transfer is not None:
            self.transfer.requested = False
            self._continue_transfer()

    # --- Sending ---

    def flush(self) -> None:
        """Send what can be sent, before output is handed out."""
        if self.reads.need_round(self.round, self._confirmed_round()):
            self._sender.begin_round()
            self.reads.on_round_begun(self.round)
        self._sender.send_pending()
        self.advance_commit_index()  # a single member gets no answers

    def on_compaction(self) -> None:
        """Begin transfers anew with the newer snapshot: the log after the older one is gone."""
        for follower in self.progress.values():
            if follower.mode == Mode.SNAPSHOT:
                follower.begin_snapshot(self._state.snapshot)

    # --- Answers ---

    def on_reply(self, source: str, reply: AppendEntriesReply | InstallSnapshotReply) -> None:
        """Take a follower's answer."""
        state = self._state
        follower = self.progress.get(source)
        if follower is None:
            state.reject(Rejection.NOT_A_MEMBER)
            return
        if reply.round > follower.sent_round:
            state.reject(Rejection.UNKNOWN_ROUND)
            return
        if isinstance(reply, AppendEntriesReply) and reply.ok and reply.index > follower.sent_index:
            state.reject(Rejection.ACKNOWLEDGES_UNSENT)
            return
        defect = self._update_progress(follower, reply)
        if defect is not None:
            state.reject(defect)
        follower.on_answer(state.now, reply.round)
        self.advance_commit_index()

    def _update_progress(
        self, follower: FollowerProgress, reply: AppendEntriesReply | InstallSnapshotReply
    ) -> Rejection | None:
        if isinstance(reply, InstallSnapshotReply):
            return follower.on_chunk_acknowledged(reply)
        if not reply.ok:
            return follower.on_conflict(reply)
        follower.on_success(reply, self._state.log.base_index)
        return None

    # --- Commitment ---

    def advance_commit_index(self) -> None:
        """Commit and confirm what answers, or the own storage, have made possible."""
        state = self._state
        index = self.majority_value(state.log.durable_index, lambda follower: follower.match_index)
        if index > state.commit_index and state.log.term_at(index) == state.term:
            state.commit_index = index
            self._on_commit()
        if state.role != Role.LEADER:
            return
        self._continue_transfer()
        if state.commit_index >= self.first_index:
            self.reads.confirm(self._confirmed_round())

    def _on_commit(self) -> None:
        """Let removed members go once their removal is committed; step down if this node is one of them."""
        state = self._state
        if state.commit_index < state.membership.last_change_index:
            return
        for name in [name for name in self.progress if name not in state.members]:
            self._sender.send(name, self.progress.pop(name), with_entries=True)  # tells it that it is removed
        if not state.is_member:
            self._sender.begin_round()
            state.send(self._most_up_to_date(state.members), TimeoutNow(state.term))
            state.step_down()
