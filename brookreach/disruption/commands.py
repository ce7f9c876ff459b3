"""What may be asked of the fleet about outages and releases, and by whom. Sizes are bounded here."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Text
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context

Scope = Annotated[str, msgspec.Meta(max_length=80, pattern=r"^(all|build:[0-9]+|(zone|service):[A-Za-z0-9._-]+)\Z")]
# Lengths are such that the longest key of all tables stays under the 200 characters that the ground takes.
MOST_NAME = 96  # of a permit that somebody asks for; a release's are longer, and never wait under their names
Asked = Annotated[str, msgspec.Meta(min_length=1, max_length=MOST_NAME, pattern=r"^[A-Za-z0-9._-]+\Z")]
PermitName = Annotated[str, msgspec.Meta(min_length=1, max_length=110, pattern=r"^[A-Za-z0-9._:-]+\Z")]
Place = Annotated[str, msgspec.Meta(min_length=1, max_length=24, pattern=r"^[A-Za-z0-9._-]+\Z")]
Urgency = Annotated[int, msgspec.Meta(ge=0, le=9)]
Thousandths = Annotated[int, msgspec.Meta(ge=0, le=1000)]
Stages = Annotated[tuple[Thousandths, ...], msgspec.Meta(min_length=1, max_length=16)]
Wait = Annotated[int, msgspec.Meta(ge=0, le=7 * 86_400_000)]
Voices = Annotated[int, msgspec.Meta(ge=1, le=1000)]


class BudgetFor(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of the operators' file."""

    kind: Literal["node", "marshal"]
    scope: Scope
    most_out: Count
    least_ready: Count


class SetBudgets(Command, frozen=True):
    """All budgets; they replace those that stand."""

    rows: Annotated[tuple[BudgetFor, ...], msgspec.Meta(max_length=512)]


class AskDrain(Command, frozen=True):
    name: Asked
    node: Name
    urgency: Urgency
    reason: Text


class AskRestart(Command, frozen=True):
    name: Asked
    marshal: Name
    urgency: Urgency
    reason: Text = ""


class TakeBack(Command, frozen=True):
    name: PermitName
    reason: Text


class Halt(Command, frozen=True):
    """Nothing more goes out. `way_back`: but nodes of a build that was sent back."""

    reason: Text
    way_back: bool = False


class Resume(Command, frozen=True):
    """`fence`: of the halt that is meant."""

    fence: Count
    reason: Text


class Gone(Command, frozen=True):
    """It will not come back: no longer of the fleet, and its permits are over. The operator's word for it."""

    kind: Literal["node", "marshal"]
    name: Name
    reason: Text


class BeginRelease(Command, frozen=True):
    build: Count
    earlier: Count
    shares: Stages
    caps: Stages
    wait_ms: Wait
    back_votes: Voices
    on_votes: Annotated[int, msgspec.Meta(ge=0, le=1000)]


class SendBack(Command, frozen=True):
    build: Count
    reason: Text


class NodeSeen(Command, frozen=True):
    """`heard`: the place of the log that the agent's mirror had come to when it looked at its node."""

    node: Name
    zone: Place
    build: Count
    service: Place
    room: Count
    standing: Literal["ready", "cold", "draining", "down", "gone"]
    life: Count
    warm: bool
    heard: Count


class MarshalSeen(Command, frozen=True):
    """A marshal about itself. Its session stands for its life."""

    marshal: Name
    zone: Place
    build: Count
    service: Place
    standing: Literal["ready", "cold", "draining", "down", "gone"]
    warm: bool
    heard: Count


class RetirementNotice(Command, frozen=True):
    """The node is taken away at that time. A later notice replaces an earlier one, whichever way it moves."""

    node: Name
    at_ms: Annotated[int, msgspec.Meta(ge=1, le=1 << 53)]


class RetirementWithdrawn(Command, frozen=True):
    node: Name


class Voted(Command, frozen=True):
    """A marshal's verdict on a build in a stage. Its next one replaces it, but back stays back."""

    build: Count
    stage: Annotated[int, msgspec.Meta(ge=1, le=16)]
    verdict: Literal["on", "hold", "back"]


Orders = (
    SetBudgets
    | AskDrain
    | AskRestart
    | TakeBack
    | Halt
    | Resume
    | Gone
    | BeginRelease
    | SendBack
    | NodeSeen
    | MarshalSeen
    | RetirementNotice
    | RetirementWithdrawn
    | Voted
)

OPERATORS = (SetBudgets, AskDrain, TakeBack, Halt, Resume, Gone, BeginRelease, SendBack)


def may(order: Orders, context: Context) -> None:
    """Refused where it is not the sender's to say: each agent and marshal speaks for itself only."""
    who = context.client_kind
    if isinstance(order, OPERATORS):
        own = isinstance(order, TakeBack) and who == "marshal"  # `permits` looks whose it is
        good = who == "operator" or own
        allowed = "operators"
    elif isinstance(order, NodeSeen):
        good, allowed = who == "agent" and order.node == context.client, f"the agent of {order.node}"
    elif isinstance(order, (RetirementNotice, RetirementWithdrawn)):
        good = who == "operator" or (who == "agent" and order.node == context.client)
        allowed = f"operators and the agent of {order.node}"
    elif isinstance(order, MarshalSeen):
        good, allowed = who == "marshal" and order.marshal == context.client, f"{order.marshal} itself"
    elif isinstance(order, AskRestart):
        good = who == "operator" or (who == "marshal" and order.marshal == context.client)
        allowed = f"operators and {order.marshal} itself"
    else:
        good, allowed = who == "marshal", "marshals"
    if not good:
        sender = f"{context.client_kind or 'the group'} {context.client!r}"
        raise CommandRejectedError(f"{wire_name(order)} of {sender}: {allowed} may say it")
