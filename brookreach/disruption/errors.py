"""Errors of planned disruptions that are faults of the program or its surroundings.

A command that the state does not allow raises `CommandRejectedError` of the state machine instead.
"""

from __future__ import annotations


class DisruptionError(Exception):
    """Base of this package's errors."""


class InvalidTransitionError(DisruptionError):
    """A state machine was asked for a change of state that its transition table does not have."""

    def __init__(self, current: str, new: str, allowed: frozenset[str]):
        super().__init__(f"{current!r} can't become {new!r}; allowed: {sorted(allowed) or 'nothing, it is final'}")


class UnknownTargetError(DisruptionError):
    """A permit or queue entry names a node or balancer that has no row."""

    def __init__(self, kind: str, name: str):
        super().__init__(f"{kind} {name!r} has no row; a permit's target always has one")
