"""Checkpoints: requested, confirmed by each member, complete or abandoned.

It owns a gang's `epoch` and `checkpointed_work_ms`. An epoch's number is requested once and never again, whatever
became of it. It must never count one that any member has not confirmed under the fencing token it runs by.
"""

from __future__ import annotations

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.gang_scheduling import departures, estimates, recovery, transitions
from brookreach.gang_scheduling.commands import ConfirmCheckpoint
from brookreach.gang_scheduling.gang_state import GangState, MemberState
from brookreach.gang_scheduling.members import Target
from brookreach.gang_scheduling.node_search import PlacementRequest, find_nodes
from brookreach.gang_scheduling.tables import AgentRow, GangRow, MemberRow
from brookreach.gang_scheduling.transaction import Transaction

CHECKPOINT_TIMEOUT_MS = 30_000  # and four times the cost
FAILURES_BEFORE_REQUEUE = 3  # checkpoints in a row that members don't confirm, before the gang is placed anew


def _timeout_ms(row: GangRow) -> int:
    return CHECKPOINT_TIMEOUT_MS + 4 * row.checkpoint_cost_ms


def request(transaction: Transaction, name: str, reason: str) -> None:
    """Has all members pause at one point of the work and save it."""
    row = transitions.enter_state(transaction, name, GangState.CHECKPOINTING, reason)
    deadline_ms = transaction.now_ms + _timeout_ms(row)
    transaction.change_gang(
        name,
        requested_epoch=row.requested_epoch + 1,
        requested_ms=transaction.now_ms,
        reconcile_ms=min(transaction.timers.next_reconcile_ms(), deadline_ms),
    )


def confirm(transaction: Transaction, command: ConfirmCheckpoint) -> bool:
    """Takes one member's part of a checkpoint.

    Returns:
        False where it was confirmed before.

    Raises:
        CommandRejectedError: if another epoch, fencing token or node was asked.
    """
    row = transaction.gang(command.gang)
    member = transaction.member(command.gang, command.member)
    _check_confirmation(row, member, transaction.sender_registration(), transaction.context.client, command)
    if member.confirmed_epoch == command.epoch:
        return False
    confirmed = replace(member, confirmed_epoch=command.epoch, confirmed_work_ms=command.work_ms)
    transaction.put_member(command.gang, command.member, confirmed)
    if is_complete(transaction, command.gang):
        complete(transaction, command.gang)
    return True


def _check_confirmation(
    row: GangRow, member: MemberRow, agent: AgentRow, sender: str, command: ConfirmCheckpoint
) -> None:
    """Checks a confirmation against what was requested.

    Raises:
        CommandRejectedError: if anything differs.
    """
    where = f"{command.gang}/{command.member}"
    if row.state != GangState.CHECKPOINTING or command.epoch != row.requested_epoch:
        raise CommandRejectedError(
            f"{where}: epoch {command.epoch} is not asked for; {row.state}, last {row.requested_epoch}"
        )
    confirmed_by = command.node, command.node_incarnation, command.fencing_token
    runs_as = member.node, member.node_incarnation, member.fencing_token
    if member.state != MemberState.RUNNING or confirmed_by != runs_as:
        raise CommandRejectedError(
            f"{where}: confirmed by {command.node} life {command.node_incarnation} fence {command.fencing_token};"
            f" it runs on {member.node or 'no node'} life {member.node_incarnation} fence {member.fencing_token},"
            f" {member.state}"
        )
    if sender != command.node or agent.node_incarnation != command.node_incarnation:
        raise CommandRejectedError(
            f"{where}: {sender!r} life {agent.node_incarnation} speaks for {command.node} {command.node_incarnation}"
        )
    if command.work_ms < row.checkpointed_work_ms:
        raise CommandRejectedError(
            f"{where}: work_ms: {command.work_ms}; epoch {row.epoch} already kept {row.checkpointed_work_ms}"
        )


def is_complete(transaction: Transaction, name: str) -> bool:
    """Returns whether every member confirmed the requested epoch."""
    row = transaction.gang(name)
    return all(member.confirmed_epoch == row.requested_epoch for member in transaction.members_of(name).values())


def complete(transaction: Transaction, name: str) -> None:
    """Counts the requested epoch, and goes on with what waited for it."""
    row = transaction.gang(name)
    confirmed_ms = min(member.confirmed_work_ms for member in transaction.members_of(name).values())
    work_ms = min(row.work_ms, confirmed_ms)
    transaction.change_gang(
        name, epoch=row.requested_epoch, checkpointed_work_ms=work_ms, unsaved_work_ms=0, failures=0
    )
    if work_ms < row.work_ms:
        _migrate_or_resume(transaction, name, row.reason)
        return
    is_late = 0 < row.deadline_ms < transaction.now_ms
    late = f", {transaction.now_ms - row.deadline_ms} ms late" if is_late else ""
    transitions.finish(transaction, name, GangState.DONE, f"done with epoch {row.requested_epoch}{late}")


