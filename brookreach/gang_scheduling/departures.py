"""When a node will not be there any more for the work that runs on it, and whether leaving it needs a permit."""

from __future__ import annotations

from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import NodeRow

DRAIN_MS = 60_000  # how long a draining node is taken to stand, from the drain on


def departure_ms(row: NodeRow | None, now_ms: int) -> int:
    """Returns when a node leaves; 0 where no such time is known, `now_ms` where it has left.

    A node that balancers see as down counts as there: the session of its agent says whether work goes on.
    """
    if row is None or row.status == TargetStatus.DECOMMISSIONED:
        return now_ms
    drained_ms = row.since_ms + DRAIN_MS if row.status == TargetStatus.DRAINING else 0
    known = [moment_ms for moment_ms in (drained_ms, row.retires_ms) if moment_ms]
    return min(known, default=0)


def needs_permit(row: NodeRow | None, now_ms: int) -> bool:
    """Returns whether taking a member off a node needs a permit.

    It doesn't where the node is out already: gone, past its time, or drained, which has a permit of its own.
    """
    if row is None or row.status in (TargetStatus.DECOMMISSIONED, TargetStatus.DRAINING):
        return False
    return not row.retires_ms or row.retires_ms > now_ms
