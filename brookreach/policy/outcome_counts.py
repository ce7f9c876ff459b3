"""Chart steps from the outcome counts that the platform reports of the whole fleet, for low-traffic mode."""

import math
from typing import Final, NamedTuple

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

DECAY: Final = 0.5  # of earlier periods, with each report
LOAD_INCREASE_RATIO: Final = 1.2  # from so many times the typical load, load alone explains longer durations
SPEED_LOG_RATIO: Final = 0.6  # effect size of the speed charts: log of the ratio of mean durations
BURDEN_LOG_RATIO: Final = 0.4  # the same for baseline nodes that the candidate build slows down


class ChartStep(NamedTuple):
    """One step of one chart; `baseline_rate` is the baseline's failure rate that it is compared with."""

    method: int
    stream: str
    size: float
    baseline_rate: float


class OutcomeCountsAnalysis:
    """Sums of the baseline's outcome counts by method, the load, and the steps that the candidate's counts give.

    Attributes:
        received_ms: When the last report came.
        lag_ms: How old that report was by then.
        baseline: By method: outcomes, failures, the answers' durations together (ms), when last reported (ms).
        reference: By method: answers and their durations together (ms), outside a rollout and in its first stage.
        load: Picks counted in the last full period, by unit of the nodes' capacity.
        typical_load: The same, averaged over periods outside a rollout and in its first stage.
        period_count: Picks counted in the current period.
        load_increased: Whether the last report began a period behind one of higher load, which explains longer
            durations.
    """

    def __init__(self, settings: BalancerSettings) -> None:
        self.report_interval_ms = settings.rollout.tally_ms
        self.safety_limits = settings.guards
        self.received_ms = -math.inf
        self.lag_ms = 0.0
        self.baseline = dict[int, list[float]]()
        self.reference = dict[int, tuple[float, float]]()
        self.load = 0.0
        self.typical_load = 0.0
        self.period_count = 0
        self.load_increased = False

    def observe(
        self,
        now: float,
        counts: OutcomeCounts,
        status: RolloutStatus,
        ready_nodes: list[NodeEntry],
        thresholds: Thresholds,
        has_baseline_nodes: bool,
    ) -> list[ChartStep]:
        """Returns the chart steps of one report; none alone makes a chart cross.

        `has_baseline_nodes`: the baseline still has nodes enough to be compared with.
        """
        steps = self._baseline_slowdown_steps(now, counts, status, ready_nodes, thresholds, has_baseline_nodes)
        period_end_ms = now - counts.age_ms
        self.received_ms = now
        self.lag_ms = counts.age_ms
        answers = counts.count - counts.failed
        baseline_count, baseline_failed, total_ms, reported_ms = self.baseline.get(counts.method, [0.0, 0.0, 0.0, now])
        if counts.build < status.build:
            self.baseline[counts.method] = [
                DECAY * baseline_count + counts.count,
                DECAY * baseline_failed + counts.failed,
                DECAY * total_ms + counts.mean_ms * answers,
                now,
            ]
            return steps
        if (
            status.phase != RolloutPhase.ON_TRIAL
            or baseline_count < MIN_BASELINE_OUTCOMES
            or now - reported_ms > 2.5 * self.report_interval_ms
        ):
            return steps  # decided, or nothing left to compare with
        baseline_rate = max(MIN_BASELINE_RATE, baseline_failed / baseline_count)
        for method, increase in (
            (counts.method, FAILURE_RATE_INCREASE),
            (ALL_METHODS, thresholds.overall_rate_increase),
        ):
            size = counts.failed * failure_step(True, baseline_rate, increase) + answers * failure_step(
                False, baseline_rate, increase
            )
            size = min(thresholds.max_counts_steps[method], size)
            steps.append(ChartStep(method, "tallied failures", size, baseline_rate))
        # Durations are compared only where no candidate node that ran in the period was in its first seconds: what it
        # delayed then is waited for later too.
        started_ms = [
            node.started_ms for node in ready_nodes if node.build == status.build and node.started_ms < period_end_ms
        ]
        if (
            answers
            and baseline_failed < baseline_count
            and started_ms
            and max(started_ms) + WARM_UP_MS <= period_end_ms - self.report_interval_ms
        ):
            size = mean_duration_step(counts, baseline_count - baseline_failed, total_ms, SPEED_LOG_RATIO)
            for method in (counts.method, ALL_METHODS):
                steps.append(
                    ChartStep(method, "tallied speed", thresholds.limit_counts_step(method, size), baseline_rate)
                )
        return steps

    def _baseline_slowdown_steps(
        self,
        now: float,
        counts: OutcomeCounts,
        status: RolloutStatus,
        ready_nodes: list[NodeEntry],
        thresholds: Thresholds,
        has_baseline_nodes: bool,
    ) -> list[ChartStep]:
        """Compares baseline nodes with their own reference periods, as a candidate may slow them down too.

        They are compared under no more load only.
        """
        answers = counts.count - counts.failed
        reference_answers, total_ms = self.reference.get(counts.method, (0.0, 0.0))
        is_reference_period = status.phase != RolloutPhase.ON_TRIAL or status.stage == 0
        self.load_increased = False
        # The first report of a period; the order of the others in it tells nothing.
        if now > self.received_ms + 0.5 * self.report_interval_ms:
            capacity = sum([node.size * slow_start_factor(node, now, self.safety_limits) for node in ready_nodes])
            self._begin_period(capacity, is_reference_period)
        self.period_count += counts.count
        if is_reference_period:
            self.reference[counts.method] = (
                DECAY * reference_answers + answers,
                DECAY * total_ms + counts.mean_ms * answers,
            )
        elif (
            has_baseline_nodes
            and answers
            and counts.build < status.build
            and self.load < LOAD_INCREASE_RATIO * self.typical_load
        ):
            size = mean_duration_step(counts, reference_answers, total_ms, BURDEN_LOG_RATIO)
            # One chart over all methods: it is the nodes that are slowed down, whatever the method.
            return [ChartStep(ALL_METHODS, "burden", thresholds.limit_counts_step(ALL_METHODS, size), 0.0)]
        return []

    def _begin_period(self, capacity: float, is_reference_period: bool) -> None:
        """Closes the period before: its load explains longer durations where it is over the typical one."""
        self.load = self.period_count / max(1.0, capacity)
        self.period_count = 0
        if is_reference_period:
            self.typical_load = DECAY * ((self.typical_load or self.load) + self.load)
        self.load_increased = self.load > LOAD_INCREASE_RATIO * self.typical_load
