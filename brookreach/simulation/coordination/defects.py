"""Known defects of the ground, each in place of what is right for one drill. None is ever imported
elsewhere.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.raft import dispatcher, node
from brookreach.coordination.raft.node_state import NodeState
from brookreach.coordination.raft.replication import LeaderReplication
from brookreach.coordination.raft.types import PendingSave
from brookreach.coordination.server import leader, replica
from brookreach.coordination.server.proposal_handler import ProposalHandler
from brookreach.coordination.state_machine import snapshots
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import ANSWERS, SESSIONS, encode_proposal
from brookreach.coordination.state_machine.tables import Tables
from brookreach.coordination.timing import Timing
from brookreach.simulation.defect import Plants
from brookreach.simulation.engine import faults, participants


class NoRound(LeaderReplication):
    """Reads are answered by whoever thinks that it leads."""

    def request_read(self, ticket: int) -> None:
        self.reads.confirm_now(ticket, max(self._state.commit_index, self.first_index))


class OlderTerms(LeaderReplication):
    """What a majority has of an earlier term counts as committed."""

    def advance_commit_index(self) -> None:
        index = self.majority_value(self._state.log.durable_index, lambda follower: follower.match_index)
        self._state.commit_index = max(self._state.commit_index, index)
        super().advance_commit_index()


class Forgetful(NodeState):
    """A vote is not saved."""

    def take_save(self) -> PendingSave | None:
        save = super().take_save()
        return replace(save, voted_for="") if save else None


class Twice(ProposalHandler):
    """A question that comes again is put into the log again, under a number of its own."""

    def propose(self, now: float, source: str, request: messages.ProposeRequest) -> None:
        context = self._context
        last = context.machine.view.get(ANSWERS, source)
        if last is not None and last.session == request.session and last.seq == request.seq:
            again = msgspec.structs.replace(request, seq=request.seq + 1)
            record = encode_proposal(again, context.term.clock.read(now), source, "marshal")
            context.raft.propose(now, record)
        super().propose(now, source, request)


class Dropping(StateMachine):
    """A snapshot without the sessions."""

    def snapshot(self) -> bytes:
        rest = Tables(self.view.types)
        for table in self.view.types:
            if table not in (SESSIONS, ANSWERS):
                rest.write([rest.decode(one.table, one.key, one.octets) for one in self.view.changes(table)])
        return snapshots.encode_snapshot(self.applied, self.at_ms, self.versions, rest)


def no_drift(right: Any) -> Any:
    """Leases by the giver's clock, as if all clocks ran alike."""

    def told(timing: Timing) -> Timing:
        return replace(timing, drift=0.0)

    return told


def no_seal(right: Any) -> Any:
    """Whatever can be read is taken."""

    def opened(key: bytes, group: str, me: str, octets: bytes, may: Any = messages.ALL_MESSAGES) -> Any:
        rest = octets[frames.SEAL_BYTES :]
        return right(key, group, me, frames.hmac.digest(key, rest, "sha256")[: frames.SEAL_BYTES] + rest, may)

    return opened


PLANTS: Plants = {
    "stale-read": (node, "LeaderReplication", lambda right: NoRound),
    "older-terms": (node, "LeaderReplication", lambda right: OlderTerms),
    "vote-not-saved": (node, "NodeState", lambda right: Forgetful),
    "no-drift": (participants, "told", no_drift),
    "twice": (leader, "ProposalHandler", lambda right: Twice),
    "snapshot-without-sessions": (replica, "StateMachine", lambda right: Dropping),
    # No defect: a known limit.
    "older-disk": (faults, "THEMES", lambda right: {"all": ("older", "kill", "leader killed")}),
}
MUTATION_PLANTS: Plants = {
    "no-seal": (frames, "open_frame", no_seal),
    "any-term": (dispatcher, "MAX_TERM_INCREASE", lambda right: 1 << 60),
    "twice": (leader, "ProposalHandler", lambda right: Twice),
}
