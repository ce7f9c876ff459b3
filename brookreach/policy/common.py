"""Definitions that request routing and canary analysis share.

The candidate build is the one that is being rolled out; the baseline build is the one released before it.
"""

import math
from typing import Final

from brookreach.interface import BalancerSettings, NodeEntry, Outcome, RolloutPhase, RolloutStatus, SafetyLimits

ROLLBACK_PHASES: Final = (RolloutPhase.GOING_BACK, RolloutPhase.WITHDRAWN)
NEVER_EXECUTED: Final = (Outcome.FULL, Outcome.NO_CONNECT, Outcome.MOOT)  # of picks that no node has executed
EVALUATION_INTERVAL_MS: Final = 250.0
WARM_UP_MS: Final = 3000.0  # a candidate node's first seconds, in which its durations are not compared


def slow_start_factor(entry: NodeEntry, now: float, limits: SafetyLimits) -> float:
    """Returns the share of its capacity that a node has at least: it rises linearly at the slowest."""
    age_ms = max(0.0, now - entry.started_ms) if entry.started_ms else math.inf
    return min(1.0, limits.cold_share + (1.0 - limits.cold_share) * age_ms / limits.warm_ms)


def is_candidate(status: RolloutStatus | None, build: int) -> bool:
    """Whether the exposure rule limits a build; one that is not announced yet counts as a candidate."""
    return status is None or build > status.build or (build == status.build and status.phase != RolloutPhase.RELEASED)


def is_low_traffic(settings: BalancerSettings) -> bool:
    """Whether low-traffic mode holds: this balancer sees few of the fleet's outcomes.

    It holds where the platform's outcome counts hold far more picks than one balancer sees if all see the same share.
    """
    return settings.rollout.tally_ms > 0.0 and settings.rollout.tally_sample * settings.place.marshals > 4.0
