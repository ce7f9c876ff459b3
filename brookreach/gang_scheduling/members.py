"""Where a member's incarnation may live and where it is to run: the only changes that a MemberRow goes through.

A member has at most one place where an incarnation may live. It is assigned another only here, and the new one is
not to be started before the previous node has released it. A previous place must never be dropped for any other
reason than those `release` is called for: its agent stopped it, its node was started anew, or its agent's grants
ran out.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from brookreach.gang_scheduling.gang_state import MemberState
from brookreach.gang_scheduling.tables import MemberRow

RELEASE_DELAY_MS = 15_000
"""Wait after an agent's session ended, before what it started counts as stopped. It is more than the longest grant
(a lease x (1 + drift)) and the farthest that a new leader's agreed time may lie ahead, together."""

UNASSIGNED = MemberRow("", 0, 0, MemberState.NONE, 0)


@dataclass(frozen=True, slots=True)
class Target:
    """A node, in one incarnation of it, where a member is to run."""

    node: str
    node_incarnation: int


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation of a member: its node, the node's incarnation, the token that it was started under."""

    node: str
    node_incarnation: int
    fencing_token: int


def active_incarnation(row: MemberRow) -> Incarnation | None:
    """Returns the incarnation that may live now."""
    if row.state == MemberState.FENCING:
        return Incarnation(row.previous_node, row.previous_node_incarnation, row.previous_fencing_token)
    if row.state in (MemberState.STARTING, MemberState.RUNNING):
        return Incarnation(row.node, row.node_incarnation, row.fencing_token)
    return None


def reserved_nodes(row: MemberRow) -> tuple[str, ...]:
    """Returns the nodes whose capacity it takes, in order."""
    nodes = {row.node, row.previous_node, row.next_node}
    return tuple(sorted(nodes - {""}))


def assign(row: MemberRow, target: Target, fencing_token: int) -> MemberRow:
    """Returns the row by which the member is to run on `target` under this token.

    On the node where it lives the agent itself ends the older incarnation first.
    """
    active = active_incarnation(row)
    if active is None or active.node == target.node:
        return MemberRow(
            target.node,
            target.node_incarnation,
            fencing_token,
            MemberState.STARTING,
            row.confirmed_epoch,
            confirmed_work_ms=row.confirmed_work_ms,
        )
    return _fencing(row, active, target, fencing_token)


def unassign(row: MemberRow) -> MemberRow:
    """Returns the row by which the member is to run nowhere."""
    active = active_incarnation(row)
    if active is None:
        return _stopped(row)
    return _fencing(row, active, Target("", 0), row.fencing_token)


def release(row: MemberRow) -> MemberRow:
    """Returns the row once nothing lives on the previous node any more, or on its only one."""
    if row.state == MemberState.FENCING and row.node:
        return MemberRow(
            row.node,
            row.node_incarnation,
            row.fencing_token,
            MemberState.STARTING,
            row.confirmed_epoch,
            confirmed_work_ms=row.confirmed_work_ms,
        )
    return _stopped(row)


def reserve(row: MemberRow, target: Target) -> MemberRow:
    """Returns the row with capacity held on `target`; the member stays where it is."""
    return replace(row, next_node=target.node, next_node_incarnation=target.node_incarnation)


def cancel_reservation(row: MemberRow) -> MemberRow:
    """Returns the row without the capacity held by `reserve`."""
    return replace(row, next_node="", next_node_incarnation=0)


def _fencing(row: MemberRow, active: Incarnation, target: Target, fencing_token: int) -> MemberRow:
    return MemberRow(
        target.node,
        target.node_incarnation,
        fencing_token,
        MemberState.FENCING,
        row.confirmed_epoch,
        active.node,
        active.fencing_token,
        active.node_incarnation,
        confirmed_work_ms=row.confirmed_work_ms,
    )


def _stopped(row: MemberRow) -> MemberRow:
    return MemberRow(
        "", 0, row.fencing_token, MemberState.STOPPED, row.confirmed_epoch, confirmed_work_ms=row.confirmed_work_ms
    )
