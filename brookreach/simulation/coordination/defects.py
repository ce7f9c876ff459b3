"""Known defects of the ground, each in place of what is right for one drill. None is ever imported
elsewhere.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from brookreach.coordination.ports import PendingSave, Timing
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.raft import node
from brookreach.coordination.raft.node_state import NodeState
from brookreach.coordination.raft.replication import LeaderReplication
from brookreach.coordination.server import replica
from brookreach.coordination.server.leader import Leader
from brookreach.coordination.state_machine import snapshots
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import ANSWERS, SESSIONS, asked
from brookreach.coordination.state_machine.tables import Tables
from brookreach.simulation.defect import Defect, Defects
from brookreach.simulation.engine import faults, participants


class NoRound(LeaderReplication):
    """Reads are answered by whoever thinks that it leads."""

    def read(self, ticket: int) -> None:
        self.confirmed.append((ticket, max(self.core.commit, self.first)))


class OlderTerms(LeaderReplication):
    """What a majority has of an earlier term counts as committed."""

    def settle(self) -> None:
        place = self.majority_of(self.core.log.saved, lambda peer: peer.match)
        self.core.commit = max(self.core.commit, place)
        super().settle()


class Forgetful(NodeState):
    """A vote is not saved."""

    def to_save(self) -> PendingSave | None:
        save = super().to_save()
        return replace(save, vote="") if save else None


class Twice(Leader):
    """A question that comes again is put into the log again, under a number of its own."""

    def _ask(self, now: float, source: str, ask: messages.ProposeRequest) -> None:
        last = self.machine.view.get(ANSWERS, source)
        if last is not None and last.session == ask.session and last.seq == ask.seq:
            again = messages.ProposeRequest(ask.session, ask.seq + 1, ask.piece, ask.version, ask.body)
            self.raft.propose(now, asked(again, self.clock.at(now), source, "marshal"))
        super()._ask(now, source, ask)


class Dropping(StateMachine):
    """A snapshot without the sessions."""

    def snapshot(self) -> bytes:
        rest = Tables(self.view.types)
        for table in self.view.types:
            if table not in (SESSIONS, ANSWERS):
                rest.lay([rest.read(one.table, one.key, one.octets) for one in self.view.changes(table)])
        return snapshots.packed(self.applied, self.at_ms, self._versions, rest)


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


DEFECTS: Defects = {
    "stale-read": Defect(node, "LeaderReplication", lambda right: NoRound),
    "older-terms": Defect(node, "LeaderReplication", lambda right: OlderTerms),
    "vote-not-saved": Defect(node, "NodeState", lambda right: Forgetful),
    "no-drift": Defect(participants, "told", no_drift),
    "twice": Defect(replica, "Leader", lambda right: Twice),
    "snapshot-without-sessions": Defect(replica, "StateMachine", lambda right: Dropping),
    # No defect: a known limit.
    "older-disk": Defect(faults, "THEMES", lambda right: {"all": ("older", "kill", "leader killed")}),
}
MUTATION_DEFECTS: Defects = {
    "no-seal": Defect(frames, "open_frame", no_seal),
    "any-term": Defect(node, "MOST_JUMP", lambda right: 1 << 60),
    "twice": Defect(replica, "Leader", lambda right: Twice),
}