def _migrate_or_resume(transaction: Transaction, name: str, reason: str) -> None:
    """Sends members to the nodes reserved for them, and those that died to others; the rest stay, paused."""
    row = transaction.gang(name)
    end_ms = estimates.expected_end_after_restore_ms(transaction, row)
    rows = transaction.members_of(name)
    has_dead = any(member.state != MemberState.RUNNING for member in rows.values())
    targets: dict[int, Target] = {}
    homeless = []
    for number, member in rows.items():
        target = Target(member.next_node, member.next_node_incarnation)
        if member.next_node and _can_start_on(transaction, member, target, end_ms):
            targets[number] = target
        elif member.next_node or member.state != MemberState.RUNNING:
            homeless.append(number)
    if homeless:
        excluded = tuple(sorted({rows[number].node for number in homeless} - {""}))
        found = find_nodes(transaction.capacity, PlacementRequest(row, len(homeless), end_ms, excluded=excluded))
        if found is None and has_dead:
            why = f"epoch {row.epoch} kept; no room for {len(homeless)} members, so all wait"
            transitions.return_to_queue(transaction, name, why)
            return
        if found is not None:
            nodes = zip(homeless, found, strict=True)
            targets |= {number: transitions.target_of(node) for number, node in nodes}
    if targets:
        transitions.start_members(transaction, name, targets, GangState.MOVING, reason)
        transitions.cancel_reservations(transaction, name)
        return
    transitions.cancel_reservations(transaction, name)
    transitions.resume(transaction, name, "no room any more where it was to go" if homeless else "work goes on")


def _can_start_on(transaction: Transaction, member: MemberRow, target: Target, end_ms: int) -> bool:
    there = replace(member, node=target.node, node_incarnation=target.node_incarnation)
    return recovery.can_start_on_node(transaction, there, end_ms)


def reconcile(transaction: Transaction, name: str) -> None:
    """Decides whether a checkpoint under way is complete, may still be, or is abandoned."""
    row = transaction.gang(name)
    deadline_ms = row.requested_ms + _timeout_ms(row)
    if is_complete(transaction, name):
        complete(transaction, name)
        return
    if transaction.now_ms >= deadline_ms:
        late = [
            str(number)
            for number, member in transaction.members_of(name).items()
            if member.confirmed_epoch != row.requested_epoch
        ]
        reason = f"epoch {row.requested_epoch} given up: members {', '.join(late)} did not confirm"
        _handle_timeout(transaction, name, reason)
        return
    cut_short = _cut_short_by_departure(transaction, name, row)
    if cut_short is not None:
        abandon(transaction, name, cut_short)
        return
    transaction.change_gang(name, reconcile_ms=min(transaction.timers.next_reconcile_ms(), deadline_ms))


def _cut_short_by_departure(transaction: Transaction, name: str, row: GangRow) -> str | None:
    """Returns a reason where a node now leaves before its member can confirm; else the checkpoint goes on."""
    earliest_end_ms = max(row.requested_ms + row.checkpoint_cost_ms, transaction.now_ms + 1)
    for member in transaction.members_of(name).values():
        if not member.node or member.confirmed_epoch == row.requested_epoch:
            continue
        leaves_ms = departures.departure_ms(transaction.node(member.node), transaction.now_ms)
        if leaves_ms and leaves_ms < earliest_end_ms:
            return f"{member.node} now leaves at {leaves_ms}, before epoch {row.requested_epoch} can end: given up"
    return None


def abandon(transaction: Transaction, name: str, reason: str) -> None:
    """Lets members go on with their work, or, where one has fallen, takes all back."""
    rows = transaction.members_of(name)
    dead = [number for number, member in rows.items() if member.state != MemberState.RUNNING]
    if dead:
        recovery.restore_from_checkpoint(transaction, name, dead, reason)
        return
    transitions.cancel_reservations(transaction, name)
    transitions.resume(transaction, name, reason)


def _handle_timeout(transaction: Transaction, name: str, reason: str) -> None:
    """Reacts to members that don't confirm: once or twice the gang goes on, then it is placed anew."""
    failures = transaction.gang(name).failures + 1
    transaction.change_gang(name, failures=failures)
    if failures >= transitions.MAX_FAILURES:
        transitions.finish(transaction, name, GangState.FAILED, reason)
    elif failures >= FAILURES_BEFORE_REQUEUE:
        transitions.return_to_queue(transaction, name, reason)
    else:
        abandon(transaction, name, reason)
