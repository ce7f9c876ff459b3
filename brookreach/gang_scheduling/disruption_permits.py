"""The seam to outages: how a gang asks to take members off a node that stands, within one record.

It owns the names of gangs' permits. It must never put a permit's row itself, nor take one that is not given
for a given one.
"""

from __future__ import annotations

from typing import Protocol

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges
from brookreach.disruption import permit_requests
from brookreach.disruption.states import PermitAction
from brookreach.disruption.tables import PERMITS, PermitRow


class Permits(Protocol):
    """What gangs need of it; the drill's own budget is another."""

    def ask(self, draft: StagedChanges, context: Context, name: str, node: str, urgency: int, reason: str) -> str:
        """Wait for a permit to move what runs on this node. Why it can't even wait, or ""."""
        ...

    def given_ms(self, draft: StagedChanges, name: str) -> int:
        """Since when it is given; 0: it waits; -1: it stands no more, and is to be asked for anew."""
        ...

    def end(self, draft: StagedChanges, context: Context, name: str, reason: str) -> None:
        """The move is over, or not wanted any more."""
        ...


class Agreed:
    """By the budgets, queue and halts of `brookreach.disruption`."""

    def ask(self, draft: StagedChanges, context: Context, name: str, node: str, urgency: int, reason: str) -> str:
        try:
            permit_requests.request(draft, context, name, PermitAction.MIGRATE, node, urgency, reason)
        except CommandRejectedError as refusal:
            return str(refusal)
        return ""

    def given_ms(self, draft: StagedChanges, name: str) -> int:
        row: PermitRow | None = draft.get(PERMITS, name)
        if row is None or row.state not in ("waiting", "given"):
            return -1
        return max(1, row.granted_ms) if row.state == "given" else 0

    def end(self, draft: StagedChanges, context: Context, name: str, reason: str) -> None:
        row: PermitRow | None = draft.get(PERMITS, name)
        if row is not None and row.state == "waiting":
            permit_requests.withdraw(draft, context, name, reason)
        elif row is not None and row.state in ("given", "returning"):
            permit_requests.complete_migration(draft, context, name)


def named(gang: str, fence: int, member: int) -> str:
    """One that nobody has asked for before, and short enough for any gang's name."""
    return f"gangs:{gang}:{fence}.{member}"


def node_of(draft: StagedChanges, name: str) -> str:
    """The node that it is for; "" where it stands no more."""
    row: PermitRow | None = draft.get(PERMITS, name)
    return row.target if row is not None else ""
