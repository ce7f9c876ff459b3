"""The thresholds and waits of one rollout, from its expected outcomes, the stated error rates and the prices."""

import math
from typing import Final

from brookreach.interface import BalancerSettings, PromotionGate
from brookreach.policy.common import WARM_UP_MS, is_low_traffic
from brookreach.policy.cusum import (
    ALL_METHODS,
    FAILURE_RATE_INCREASE,
    OVERALL_FAILURE_RATE_INCREASES,
    mean_failure_step,
)

MIN_ROLLOUT_OUTCOMES: Final = 100.0  # with fewer a threshold would promise too much
MAX_COUNTS_SHARE: Final = 0.6  # what the outcome counts of one period add at most, as a share of the threshold
MAX_PROMOTION_WAIT_MS: Final = 10_000.0  # before a vote for promotion, where nothing speaks for the build


class Thresholds:
    """What the charts and votes of one rollout are compared with.

    A rollout's own expected outcomes over the stated false alarm rate take the place of the design's target run length
    (docs/design.md). Waits balance the harm that the next stage may do against the price of delay; in low-traffic mode
    they are half as long.

    Attributes:
        fleet: Of a chart of the platform's outcome counts, which all balancers share.
        local: Of a chart of this balancer's own outcomes, one of as many as there are balancers.
        max_counts_steps: By method, what the counts of one period add at most: none alone rejects a build.
        overall_rate_increase: The effect size of the failures charts over all methods.
        promotion_confidence: The log odds for a build that a vote for promotion needs.
        promotion_wait_ms: How long a vote for full promotion waits where that confidence is not reached.
    """

    def __init__(self, settings: BalancerSettings, rpcs_per_s: float) -> None:
        """`rpcs_per_s` is the rate of RPCs that this balancer receives."""
        low_traffic = is_low_traffic(settings)
        methods = len(settings.methods)
        balancers = max(1, settings.place.marshals)
        exposed = rpcs_per_s * sum([min(1.0, cap) for cap in settings.exposure.caps])
        outcomes = max(MIN_ROLLOUT_OUTCOMES, exposed * 2.0 * WARM_UP_MS / 1000.0)
        # The false alarms are shared out over the charts: failures and speed, and in low-traffic mode the fleet's too.
        chart_weight = (0.25 if low_traffic else 0.5) / (methods + 1)
        self.fleet = math.log(outcomes / settings.stated.false_alarm) - math.log(chart_weight)
        self.local = self.fleet + math.log(balancers)
        max_step = MAX_COUNTS_SHARE * self.fleet
        self.max_counts_steps = dict.fromkeys(range(methods), max_step) | {ALL_METHODS: max_step / methods}
        # The smallest effect that a rollout has outcomes enough to detect.
        self.overall_rate_increase = next(
            (
                increase
                for increase in OVERALL_FAILURE_RATE_INCREASES
                if outcomes * mean_failure_step(increase) > 2.0 * self.local
            ),
            FAILURE_RATE_INCREASE,
        )
        any_vote = low_traffic or settings.voting.gate == PromotionGate.ANY
        votes_needed = 1 if any_vote else max(1, settings.voting.on_votes)
        self.promotion_confidence = math.log(
            max(1.0, (1 if low_traffic else balancers) / votes_needed) / settings.stated.miss
        )
        harm = 1.0 + settings.prices.harm
        delay = max(0.01, settings.prices.delay)
        self.promotion_wait_ms = min(
            MAX_PROMOTION_WAIT_MS,
            (0.25 if low_traffic else 0.5) * WARM_UP_MS * FAILURE_RATE_INCREASE * harm / delay,
        )

    def limit_counts_step(self, method: int, step: float) -> float:
        """Returns the step of one report of outcome counts, limited to what one period may add, either way."""
        limit = self.max_counts_steps[method]
        return max(-limit, min(limit, step))
