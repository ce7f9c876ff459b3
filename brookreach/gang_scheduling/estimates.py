"""Times that follow from a gang's row: work done and left, when it could end, when it has to begin."""

from __future__ import annotations

from brookreach.gang_scheduling import checkpoint_interval
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.totals import read_totals
from brookreach.gang_scheduling.transaction import Transaction

PLACEMENT_TIMEOUT_MS = 120_000  # and twice the restore cost: no gang is placed in part for longer
DEFAULT_PATIENCE_MS = 86_400_000  # a gang without a deadline queues as if it had to begin by then


def run_time_ms(row: GangRow, now_ms: int) -> int:
    """Returns how long the gang has run since it entered its present state."""
    return max(0, now_ms - row.since_ms) if row.state == GangState.RUNNING else 0


def unsaved_work_ms(row: GangRow, now_ms: int) -> int:
    """Returns the work done since the last complete checkpoint."""
    return row.unsaved_work_ms + run_time_ms(row, now_ms)


def remaining_work_ms(row: GangRow, now_ms: int) -> int:
    """Returns the work that is still to be done if nothing is lost."""
    return max(0, row.work_ms - row.checkpointed_work_ms - unsaved_work_ms(row, now_ms))


def expected_end_ms(transaction: Transaction, row: GangRow) -> int:
    """Returns when the gang could be done if it went on now: its work, its checkpoints and the last one."""
    remaining_ms = remaining_work_ms(row, transaction.now_ms)
    interval_ms = checkpoint_interval.interval_ms(row, read_totals(transaction.changes))
    checkpoints = remaining_ms // interval_ms + 1
    return transaction.now_ms + remaining_ms + checkpoints * row.checkpoint_cost_ms


def expected_end_after_restore_ms(transaction: Transaction, row: GangRow) -> int:
    """Returns when the gang could be done if its members were started now."""
    return expected_end_ms(transaction, row) + row.restore_cost_ms


def placement_limit_ms(row: GangRow) -> int:
    """Returns until when all members have to run of a gang that is placed or moved."""
    return row.since_ms + PLACEMENT_TIMEOUT_MS + 2 * row.restore_cost_ms


def latest_start_ms(row: GangRow, now_ms: int) -> int:
    """Returns when the gang has to begin, which is its position in the queue.

    It stays as it is while the gang waits, so whoever submits one that begins later queues behind it.
    """
    if not row.deadline_ms:
        return row.submitted_ms + DEFAULT_PATIENCE_MS
    needed_ms = remaining_work_ms(row, now_ms) + row.restore_cost_ms + row.checkpoint_cost_ms
    return max(row.submitted_ms, row.deadline_ms - needed_ms)
