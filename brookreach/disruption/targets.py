"""What one node or marshal stands for in all counts and indexes, taken out before it changes, put back after.

`lift` and `lay` are the only ones that change those tables, by one function of what stands in the others; so
no order of records can make a count run away from what it counts. What is taken out and put back unchanged
is no change of the record.
"""

from __future__ import annotations

import hashlib

from msgspec import structs

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.disruption import budgets
from brookreach.disruption.budgets import Kind
from brookreach.disruption.internal_tables import (
    DRAWS,
    HELD,
    LINES,
    OPEN,
    PROGRESS,
    WAITS,
    DrawRow,
    HeldRow,
    LineRow,
    OpenRow,
    ProgressRow,
    WaitRow,
)
from brookreach.disruption.tables import ASSIGNED, PERMITS, AssignRow, MarshalRow, NodeRow, PermitRow

STEP_MS = 600_000  # an urgency is worth as much as having waited for that long
FAR = 10**16 - 1  # over any rank
ON_URGENCY, BACK_URGENCY = 3, 9  # of a release's restarts, on and on the way back
OUT, OVER = ("given", "returning"), ("ended", "taken back")


def rank(permit: PermitRow) -> int:
    """Lower goes first. It never changes, so nobody asked `9 x STEP_MS` later or more ever ranks before."""
    return permit.asked_ms + (9 - permit.urgency) * STEP_MS


def opened(view: View, kind: Kind, name: str) -> OpenRow:
    found: OpenRow | None = view.get(OPEN, f"{kind}/{name}")
    return found or OpenRow()


def put_opened(draft: StagedChanges, kind: Kind, name: str, row: OpenRow) -> None:
    draft.put(OPEN, f"{kind}/{name}", row if row.names or row.move else None)


def permits_of(view: View, kind: Kind, name: str) -> list[tuple[str, PermitRow]]:
    return [(one, view.get(PERMITS, one)) for one in opened(view, kind, name).names]


def is_out(row: NodeRow | MarshalRow, permits: list[tuple[str, PermitRow]]) -> bool:
    """Unplanned or by a permit, which counts from when it is given to when its target is seen back."""
    return row.standing != "ready" or any(permit.state in OUT for _, permit in permits)


def lift(draft: StagedChanges, kind: Kind, name: str) -> None:
    _weigh(draft, kind, name, -1)


def lay(draft: StagedChanges, kind: Kind, name: str) -> None:
    _weigh(draft, kind, name, 1)


def line(kind: Kind, way: str, out: bool, row: NodeRow | MarshalRow) -> str:
    return f"{kind}/{way}/{'out' if out else 'in'}/{row.zone}/{row.build}/{row.service}"


def bucket(node: str) -> str:
    return hashlib.sha256(node.encode()).hexdigest()[:2]


def _weigh(draft: StagedChanges, kind: Kind, name: str, sign: int) -> None:
    row = budgets.target(draft, kind, name)
    if row is None or row.standing == "gone":
        return
    permits = permits_of(draft, kind, name)
    out = is_out(row, permits)
    for scope in budgets.scopes_of(row):
        budgets.counted(draft, kind, scope, sign, sign * out)
    for one, permit in permits:
        if permit.state == "waiting":
            _wait(draft, line(kind, "on", out, row), rank(permit), WaitRow(name, one), sign)
        elif permit.state in OUT and not permit.late:
            for scope in budgets.scopes_of(row):
                key = f"{kind}/{scope}/{FAR - rank(permit):016d}/{one}"
                draft.put(HELD, key, HeldRow(name) if sign > 0 else None)
    standing = opened(draft, kind, name)
    if standing.move:
        way = "back" if standing.back else "on"
        _wait(draft, line(kind, way, out, row), standing.move, WaitRow(name, ""), sign)
    if isinstance(row, NodeRow):
        draft.put(DRAWS, f"{bucket(name)}/{name}", DrawRow(name) if sign > 0 else None)
        _in_release(draft, name, row, sign)


def _wait(draft: StagedChanges, waits_in: str, at: int, wait: WaitRow, sign: int) -> None:
    kept: LineRow | None = draft.get(LINES, waits_in)
    waiting = (kept.waiting if kept else 0) + sign
    draft.put(LINES, waits_in, LineRow(waiting) if waiting else None)
    key = f"{waits_in}/{at:016d}/{':' + wait.name if wait.name else wait.target}"
    draft.put(WAITS, key, wait if sign > 0 else None)


def _in_release(draft: StagedChanges, name: str, row: NodeRow, sign: int) -> None:
    """A node that was drawn counts in its stage, one that is ready and warm on the build is there."""
    assign: AssignRow | None = draft.get(ASSIGNED, name)
    if assign is None or assign.build != assign.release:
        return
    progress: ProgressRow | None = draft.get(PROGRESS, str(assign.release))
    if progress is None:
        return
    there = row.standing == "ready" and row.build == assign.build
    changed = structs.replace(progress, drawn=progress.drawn + sign, there=progress.there + sign * there)
    draft.put(PROGRESS, str(assign.release), changed)
