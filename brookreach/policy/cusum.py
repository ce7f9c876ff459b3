"""What builds are judged by: steps, ranks, charts."""

import math
from bisect import bisect

from brookreach.interface import OutcomeCounts

MIN_BASELINE_RATE = 0.02  # of the before-rate
MIN_BASELINE_OUTCOMES, BASELINE_FRESH_MS, BASELINE_MAX_AGE_MS = (
    20,
    4000.0,
    20_000.0,
)  # outcomes that tell a rate; how old they may be
FAILURE_RATE_INCREASE, OVERALL_FAILURE_RATE_INCREASES, SLOWDOWN_RATIO = (
    0.15,
    (0.05, 0.08, 0.11),
    1.6,
)  # of failures, by stream and over all; work: told apart
ALL_METHODS = -1  # the stream over all methods


def failure_step(failure: bool, before: float, rise: float) -> float:
    """The log likelihood ratio of one outcome, after-rate to before-rate."""
    before = min(before, 0.95 - rise)  # with nearly all failing on both builds, still two different rates
    after = before + rise
    return math.log(after / before) if failure else math.log((1.0 - after) / (1.0 - before))


def mean_failure_step(rise: float) -> float:
    """What an outcome adds to a chart on average where the build fails by `rise` over the floor."""
    up, down = failure_step(True, MIN_BASELINE_RATE, rise), failure_step(False, MIN_BASELINE_RATE, rise)
    return (MIN_BASELINE_RATE + rise) * up + (1.0 - MIN_BASELINE_RATE - rise) * down


def rank_score(pace: float, low: list[float]) -> float:
    """Where a time stands among the sorted ones of the earlier build, as a score that is about normal.

    Jams move both, a crawling node of the earlier build the end only.
    """
    above = bisect(low, pace) + 0.5
    return math.log(above / (len(low) + 1.0 - above)) / 1.7


def speed_step(score: float, low: list[float]) -> float:
    """The step for such a score: a build that takes `SLOWDOWN_RATIO` times as long to one that is alike."""
    spread = max(0.1, (low[3 * len(low) // 4] - low[len(low) // 4]) / 1.35)
    shift = min(1.2, math.log(SLOWDOWN_RATIO) / spread)
    return max(-2.0, min(2.0, shift * (score - 0.5 * shift)))  # one answer counts no more than an error would


def mean_duration_step(told: OutcomeCounts, count: float, total_ms: float, shift: float) -> float:
    """The step for a mean beside `count` answers; of few, far below tells no more than as usual."""
    longer = math.log(max(1.0, told.mean_ms * count / max(1.0, total_ms)))
    return shift * (longer - 0.5 * shift) / (1.0 / (told.count - told.failed) + 1.0 / (count + 1.0))


class CusumChart:
    """One stream's CUSUM, at 0 or above. What one node has added since it last stood at 0 ends at `most`.

    `trust` is the sum of the same steps without the floor: far below 0, the build is as good as the last.
    """

    def __init__(self, threshold: float) -> None:
        self.threshold, self.level, self.trust, self.seen, self.failed = threshold, 0.0, 0.0, 0, 0
        self.added: dict[int, float] = {}

    def step(self, size: float, node: int, most: float) -> None:
        if size > 0.0:
            size = max(0.0, min(size, most - self.added.get(node, 0.0)))
            self.added[node] = self.added.get(node, 0.0) + size
        self.seen, self.failed, self.trust = self.seen + 1, self.failed + (size > 0.0), self.trust + size
        self.level = max(0.0, self.level + size)
        if self.level == 0.0:
            self.added.clear()


def is_confidence_reached(
    charts: dict[tuple[int, str], CusumChart], need: float, methods: int, few: bool, seen: int
) -> bool:
    """Whether the charts by (method, stream) speak for the build by `need`, over all methods and in each one.

    `seen` outcomes are this balancer's own; where `few` are seen the tallied charts are asked.
    """
    failed, slow = ("tallied failures", "tallied speed") if few else ("failures", "speed")
    rare = 0 if few else seen // (3 * methods)  # would take too long
    own = {
        kind: [
            chart.trust
            for (method, stream), chart in charts.items()
            if stream == kind and method != ALL_METHODS and chart.seen >= rare
        ]
        for kind in (failed, slow)
    }
    fast = (need if few else need / methods) if own[slow] else 0.0  # few: all times are tallied
    return (
        bool(own[failed])
        and sum(own[failed]) <= -need
        and max(own[failed]) <= -need / methods
        and (sum(own[slow]) <= -fast)
    )
