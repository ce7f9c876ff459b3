"""What may be asked of gangs, and by whom. It owns the bounds of every field and must never change a row."""

from __future__ import annotations

from typing import Annotated

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Text
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Context

MOST_MEMBERS, MOST_ROOM, MOST_MS = 256, 1 << 32, 1 << 41  # the last: some seventy years

Members = Annotated[int, msgspec.Meta(ge=1, le=MOST_MEMBERS)]
Room = Annotated[int, msgspec.Meta(ge=1, le=MOST_ROOM)]
Span = Annotated[int, msgspec.Meta(ge=1, le=MOST_MS)]
Moment = Annotated[int, msgspec.Meta(ge=0, le=1 << 50)]
Member = Annotated[int, msgspec.Meta(ge=0, lt=MOST_MEMBERS)]
Gang = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+\Z")]


class Submit(Command, frozen=True):
    """A new gang. `deadline_ms` 0: none. `flexible`: it may wait, and move, for cleaner power."""

    gang: Gang
    members: Members
    room: Room  # of each member
    work_ms: Span
    cost_ms: Span  # of a checkpoint, until it is measured
    load_ms: Span
    deadline_ms: Moment = 0
    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)] = ()
    builds: Annotated[tuple[Count, ...], msgspec.Meta(max_length=64)] = ()
    flexible: bool = False


class Cancel(Command, frozen=True):
    """An operator ends a gang; of one that has ended it takes the rows away."""

    gang: Gang
    reason: Text


class Here(Command, frozen=True):
    """A node's agent: this session of mine carries out orders, and nothing of an earlier one works."""

    life: Count


class Confirmed(Command, frozen=True):
    """An agent: the member's part of this epoch is kept, away from the node."""

    gang: Gang
    member: Member
    epoch: Count
    node: Name
    life: Count
    fence: Count
    work_ms: Moment


class Started(Command, frozen=True):
    """An agent: loaded, and waits for the others."""

    gang: Gang
    member: Member
    fence: Count


class Stopped(Command, frozen=True):
    """An agent: no incarnation up to this fence works on this node, nor ever will."""

    gang: Gang
    member: Member
    fence: Count


class Failed(Command, frozen=True):
    """An agent: it ended by itself."""

    gang: Gang
    member: Member
    fence: Count
    reason: Text


class Measured(Command, frozen=True):
    """An agent: what a checkpoint and a load really cost; 0 for what was not measured."""

    gang: Gang
    cost_ms: Moment
    load_ms: Moment


class Noticed(Command, frozen=True):
    """Anybody: this node's row has changed, look at the gangs on it now. It says nothing of its own."""

    node: Name


Orders = Submit | Cancel | Here | Confirmed | Started | Stopped | Failed | Measured | Noticed
BY_OPERATORS, BY_AGENTS = (Submit, Cancel), (Here, Confirmed, Started, Stopped, Failed, Measured)


def permitted(order: Orders, context: Context) -> None:
    """Raises CommandRejectedError where this client may not say that."""
    who = f"{context.client!r} is {context.client_kind or 'the group'}"
    if isinstance(order, BY_OPERATORS) and context.client_kind != "operator":
        raise CommandRejectedError(f"{wire_name(order)} is for operators; {who}")
    if isinstance(order, BY_AGENTS) and context.client_kind != "agent":
        raise CommandRejectedError(f"{wire_name(order)} is for agents; {who}")


def proper(order: Submit, now: int) -> None:
    """Raises CommandRejectedError with what stands there and what is allowed, beyond what each field's bounds say."""
    bounds = (
        ("members", order.members, MOST_MEMBERS),
        ("room", order.room, MOST_ROOM),
        ("work_ms", order.work_ms, MOST_MS),
        ("cost_ms", order.cost_ms, MOST_MS),
        ("load_ms", order.load_ms, MOST_MS),
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
