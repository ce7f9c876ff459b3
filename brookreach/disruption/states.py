"""States of targets, permits and releases, and the transitions that permits and releases may make.

The values are stored and sent; the members are listed in the order of their values.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import TypeVar

from brookreach.disruption.errors import InvalidTransitionError


class TargetKind(StrEnum):
    """What a planned disruption is for."""

    BALANCER = "marshal"
    NODE = "node"


class TargetStatus(StrEnum):
    """How a node or balancer reports itself. Any may follow any, but only a new incarnation is recommissioned."""

    WARMING = "cold"
    DOWN = "down"
    DRAINING = "draining"
    DECOMMISSIONED = "gone"
    READY = "ready"


class PermitAction(StrEnum):
    """Drain a node, migrate a gang's member off a node, restart a balancer."""

    DRAIN = "drain"
    MIGRATE = "move"
    RESTART = "restart"


class PermitState(StrEnum):
    """From requested to ended. A granted permit is returning once its target started anew or it was withdrawn."""

    ENDED = "ended"
    GRANTED = "given"
    RETURNING = "returning"
    WITHDRAWN = "taken back"
    WAITING = "waiting"


class ReleaseState(StrEnum):
    """Of an agreed release. `WAITING` is kept for the stored form; no release is in it."""

    ROLLING_BACK = "going back"
    HALTED = "halted"
    ROLLING_OUT = "on"
    RELEASED = "released"
    ROLLED_BACK = "sent back"
    WAITING = "waiting"


class Verdict(StrEnum):
    """A balancer's vote on a release's stage."""

    ROLL_BACK = "back"
    HOLD = "hold"
    PROMOTE = "on"


ACTIVE_STATES = (PermitState.GRANTED, PermitState.RETURNING)  # the target counts as unavailable
FINAL_STATES = (PermitState.ENDED, PermitState.WITHDRAWN)
ROLLBACK_STATES = (ReleaseState.ROLLING_BACK, ReleaseState.ROLLED_BACK)

PERMIT_TRANSITIONS: Mapping[PermitState, frozenset[PermitState]] = {
    PermitState.WAITING: frozenset({PermitState.GRANTED, PermitState.WITHDRAWN, PermitState.ENDED}),
    PermitState.GRANTED: frozenset({PermitState.RETURNING, PermitState.ENDED}),
    PermitState.RETURNING: frozenset({PermitState.ENDED}),
    PermitState.ENDED: frozenset(),
    PermitState.WITHDRAWN: frozenset(),
}

RELEASE_TRANSITIONS: Mapping[ReleaseState, frozenset[ReleaseState]] = {
    ReleaseState.WAITING: frozenset(),
    ReleaseState.ROLLING_OUT: frozenset({ReleaseState.HALTED, ReleaseState.ROLLING_BACK, ReleaseState.RELEASED}),
    ReleaseState.HALTED: frozenset({ReleaseState.ROLLING_OUT, ReleaseState.ROLLING_BACK}),
    ReleaseState.RELEASED: frozenset({ReleaseState.ROLLING_BACK}),
    ReleaseState.ROLLING_BACK: frozenset({ReleaseState.ROLLED_BACK}),
    ReleaseState.ROLLED_BACK: frozenset(),
}

State = TypeVar("State", PermitState, ReleaseState)


def checked_transition(transitions: Mapping[State, frozenset[State]], current: State, new: State) -> State:
    """The new state, where the table has the change.

    Raises:
        InvalidTransitionError: the table has no change from `current` to `new`.
    """
    if new not in transitions[current]:
        raise InvalidTransitionError(current, new, frozenset(str(state) for state in transitions[current]))
    return new
