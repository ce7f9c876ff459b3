"""What clients and other applications ask about permits: request, withdraw, complete a migration."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption import budgets, permit_grants, permits, targets
from brookreach.disruption.commands import MAX_PERMIT_NAME_LENGTH
from brookreach.disruption.states import (
    FINAL_STATES,
    PERMIT_TRANSITIONS,
    PermitAction,
    PermitState,
    TargetStatus,
    checked_transition,
)
from brookreach.disruption.tables import PERMITS, BalancerRow, NodeRow, PermitRow


def request(
    draft: StagedChanges,
    context: Context,
    name: str,
    action: PermitAction,
    target: str,
    urgency: int,
    reason: str,
) -> PermitRow:
    """Queues a permit and grants whatever can be granted now.

    The same request again changes nothing, but a higher urgency is taken while the permit waits.

    Returns:
        The permit as it is then.

    Raises:
        CommandRejectedError: the name or target can't be used, or the target's kind has no budget.
    """
    kind = permits.target_kind_of(action)
    row = _requestable_target(draft, name, action, target)
    existing = permits.find_permit(draft, name)
    if existing is None:
        _check_no_other_permit(draft, name, action, target)
        permit = PermitRow(action, target, context.client, urgency, context.now_ms, PermitState.WAITING, reason=reason)
    else:
        _check_same_request(name, existing, action, target)
        if existing.state != PermitState.WAITING or urgency <= existing.urgency:
            return existing
        permit = structs.replace(existing, urgency=urgency)
    targets.remove_from_indexes(draft, kind, target)
    draft.put(PERMITS, name, permit)
    if existing is None:
        pending = targets.open_permits(draft, kind, target)
        targets.save_open_permits(draft, kind, target, structs.replace(pending, names=(*pending.names, name)))
    targets.add_to_indexes(draft, kind, target)
    places = 0 if targets.is_unavailable(row, targets.permits_of(draft, kind, target)) else 1
    if all(budgets.allowed_disruptions(draft, kind, scope) >= places for scope in budgets.scopes_of(row)):
        permit_grants.grant_waiting(draft, context)
    return permits.get_permit(draft, name)


def _requestable_target(view: View, name: str, action: PermitAction, target: str) -> NodeRow | BalancerRow:
    kind = permits.target_kind_of(action)
    row = budgets.find_target(view, kind, target)
    if not 0 < len(name) <= MAX_PERMIT_NAME_LENGTH:
        raise CommandRejectedError(
            f"a permit's name of {len(name)} characters; 1 to {MAX_PERMIT_NAME_LENGTH} are allowed"
        )
    if row is None or row.status == TargetStatus.DECOMMISSIONED:
        raise CommandRejectedError(f"{action} {name}: no {kind} {target!r} is in the fleet")
    if budgets.find_budget(view, kind, budgets.ALL_SCOPE) is None:
        raise CommandRejectedError(f"{action} {name}: {kind}s have no budget for scope all, so none may go")
    return row


def _check_no_other_permit(view: View, name: str, action: PermitAction, target: str) -> None:
    """A target has one open drain or restart; migrations off a node may be many."""
    if action == PermitAction.MIGRATE:
        return
    for other, permit in targets.permits_of(view, permits.target_kind_of(action), target):
        if permit.action == action:
            raise CommandRejectedError(
                f"{action} {name}: {target} has {other} already, by {permit.requested_by}, {permit.state}"
            )


def _check_same_request(name: str, existing: PermitRow, action: PermitAction, target: str) -> None:
    if (existing.action, existing.target) != (action, target):
        raise CommandRejectedError(
            f"{name} stands for the {existing.action} of {existing.target}, {existing.state}: take another name"
        )
    if existing.state in FINAL_STATES:
        raise CommandRejectedError(
            f"{name} is over: {existing.state} at {existing.ended_ms} ms; asking again needs a new name"
        )


def request_all(
    draft: StagedChanges,
    context: Context,
    action: PermitAction,
    wanted: Mapping[str, str],
    urgency: int,
    reason: str,
) -> bool:
    """Either all of `wanted` (permit's name: target) are granted in this record, or nothing is changed."""
    trial = StagedChanges(draft)
    for name in sorted(wanted):
        request(trial, context, name, action, wanted[name], urgency, reason)
    if any(permits.get_permit(trial, name).state != PermitState.GRANTED for name in wanted):
        return False
    draft.apply_updates(trial.updates())
    return True


def withdraw(draft: StagedChanges, context: Context, name: str, reason: str) -> None:
    """A waiting permit leaves the queue; a granted one counts until its target is seen back.

    Raises:
        CommandRejectedError: it is not open, or is returning already.
    """
    permit = _open_permit(draft, name)
    if permit.state == PermitState.WAITING:
        permits.finish(draft, context.now_ms, name, PermitState.WITHDRAWN, reason)
        return
    if permit.withdrawn_index or permit.state == PermitState.RETURNING:
        raise CommandRejectedError(f"{name} is on its way back already")
    returning = checked_transition(PERMIT_TRANSITIONS, permit.state, PermitState.RETURNING)
    changed = structs.replace(permit, state=returning, withdrawn_index=context.index, reason=reason)
    draft.put(PERMITS, name, changed)  # the target counts as unavailable before and after


def complete_migration(draft: StagedChanges, context: Context, name: str) -> None:
    """The gang's member runs again, so the permit ends.

    Raises:
        CommandRejectedError: it is not a migration's, or is not open.
    """
    permit = _open_permit(draft, name)
    if permit.action != PermitAction.MIGRATE:
        raise CommandRejectedError(f"{name} is a {permit.action}: it ends when {permit.target} is seen ready and warm")
    permits.finish(draft, context.now_ms, name, PermitState.ENDED, permit.reason)
    permit_grants.grant_waiting(draft, context)


def _open_permit(draft: StagedChanges, name: str) -> PermitRow:
    permit = permits.find_permit(draft, name)
    if permit is None:
        raise CommandRejectedError(f"no permit is named {name}")
    if permit.state in FINAL_STATES:
        raise CommandRejectedError(f"{name} is over: {permit.state} at {permit.ended_ms} ms")
    return permit
