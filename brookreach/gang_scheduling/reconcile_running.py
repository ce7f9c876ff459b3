"""Reconciles a running gang: hands the facts to `migration` and carries out the step that it decides."""

from __future__ import annotations

from collections.abc import Sequence

from brookreach.gang_scheduling import (
    checkpoint_interval,
    checkpoints,
    departures,
    estimates,
    members,
    migration,
    recovery,
    transitions,
)
from brookreach.gang_scheduling.disruption_permits import PermitState, permit_name, permit_target
from brookreach.gang_scheduling.gang_state import MemberState
from brookreach.gang_scheduling.migration import Step, StepKind
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.running_gang import MemberOnNode, RunningGang
from brookreach.gang_scheduling.tables import GangRow, MemberRow
from brookreach.gang_scheduling.totals import add_failure, read_totals
from brookreach.gang_scheduling.transaction import MAX_PERMIT_REASON_LENGTH, Transaction

START_LAG_MS = 2000  # members begin a little after the record that says so, and the last checkpoint waits for them
MIGRATION_OBSOLETE = "a move is not wanted or possible any more"
PERMIT_POLL_MS = 1000  # while permits are waited for; at full seconds, so that all that wait share a record
FAILURE_FRACTION = 8  # a forced restore counts as a failure if it loses more than this part of an interval


class _ClusterConditions:
    """What the rows of one record say about permits and capacity, for `migration.MigrationConditions`."""

    def __init__(
        self, transaction: Transaction, row: GangRow, gang: RunningGang, placed: Sequence[MemberOnNode]
    ) -> None:
        self.granted_ms = _granted_permits(transaction, row)
        self._transaction = transaction
        self._row = row
        self._leaving = sorted({member.node for member in placed if member.departure_ms})
        # at the latest: should the gang have to go back to its last checkpoint
        self._end_ms = gang.end_ms + row.restore_cost_ms + gang.unsaved_ms

    def has_capacity_elsewhere(self, numbers: Sequence[int]) -> bool:
        request = PlacementRequest(self._row, len(numbers), self._end_ms, excluded=self._leaving)
        return find_nodes(self._transaction.capacity, request) is not None

    def needs_permit(self, node: str) -> bool:
        return departures.needs_permit(self._transaction.node(node), self._transaction.now_ms)


def reconcile_running(transaction: Transaction, name: str) -> None:
    """Decides what a running gang does next, and does it."""
    row = transaction.gang(name)
    rows = transaction.members_of(name)
    fallen = [number for number, member in rows.items() if member.state != MemberState.RUNNING]
    if fallen:
        reason = f"members {', '.join(map(str, fallen))} do not run"
        recovery.restore_from_checkpoint(transaction, name, fallen, reason)
        return
    placed = [_member_on_node(transaction, number, member) for number, member in rows.items()]
    gang = _running_gang(transaction, name, row)
    row = _forget_absent_permits(transaction, name, row)
    conditions = _ClusterConditions(transaction, row, gang, placed)
    step = migration.decide(gang, placed, conditions)
    _execute(transaction, row, gang, placed, step)


def _member_on_node(transaction: Transaction, number: int, member: MemberRow) -> MemberOnNode:
    leaves_ms = departures.departure_ms(transaction.node(member.node), transaction.now_ms)
    return MemberOnNode(number, member.node, leaves_ms)


def _running_gang(transaction: Transaction, name: str, row: GangRow) -> RunningGang:
    now_ms = transaction.now_ms
    unsaved_ms = estimates.unsaved_work_ms(row, now_ms)
    return RunningGang(
        name=name,
        now_ms=now_ms,
        remaining_ms=row.work_ms - row.checkpointed_work_ms - unsaved_ms + START_LAG_MS,
        end_ms=estimates.expected_end_ms(transaction, row) + START_LAG_MS,
        unsaved_ms=unsaved_ms,
        checkpoint_requested_ms=row.requested_ms,
        checkpoint_cost_ms=row.checkpoint_cost_ms,
        restore_cost_ms=row.restore_cost_ms,
        interval_ms=checkpoint_interval.interval_ms(row, read_totals(transaction.changes)),
        has_permits=bool(row.permits),
    )


