"""Reconciles one gang: what its state asks for now, by its nodes, permits and members; and when it is reconciled next.

Reconciling twice at the same moment changes nothing the second time. A gang that holds capacity must never wait longer
than `RECONCILE_INTERVAL_MS`.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from brookreach.gang_scheduling import checkpoints, estimates, members, recovery, transitions
from brookreach.gang_scheduling.gang_state import GangState, MemberState
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.reconcile_running import reconcile_running
from brookreach.gang_scheduling.tables import GangRow, MemberRow
from brookreach.gang_scheduling.transaction import Transaction

MAX_STEPS = 6  # in one record


def reconcile(transaction: Transaction, name: str) -> None:
    """Takes steps until the gang's state stays as it is."""
    for _ in range(MAX_STEPS):
        recovery.handle_restarted_nodes(transaction, name)
        state = transaction.gang(name).state
        _reconcile_state(transaction, name)
        row = transaction.find_gang(name)
        if row is None or row.state == state:
            return


def _reconcile_state(transaction: Transaction, name: str) -> None:
    match transaction.gang(name).state:
        case GangState.RUNNING:
            reconcile_running(transaction, name)
        case GangState.CHECKPOINTING:
            checkpoints.reconcile(transaction, name)
        case GangState.PLACING | GangState.MOVING:
            _reconcile_gathering(transaction, name)
        case GangState.WAITING:
            is_active = _has_active_members(transaction, name)
            next_ms = transaction.timers.next_reconcile_ms() if is_active else 0
            transaction.change_gang(name, reconcile_ms=next_ms)
        case GangState.DONE | GangState.FAILED:
            _reconcile_ended(transaction, name)


def _has_active_members(transaction: Transaction, name: str) -> bool:
    """Returns whether something of the gang may work anywhere."""
    rows = transaction.members_of(name).values()
    return any(members.active_incarnation(row) is not None for row in rows)


def _reconcile_ended(transaction: Transaction, name: str) -> None:
    remove_ms = transaction.gang(name).since_ms + transitions.RETENTION_MS
    if _has_active_members(transaction, name):
        transaction.change_gang(name, reconcile_ms=transaction.timers.next_reconcile_ms())
    elif transaction.now_ms >= remove_ms:
        transaction.remove_gang(name)
    else:
        transaction.change_gang(name, reconcile_ms=remove_ms)


def _reconcile_gathering(transaction: Transaction, name: str) -> None:
    """Placing or moving: until all run, within the time limit, and only to nodes that are still fit."""
    row = transaction.gang(name)
    rows = transaction.members_of(name)
    missing = [number for number, member in rows.items() if member.state != MemberState.RUNNING]
    limit_ms = estimates.placement_limit_ms(row)
    if not missing:
        transitions.resume(transaction, name, "all members run")
        return
    if transaction.now_ms >= limit_ms:
        span_ms = transaction.now_ms - row.since_ms
        where = ", ".join(f"{number} on {rows[number].node or 'no node'}" for number in missing)
        reason = f"not whole after {span_ms} ms, members {where}: all wait"
        transitions.return_to_queue(transaction, name, reason)
        return
    end_ms = estimates.expected_end_after_restore_ms(transaction, row)
    unfit = [number for number in missing if not recovery.can_start_on_node(transaction, rows[number], end_ms)]
    if unfit:
        _redirect_members(transaction, name, row, unfit, end_ms)
    if transaction.gang(name).state == row.state:
        next_ms = min(limit_ms, transaction.timers.next_reconcile_ms())
        transaction.change_gang(name, reconcile_ms=next_ms)


def _redirect_members(transaction: Transaction, name: str, row: GangRow, unfit: Sequence[int], end_ms: int) -> None:
    """Finds other nodes for members whose targets got a notice, drain or went; where that can wait, none."""
    rows = {number: transaction.member(name, number) for number in unfit}
    excluded = tuple(sorted({member.node for member in rows.values()} - {""}))
    found = find_nodes(transaction.capacity, PlacementRequest(row, len(unfit), end_ms, excluded=excluded))
    if found is not None:
        moves = ", ".join(f"{rows[number].node} to {node.node}" for number, node in zip(unfit, found, strict=True))
        targets = {number: transitions.target_of(node) for number, node in zip(unfit, found, strict=True)}
        transitions.start_members(transaction, name, targets, row.state, f"targets that leave: {moves}")
        return
    stranded = _find_stranded(transaction, rows.values())
    if stranded is not None:
        reason = f"{stranded.node or 'a target'} is out and there is no room elsewhere: all wait"
        transitions.return_to_queue(transaction, name, reason)


def _find_stranded(transaction: Transaction, rows: Iterable[MemberRow]) -> MemberRow | None:
    """Returns the first member that can't even stay where it is for now."""
    return next((member for member in rows if not recovery.can_stay_for_now(transaction, member)), None)
