"""What all parts of the policy must see alike."""

import math

from brookreach.interface import BalancerSettings, NodeEntry, Outcome, RolloutPhase, RolloutStatus, SafetyLimits

ROLLBACK_PHASES, NEVER_EXECUTED = (
    (RolloutPhase.GOING_BACK, RolloutPhase.WITHDRAWN),
    (Outcome.FULL, Outcome.NO_CONNECT, Outcome.MOOT),
)
EVALUATION_INTERVAL_MS, WARM_UP_MS = 250.0, 3000.0  # WARM_UP_MS: a trial node's


def slow_start_factor(entry: NodeEntry, now: float, guards: SafetyLimits) -> float:
    """The share of its capacity that a node has at least: it rises evenly at the slowest."""
    age = max(0.0, now - entry.started_ms) if entry.started_ms else math.inf
    return min(1.0, guards.cold_share + (1.0 - guards.cold_share) * age / guards.warm_ms)


def is_candidate(news: RolloutStatus | None, build: int) -> bool:
    """Whether the exposure rule holds for a build; one that is not announced yet counts as on trial."""
    return news is None or build > news.build or (build == news.build and news.phase != RolloutPhase.RELEASED)


def is_low_traffic(start: BalancerSettings) -> bool:
    """Whether a tally holds far more of the picks than a marshal sees of them on an even spread."""
    return start.rollout.tally_ms > 0.0 and start.rollout.tally_sample * start.place.marshals > 4.0
