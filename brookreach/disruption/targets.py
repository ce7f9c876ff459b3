"""How one node or balancer stands in all counts and indexes: removed before it changes, added again after.

`remove_from_indexes` and `add_to_indexes` are the only ones that change those tables, by one function of the other
tables; so no order of records can make a count differ from what it counts. What is removed and added unchanged is no
change of the record.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from enum import IntEnum, StrEnum

from msgspec import structs

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.disruption import budgets
from brookreach.disruption.internal_tables import (
    GRANTED_PERMITS,
    OPEN_PERMITS,
    PROGRESS,
    QUEUE_ENTRIES,
    QUEUES,
    ROLLOUT_ORDER,
    GrantedPermitRow,
    OpenPermitsRow,
    ProgressRow,
    QueueEntryRow,
    QueueRow,
    RolloutOrderRow,
)
from brookreach.disruption.states import ACTIVE_STATES, PermitState, TargetKind, TargetStatus
from brookreach.disruption.tables import (
    BUILD_ASSIGNMENTS,
    PERMITS,
    BalancerRow,
    BuildAssignmentRow,
    NodeRow,
    PermitRow,
)

MS_PER_URGENCY = 600_000  # one step of urgency is worth a wait this long
MAX_URGENCY = 9
ROLLOUT_URGENCY = 3  # of a release's restarts
ROLLBACK_URGENCY = 9
MAX_RANK = 10**16 - 1
RANK_DIGITS = 16  # keys order by rank as text


class Direction(StrEnum):
    """Part of a queue's key: restarts of a rollback are queued apart from all others."""

    FORWARD = "on"
    ROLLBACK = "back"


class Availability(StrEnum):
    """Part of a queue's key: a target that is unavailable already needs no further place in a budget."""

    AVAILABLE = "in"
    UNAVAILABLE = "out"


class _Change(IntEnum):
    """The sign of an update of counts and indexes."""

    REMOVE = -1
    ADD = 1


def urgency_delay_ms(urgency: int) -> int:
    """What a request of this urgency ranks behind one of the highest, made at the same time."""
    return (MAX_URGENCY - urgency) * MS_PER_URGENCY


def rank(permit: PermitRow) -> int:
    """The lower goes first. It never changes, so no later request overtakes one that waits for long enough."""
    return permit.requested_ms + urgency_delay_ms(permit.urgency)


def open_permits(view: View, kind: TargetKind, name: str) -> OpenPermitsRow:
    """The target's permits that have not ended, and the restart that a release wants."""
    row: OpenPermitsRow | None = view.get(OPEN_PERMITS, f"{kind}/{name}")
    return row or OpenPermitsRow()


def save_open_permits(draft: StagedChanges, kind: TargetKind, name: str, row: OpenPermitsRow) -> None:
    """Replaces them; an empty row is removed."""
    draft.put(OPEN_PERMITS, f"{kind}/{name}", row if row.names or row.restart_rank else None)


def permits_of(view: View, kind: TargetKind, name: str) -> list[tuple[str, PermitRow]]:
    """The target's permits that have not ended, with their names."""
    return [(permit_name, view.get(PERMITS, permit_name)) for permit_name in open_permits(view, kind, name).names]


def is_unavailable(row: NodeRow | BalancerRow, permits: Sequence[tuple[str, PermitRow]]) -> bool:
    """Unplanned, or by a permit: that counts from its grant until its target is seen back."""
    return row.status != TargetStatus.READY or any(permit.state in ACTIVE_STATES for _, permit in permits)


def remove_from_indexes(draft: StagedChanges, kind: TargetKind, name: str) -> None:
    """To be called before the target's row, permits or assignment change."""
    _update_indexes(draft, kind, name, _Change.REMOVE)


def add_to_indexes(draft: StagedChanges, kind: TargetKind, name: str) -> None:
    """To be called after the target's row, permits or assignment changed."""
    _update_indexes(draft, kind, name, _Change.ADD)


