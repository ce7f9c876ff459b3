"""What all gangs together have measured, and when the next round of placement is: one row."""

from __future__ import annotations

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import StagedChanges, View
from brookreach.gang_scheduling.tables import TOTALS, TOTALS_KEY, TotalsRow


def read_totals(view: View) -> TotalsRow:
    """Returns the row, which needs not exist."""
    row: TotalsRow | None = view.get(TOTALS, TOTALS_KEY)
    return row or TotalsRow()


def add_run_time(changes: StagedChanges, member_ms: int) -> None:
    """Counts time that members ran, for the measured rate of failures."""
    totals = read_totals(changes)
    changes.put(TOTALS, TOTALS_KEY, replace(totals, member_run_ms=totals.member_run_ms + member_ms))


def add_failure(changes: StagedChanges) -> None:
    """Counts a failure without notice, for the measured rate of failures."""
    totals = read_totals(changes)
    changes.put(TOTALS, TOTALS_KEY, replace(totals, failures=totals.failures + 1))


def set_next_round(changes: StagedChanges, at_ms: int) -> None:
    """Notes when the next round of placement is; 0: none is due."""
    changes.put(TOTALS, TOTALS_KEY, replace(read_totals(changes), next_round_ms=at_ms))
