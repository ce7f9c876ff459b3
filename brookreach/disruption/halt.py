"""The halt: one row, which stands until a resume names its fence.

While it stands nothing is granted and no stage opens; what is unavailable may come back, and granted permits may be
withdrawn. It must never be removed by a time, by a resume of an earlier halt, or by a new leader.
"""

from __future__ import annotations

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption.tables import HALT, HaltRow

HALT_KEY = "all"


def current_halt(view: View) -> HaltRow | None:
    """The halt that stands; None: there is none."""
    halt: HaltRow | None = view.get(HALT, HALT_KEY)
    return halt


def start_halt(draft: StagedChanges, context: Context, by: str, reason: str, allows_rollback: bool) -> None:
    """Halts the fleet. A second halt replaces the first with a fence of its own, and is at least as strict."""
    existing = current_halt(draft)
    if existing is not None:
        allows_rollback = allows_rollback and existing.allows_rollback
    draft.put(HALT, HALT_KEY, HaltRow(context.index, by, context.now_ms, reason, allows_rollback))


def resume(draft: StagedChanges, fence: int) -> None:
    """Removes the halt with this fence.

    Raises:
        CommandRejectedError: no halt stands, or one with another fence.
    """
    existing = current_halt(draft)
    if existing is None:
        raise CommandRejectedError(f"a resume of halt {fence}: nothing is halted")
    if existing.fence != fence:
        raise CommandRejectedError(
            f"a resume of halt {fence}, which is not the one that stands: that is {existing.fence}, "
            f"by {existing.by} ({existing.reason})"
        )
    draft.put(HALT, HALT_KEY, None)
