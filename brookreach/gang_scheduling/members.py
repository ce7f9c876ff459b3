"""Where a member is, may still be, and is to be: the only changes that a MemberRow goes through.

A member has at most one place where an incarnation may live. It is given another only from here, and the
new one is not to be started before the old place has let go. It must never drop an old place for any other
reason than those `let_go` is called for: its agent stopped it, its node lives a later life, or its agent's
grants ran out.
"""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from brookreach.gang_scheduling.tables import MemberRow

RELEASE_DELAY_MS = 15_000
"""After a session of an agent ended, before what it started is taken for stopped. More than the longest grant
(a lease x (1 + drift)) and the farthest that a new leader's agreed time may lie ahead, together."""

UNASSIGNED = MemberRow("", 0, 0, "none", 0)


@dataclass(frozen=True, slots=True)
class Incarnation:
    """One incarnation's place: a node, the life of it, the fence it was started under."""

    node: str
    life: int
    fence: int


def active_incarnation(row: MemberRow) -> Incarnation | None:
    """Where an incarnation may live now."""
    if row.state == "fencing":
        return Incarnation(row.old_node, row.old_life, row.old_fence)
    if row.state in ("starting", "running"):
        return Incarnation(row.node, row.life, row.fence)
    return None


def reserved_nodes(row: MemberRow) -> tuple[str, ...]:
    """The nodes whose room it takes."""
    return tuple(sorted({node for node in (row.node, row.old_node, row.next_node) if node}))


def assign(row: MemberRow, node: str, life: int, fence: int) -> MemberRow:
    """It is to run there under this fence. On the node where it lives the agent itself ends the older
    one first.
    """
    at = active_incarnation(row)
    if at is None or at.node == node:
        return MemberRow(node, life, fence, "starting", row.epoch, work_ms=row.work_ms)
    return MemberRow(node, life, fence, "fencing", row.epoch, at.node, at.fence, at.life, work_ms=row.work_ms)


def unassign(row: MemberRow) -> MemberRow:
    """It is to run nowhere."""
    at = active_incarnation(row)
    if at is None:
        return MemberRow("", 0, row.fence, "stopped", row.epoch, work_ms=row.work_ms)
    return MemberRow("", 0, row.fence, "fencing", row.epoch, at.node, at.fence, at.life, work_ms=row.work_ms)


def release(row: MemberRow) -> MemberRow:
    """Nothing lives at its old place any more, or nothing at its only one."""
    if row.state == "fencing" and row.node:
        return MemberRow(row.node, row.life, row.fence, "starting", row.epoch, work_ms=row.work_ms)
    return MemberRow("", 0, row.fence, "stopped", row.epoch, work_ms=row.work_ms)


def reserve(row: MemberRow, node: str, life: int) -> MemberRow:
    """Room is held for it there; it stays where it is."""
    return replace(row, next_node=node, next_life=life)
