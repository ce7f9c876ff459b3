"""What agents and balancers report of themselves, and what is assumed when they no longer do.

This module owns the rows of nodes and balancers. A node whose agent's session ended counts as down until it is
reported again: nobody knows better, and what isn't known to be ready must not be counted on.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption import (
    budgets,
    build_assignments,
    deadlines,
    permit_grants,
    permit_requests,
    permits,
    releases,
    targets,
)
from brookreach.disruption.commands import (
    AnnounceRetirement,
    Decommission,
    ReportBalancer,
    ReportNode,
    WithdrawRetirement,
)
from brookreach.disruption.deadlines import TimerKind
from brookreach.disruption.states import PermitState, TargetKind, TargetStatus
from brookreach.disruption.tables import BALANCERS, BUILD_ASSIGNMENTS, NODES, BalancerRow, NodeRow

DECOMMISSIONED_RETENTION_MS = permits.RETENTION_MS
DECOMMISSIONED_BY_ITSELF = "gone, as it said"


def find_node(view: View, name: str) -> NodeRow | None:
    """The node's row; None: it is not known."""
    row: NodeRow | None = view.get(NODES, name)
    return row


def find_balancer(view: View, name: str) -> BalancerRow | None:
    """The balancer's row; None: it is not known."""
    row: BalancerRow | None = view.get(BALANCERS, name)
    return row


def _reported_status(command: ReportNode | ReportBalancer) -> TargetStatus:
    """Ready is what is ready and warm."""
    if command.warm and command.status == TargetStatus.WARMING:
        raise CommandRejectedError("a node that is cold can't be warm; ready, draining and down may be")
    if command.status == TargetStatus.READY and not command.warm:
        return TargetStatus.WARMING
    return command.status


def _check_session(row: NodeRow | BalancerRow, context: Context, name: str) -> None:
    if context.session < row.session:
        raise CommandRejectedError(f"{name}: session {context.session} is over, {row.session} speaks for it")


def _check_incarnation(row: NodeRow, command: ReportNode, status: TargetStatus) -> None:
    """A decommissioned node comes back as a new incarnation only."""
    recommissioned = row.status == TargetStatus.DECOMMISSIONED and status != TargetStatus.DECOMMISSIONED
    is_same = command.incarnation == row.incarnation
    if command.incarnation < row.incarnation or (is_same and recommissioned):
        raise CommandRejectedError(f"{command.node}: life {command.incarnation} is over, begin {row.incarnation + 1}")


def report_node(draft: StagedChanges, command: ReportNode, context: Context) -> None:
    """Takes in what an agent reports of its node.

    Raises:
        CommandRejectedError: the report contradicts itself, or is of an old session or incarnation.
    """
    name = command.node
    status = _reported_status(command)
    existing = find_node(draft, name)
    if existing is not None:
        _check_session(existing, context, name)
        _check_incarnation(existing, command, status)
    new = _reported_node(existing, command, status, context)
    if new != existing:
        _replace_row(draft, TargetKind.NODE, name, new)
    if status == TargetStatus.DECOMMISSIONED:
        _after_decommission(draft, context, TargetKind.NODE, name, DECOMMISSIONED_BY_ITSELF)
    else:
        permits.complete_returned(draft, context, TargetKind.NODE, name, command.applied_index)
        build_assignments.reconcile_node(draft, context, name)
    builds = {new.build, existing.build if existing else new.build}
    releases.advance_after_node_change(draft, context, builds, name)
    permit_grants.grant_waiting(draft, context)


def _reported_node(existing: NodeRow | None, command: ReportNode, status: TargetStatus, context: Context) -> NodeRow:
    """The node's row after the report; times go on where the report is of the same incarnation."""
    same = existing if existing is not None and existing.incarnation == command.incarnation else None
    since_ms = same.since_ms if same and same.status == status else context.now_ms
    warm_since_ms = 0
    if command.warm:
        warm_since_ms = same.warm_since_ms if same and same.warm_since_ms else context.now_ms
    return NodeRow(
        zone=command.zone,
        build=command.build,
        service=command.service,
        capacity=command.capacity,
        status=status,
        since_ms=since_ms,
        incarnation=command.incarnation,
        warm_since_ms=warm_since_ms,
        retires_ms=existing.retires_ms if existing else 0,
        session=context.session,
    )


def report_balancer(draft: StagedChanges, command: ReportBalancer, context: Context) -> None:
    """Takes in what a balancer reports of itself.

    Raises:
        CommandRejectedError: the report contradicts itself, or is of an old session.
    """
    name = command.balancer
    status = _reported_status(command)
    existing = find_balancer(draft, name)
    if existing is not None:
        _check_session(existing, context, name)
    is_unchanged = existing is not None and existing.status == status and existing.session == context.session
    since_ms = existing.since_ms if existing and is_unchanged else context.now_ms
    new = BalancerRow(command.zone, command.build, command.service, status, since_ms, context.session)
    if new != existing:
        _replace_row(draft, TargetKind.BALANCER, name, new)
    if status == TargetStatus.DECOMMISSIONED:
        _after_decommission(draft, context, TargetKind.BALANCER, name, DECOMMISSIONED_BY_ITSELF)
    else:
        permits.complete_returned(draft, context, TargetKind.BALANCER, name, command.applied_index)
    permit_grants.grant_waiting(draft, context)


