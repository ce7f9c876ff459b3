"""The halt: one row, which stands until a resume names it.

It owns that row. While it stands nothing is given and no stage opens; what is out may come back, and what
was given may be taken back. It must never be lifted by a time, a resume of an earlier halt, or a new leader.
"""

from __future__ import annotations

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption.tables import HALT, HaltRow

ALL = "all"


def halted(view: View) -> HaltRow | None:
    found: HaltRow | None = view.get(HALT, ALL)
    return found


def halt(draft: StagedChanges, context: Context, by: str, reason: str, way_back: bool) -> None:
    """A second one takes the first's place with a fence of its own, and is at least as strict."""
    old = halted(draft)
    if old is not None:
        way_back = way_back and old.way_back
    draft.put(HALT, ALL, HaltRow(context.index, by, context.now_ms, reason, way_back))


def lift(draft: StagedChanges, fence: int) -> None:
    old = halted(draft)
    if old is None:
        raise CommandRejectedError(f"a resume of halt {fence}: nothing is halted")
    if old.fence != fence:
        raise CommandRejectedError(
            f"a resume of halt {fence}, which is not the one that stands: that is {old.fence}, "
            f"by {old.by} ({old.reason})"
        )
    draft.put(HALT, ALL, None)