def queue_key(kind: TargetKind, direction: Direction, unavailable: bool, row: NodeRow | BalancerRow) -> str:
    """The queue of those that need the same places; see `internal_tables.QueueRow`."""
    availability = Availability.UNAVAILABLE if unavailable else Availability.AVAILABLE
    return f"{kind}/{direction}/{availability}/{row.zone}/{row.build}/{row.service}"


def bucket(node: str) -> str:
    """One of 256 buckets of node names, as two hexadecimal digits."""
    return hashlib.sha256(node.encode()).hexdigest()[:2]


def _update_indexes(draft: StagedChanges, kind: TargetKind, name: str, change: _Change) -> None:
    row = budgets.find_target(draft, kind, name)
    if row is None or row.status == TargetStatus.DECOMMISSIONED:
        return
    permits = permits_of(draft, kind, name)
    unavailable = is_unavailable(row, permits)
    for scope in budgets.scopes_of(row):
        budgets.adjust_count(draft, kind, scope, change, change * unavailable)
    for permit_name, permit in permits:
        if permit.state == PermitState.WAITING:
            queue = queue_key(kind, Direction.FORWARD, unavailable, row)
            _update_queue(draft, queue, rank(permit), QueueEntryRow(name, permit_name), change)
        elif permit.state in ACTIVE_STATES and not permit.overdue:
            _update_granted(draft, kind, row, permit_name, permit, change)
    wanted = open_permits(draft, kind, name)
    if wanted.restart_rank:
        direction = Direction.ROLLBACK if wanted.rollback else Direction.FORWARD
        queue = queue_key(kind, direction, unavailable, row)
        _update_queue(draft, queue, wanted.restart_rank, QueueEntryRow(name, ""), change)
    if isinstance(row, NodeRow):
        order = RolloutOrderRow(name) if change == _Change.ADD else None
        draft.put(ROLLOUT_ORDER, f"{bucket(name)}/{name}", order)
        _update_release_progress(draft, name, row, change)


def _update_granted(
    draft: StagedChanges,
    kind: TargetKind,
    target: NodeRow | BalancerRow,
    permit_name: str,
    permit: PermitRow,
    change: _Change,
) -> None:
    """The permit in the index of each scope, latest rank first."""
    granted = GrantedPermitRow(permit.target) if change == _Change.ADD else None
    inverse_rank = f"{MAX_RANK - rank(permit):0{RANK_DIGITS}d}"
    for scope in budgets.scopes_of(target):
        draft.put(GRANTED_PERMITS, f"{kind}/{scope}/{inverse_rank}/{permit_name}", granted)


def _update_queue(draft: StagedChanges, queue: str, entry_rank: int, entry: QueueEntryRow, change: _Change) -> None:
    existing: QueueRow | None = draft.get(QUEUES, queue)
    waiting = (existing.waiting if existing else 0) + change
    draft.put(QUEUES, queue, QueueRow(waiting) if waiting else None)
    # A permit's name gets a colon, so that it never equals a node's name.
    entry_name = f":{entry.permit}" if entry.permit else entry.target
    key = f"{queue}/{entry_rank:0{RANK_DIGITS}d}/{entry_name}"
    draft.put(QUEUE_ENTRIES, key, entry if change == _Change.ADD else None)


def _update_release_progress(draft: StagedChanges, name: str, row: NodeRow, change: _Change) -> None:
    """A node that a release assigned counts in its stage; one that is ready and warm on the build, as ready."""
    assignment: BuildAssignmentRow | None = draft.get(BUILD_ASSIGNMENTS, name)
    if assignment is None or assignment.build != assignment.release:
        return
    progress: ProgressRow | None = draft.get(PROGRESS, str(assignment.release))
    if progress is None:
        return
    ready = row.status == TargetStatus.READY and row.build == assignment.build
    changed = structs.replace(progress, assigned=progress.assigned + change, ready=progress.ready + change * ready)
    draft.put(PROGRESS, str(assignment.release), changed)
