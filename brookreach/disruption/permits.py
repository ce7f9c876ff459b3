"""Permits for planned disruptions, from granted to ended.

A granted permit counts its target as unavailable until that was seen ready and warm in a later incarnation, or, where
the permit was withdrawn, in the same incarnation by an agent that had heard of that. No time and no lost session ends
it, only the decommissioning of its target.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import Context, StagedChanges, View
from brookreach.disruption import budgets, deadlines, targets
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.states import (
    ACTIVE_STATES,
    FINAL_STATES,
    PERMIT_TRANSITIONS,
    PermitAction,
    PermitState,
    TargetKind,
    TargetStatus,
    checked_transition,
)
from brookreach.disruption.tables import PERMITS, BalancerRow, NodeRow, PermitRow

OVERDUE_AFTER_MS = 3_600_000  # from the grant; then no queue entry waits for it, but it counts as unavailable
RETENTION_MS = 7 * 86_400_000  # ended permits are kept so long, for readers and for repeated names
RELEASE_PREFIX = "release:"  # of the names of permits that releases make


def target_kind_of(action: PermitAction) -> TargetKind:
    """The kind of target that the action is done to."""
    return TargetKind.BALANCER if action == PermitAction.RESTART else TargetKind.NODE


def incarnation_of(row: NodeRow | BalancerRow) -> int:
    """A balancer's session stands for its incarnation: a restarted one has another session."""
    return row.incarnation if isinstance(row, NodeRow) else row.session


def find_permit(view: View, name: str) -> PermitRow | None:
    """The permit of this name; None: there is none, or it was ended and forgotten."""
    permit: PermitRow | None = view.get(PERMITS, name)
    return permit


def find_granted(view: View, name: str) -> PermitRow | None:
    """The permit while its holder may go or is out by it. Its incarnation and fence are those that it is for."""
    permit = find_permit(view, name)
    return permit if permit is not None and permit.state == PermitState.GRANTED else None


def get_permit(view: View, name: str) -> PermitRow:
    """The permit of this name, which is known to exist."""
    permit: PermitRow = view.get(PERMITS, name)
    return permit


def has_target_returned(permit: PermitRow, row: NodeRow | BalancerRow, applied_index: int) -> bool:
    """Whether the target of an active permit has come back.

    In the same incarnation only by an agent that knew of the withdrawal: what it said before may be followed by
    its leaving.
    """
    if row.status != TargetStatus.READY:
        return False
    return incarnation_of(row) > permit.incarnation or 0 < permit.withdrawn_index <= applied_index


def complete_returned(draft: StagedChanges, context: Context, kind: TargetKind, name: str, applied_index: int) -> None:
    """Ends or changes the target's permits after its report, which its row has already.

    Args:
        draft: The record's changes so far.
        context: Of the record.
        kind: Of the target.
        name: Of the target.
        applied_index: The log index that the reporter's cache had applied.
    """
    row = budgets.get_target(draft, kind, name)
    for permit_name, permit in targets.permits_of(draft, kind, name):
        if permit.action == PermitAction.MIGRATE or permit.state not in ACTIVE_STATES:
            continue
        if has_target_returned(permit, row, applied_index):
            finish(draft, context.now_ms, permit_name, PermitState.ENDED, permit.reason)
        elif permit.state == PermitState.GRANTED and incarnation_of(row) > permit.incarnation:
            returning = checked_transition(PERMIT_TRANSITIONS, permit.state, PermitState.RETURNING)
            draft.put(PERMITS, permit_name, structs.replace(permit, state=returning))


def end_all_of_target(draft: StagedChanges, context: Context, kind: TargetKind, name: str, reason: str) -> None:
    """The target is decommissioned. Migrations off it go on: their gangs end them."""
    for permit_name, permit in targets.permits_of(draft, kind, name):
        if permit.action != PermitAction.MIGRATE:
            state = PermitState.ENDED if permit.state in ACTIVE_STATES else PermitState.WITHDRAWN
            finish(draft, context.now_ms, permit_name, state, reason)


def set_overdue(draft: StagedChanges, name: str) -> None:
    """It was granted long ago. It counts as before; only queue entries wait for it no longer."""
    permit = find_permit(draft, name)
    if permit is None or permit.state not in ACTIVE_STATES:
        return
    kind = target_kind_of(permit.action)
    targets.remove_from_indexes(draft, kind, permit.target)
    draft.put(PERMITS, name, structs.replace(permit, overdue=True))
    targets.add_to_indexes(draft, kind, permit.target)


def forget(draft: StagedChanges, name: str) -> None:
    """Removes a permit that was kept for `RETENTION_MS` after its end."""
    permit = find_permit(draft, name)
    if permit is not None and permit.state in FINAL_STATES:
        draft.put(PERMITS, name, None)


def finish(draft: StagedChanges, now_ms: int, name: str, state: PermitState, reason: str) -> None:
    """The permit ends or is withdrawn, and is forgotten `RETENTION_MS` later."""
    permit = get_permit(draft, name)
    kind = target_kind_of(permit.action)
    targets.remove_from_indexes(draft, kind, permit.target)
    finished = structs.replace(
        permit,
        state=checked_transition(PERMIT_TRANSITIONS, permit.state, state),
        ended_ms=now_ms,
        reason=reason,
    )
    draft.put(PERMITS, name, finished)
    pending = targets.open_permits(draft, kind, permit.target)
    names = tuple(other for other in pending.names if other != name)
    targets.save_open_permits(draft, kind, permit.target, structs.replace(pending, names=names))
    targets.add_to_indexes(draft, kind, permit.target)
    if permit.state in ACTIVE_STATES:
        deadlines.cancel(draft, permit.granted_ms + OVERDUE_AFTER_MS, TimerKind.SET_OVERDUE, name)
    deadlines.schedule(draft, now_ms + RETENTION_MS, TimerKind.FORGET_PERMIT, name)
