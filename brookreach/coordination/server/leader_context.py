"""What the handlers of a leader's requests share during one term."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.server.leader_term import LeaderTerm
from brookreach.coordination.server.leadership_barrier import LeadershipBarrier
from brookreach.coordination.server.proposals import InFlightProposal, InFlightProposals
from brookreach.coordination.server.replies import ClientReplies
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.timing import Timing

BUSY_RETRY_HEARTBEATS = 4  # after which a client that found the leader busy may retry


@dataclass(frozen=True, slots=True)
class LeaderContext:
    """The leader's parts."""

    raft: RaftNode
    machine: StateMachine
    timing: Timing
    term: LeaderTerm
    in_flight: InFlightProposals
    barrier: LeadershipBarrier
    replies: ClientReplies

    def track(self, request: messages.Body, index: int | None, proposal: InFlightProposal) -> None:
        """Remember a proposal until it is applied; None: the log is full, or the leadership is being handed over."""
        if index is None:
            self.reject_busy(proposal.source, request)
        else:
            self.in_flight.add(index, proposal)

    def reject_busy(self, source: str, request: messages.Body) -> None:
        """Ask a client to retry later."""
        text = f"{len(self.in_flight)} records and {len(self.barrier)} questions wait"
        retry_after_ms = BUSY_RETRY_HEARTBEATS * self.timing.heartbeat_ms
        self.replies.reject(source, request, "busy", text, retry_after_ms=retry_after_ms)

    def reject_session(self, source: str, request: messages.Body, session: int) -> None:
        """Tell a client that it does not have this session."""
        self.replies.reject(source, request, "no session", f"session {session} is none of {source}")
