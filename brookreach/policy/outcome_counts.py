"""What the platform's tallies of all picks tell, for a balancer that sees few of them itself."""

import math
from typing import NamedTuple

from brookreach.interface import BalancerSettings, NodeEntry, OutcomeCounts, RolloutPhase, RolloutStatus
from brookreach.policy.common import WARM_UP_MS, slow_start_factor
from brookreach.policy.cusum import (
    ALL_METHODS,
    FAILURE_RATE_INCREASE,
    MIN_BASELINE_OUTCOMES,
    MIN_BASELINE_RATE,
    failure_step,
    mean_duration_step,
)
from brookreach.policy.thresholds import Thresholds

DECAY = 0.5  # of what earlier periods told, with each tally
BUSY = 1.2  # times the usual load: from here on load alone explains longer times
SPEED_SHIFT = 0.6  # the log of how much longer a build on trial takes that is told from one that is alike
BURDEN_SHIFT = 0.4  # the same for the earlier build's nodes, slowed by the one on trial


class ChartStep(NamedTuple):
    """One step of one chart; `before` is the earlier build's rate that it is held against."""

    method: int
    stream: str
    size: float
    before: float


class OutcomeCountsAnalysis:
    """Tallies of the earlier build by method, the load, and the steps that a tally of the build on trial gives."""

    def __init__(self, start: BalancerSettings) -> None:
        self.tally_ms, self.guards = start.rollout.tally_ms, start.guards
        self.heard_at, self.lag_ms = -math.inf, 0.0  # the last tally, and how late it came
        self.earlier = dict[int, list[float]]()  # by method: outcomes, failures, ms, when
        self.quiet = dict[int, tuple[float, float]]()  # before the offer, by method: answers, ms
        self.load, self.usual_load, self.counted = 0.0, 0.0, 0  # tallied picks for what the nodes can do
        self.load_rose = False  # with the last tally

    def observe(
        self,
        now: float,
        told: OutcomeCounts,
        news: RolloutStatus,
        ready: list[NodeEntry],
        thresholds: Thresholds,
        abreast: bool,
    ) -> list[ChartStep]:
        """Returns the steps of the charts; no tally alone crosses. `abreast`: earlier nodes are not the last."""
        steps = self._burden(now, told, news, ready, thresholds, abreast)
        end, self.heard_at, self.lag_ms = now - told.age_ms, now, told.age_ms
        good = told.count - told.failed
        count, failed, total_ms, at = self.earlier.get(told.method, [0.0, 0.0, 0.0, now])
        if told.build < news.build:
            self.earlier[told.method] = [
                DECAY * count + told.count,
                DECAY * failed + told.failed,
                DECAY * total_ms + told.mean_ms * good,
                now,
            ]
            return steps
        if news.phase != RolloutPhase.ON_TRIAL or count < MIN_BASELINE_OUTCOMES or now - at > 2.5 * self.tally_ms:
            return steps  # decided, or nothing left to compare with
        before = max(MIN_BASELINE_RATE, failed / count)
        for stream, rise in ((told.method, FAILURE_RATE_INCREASE), (ALL_METHODS, thresholds.rise)):
            size = told.failed * failure_step(True, before, rise) + good * failure_step(False, before, rise)
            size = min(thresholds.max_tally_steps[stream], size)
            steps.append(ChartStep(stream, "tallied failures", size, before))
        # Of the machines that ran by then, none in its first seconds: what it held up then waits on.
        ran = [one.started_ms for one in ready if one.build == news.build and one.started_ms < end]
        if good and failed < count and ran and max(ran) + WARM_UP_MS <= end - self.tally_ms:
            size = mean_duration_step(told, count - failed, total_ms, SPEED_SHIFT)
            for stream in (told.method, ALL_METHODS):
                steps.append(ChartStep(stream, "tallied speed", thresholds.bounded(stream, size), before))
        return steps

    def _burden(
        self,
        now: float,
        told: OutcomeCounts,
        news: RolloutStatus,
        ready: list[NodeEntry],
        thresholds: Thresholds,
        abreast: bool,
    ) -> list[ChartStep]:
        """A build may slow old nodes too: their times against those before it, under no more load."""
        good = told.count - told.failed
        count, total_ms = self.quiet.get(told.method, (0.0, 0.0))
        calm = news.phase != RolloutPhase.ON_TRIAL or news.stage == 0
        self.load_rose = False
        if now > self.heard_at + 0.5 * self.tally_ms:  # the first of a period, whose order tells nothing
            capacity = sum([one.size * slow_start_factor(one, now, self.guards) for one in ready])
            self._begin_period(capacity, calm)
        self.counted += told.count
        if calm:
            self.quiet[told.method] = DECAY * count + good, DECAY * total_ms + told.mean_ms * good
        elif abreast and good and told.build < news.build and self.load < BUSY * self.usual_load:
            size = mean_duration_step(told, count, total_ms, BURDEN_SHIFT)  # the nodes', whatever the method
            return [ChartStep(ALL_METHODS, "burden", thresholds.bounded(ALL_METHODS, size), 0.0)]
        return []

    def _begin_period(self, capacity: float, calm: bool) -> None:
        self.load, self.counted = self.counted / max(1.0, capacity), 0
        if calm:
            self.usual_load = DECAY * ((self.usual_load or self.load) + self.load)
        self.load_rose = self.load > BUSY * self.usual_load  # in the period before, and explains it
