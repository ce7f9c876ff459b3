"""The thresholds and waits of one wave: from its expected outcomes, the stated error rates and the prices."""

import math

from brookreach.interface import BalancerSettings, PromotionGate
from brookreach.policy.common import WARM_UP_MS, is_low_traffic
from brookreach.policy.cusum import (
    ALL_METHODS,
    FAILURE_RATE_INCREASE,
    OVERALL_FAILURE_RATE_INCREASES,
    mean_failure_step,
)

MIN_ROLLOUT_OUTCOMES = 100.0  # of a wave: below it a threshold would promise too much
MAX_TALLY_SHARE = 0.6  # of a tallied chart's threshold: what the tally of one period adds to it at the most
MAX_WAIT_MS = 10_000.0  # before `on`, where nothing speaks for the build


class Thresholds:
    """What the charts and votes of one wave are held against.

    A wave's own outcomes over the stated false alarms stand for the design's target (docs/design.md).
    Waits are as long as harm on the next stage is worth, against the price of delay; half where few are seen.
    """

    def __init__(self, start: BalancerSettings, flow: float) -> None:
        """`flow` is the RPCs that this balancer takes a second."""
        few = is_low_traffic(start)
        methods = len(start.methods)
        balancers = max(1, start.place.marshals)
        exposed = flow * sum([min(1.0, cap) for cap in start.exposure.caps])
        outcomes = max(MIN_ROLLOUT_OUTCOMES, exposed * 2.0 * WARM_UP_MS / 1000.0)
        weight = (0.25 if few else 0.5) / (methods + 1)  # own and, where few, tallied
        # Of a tallied chart, which all balancers share; of this balancer's own charts, one of as many as there are.
        self.tallied = math.log(outcomes / start.stated.false_alarm) - math.log(weight)
        self.own = self.tallied + math.log(balancers)
        # By method, what the tally of one period adds at the most: none of them alone condemns a build.
        tally_step = MAX_TALLY_SHARE * self.tallied
        self.max_tally_steps = dict.fromkeys(range(methods), tally_step) | {ALL_METHODS: tally_step / methods}
        # Over all methods the least rise that a wave has outcomes for.
        self.rise = next(
            (rise for rise in OVERALL_FAILURE_RATE_INCREASES if outcomes * mean_failure_step(rise) > 2.0 * self.own),
            FAILURE_RATE_INCREASE,
        )
        needed = 1 if few or start.voting.gate == PromotionGate.ANY else max(1, start.voting.on_votes)
        self.trust = math.log(max(1.0, (1 if few else balancers) / needed) / start.stated.miss)
        harm, delay = 1.0 + start.prices.harm, max(0.01, start.prices.delay)
        self.wait_ms = min(MAX_WAIT_MS, (0.25 if few else 0.5) * WARM_UP_MS * FAILURE_RATE_INCREASE * harm / delay)

    def bounded(self, stream: int, size: float) -> float:
        """Returns the step of a tally, at most what one period may add, either way."""
        most = self.max_tally_steps[stream]
        return max(-most, min(most, size))
