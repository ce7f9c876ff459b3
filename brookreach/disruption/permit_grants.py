"""Granting of permits: by the queue's order, within the budgets, and nothing during a halt."""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import Context, StagedChanges
from brookreach.disruption import budgets, deadlines, halt, permits, queue, targets
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.internal_tables import QueueEntryRow
from brookreach.disruption.states import PERMIT_TRANSITIONS, PermitAction, PermitState, TargetKind, checked_transition
from brookreach.disruption.tables import BUILD_ASSIGNMENTS, PERMITS, BuildAssignmentRow, PermitRow

MAX_GRANTS_PER_RECORD = 64  # the others at once in the next record


def grant_waiting(draft: StagedChanges, context: Context) -> None:
    """Grants what can be granted. To be called after whatever may have freed a place."""
    current_halt = halt.current_halt(draft)
    if current_halt is not None and not current_halt.allows_rollback:
        return
    remaining = MAX_GRANTS_PER_RECORD
    for kind in budgets.GRANT_ORDER:
        for entry in queue.grantable_entries(draft, kind, rollback_only=current_halt is not None):
            if not remaining:
                deadlines.schedule(draft, context.now_ms, TimerKind.GRANT_WAITING, "all")
                return
            _grant(draft, context, kind, entry)
            remaining -= 1


def _grant(draft: StagedChanges, context: Context, kind: TargetKind, entry: QueueEntryRow) -> None:
    row = budgets.get_target(draft, kind, entry.target)
    targets.remove_from_indexes(draft, kind, entry.target)
    name = entry.permit or _create_release_permit(draft, context, entry.target)
    permit = permits.get_permit(draft, name)
    granted = structs.replace(
        permit,
        state=checked_transition(PERMIT_TRANSITIONS, permit.state, PermitState.GRANTED),
        fence=context.index,
        granted_ms=context.now_ms,
        incarnation=permits.incarnation_of(row),
    )
    draft.put(PERMITS, name, granted)
    targets.add_to_indexes(draft, kind, entry.target)
    deadlines.schedule(draft, context.now_ms + permits.OVERDUE_AFTER_MS, TimerKind.SET_OVERDUE, name)


def _create_release_permit(draft: StagedChanges, context: Context, node: str) -> str:
    """The permit of a restart that a release wants, made when its turn comes: so thousands wait cheaply."""
    pending = targets.open_permits(draft, TargetKind.NODE, node)
    assignment: BuildAssignmentRow = draft.get(BUILD_ASSIGNMENTS, node)
    urgency = targets.ROLLBACK_URGENCY if pending.rollback else targets.ROLLOUT_URGENCY
    requested_ms = pending.restart_rank - targets.urgency_delay_ms(urgency)
    name = f"{permits.RELEASE_PREFIX}{assignment.release}:{node}:{context.index}"
    reason = f"build {assignment.build}, by release {assignment.release}"
    permit = PermitRow(PermitAction.DRAIN, node, "", urgency, requested_ms, PermitState.WAITING, reason=reason)
    draft.put(PERMITS, name, permit)
    draft.put(BUILD_ASSIGNMENTS, node, structs.replace(assignment, attempts=assignment.attempts + 1))
    granted = structs.replace(pending, names=(*pending.names, name), restart_rank=0, rollback=False)
    targets.save_open_permits(draft, TargetKind.NODE, node, granted)
    return name
