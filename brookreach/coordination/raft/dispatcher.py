"""Which part of a Raft node takes a message, and which messages are ignored at once."""

from __future__ import annotations

from brookreach.coordination.protocol.messages import (
    AppendEntries,
    AppendEntriesReply,
    Body,
    InstallSnapshot,
    InstallSnapshotReply,
    ReplicaMessage,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from brookreach.coordination.raft.election import Election
from brookreach.coordination.raft.follower import Follower
from brookreach.coordination.raft.node_state import NodeState
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.replication import LeaderReplication

# How far ahead a message's term may be: a single corrupt message must not use up the terms.
MAX_TERM_INCREASE = 1 << 32


class MessageDispatcher:
    """Hands each message to the election, the follower or the leader's part."""

    def __init__(self, state: NodeState, election: Election, follower: Follower):
        self._state = state
        self._election = election
        self._follower = follower

    def dispatch(self, source: str, message: Body, replication: LeaderReplication | None) -> None:
        """Handle or reject a message; `replication` is the leader's part while this node leads."""
        reason = self._reason_to_reject(source, message)
        if reason is not None:
            self._state.reject(reason)
            return
        match message:
            case RequestVote():
                self._election.on_request_vote(source, message)
            case RequestVoteReply():
                self._election.on_vote_reply(source, message)
            case TimeoutNow():
                self._election.on_timeout_now(source, message)
            case AppendEntries():
                self._follower.on_append_entries(source, message)
            case InstallSnapshot():
                self._follower.on_install_snapshot(source, message)
            case AppendEntriesReply() | InstallSnapshotReply():
                self._on_follower_reply(source, message, replication)

    def _reason_to_reject(self, source: str, message: Body) -> Rejection | None:
        state = self._state
        if state.is_uninitialized:
            return Rejection.UNINITIALIZED
        if source == state.name:
            return Rejection.FROM_SELF
        if not isinstance(message, ReplicaMessage):
            return Rejection.NOT_A_REPLICA_MESSAGE
        if not 1 <= message.term <= state.term + MAX_TERM_INCREASE:
            return Rejection.IMPLAUSIBLE_TERM
        return None

    def _on_follower_reply(
        self, source: str, reply: AppendEntriesReply | InstallSnapshotReply, replication: LeaderReplication | None
    ) -> None:
        state = self._state
        if reply.term > state.term:
            if source in state.members:
                state.enter_term(reply.term)
            else:
                state.reject(Rejection.NOT_A_MEMBER)
        elif reply.term < state.term or replication is None:
            state.reject(Rejection.STALE)
        else:
            replication.on_reply(source, reply)
