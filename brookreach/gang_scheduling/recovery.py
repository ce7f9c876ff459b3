"""What becomes of a gang whose members are lost or have to leave at once: back to its last complete checkpoint."""

from __future__ import annotations

from collections.abc import Collection

from brookreach.gang_scheduling import departures, estimates, members, placement
from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState, MemberState
from brookreach.gang_scheduling.members import Target
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.tables import MemberRow
from brookreach.gang_scheduling.totals import add_failure
from brookreach.gang_scheduling.transaction import Transaction
from brookreach.gang_scheduling.transitions import (
    discard_unsaved_work,
    return_to_queue,
    start_members,
    target_of,
)


def has_registered_agent(transaction: Transaction, member: MemberRow) -> bool:
    """Returns whether the agent of the member's node, in the same incarnation of the node, carries out tasks."""
    agent = transaction.agent(member.node) if member.node else None
    return agent is not None and bool(agent.session) and agent.node_incarnation == member.node_incarnation


def can_start_on_node(transaction: Transaction, member: MemberRow, end_ms: int) -> bool:
    """Returns whether the member may start (again) on its node, for work that ends at `end_ms`."""
    if not has_registered_agent(transaction, member):
        return False
    return placement.is_schedulable(transaction.node(member.node), transaction.now_ms, end_ms)


def can_stay_for_now(transaction: Transaction, member: MemberRow) -> bool:
    """Returns whether the member is on its node already, and the node leaves later or not at all."""
    active = members.active_incarnation(member)
    if active is None or active.node != member.node or not has_registered_agent(transaction, member):
        return False
    leaves_ms = departures.departure_ms(transaction.node(member.node), transaction.now_ms)
    return not leaves_ms or leaves_ms > transaction.now_ms


def restore_from_checkpoint(transaction: Transaction, name: str, evicted: Collection[int], reason: str) -> None:
    """Takes a gang back to its last complete checkpoint.

    Members `evicted` leave their nodes, all others start again where they are, if they can. Since the gang stands still
    anyway, members on nodes with a notice go too where there is capacity for them. With no capacity for those that
    must go, all of it waits: a gang is never there in part.
    """
    was_placing = transaction.gang(name).state == GangState.PLACING
    state = GangState.PLACING if was_placing else GangState.MOVING
    row = discard_unsaved_work(transaction, name, state, reason)
    end_ms = estimates.expected_end_after_restore_ms(transaction, row)
    rows = transaction.members_of(name)
    must_migrate = [
        number for number, member in rows.items() if number in evicted or not can_stay_for_now(transaction, member)
    ]
    better_migrated = [
        number
        for number, member in rows.items()
        if number in must_migrate or not can_start_on_node(transaction, member, end_ms)
    ]
    for migrating in (better_migrated, must_migrate):
        excluded = tuple(sorted({rows[number].node for number in migrating} - {""}))
        request = PlacementRequest(row, len(migrating), end_ms, excluded=excluded)
        found = find_nodes(transaction.capacity, request)
        if found is not None:
            targets = {number: Target(member.node, member.node_incarnation) for number, member in rows.items()}
            targets |= {number: target_of(node) for number, node in zip(migrating, found, strict=True)}
            start_members(transaction, name, targets, state, reason)
            return
    return_to_queue(transaction, name, f"{reason}; no room for {len(must_migrate)} of its members, so all wait")


def handle_lost_members(
    transaction: Transaction, name: str, numbers: Collection[int], reason: str, *, has_exited: bool
) -> None:
    """Reacts to members that no longer work as planned.

    While a checkpoint is under way, one that has confirmed is not missed before the others have too.

    Args:
        transaction: Of the record.
        name: The gang's.
        numbers: The members'.
        reason: For operators.
        has_exited: Nothing of them can work any more.
    """
    row = transaction.gang(name)
    is_unforeseen = any(_fell_unforeseen(transaction, transaction.member(name, number)) for number in numbers)
    for number in numbers:
        member = members.unassign(transaction.member(name, number))
        transaction.put_member(name, number, members.release(member) if has_exited else member)
    if row.state == GangState.WAITING or row.state in FINAL_STATES:
        return
    if is_unforeseen and row.state in (GangState.RUNNING, GangState.CHECKPOINTING):
        add_failure(transaction.changes)
    confirmed = all(transaction.member(name, number).confirmed_epoch == row.requested_epoch for number in numbers)
    if row.state == GangState.CHECKPOINTING and confirmed:
        transaction.change_gang(name, reason=f"{reason}, after it confirmed epoch {row.requested_epoch}")
        return
    restore_from_checkpoint(transaction, name, numbers, reason)


def _fell_unforeseen(transaction: Transaction, member: MemberRow) -> bool:
    if member.state != MemberState.RUNNING:
        return False
    node = transaction.node(member.node)
    return node is not None and not departures.departure_ms(node, transaction.now_ms)


def release_member(transaction: Transaction, name: str, number: int) -> None:
    """Notes that nothing lives any more on the node that this member was to leave."""
    member = transaction.member(name, number)
    if member.state == MemberState.FENCING:
        transaction.put_member(name, number, members.release(member))


def handle_restarted_nodes(transaction: Transaction, name: str) -> None:
    """Reacts to nodes that were started anew since: what lived there has ended."""
    fallen = []
    for number, member in transaction.members_of(name).items():
        active = members.active_incarnation(member)
        node = transaction.node(active.node) if active else None
        if active is None or node is None or node.incarnation <= active.node_incarnation:
            continue
        if member.state == MemberState.FENCING:
            release_member(transaction, name, number)
        else:
            fallen.append(number)
    if fallen:
        nodes = ", ".join(dict.fromkeys(transaction.member(name, number).node for number in fallen))
        handle_lost_members(transaction, name, fallen, f"{nodes} started anew", has_exited=True)
