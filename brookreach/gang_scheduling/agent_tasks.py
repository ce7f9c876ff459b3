"""What a node's agent is to do now, derived from the agreed rows alone, in a stated order.

Whoever carries tasks (the agent's own cache, or RPCs by token) may do so late, twice or in any order: a task names its
fencing token, the epoch and the agent's session, and one whose time is over has no effect. It must never name anything
that the rows do not.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from brookreach.coordination.state_machine.application import View
from brookreach.gang_scheduling import members
from brookreach.gang_scheduling.gang_state import GangState, MemberState
from brookreach.gang_scheduling.tables import AGENTS, GANGS, MEMBERS, SLOTS, AgentRow, GangRow, MemberRow


class TaskKind(StrEnum):
    """What an agent does with one member."""

    START = "start"
    RUN = "go"  # begin to work, or go on
    CHECKPOINT = "save"
    STOP = "stop"


class AgentTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One task of a node's agent."""

    kind: TaskKind
    gang: str
    member: int
    fencing_token: int
    epoch: int  # to start from, to save, or the last requested when work goes on
    session: int
    node_incarnation: int
    plan_index: int  # of the plan by which work goes on

    @property
    def token(self) -> str:
        """The same for the same task, however often it comes."""
        return (
            f"{self.kind}.{self.gang}.{self.member}.{self.fencing_token}.{self.epoch}.{self.plan_index}.{self.session}"
        )


def tasks_for_node(view: View, node: str) -> list[AgentTask]:
    """Returns all that stands open or may have been missed on this node."""
    agent: AgentRow | None = view.get(AGENTS, node)
    if agent is None or not agent.session:
        return []
    tasks = []
    for key, _ in view.rows(SLOTS, f"{node}/"):
        _, name, number = key.split("/")
        gang: GangRow | None = view.get(GANGS, name)
        member: MemberRow | None = view.get(MEMBERS, f"{name}/{number}")
        if gang is None or member is None:
            continue
        incarnation = members.active_incarnation(member)
        if incarnation is None or incarnation.node != node:
            continue
        kind = _task_kind(gang, member)
        if kind is None:
            continue
        is_running = kind in (TaskKind.RUN, TaskKind.CHECKPOINT)
        tasks.append(
            AgentTask(
                kind,
                name,
                int(number),
                incarnation.fencing_token,
                gang.requested_epoch if is_running else gang.epoch,
                agent.session,
                agent.node_incarnation,
                gang.plan_index,
            )
        )
    return tasks


def _task_kind(gang: GangRow, member: MemberRow) -> TaskKind | None:
    """Returns what the agent is to do with an incarnation that may live; None: nothing."""
    if member.state == MemberState.FENCING:
        return TaskKind.STOP
    if member.state == MemberState.STARTING:
        return TaskKind.START
    if gang.state == GangState.RUNNING:
        return TaskKind.RUN
    if gang.state == GangState.CHECKPOINTING:
        return TaskKind.CHECKPOINT
    return None
