"""The steps by which a gang changes its state, on the tables of one record.

It owns the meaning of each state and the reason that stands beside it: each function leaves a gang in a state that all
its members' rows fit. It must never give a member a new node except through `members`.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from msgspec.structs import replace

from brookreach.gang_scheduling import estimates, members
from brookreach.gang_scheduling.disruption_permits import permit_target
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.members import Target
from brookreach.gang_scheduling.placement import NodeCapacity
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.totals import add_run_time
from brookreach.gang_scheduling.transaction import Transaction

RETENTION_MS = 7 * 86_400_000  # of an ended gang's rows
MAX_FAILURES = 8  # by its own fault since the last complete checkpoint, before a gang is given up
GATHERING_STATES = (GangState.PLACING, GangState.MOVING)


def target_of(node: NodeCapacity) -> Target:
    """Returns a node that was found as the target of a member."""
    return Target(node.node, node.node_incarnation)


def enter_state(transaction: Transaction, name: str, state: GangState, reason: str) -> GangRow:
    """Takes a gang out of its state into another; its running time counts for the measured rate of failures."""
    row = transaction.gang(name)
    ran_ms = estimates.run_time_ms(row, transaction.now_ms)
    if ran_ms:
        add_run_time(transaction.changes, ran_ms * row.member_count)
    still_gathering = row.state in GATHERING_STATES and state in GATHERING_STATES
    row = replace(
        row,
        state=state,
        # the time limit counts from the beginning, whatever has to be planned anew meanwhile
        since_ms=row.since_ms if still_gathering else transaction.now_ms,
        unsaved_work_ms=row.unsaved_work_ms + ran_ms,
        reason=reason,
    )
    transaction.put_gang(name, row)
    transaction.timers.schedule_reconcile(name, transaction.timers.next_reconcile_ms())
    return row


def cancel_reservations(transaction: Transaction, name: str) -> None:
    """Gives back the capacity that is held for a move that is not to be."""
    for number, member in transaction.members_of(name).items():
        if member.next_node:
            transaction.put_member(name, number, members.cancel_reservation(member))


def start_members(
    transaction: Transaction, name: str, targets: Mapping[int, Target], state: GangState, reason: str
) -> None:
    """Has members run on their targets, under this record's fencing token."""
    enter_state(transaction, name, state, reason)
    for number, target in sorted(targets.items()):
        row = members.assign(transaction.member(name, number), target, transaction.log_index)
        transaction.put_member(name, number, row)
    limit_ms = estimates.placement_limit_ms(transaction.gang(name))
    transaction.change_gang(
        name,
        plan_index=transaction.log_index,
        reconcile_ms=min(limit_ms, transaction.timers.next_reconcile_ms()),
    )


def place(transaction: Transaction, name: str, found: Sequence[NodeCapacity]) -> None:
    """Places a waiting gang, all of it in one record; `found` has a node for each member."""
    row = transaction.gang(name)
    nodes = ", ".join(dict.fromkeys(node.node for node in found))
    targets = {number: target_of(node) for number, node in enumerate(found)}
    epoch = f", from epoch {row.epoch}" if row.epoch else ""
    start_members(transaction, name, targets, GangState.PLACING, f"placed on {nodes}{epoch}")


def resume(transaction: Transaction, name: str, reason: str) -> None:
    """Lets work go on: all members are there and restored, or none had to leave."""
    row = enter_state(transaction, name, GangState.RUNNING, reason)
    nodes = {member.node for member in transaction.members_of(name).values()}
    unneeded = [permit for permit in row.permits if permit_target(transaction.changes, permit) not in nodes]
    transaction.end_permits(unneeded, reason)
    transaction.change_gang(
        name,
        permits=tuple(permit for permit in row.permits if permit not in unneeded),
        reconcile_ms=transaction.now_ms + 1,
    )


def discard_unsaved_work(transaction: Transaction, name: str, state: GangState, reason: str) -> GangRow:
    """Enters a state without the work since the last complete checkpoint, and gives up whatever was under way."""
    cancel_reservations(transaction, name)
    row = enter_state(transaction, name, state, reason)
    row = replace(row, lost_work_ms=row.lost_work_ms + row.unsaved_work_ms, unsaved_work_ms=0, last_failure=reason)
    transaction.put_gang(name, row)
    return row


def return_to_queue(transaction: Transaction, name: str, reason: str) -> None:
    """Lets a gang wait; nothing is held for it except where something may still work."""
    row = discard_unsaved_work(transaction, name, GangState.WAITING, reason)
    _unassign_members(transaction, name)
    transaction.end_permits(row.permits, reason)
    transaction.change_gang(
        name,
        permits=(),
        latest_start_ms=estimates.latest_start_ms(row, transaction.now_ms),
        reconcile_ms=transaction.timers.next_reconcile_ms(),
    )
    transaction.timers.schedule_round(transaction.now_ms)


def finish(transaction: Transaction, name: str, state: GangState, reason: str) -> None:
    """Ends a gang as done or failed: members are stopped, and the rows stay for operators to read."""
    cancel_reservations(transaction, name)
    row = enter_state(transaction, name, state, reason)
    _unassign_members(transaction, name)
    transaction.end_permits(row.permits, reason)
    transaction.change_gang(name, permits=(), reconcile_ms=transaction.timers.next_reconcile_ms())


def _unassign_members(transaction: Transaction, name: str) -> None:
    for number, member in transaction.members_of(name).items():
        transaction.put_member(name, number, members.unassign(member))
