"""Which state of a rollout is the newest, whichever was read last; free of I/O.

States come by the feed and in the answers to votes, on connections that have no common order: an answer that was held
up says what was true before the news that was read before it. A rollout only moves on, and that orders its states.
"""

from __future__ import annotations

from dataclasses import replace

from brookreach import interface as ifc

PHASE_RANKS = {
    ifc.RolloutPhase.ON_TRIAL: 0,
    ifc.RolloutPhase.RELEASED: 1,
    ifc.RolloutPhase.GOING_BACK: 2,
    ifc.RolloutPhase.WITHDRAWN: 3,
}
"""A build on trial is released or goes back, and is withdrawn at last."""


class RolloutOrder:
    """Keeps the newest state that was told. Times are milliseconds of the driver's clock.

    Args:
        stale_period_ms: For so long after the newest state was last told, older ones are taken for held up; after
            that the platform has changed its mind.
    """

    def __init__(self, stale_period_ms: float) -> None:
        self.stale_period_ms = stale_period_ms
        self.stale_count = 0  # of states that were told behind newer ones
        self._newest: ifc.RolloutStatus | None = None
        self._told_at_ms = 0.0

    def newest(self, now_ms: float, status: ifc.RolloutStatus) -> ifc.RolloutStatus:
        """Return a state that was read now, or the newest one in its place.

        A reply stays a reply: its vote was counted, whatever has happened since.
        """
        newest, elapsed_ms = self._newest, now_ms - self._told_at_ms
        if newest is not None and elapsed_ms < self.stale_period_ms and _progress(status) < _progress(newest):
            self.stale_count += 1
            return replace(newest, reply=status.reply, age_ms=newest.age_ms + elapsed_ms)
        self._newest, self._told_at_ms = status, now_ms
        return status


def _progress(status: ifc.RolloutStatus) -> tuple[int, int, float]:
    """Return how far a rollout has come: its build, its phase, and its stage or how far its cap has come down."""
    is_going_back = status.phase == ifc.RolloutPhase.GOING_BACK
    within_phase = -status.cap if is_going_back else float(status.stage)
    return status.build, PHASE_RANKS[status.phase], within_phase
