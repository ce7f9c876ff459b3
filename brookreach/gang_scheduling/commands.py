"""What may be asked of gangs, and by whom. It owns the bounds of every field and must never change a row."""

from __future__ import annotations

from typing import Annotated

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Text
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context

MAX_MEMBERS, MAX_CAPACITY, MAX_DURATION_MS = 256, 1 << 32, 1 << 41  # the last: some seventy years

MemberCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMBERS)]
Capacity = Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
DurationMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DURATION_MS)]
TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=1 << 50)]
MemberIndex = Annotated[int, msgspec.Meta(ge=0, lt=MAX_MEMBERS)]
GangName = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+\Z")]


class SubmitGang(Command, frozen=True, tag="Submit"):
    """A new gang. `deadline_ms` 0: none. `flexible`: it may wait, and move, for cleaner power."""

    gang: GangName
    members: MemberCount
    room: Capacity  # of each member
    work_ms: DurationMs
    cost_ms: DurationMs  # of a checkpoint, until it is measured
    load_ms: DurationMs
    deadline_ms: TimestampMs = 0
    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)] = ()
    builds: Annotated[tuple[Count, ...], msgspec.Meta(max_length=64)] = ()
    flexible: bool = False


class CancelGang(Command, frozen=True, tag="Cancel"):
    """An operator ends a gang; of one that has ended it takes the rows away."""

    gang: GangName
    reason: Text


class RegisterAgent(Command, frozen=True, tag="Here"):
    """A node's agent: this session of mine carries out orders, and nothing of an earlier one works."""

    life: Count


class ConfirmCheckpoint(Command, frozen=True, tag="Confirmed"):
    """An agent: the member's part of this epoch is kept, away from the node."""

    gang: GangName
    member: MemberIndex
    epoch: Count
    node: Name
    life: Count
    fence: Count
    work_ms: TimestampMs


class ReportStarted(Command, frozen=True, tag="Started"):
    """An agent: loaded, and waits for the others."""

    gang: GangName
    member: MemberIndex
    fence: Count


class ReportStopped(Command, frozen=True, tag="Stopped"):
    """An agent: no incarnation up to this fence works on this node, nor ever will."""

    gang: GangName
    member: MemberIndex
    fence: Count


class ReportFailed(Command, frozen=True, tag="Failed"):
    """An agent: it ended by itself."""

    gang: GangName
    member: MemberIndex
    fence: Count
    reason: Text


class ReportCosts(Command, frozen=True, tag="Measured"):
    """An agent: what a checkpoint and a load really cost; 0 for what was not measured."""

    gang: GangName
    cost_ms: TimestampMs
    load_ms: TimestampMs


class ReconcileNode(Command, frozen=True, tag="Noticed"):
    """Anybody: this node's row has changed, look at the gangs on it now. It says nothing of its own."""

    node: Name


Commands = (
    SubmitGang
    | CancelGang
    | RegisterAgent
    | ConfirmCheckpoint
    | ReportStarted
    | ReportStopped
    | ReportFailed
    | ReportCosts
    | ReconcileNode
)
OPERATOR_COMMANDS, AGENT_COMMANDS = (
    (SubmitGang, CancelGang),
    (RegisterAgent, ConfirmCheckpoint, ReportStarted, ReportStopped, ReportFailed, ReportCosts),
)


def check_sender(order: Commands, context: Context) -> None:
    """Raises CommandRejectedError where this client may not say that."""
    who = f"{context.client!r} is {context.client_kind or 'the group'}"
    if isinstance(order, OPERATOR_COMMANDS) and context.client_kind != "operator":
        raise CommandRejectedError(f"{wire_name(order)} is for operators; {who}")
    if isinstance(order, AGENT_COMMANDS) and context.client_kind != "agent":
        raise CommandRejectedError(f"{wire_name(order)} is for agents; {who}")


def check_submission(order: SubmitGang, now: int) -> None:
    """Raises CommandRejectedError with what stands there and what is allowed, beyond what each field's bounds say."""
    bounds = (
        ("members", order.members, MAX_MEMBERS),
        ("room", order.room, MAX_CAPACITY),
        ("work_ms", order.work_ms, MAX_DURATION_MS),
        ("cost_ms", order.cost_ms, MAX_DURATION_MS),
        ("load_ms", order.load_ms, MAX_DURATION_MS),
    )
    for name, value, most in bounds:
        if not 1 <= value <= most:
            raise CommandRejectedError(f"{order.gang}: {name}: {value}; 1 to {most} are allowed")
    least = now + order.work_ms + order.load_ms
    if order.deadline_ms and order.deadline_ms < least:
        raise CommandRejectedError(
            f"{order.gang}: deadline_ms: {order.deadline_ms}; with work and load {least} is the soonest"
        )
    for name, told in (("zones", order.zones), ("builds", order.builds)):
        if len(set(told)) != len(told):
            raise CommandRejectedError(f"{order.gang}: {name}: {list(told)}; each may stand there once")
