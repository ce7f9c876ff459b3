"""The incarnations of members at work on one simulated node.

They end by kill, crash or the end of their grant by the node's clock. It must never stop an incarnation because the
agreed state says so.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from brookreach.gang_scheduling.agent.actions import (
    ExtendGrants,
    KillMember,
    MemberAction,
    NodeAction,
    RunMember,
    SaveCheckpoint,
    StartMember,
)
from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.simulation.gang_scheduling.ground_truth import CheckpointId, IncarnationRecord
from brookreach.simulation.gang_scheduling.ports import Cluster, NodePort

MIN_COST_FRACTION = 0.9  # a checkpoint or restore takes so much of its cost to all of it
COST_MARGIN_MS = 60.0  # and less by this, for what links take
MIN_DURATION_MS = 1.0
MAX_KILL_MS = 50.0
CLOCK_TOLERANCE_MS = 0.001


class IncarnationKey(NamedTuple):
    """An incarnation on a node."""

    member: MemberKey
    fencing_token: int


@dataclass(slots=True)
class SimulatedMember:
    """One incarnation at work.

    Attributes:
        record: Of the ground truth.
        process: The number of the agent's process that started it.
        grant_until_ms: By the node's clock.
        work_ms: Work that it goes on from.
        working_since_ms: By the cluster's clock; None where it is paused.
        action_number: What was begun before the newest action has no effect.
    """

    record: IncarnationRecord
    process: int
    grant_until_ms: float
    work_ms: float
    working_since_ms: float | None = None
    action_number: int = 0

    @property
    def key(self) -> IncarnationKey:
        """Its key on the node."""
        return IncarnationKey(MemberKey(self.record.gang, self.record.member), self.record.fencing_token)

    def pause(self, now_ms: float) -> None:
        """Counts the work done up to now."""
        if self.working_since_ms is not None:
            self.work_ms += now_ms - self.working_since_ms
            self.working_since_ms = None


class MemberRuntime:
    """The incarnations of one node."""

    def __init__(self, cluster: Cluster, node: NodePort) -> None:
        self._cluster = cluster
        self._node = node
        self._members: dict[IncarnationKey, SimulatedMember] = {}
        self._loads_hang_until_ms = 0.0

    def hang_loads(self, span_ms: float) -> None:
        """Lets no restore end for a while."""
        self._loads_hang_until_ms = self._cluster.now_ms + span_ms

    def end_all(self, reason: str) -> None:
        """Ends what runs, with the machine."""
        for member in list(self._members.values()):
            self._end_member(member, reason)

    def execute(self, action: NodeAction) -> None:
        """Carries out an action of the agent's present process."""
        match action:
            case ExtendGrants(grant_until_ms=until_ms):
                self._extend_grants(until_ms)
            case StartMember():
                self._start_member(action)
            case RunMember() | SaveCheckpoint() | KillMember():
                self._change_member(action)

    def _extend_grants(self, until_ms: float) -> None:
        for member in self._members.values():
            if member.process == self._node.process:  # others' pipes ended with the process that held them
                member.grant_until_ms = max(member.grant_until_ms, until_ms)

    def _start_member(self, action: StartMember) -> None:
        cluster = self._cluster
        gang, number = action.key
        row = cluster.truth.gangs[gang]
        saved = cluster.truth.checkpointed_by_members(gang, action.epoch)
        record = IncarnationRecord(gang, number, self._node.name, action.fencing_token, action.epoch, cluster.now_ms)
        member = SimulatedMember(
            record, self._node.process, action.grant_until_ms, float(min(saved.values(), default=0))
        )
        cluster.truth.incarnations.append(record)
        self._members[member.key] = member
        took_ms = self._duration_ms(row.restore_cost_ms)
        if cluster.now_ms < self._loads_hang_until_ms:
            took_ms += self._loads_hang_until_ms - cluster.now_ms
        cluster.schedule(max(MIN_DURATION_MS, took_ms), self._on_loaded, member)
        self._end_by_grant(member)

    def _change_member(self, action: MemberAction) -> None:
        cluster = self._cluster
        member = self._members.get(IncarnationKey(action.key, action.fencing_token))
        if member is None:
            return
        member.action_number += 1
        member.pause(cluster.now_ms)
        match action:
            case RunMember():
                member.working_since_ms = cluster.now_ms
            case SaveCheckpoint(epoch=epoch):
                took_ms = self._duration_ms(cluster.truth.gangs[action.key.gang].checkpoint_cost_ms)
                cluster.schedule(
                    max(MIN_DURATION_MS, took_ms), self._on_saved, member, member.action_number, epoch, member.work_ms
                )
            case KillMember():
                delay_ms = cluster.random.uniform(1.0, MAX_KILL_MS)
                cluster.schedule(delay_ms, self._end_member, member, "killed")

    def _duration_ms(self, cost_ms: int) -> float:
        return cost_ms * self._cluster.random.uniform(MIN_COST_FRACTION, 1.0) - COST_MARGIN_MS

    # --- what becomes of incarnations ---

    def _on_loaded(self, member: SimulatedMember) -> None:
        if member.record.end_ms is None:
            member.record.loaded_ms = self._cluster.now_ms
            self._node.notify_agent(GangAgent.on_member_loaded, *member.key)

    def _on_saved(self, member: SimulatedMember, action_number: int, epoch: int, work_ms: float) -> None:
        if member.record.end_ms is not None or member.action_number != action_number:
            return
        truth, gang = self._cluster.truth, member.record.gang
        saved_ms = min(int(work_ms), truth.gangs[gang].work_ms)
        truth.checkpointed_work_ms.setdefault(CheckpointId(gang, epoch), {})[member.record.member] = saved_ms
        self._node.notify_agent(GangAgent.on_checkpoint_saved, *member.key, epoch, saved_ms)

    def _end_by_grant(self, member: SimulatedMember) -> None:
        """Ends an incarnation at the end of its grant by the node's clock, whoever is stopped."""
        if member.record.end_ms is not None:
            return
        clock_ms = self._node.clock_ms()
        if clock_ms >= member.grant_until_ms - CLOCK_TOLERANCE_MS:
            self._end_member(member, "grant ended")
            return
        remaining_ms = member.grant_until_ms - clock_ms
        self._cluster.schedule(remaining_ms / self._node.clock_rate, self._end_by_grant, member)

    def _end_member(self, member: SimulatedMember, reason: str) -> None:
        if member.record.end_ms is not None:
            return
        member.record.end_ms = self._cluster.now_ms
        member.record.end_reason = reason
        self._members.pop(member.key, None)
        self._node.notify_agent(GangAgent.on_member_exited, *member.key, reason)
