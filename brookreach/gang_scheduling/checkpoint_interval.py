"""How long a gang runs between two checkpoints, from what was measured. Whole ms only, no state, no I/O.

Young (1974): sqrt(2 C M) for a checkpoint's cost C and a mean time M between failures; Daly (2006) adds the
next terms, which matter where C is no longer small beside M.
"""

from __future__ import annotations

from math import isqrt

from brookreach.gang_scheduling.tables import GangRow, TotalsRow

PRIOR_MS = 30 * 86_400_000  # of one member between failures, until more was measured: counts as one failure
LEAST_MS = 1000


def member_mtbf_ms(sums: TotalsRow) -> int:
    """One member's mean time between failures. The prior is one failure in `PRIOR_MS`, so none is no
    infinity.
    """
    return (PRIOR_MS + sums.ran_ms) // (1 + sums.failures)


def daly_ms(cost_ms: int, mtbf_ms: int) -> int:
    """Work between two checkpoints. Where C >= 2 M no checkpoint pays before a failure is likely: M."""
    if cost_ms >= 2 * mtbf_ms:
        return max(LEAST_MS, mtbf_ms)
    root = isqrt(2 * cost_ms * mtbf_ms)
    # sqrt(2CM) (1 + sqrt(C/2M)/3 + (C/2M)/9) - C, with sqrt(2CM) sqrt(C/2M) = C
    return max(LEAST_MS, root + cost_ms // 3 + root * cost_ms // (18 * mtbf_ms) - cost_ms)


def interval_ms(row: GangRow, sums: TotalsRow) -> int:
    """A gang falls when any of its members does."""
    return daly_ms(row.cost_ms, max(1, member_mtbf_ms(sums) // row.members))


def measured(old_ms: int, told_ms: int) -> int:
    """A quarter of the newest; one odd measurement moves an interval by an eighth at most."""
    return max(1, (3 * old_ms + min(told_ms, 4 * old_ms)) // 4) if told_ms else old_ms
