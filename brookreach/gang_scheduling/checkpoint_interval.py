"""How long a gang runs between two checkpoints, from what was measured. Whole ms only, no state, no I/O.

Young, "A first order approximation to the optimum checkpoint interval" (1974): sqrt(2 C M) for a checkpoint's cost C
and a mean time M between failures. Daly, "A higher order estimate of the optimum checkpoint interval for restart
dumps" (2006), adds the next terms, which matter where C is no longer small beside M.
"""

from __future__ import annotations

from math import isqrt

from brookreach.gang_scheduling.tables import GangRow, TotalsRow

PRIOR_MEMBER_MTBF_MS = 30 * 86_400_000  # until more was measured: it counts as one failure in that time
MIN_INTERVAL_MS = 1000
MAX_COST_GROWTH = 4  # a report above so many times the present estimate counts as that


def member_mtbf_ms(totals: TotalsRow) -> int:
    """Returns one member's mean time between failures.

    The prior is one failure in `PRIOR_MEMBER_MTBF_MS`, so the mean is finite where none was measured.
    """
    return (PRIOR_MEMBER_MTBF_MS + totals.member_run_ms) // (1 + totals.failures)


def daly_ms(cost_ms: int, mtbf_ms: int) -> int:
    """Returns the work between two checkpoints by Daly's formula.

    Where the cost is twice the mean time between failures or more, no checkpoint pays before a failure is likely: then
    the interval is that mean time.
    """
    if cost_ms >= 2 * mtbf_ms:
        return max(MIN_INTERVAL_MS, mtbf_ms)
    root = isqrt(2 * cost_ms * mtbf_ms)
    # sqrt(2CM) (1 + sqrt(C/2M)/3 + (C/2M)/9) - C, with sqrt(2CM) sqrt(C/2M) = C
    return max(MIN_INTERVAL_MS, root + cost_ms // 3 + root * cost_ms // (18 * mtbf_ms) - cost_ms)


def interval_ms(row: GangRow, totals: TotalsRow) -> int:
    """Returns a gang's interval; the gang fails when any of its members does."""
    return daly_ms(row.checkpoint_cost_ms, max(1, member_mtbf_ms(totals) // row.member_count))


def updated_cost_ms(estimate_ms: int, reported_ms: int) -> int:
    """Returns the estimate of a cost after a report, which counts for a quarter; a report of 0 is none.

    Reports are clipped, so that an odd one moves the interval by less than a third.
    """
    if not reported_ms:
        return estimate_ms
    clipped_ms = min(reported_ms, MAX_COST_GROWTH * estimate_ms)
    return max(1, (3 * estimate_ms + clipped_ms) // 4)
