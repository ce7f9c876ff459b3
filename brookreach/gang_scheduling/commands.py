"""The commands of gang scheduling: what may be asked, by whom, within which bounds.

A command is encoded by its tag and the names of its fields, which must never change; this module changes no row.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Text
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context

MAX_MEMBERS = 256
MAX_CAPACITY = 1 << 32
MAX_DURATION_MS = 1 << 41  # some seventy years
MAX_TIMESTAMP_MS = 1 << 50
MAX_ZONES = 64
MAX_BUILDS = 64
GANG_NAME_PATTERN: Final = r"^[A-Za-z0-9._-]+\Z"

MemberCount = Annotated[int, msgspec.Meta(ge=1, le=MAX_MEMBERS)]
MemberNumber = Annotated[int, msgspec.Meta(ge=0, lt=MAX_MEMBERS)]
Capacity = Annotated[int, msgspec.Meta(ge=1, le=MAX_CAPACITY)]
DurationMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DURATION_MS)]
TimestampMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIMESTAMP_MS)]
GangName = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=GANG_NAME_PATTERN)]


class SubmitGang(Command, frozen=True, tag="Submit"):
    """An operator submits a new gang. The costs are first guesses, until agents measure them."""

    gang: GangName
    member_count: MemberCount = msgspec.field(name="members")
    member_capacity: Capacity = msgspec.field(name="room")  # that each member takes of its node
    work_ms: DurationMs
    checkpoint_cost_ms: DurationMs = msgspec.field(name="cost_ms")
    restore_cost_ms: DurationMs = msgspec.field(name="load_ms")
    deadline_ms: TimestampMs = 0  # 0: none
    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_ZONES)] = ()
    builds: Annotated[tuple[Count, ...], msgspec.Meta(max_length=MAX_BUILDS)] = ()
    flexible: bool = False  # it may wait for cleaner power


class CancelGang(Command, frozen=True, tag="Cancel"):
    """An operator ends a gang; of one that has ended it removes the rows."""

    gang: GangName
    reason: Text


class RegisterAgent(Command, frozen=True, tag="Here"):
    """A node's agent registers its session: it carries out tasks, and nothing of an earlier session works."""

    node_incarnation: Count = msgspec.field(name="life")


class ConfirmCheckpoint(Command, frozen=True, tag="Confirmed"):
    """An agent reports that the member's part of this epoch is stored, away from the node."""

    gang: GangName
    member: MemberNumber
    epoch: Count
    node: Name
    node_incarnation: Count = msgspec.field(name="life")
    fencing_token: Count = msgspec.field(name="fence")
    work_ms: TimestampMs


class ReportStarted(Command, frozen=True, tag="Started"):
    """An agent reports that a member is restored, and waits for the others."""

    gang: GangName
    member: MemberNumber
    fencing_token: Count = msgspec.field(name="fence")


class ReportStopped(Command, frozen=True, tag="Stopped"):
    """An agent reports that no incarnation up to this fencing token works on its node, nor ever will."""

    gang: GangName
    member: MemberNumber
    fencing_token: Count = msgspec.field(name="fence")


class ReportFailed(Command, frozen=True, tag="Failed"):
    """An agent reports that a member ended by itself."""

    gang: GangName
    member: MemberNumber
    fencing_token: Count = msgspec.field(name="fence")
    reason: Text


class ReportCosts(Command, frozen=True, tag="Measured"):
    """An agent reports what a checkpoint and a restore really cost; 0 for what was not measured."""

    gang: GangName
    checkpoint_cost_ms: TimestampMs = msgspec.field(name="cost_ms")
    restore_cost_ms: TimestampMs = msgspec.field(name="load_ms")


class ReconcileNode(Command, frozen=True, tag="Noticed"):
    """Anybody: this node's row has changed, reconcile the gangs on it now. The node's row counts, not the sender."""

    node: Name


OperatorCommand = SubmitGang | CancelGang
AgentCommand = RegisterAgent | ConfirmCheckpoint | ReportStarted | ReportStopped | ReportFailed | ReportCosts
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


def check_sender(command: Commands, context: Context) -> None:
    """Checks that this kind of client may send this command.

    Raises:
        CommandRejectedError: if it may not.
    """
    sender = f"{context.client!r} is {context.client_kind or 'the group'}"
    if isinstance(command, OperatorCommand) and context.client_kind != "operator":
        raise CommandRejectedError(f"{wire_name(command)} is for operators; {sender}")
    if isinstance(command, AgentCommand) and context.client_kind != "agent":
        raise CommandRejectedError(f"{wire_name(command)} is for agents; {sender}")


def check_submission(command: SubmitGang, now_ms: int) -> None:
    """Checks what the bounds of single fields don't say, and those bounds for commands made without decoding.

    Raises:
        CommandRejectedError: with the offending value and what is allowed.
    """
    bounds = (
        ("members", command.member_count, MAX_MEMBERS),
        ("room", command.member_capacity, MAX_CAPACITY),
        ("work_ms", command.work_ms, MAX_DURATION_MS),
        ("cost_ms", command.checkpoint_cost_ms, MAX_DURATION_MS),
        ("load_ms", command.restore_cost_ms, MAX_DURATION_MS),
    )
    for name, value, most in bounds:
        if not 1 <= value <= most:
            raise CommandRejectedError(f"{command.gang}: {name}: {value}; 1 to {most} are allowed")
    earliest_ms = now_ms + command.work_ms + command.restore_cost_ms
    if command.deadline_ms and command.deadline_ms < earliest_ms:
        raise CommandRejectedError(
            f"{command.gang}: deadline_ms: {command.deadline_ms}; with work and load {earliest_ms} is the soonest"
        )
    for name, values in (("zones", command.zones), ("builds", command.builds)):
        if len(set(values)) != len(values):
            raise CommandRejectedError(f"{command.gang}: {name}: {list(values)}; each may stand there once")
