"""The CUSUM charts of canary analysis: the size of each step, the charts, and the evidence for promotion.

A step is the log likelihood ratio of one outcome: a worse candidate build to one that is like the baseline build.
"""

import math
from bisect import bisect
from typing import Final

from brookreach.interface import OutcomeCounts

MIN_BASELINE_RATE: Final = 0.02  # floor of the baseline's failure rate
MIN_BASELINE_OUTCOMES: Final = 20  # a rate or a rank needs as many
BASELINE_FRESH_MS: Final = 4000.0  # baseline outcomes that are older count only while there are too few
BASELINE_MAX_AGE_MS: Final = 20_000.0
FAILURE_RATE_INCREASE: Final = 0.15  # effect size of one method's failures chart
OVERALL_FAILURE_RATE_INCREASES: Final = (0.05, 0.08, 0.11)  # effect sizes over all methods, of which a wave takes one
SLOWDOWN_RATIO: Final = 1.6  # effect size of the speed charts
LOGISTIC_SCALE: Final = 1.7  # a logistic score divided by it is about standard normal
QUARTILE_RANGE: Final = 1.35  # standard deviations between the quartiles of a normal distribution
MIN_SPREAD: Final = 0.1  # of the log of durations, as a standard deviation
MAX_SHIFT: Final = 1.2  # in standard deviations
MAX_SPEED_STEP: Final = 2.0  # one answer counts no more than an error would
ALL_METHODS: Final = -1  # the key, in place of a method, of charts over all methods


def failure_step(is_failure: bool, baseline_rate: float, increase: float) -> float:
    """Returns the log likelihood ratio of one outcome at a failure rate raised by `increase` to the baseline's."""
    # Where nearly all fail on both builds the two rates must still differ.
    baseline_rate = min(baseline_rate, 0.95 - increase)
    raised_rate = baseline_rate + increase
    if is_failure:
        return math.log(raised_rate / baseline_rate)
    return math.log((1.0 - raised_rate) / (1.0 - baseline_rate))


def mean_failure_step(increase: float) -> float:
    """Returns the mean step of a build whose failure rate lies by `increase` above the floor of the baseline's."""
    failure = failure_step(True, MIN_BASELINE_RATE, increase)
    success = failure_step(False, MIN_BASELINE_RATE, increase)
    return (MIN_BASELINE_RATE + increase) * failure + (1.0 - MIN_BASELINE_RATE - increase) * success


def rank_score(log_duration: float, baseline: list[float]) -> float:
    """Returns the rank of a duration among the baseline's sorted ones, as a score that is about standard normal.

    Overload moves both builds' durations and leaves the ranks; one very slow baseline node moves only their upper end.
    """
    position = bisect(baseline, log_duration) + 0.5
    return math.log(position / (len(baseline) + 1.0 - position)) / LOGISTIC_SCALE


def speed_step(score: float, baseline: list[float]) -> float:
    """Returns the step of a rank score: a build that takes `SLOWDOWN_RATIO` times as long, to one that is alike."""
    spread = max(MIN_SPREAD, (baseline[3 * len(baseline) // 4] - baseline[len(baseline) // 4]) / QUARTILE_RANGE)
    shift = min(MAX_SHIFT, math.log(SLOWDOWN_RATIO) / spread)
    return max(-MAX_SPEED_STEP, min(MAX_SPEED_STEP, shift * (score - 0.5 * shift)))


def mean_duration_step(counts: OutcomeCounts, answers: float, total_ms: float, shift: float) -> float:
    """Returns the step of the mean duration in `counts`, beside `answers` baseline answers of `total_ms` together.

    `shift` is the log of the ratio that is told apart. A mean below the baseline's counts as equal to it: of few
    answers, one far below tells no more.
    """
    log_ratio = math.log(max(1.0, counts.mean_ms * answers / max(1.0, total_ms)))
    return shift * (log_ratio - 0.5 * shift) / (1.0 / (counts.count - counts.failed) + 1.0 / (answers + 1.0))


class CusumChart:
    """The one-sided CUSUM of one stream of outcomes.

    Attributes:
        threshold: The level at which the chart raises an alarm.
        level: The sum of the steps, never below 0.
        cumulative_sum: The sum of the same steps without that bound: far below 0, the build is as good as the baseline.
        outcome_count: How many steps it has had.
        adverse_count: How many of them were above 0.
        added_by_node: What each node has added since the level last was 0.
    """

    def __init__(self, threshold: float) -> None:
        self.threshold = threshold
        self.level = 0.0
        self.cumulative_sum = 0.0
        self.outcome_count = 0
        self.adverse_count = 0
        self.added_by_node: dict[int, float] = {}

    def add(self, step: float, node: int, max_per_node: float) -> None:
        """Adds one step; what a node adds between two visits to 0 is limited to `max_per_node`."""
        if step > 0.0:
            step = max(0.0, min(step, max_per_node - self.added_by_node.get(node, 0.0)))
            self.added_by_node[node] = self.added_by_node.get(node, 0.0) + step
        self.outcome_count += 1
        self.adverse_count += step > 0.0
        self.cumulative_sum += step
        self.level = max(0.0, self.level + step)
        if self.level == 0.0:
            self.added_by_node.clear()


def is_confidence_reached(
    charts: dict[tuple[int, str], CusumChart], needed: float, methods: int, low_traffic: bool, outcome_count: int
) -> bool:
    """Whether the charts speak for the candidate by `needed`, over all methods together and in each one.

    Args:
        charts: By method and stream.
        needed: Log odds for the build.
        methods: How many methods there are.
        low_traffic: Whether low-traffic mode holds: then the charts of the fleet's outcome counts are asked.
        outcome_count: This balancer's own outcomes of the candidate.
    """
    failures, speed = ("tallied failures", "tallied speed") if low_traffic else ("failures", "speed")
    # A method with few of the outcomes would take too long.
    min_outcomes = 0 if low_traffic else outcome_count // (3 * methods)
    sums = {
        kind: [
            chart.cumulative_sum
            for (method, stream), chart in charts.items()
            if stream == kind and method != ALL_METHODS and chart.outcome_count >= min_outcomes
        ]
        for kind in (failures, speed)
    }
    # The fleet's counts hold all durations, so the whole evidence is asked of them.
    needed_speed = (needed if low_traffic else needed / methods) if sums[speed] else 0.0
    return (
        bool(sums[failures])
        and sum(sums[failures]) <= -needed
        and max(sums[failures]) <= -needed / methods
        and (sum(sums[speed]) <= -needed_speed)
    )
