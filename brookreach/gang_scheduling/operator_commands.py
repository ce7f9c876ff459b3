"""What operators ask of gangs: submit and cancel. Texts of rejections are replicated state and must stay."""

from __future__ import annotations

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.gang_scheduling import estimates, members, transitions
from brookreach.gang_scheduling.commands import CancelGang, SubmitGang, check_submission
from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState
from brookreach.gang_scheduling.placement import empty_cluster_capacity
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.transaction import Transaction


def submit(transaction: Transaction, command: SubmitGang) -> None:
    """Queues a new gang.

    Raises:
        CommandRejectedError: if a value is out of bounds, the name is taken, or the gang could never run.
    """
    check_submission(command, transaction.now_ms)
    if transaction.find_gang(command.gang) is not None:
        raise CommandRejectedError(f"{command.gang}: a gang of this name stands; Cancel takes an ended one away")
    row = _new_row(transaction, command)
    capacity = empty_cluster_capacity(transaction.changes, row)
    if capacity.members < command.member_count:
        raise CommandRejectedError(
            f"{command.gang}: {command.member_count} members of room {command.member_capacity} can never run together:"
            f" {capacity.nodes} nodes of zones {list(row.zones) or 'all'} and builds {list(row.builds) or 'all'} hold"
            f" {capacity.members} of them empty"
        )
    latest_start_ms = estimates.latest_start_ms(row, transaction.now_ms)
    transaction.put_gang(command.gang, replace(row, latest_start_ms=latest_start_ms))


def _new_row(transaction: Transaction, command: SubmitGang) -> GangRow:
    return GangRow(
        command.member_count,
        command.member_capacity,
        command.work_ms,
        command.checkpoint_cost_ms,
        command.restore_cost_ms,
        command.deadline_ms,
        tuple(sorted(command.zones)),
        tuple(sorted(command.builds)),
        command.flexible,
        GangState.WAITING,
        transaction.now_ms,
        submitted_ms=transaction.now_ms,
        plan_index=transaction.log_index,
        reason=f"submitted by {transaction.context.client}",
    )


def cancel(transaction: Transaction, command: CancelGang) -> None:
    """Ends a gang; of one that has ended, and of which nothing may work any more, it removes the rows.

    Raises:
        CommandRejectedError: if there is no such gang, or its members are still being stopped.
    """
    row = transaction.gang(command.gang)
    if row.state not in FINAL_STATES:
        reason = f"cancelled by {transaction.context.client}: {command.reason}"
        transitions.finish(transaction, command.gang, GangState.FAILED, reason)
        return
    active = [members.active_incarnation(member) for member in transaction.members_of(command.gang).values()]
    nodes = sorted({incarnation.node for incarnation in active if incarnation is not None})
    if nodes:
        raise CommandRejectedError(f"{command.gang}: {row.state}, and still being stopped on {', '.join(nodes)}")
    transaction.remove_gang(command.gang)
