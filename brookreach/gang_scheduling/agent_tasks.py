"""What a node's agent is to do now, derived from the agreed rows alone: orders with tokens, in a stated
order.

Whoever carries them (the agent's own mirror, or a marshal's RPCs by token) may do so late, twice or in any
order: an order names its fence, the epoch and the agent's session, and one whose time is over has no
effect. It must never name anything that the rows do not.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from brookreach.coordination.state_machine.application import View
from brookreach.gang_scheduling import members
from brookreach.gang_scheduling.tables import AGENTS, GANGS, MEMBERS, SLOTS, GangRow, MemberRow

TaskKind = Literal["start", "go", "save", "stop"]


class AgentTask(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One order to a node. `epoch`: to start from, to keep, or the last asked for when work goes on."""

    kind: TaskKind
    gang: str
    member: int
    fence: int
    epoch: int
    session: int
    life: int
    order: int  # the plan by which work goes on

    @property
    def token(self) -> str:
        """The same for the same order, however often it comes."""
        return f"{self.kind}.{self.gang}.{self.member}.{self.fence}.{self.epoch}.{self.order}.{self.session}"


def tasks_for_node(view: View, node: str) -> list[AgentTask]:
    """All that stands open or may have been missed on this node."""
    hand = view.get(AGENTS, node)
    if hand is None or not hand.session:
        return []
    found = []
    for key, _ in view.rows(SLOTS, f"{node}/"):
        _, gang, number = key.split("/")
        row: GangRow | None = view.get(GANGS, gang)
        member: MemberRow | None = view.get(MEMBERS, f"{gang}/{number}")
        if row is None or member is None:
            continue
        told = _of(row, member, node)
        if told is not None:
            kind, fence, epoch = told
            found.append(AgentTask(kind, gang, int(number), fence, epoch, hand.session, hand.life, row.order))
    return found


def _of(row: GangRow, member: MemberRow, node: str) -> tuple[TaskKind, int, int] | None:
    spot = members.active_incarnation(member)
    if spot is None or spot.node != node:
        return None
    if member.state == "fencing":
        return "stop", spot.fence, row.epoch
    if member.state == "starting":
        return "start", spot.fence, row.epoch
    if row.state == "running":
        return "go", spot.fence, row.asked_epoch
    if row.state == "checkpointing":
        return "save", spot.fence, row.asked_epoch
    return None
