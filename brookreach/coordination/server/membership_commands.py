"""Operators' commands that add or remove a member of the cluster."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.errors import InvalidRequestError
from brookreach.coordination.state_machine.application import Command


class ChangeMembership(Command, frozen=True, tag="MoveSeat"):
    """Adds or removes a member; one that changes nothing succeeds, too."""

    way: Literal["add", "remove"]
    name: messages.Name


_decoder = msgspec.msgpack.Decoder(ChangeMembership, strict=True)


def members_after(members: Sequence[str], configured: Sequence[str], body: bytes) -> tuple[str, ...]:
    """Return the members after an operator's command.

    Args:
        members: The members now.
        configured: The replicas that the leader's configuration file names.
        body: The encoded `ChangeMembership`.

    Raises:
        InvalidRequestError: If the command can't be read or carried out.
    """
    try:
        command = _decoder.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequestError(f"no move of seats: {error}") from error
    if command.way == "remove":
        return _without(members, command.name)
    return _with(members, configured, command.name)


def _without(members: Sequence[str], name: str) -> tuple[str, ...]:
    remaining = tuple(member for member in members if member != name)
    if not remaining:
        raise InvalidRequestError(f"{name} has the only seat")
    return remaining


def _with(members: Sequence[str], configured: Sequence[str], name: str) -> tuple[str, ...]:
    if name not in configured:
        allowed = ", ".join(configured)
        raise InvalidRequestError(f"{name} is no [[keeper]] in the leader's file; there are {allowed}")
    if name in members:
        return tuple(members)
    if len(members) == messages.MAX_MEMBERS:
        raise InvalidRequestError(f"{len(members)} seats; no more are allowed")
    return (*members, name)