def _replace_row(draft: StagedChanges, kind: TargetKind, name: str, row: NodeRow | BalancerRow) -> None:
    targets.remove_from_indexes(draft, kind, name)
    draft.put(budgets.table_of(kind), name, row)
    targets.add_to_indexes(draft, kind, name)


def end_session(draft: StagedChanges, context: Context) -> None:
    """Its target is down until reported again; permits stay, but what a balancer requested for itself ends."""
    name = context.client
    node = find_node(draft, name)
    is_over = (TargetStatus.DOWN, TargetStatus.DECOMMISSIONED)
    if node is not None and node.session == context.session and node.status not in is_over:
        down_node = structs.replace(node, status=TargetStatus.DOWN, since_ms=context.now_ms)
        _replace_row(draft, TargetKind.NODE, name, down_node)
        releases.advance_after_node_change(draft, context, {node.build}, name)
    balancer = find_balancer(draft, name)
    if balancer is not None and balancer.session == context.session and balancer.status != TargetStatus.DECOMMISSIONED:
        down_balancer = structs.replace(balancer, status=TargetStatus.DOWN, since_ms=context.now_ms)
        _replace_row(draft, TargetKind.BALANCER, name, down_balancer)
        _withdraw_own_requests(draft, context, name)
    permit_grants.grant_waiting(draft, context)  # one that is unavailable already needs no further place


def _withdraw_own_requests(draft: StagedChanges, context: Context, balancer: str) -> None:
    for permit_name, permit in targets.permits_of(draft, TargetKind.BALANCER, balancer):
        if permit.state == PermitState.WAITING and permit.requested_by == balancer:
            permit_requests.withdraw(draft, context, permit_name, "its session ended before its turn")


def decommission(draft: StagedChanges, command: Decommission, context: Context) -> None:
    """An operator says that a target will not come back.

    Raises:
        CommandRejectedError: it is not in the fleet.
    """
    row = budgets.find_target(draft, command.kind, command.name)
    if row is None or row.status == TargetStatus.DECOMMISSIONED:
        raise CommandRejectedError(f"no {command.kind} {command.name!r} is in the fleet")
    changed = structs.replace(row, status=TargetStatus.DECOMMISSIONED, since_ms=context.now_ms)
    _replace_row(draft, command.kind, command.name, changed)
    reason = f"gone, says {context.client}: {command.reason}"
    _after_decommission(draft, context, command.kind, command.name, reason)
    releases.advance_after_node_change(draft, context, {row.build}, command.name)
    permit_grants.grant_waiting(draft, context)


def _after_decommission(draft: StagedChanges, context: Context, kind: TargetKind, name: str, reason: str) -> None:
    """Its row says so already, and keeps its incarnation, so that no late report of that one is taken."""
    permits.end_all_of_target(draft, context, kind, name, reason)
    pending = targets.open_permits(draft, kind, name)
    targets.save_open_permits(draft, kind, name, structs.replace(pending, restart_rank=0, rollback=False))
    deadline_ms = context.now_ms + DECOMMISSIONED_RETENTION_MS
    deadlines.schedule(draft, deadline_ms, TimerKind.FORGET_TARGET, f"{kind}/{name}")


def forget_decommissioned(draft: StagedChanges, context: Context, timer_name: str) -> None:
    """Removes the row of a target that was decommissioned long ago, unless it came back.

    Args:
        draft: The record's changes so far.
        context: Of the record.
        timer_name: "kind/name" of the target.
    """
    kind_value, name = timer_name.split("/")
    kind = TargetKind(kind_value)
    row = budgets.find_target(draft, kind, name)
    if row is None or row.status != TargetStatus.DECOMMISSIONED:
        return
    if context.now_ms < row.since_ms + DECOMMISSIONED_RETENTION_MS:
        return
    draft.put(budgets.table_of(kind), name, None)
    if kind == TargetKind.NODE:
        draft.put(BUILD_ASSIGNMENTS, name, None)


def set_retirement(draft: StagedChanges, command: AnnounceRetirement | WithdrawRetirement) -> None:
    """Notes when the node is taken away, or that it stays.

    Raises:
        CommandRejectedError: the node is not in the fleet.
    """
    row = find_node(draft, command.node)
    if row is None or row.status == TargetStatus.DECOMMISSIONED:
        raise CommandRejectedError(f"no node {command.node!r} is in the fleet")
    retires_ms = command.at_ms if isinstance(command, AnnounceRetirement) else 0
    draft.put(NODES, command.node, structs.replace(row, retires_ms=retires_ms))