def _forget_absent_permits(transaction: Transaction, name: str, row: GangRow) -> GangRow:
    """Returns the row without permits that stand no more."""
    present = tuple(
        permit
        for permit in row.permits
        if transaction.permits.status(transaction.changes, permit).state != PermitState.ABSENT
    )
    if present == row.permits:
        return row
    return transaction.change_gang(name, permits=present)


def _granted_permits(transaction: Transaction, row: GangRow) -> dict[str, int]:
    """Returns since when the gang's permits are granted, by node, without those that still wait."""
    granted_ms = {}
    for permit in row.permits:
        status = transaction.permits.status(transaction.changes, permit)
        node = permit_target(transaction.changes, permit)
        if node is not None and status.state == PermitState.GRANTED:
            granted_ms[node] = status.granted_ms
    return granted_ms


def _execute(
    transaction: Transaction, row: GangRow, gang: RunningGang, placed: Sequence[MemberOnNode], step: Step
) -> None:
    match step.kind:
        case StepKind.CHECKPOINT:
            checkpoints.request(transaction, gang.name, step.reason)
        case StepKind.CHECKPOINT_AND_MIGRATE:
            _reserve_and_checkpoint(transaction, row, gang.name, placed, step)
        case StepKind.RESTORE:
            if gang.unsaved_ms > gang.interval_ms // FAILURE_FRACTION:  # a notice without time is as good as none
                add_failure(transaction.changes)
            recovery.restore_from_checkpoint(transaction, gang.name, step.migrating, step.reason)
        case StepKind.REQUEST_PERMITS:
            _request_permits(transaction, row, gang, placed, step)
        case StepKind.CONTINUE:
            _continue(transaction, row, gang.name, step)


def _continue(transaction: Transaction, row: GangRow, name: str, step: Step) -> None:
    """Waits; permits are ended where a notice was withdrawn, or there is no capacity to go to."""
    if row.permits:
        transaction.end_permits(row.permits, MIGRATION_OBSOLETE)
    transaction.change_gang(
        name,
        permits=(),
        reason=MIGRATION_OBSOLETE if row.permits else row.reason,
        reconcile_ms=min(step.wake_ms, transaction.timers.next_reconcile_ms()),
    )


def _request_permits(
    transaction: Transaction, row: GangRow, gang: RunningGang, placed: Sequence[MemberOnNode], step: Step
) -> None:
    """Requests a permit for each node that stands and is to be left, once."""
    permits = {permit_target(transaction.changes, permit): permit for permit in row.permits}
    reason = step.reason
    for member in placed:
        if member.number not in step.migrating or member.node in permits:
            continue
        if not departures.needs_permit(transaction.node(member.node), transaction.now_ms):
            continue
        permit = permit_name(gang.name, transaction.log_index, member.number)
        rejection = transaction.permits.request(
            transaction.changes,
            transaction.context,
            permit,
            member.node,
            migration.permit_urgency(row, gang, member.departure_ms),
            step.reason[:MAX_PERMIT_REASON_LENGTH],
        )
        if rejection is None:
            permits[member.node] = permit
        else:
            reason = f"{step.reason}; {rejection}"
    poll_ms = (transaction.now_ms // PERMIT_POLL_MS + 1) * PERMIT_POLL_MS
    transaction.change_gang(
        gang.name,
        permits=tuple(permits.values()),
        reason=reason,
        reconcile_ms=max(transaction.now_ms + 1, min(step.wake_ms, poll_ms)),
    )


def _reserve_and_checkpoint(
    transaction: Transaction, row: GangRow, name: str, placed: Sequence[MemberOnNode], step: Step
) -> None:
    """Reserves capacity for members that migrate; they go to it once the checkpoint is complete."""
    leaving = sorted({member.node for member in placed if member.departure_ms})
    end_ms = estimates.expected_end_after_restore_ms(transaction, row)
    found = find_nodes(transaction.capacity, PlacementRequest(row, len(step.migrating), end_ms, excluded=leaving))
    if found is None:
        reason = f"{step.reason}; no room any more"
        transaction.change_gang(name, reason=reason, reconcile_ms=transaction.now_ms + PERMIT_POLL_MS)
        return
    for number, node in zip(step.migrating, found, strict=True):
        reserved = members.reserve(transaction.member(name, number), transitions.target_of(node))
        transaction.put_member(name, number, reserved)
    checkpoints.request(transaction, name, step.reason)
