"""Commands about planned disruptions and releases: their fields and bounds, and who may send each.

A command is stored as a map under its tag, by the names of its fields; a renamed class keeps its tag, a renamed
field its stored name.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Text
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context
from brookreach.disruption.states import TargetKind, TargetStatus, Verdict

# Lengths are such that the longest key of all tables stays under the 200 characters that a table takes.
MAX_PERMIT_NAME_LENGTH = 96  # of a permit that a client requests; a release's are longer, and never wait by name
MAX_ANY_PERMIT_NAME_LENGTH = 110
MAX_SOAK_MS = 7 * 86_400_000
MAX_INSTANT_MS = 1 << 53

Scope = Annotated[str, msgspec.Meta(max_length=80, pattern=r"^(all|build:[0-9]+|(zone|service):[A-Za-z0-9._-]+)\Z")]
RequestedPermitName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_PERMIT_NAME_LENGTH, pattern=r"^[A-Za-z0-9._-]+\Z")
]
PermitName = Annotated[
    str, msgspec.Meta(min_length=1, max_length=MAX_ANY_PERMIT_NAME_LENGTH, pattern=r"^[A-Za-z0-9._:-]+\Z")
]
Label = Annotated[str, msgspec.Meta(min_length=1, max_length=24, pattern=r"^[A-Za-z0-9._-]+\Z")]
Urgency = Annotated[int, msgspec.Meta(ge=0, le=9)]
Thousandths = Annotated[int, msgspec.Meta(ge=0, le=1000)]
StageThousandths = Annotated[tuple[Thousandths, ...], msgspec.Meta(min_length=1, max_length=16)]
StageNumber = Annotated[int, msgspec.Meta(ge=1, le=16)]
SoakTime = Annotated[int, msgspec.Meta(ge=0, le=MAX_SOAK_MS)]
VoteCount = Annotated[int, msgspec.Meta(ge=1, le=1000)]
OptionalVoteCount = Annotated[int, msgspec.Meta(ge=0, le=1000)]
InstantMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_INSTANT_MS)]


class BudgetEntry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One budget of the operators' file: most targets unavailable at once, and least ready."""

    kind: TargetKind
    scope: Scope
    max_unavailable: Count = msgspec.field(name="most_out")
    min_ready: Count = msgspec.field(name="least_ready")


class SetBudgets(Command, frozen=True):
    """All budgets; they replace those that stand."""

    rows: Annotated[tuple[BudgetEntry, ...], msgspec.Meta(max_length=512)]


class RequestDrain(Command, frozen=True, tag="AskDrain"):
    """An operator asks for a permit to drain and restart a node."""

    name: RequestedPermitName
    node: Name
    urgency: Urgency
    reason: Text


class RequestRestart(Command, frozen=True, tag="AskRestart"):
    """An operator or the balancer itself asks for a permit to restart it."""

    name: RequestedPermitName
    balancer: Name = msgspec.field(name="marshal")
    urgency: Urgency
    reason: Text = ""


class WithdrawPermit(Command, frozen=True, tag="TakeBack"):
    """The disruption is not wanted any more, whether it waits or is granted."""

    name: PermitName
    reason: Text


class Halt(Command, frozen=True):
    """Nothing more is granted; with `allows_rollback`, except restarts of a rollback."""

    reason: Text
    allows_rollback: bool = msgspec.field(name="way_back", default=False)


class Resume(Command, frozen=True):
    """`fence`: of the halt that is meant."""

    fence: Count
    reason: Text


class Decommission(Command, frozen=True, tag="Gone"):
    """The target will not come back: it leaves the fleet and its permits end."""

    kind: TargetKind
    name: Name
    reason: Text


class StartRelease(Command, frozen=True, tag="BeginRelease"):
    """Release a build by stages; the fields are those of `tables.ReleaseRow`."""

    build: Count
    previous_build: Count = msgspec.field(name="earlier")
    node_shares: StageThousandths = msgspec.field(name="shares")
    traffic_caps: StageThousandths = msgspec.field(name="caps")
    soak_ms: SoakTime = msgspec.field(name="wait_ms")
    rollback_votes_needed: VoteCount = msgspec.field(name="back_votes")
    promote_votes_needed: OptionalVoteCount = msgspec.field(name="on_votes")


class RollBackRelease(Command, frozen=True, tag="SendBack"):
    """Roll a build back from whatever stage."""

    build: Count
    reason: Text


class ReportNode(Command, frozen=True, tag="NodeSeen"):
    """An agent about its node. `applied_index`: the log index that its cache had applied when it looked."""

    node: Name
    zone: Label
    build: Count
    service: Label
    capacity: Count = msgspec.field(name="room")
    status: TargetStatus = msgspec.field(name="standing")
    incarnation: Count = msgspec.field(name="life")
    warm: bool
    applied_index: Count = msgspec.field(name="heard")


class ReportBalancer(Command, frozen=True, tag="MarshalSeen"):
    """A balancer about itself. Its session stands for its incarnation."""

    balancer: Name = msgspec.field(name="marshal")
    zone: Label
    build: Count
    service: Label
    status: TargetStatus = msgspec.field(name="standing")
    warm: bool
    applied_index: Count = msgspec.field(name="heard")


class AnnounceRetirement(Command, frozen=True, tag="RetirementNotice"):
    """The node is taken away at that time. A later notice replaces an earlier one, whichever way it moves."""

    node: Name
    at_ms: InstantMs


class WithdrawRetirement(Command, frozen=True, tag="RetirementWithdrawn"):
    """The node stays after all."""

    node: Name


class CastVote(Command, frozen=True, tag="Voted"):
    """A balancer's verdict on a build in a stage. Its next one replaces it, but a rollback vote stays."""

    build: Count
    stage: StageNumber
    verdict: Verdict


Commands = (
    SetBudgets
    | RequestDrain
    | RequestRestart
    | WithdrawPermit
    | Halt
    | Resume
    | Decommission
    | StartRelease
    | RollBackRelease
    | ReportNode
    | ReportBalancer
    | AnnounceRetirement
    | WithdrawRetirement
    | CastVote
)


def check_sender(command: Command, context: Context) -> None:
    """Checks that the client may send this: each agent and balancer speaks for itself only.

    Raises:
        CommandRejectedError: it may not.
    """
    by_operator = context.client_kind == "operator"
    by_balancer = context.client_kind == "marshal"
    match command:
        case ReportNode(node=node):
            permitted = _is_agent_of(node, context)
            allowed = f"the agent of {node}"
        case AnnounceRetirement(node=node) | WithdrawRetirement(node=node):
            permitted = by_operator or _is_agent_of(node, context)
            allowed = f"operators and the agent of {node}"
        case ReportBalancer(balancer=balancer):
            permitted = by_balancer and balancer == context.client
            allowed = f"{balancer} itself"
        case RequestRestart(balancer=balancer):
            permitted = by_operator or (by_balancer and balancer == context.client)
            allowed = f"operators and {balancer} itself"
        case CastVote():
            permitted = by_balancer
            allowed = "marshals"
        case WithdrawPermit():  # the application checks whose permit it is
            permitted = by_operator or by_balancer
            allowed = "operators"
        case _:
            permitted = by_operator
            allowed = "operators"
    if not permitted:
        sender = f"{context.client_kind or 'the group'} {context.client!r}"
        raise CommandRejectedError(f"{wire_name(command)} of {sender}: {allowed} may say it")


def _is_agent_of(node: str, context: Context) -> bool:
    return context.client_kind == "agent" and context.client == node
