"""Permits of `brookreach.disruption` to move members off a node that stands, asked for within one record.

It owns the names of gangs' permits. It must never put a permit's row itself, nor take one that is not granted for a
granted one.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges
from brookreach.disruption import permit_requests
from brookreach.disruption.states import PermitAction
from brookreach.disruption.tables import PERMITS, PermitRow


class PermitState(Enum):
    """How far a permit is, as far as a gang needs to know."""

    WAITING = "waiting"
    GRANTED = "granted"
    ABSENT = "absent"  # it stands no more, and has to be requested anew


@dataclass(frozen=True, slots=True)
class PermitStatus:
    """The state of one permit, and since when it is granted (0 where it isn't)."""

    state: PermitState
    granted_ms: int = 0


class PermitProvider(Protocol):
    """What gang scheduling needs of permits; the simulation's budget is another."""

    def request(
        self, draft: StagedChanges, context: Context, name: str, node: str, urgency: int, reason: str
    ) -> str | None:
        """Waits for a permit to move what runs on `node`.

        Args:
            draft: The record's changes so far; the permit's row is put there.
            context: Of the record.
            name: The permit's, by `permit_name`.
            node: The node that is to be left.
            urgency: 0 to 9, the most urgent first.
            reason: For operators.

        Returns:
            Why it can't even wait; None where it does.
        """
        ...

    def status(self, draft: StagedChanges, name: str) -> PermitStatus:
        """Returns how far the permit is."""
        ...

    def end(self, draft: StagedChanges, context: Context, name: str, reason: str) -> None:
        """Ends the permit: the move is over, or not wanted any more."""
        ...


class DisruptionPermits:
    """Permits by the budgets, the queue and the halts of `brookreach.disruption`."""

    def request(
        self, draft: StagedChanges, context: Context, name: str, node: str, urgency: int, reason: str
    ) -> str | None:
        """Waits for a permit, as `PermitProvider.request` says."""
        try:
            permit_requests.request(draft, context, name, PermitAction.MIGRATE, node, urgency, reason)
        except CommandRejectedError as rejection:
            return str(rejection)
        return None

    def status(self, draft: StagedChanges, name: str) -> PermitStatus:
        """Returns how far the permit is."""
        row: PermitRow | None = draft.get(PERMITS, name)
        if row is None or row.state not in ("waiting", "given"):
            return PermitStatus(PermitState.ABSENT)
        if row.state == "waiting":
            return PermitStatus(PermitState.WAITING)
        return PermitStatus(PermitState.GRANTED, max(1, row.granted_ms))

    def end(self, draft: StagedChanges, context: Context, name: str, reason: str) -> None:
        """Withdraws a permit that waits, and completes one that is granted."""
        row: PermitRow | None = draft.get(PERMITS, name)
        if row is not None and row.state == "waiting":
            permit_requests.withdraw(draft, context, name, reason)
        elif row is not None and row.state in ("given", "returning"):
            permit_requests.complete_migration(draft, context, name)


def permit_name(gang: str, log_index: int, member: int) -> str:
    """Returns a name that nobody has used before, short enough for any gang's name."""
    return f"gangs:{gang}:{log_index}.{member}"


def permit_target(draft: StagedChanges, name: str) -> str | None:
    """Returns the node that a permit is for; None where it stands no more."""
    row: PermitRow | None = draft.get(PERMITS, name)
    return row.target if row is not None else None
