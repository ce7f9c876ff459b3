"""The evidence for and against the candidate build: outcomes compared with the baseline's, on CUSUM charts."""

import math
from typing import Final

from brookreach.interface import (
    Action,
    BalancerSettings,
    LogLine,
    NodeEntry,
    Outcome,
    OutcomeCounts,
    RolloutPhase,
    RolloutStatus,
)
from brookreach.policy.actor import Actor, WorkQueue
from brookreach.policy.baseline_outcomes import ENDED_MS, IS_FAILURE, LOG_DURATION, BaselineOutcome, BaselineOutcomes
from brookreach.policy.common import NEVER_EXECUTED, ROLLBACK_PHASES, WARM_UP_MS, is_low_traffic, slow_start_factor
from brookreach.policy.cusum import (
    ALL_METHODS,
    BASELINE_MAX_AGE_MS,
    FAILURE_RATE_INCREASE,
    MIN_BASELINE_OUTCOMES,
    MIN_BASELINE_RATE,
    CusumChart,
    failure_step,
    rank_score,
    speed_step,
)
from brookreach.policy.node_correlation import NodeCorrelation
from brookreach.policy.outcome_counts import OutcomeCountsAnalysis
from brookreach.policy.thresholds import Thresholds

FLEET: Final = -1  # in place of a node: the steps of the fleet's outcome counts
NO_BUILD: Final = -1
MIN_NODE_LIMIT: Final = 3.2  # what one node may add to a chart, at least
NODE_LIMIT_RATIO: Final = 1.25  # so many times its equal share of the threshold
CONFIRMATION_SHARE: Final = 0.5  # of its threshold: from here on the fleet's chart confirms this balancer's


class CanaryCharts(Actor):
    """The CUSUM charts of the candidate build, and the build that they reject.

    Attributes:
        candidate_node_count: Ready nodes of the candidate build.
        has_baseline_nodes: Whether at least a quarter of the ready nodes run the baseline build.
        baselines: The baseline's outcomes, by method.
        charts: By method, or `ALL_METHODS`, and stream.
        outcome_count: Outcomes of the candidate build seen in this stage.
        rejected_build: The build whose chart has crossed its threshold.
        failure_threshold_offset: Added to the threshold of a failures chart: the log of the baseline's error rate.
    """

    def __init__(self, work_queue: WorkQueue, actions: list[Action], settings: BalancerSettings):
        super().__init__(work_queue)
        self.settings = settings
        self.actions = actions
        self.voting = settings.voting
        self.methods = settings.methods
        self.safety_limits = settings.guards
        self.low_traffic = is_low_traffic(settings)
        self.ready_nodes = list[NodeEntry]()
        self.candidate_node_count = 0
        self.has_baseline_nodes = False
        self.counts_analysis = OutcomeCountsAnalysis(settings)
        self.node_correlation = NodeCorrelation()
        self.baselines = list[BaselineOutcomes]()
        self.charts = dict[tuple[int, str], CusumChart]()
        self.status: RolloutStatus | None = None
        self.rpcs_per_s = 0.0
        self.outcome_count = 0
        self.rejected_build = NO_BUILD
        self.failure_threshold_offset = 0.0
        self.set_thresholds(0.0)

    def set_thresholds(self, rpcs_per_s: float) -> None:
        """Sets the thresholds of a rollout from the rate of RPCs that this balancer receives."""
        self.thresholds = Thresholds(self.settings, rpcs_per_s)

    def record_outcome(
        self,
        now: float,
        entry: NodeEntry,
        method: int,
        sent_ms: float,
        outcome: Outcome,
        duration_ms: float,
        cost_ms: float,
        rpcs_per_s: float,
    ) -> None:
        """Adds the outcome of one pick to the baseline, or compares it with the baseline on the charts."""
        status = self.status
        is_late = duration_ms > self.methods[method].soft_ms
        self.rpcs_per_s = rpcs_per_s
        if (
            status is None
            or entry.build > status.build
            or outcome in NEVER_EXECUTED
            or (outcome in (Outcome.CANCELLED, Outcome.TIMEOUT) and not is_late)
        ):
            return  # the build did not execute it, or it was given less time than the soft deadline
        is_failure = is_late or outcome != Outcome.OK
        log_duration = math.log(max(1.0, duration_ms * slow_start_factor(entry, sent_ms, self.safety_limits)) / cost_ms)
        baseline = self.baselines[method]
        # Durations and late answers are compared with the baseline's of the same seconds, as overload makes both builds
        # wait. Once the baseline has few nodes left, only errors are compared.
        is_warming_up = entry.started_ms > 0.0 and sent_ms < entry.started_ms + WARM_UP_MS
        recent: list[BaselineOutcome] = baseline.recent(now) if self.has_baseline_nodes and not is_warming_up else []
        is_comparable = len(recent) >= MIN_BASELINE_OUTCOMES
        weight = 0.0
        score = 0.0
        baseline_durations = sorted([one[LOG_DURATION] for one in recent])
        if is_comparable and outcome == Outcome.OK:  # a pick without an answer has no duration to compare
            score = rank_score(log_duration, baseline_durations)
            weight = self.node_correlation.weigh(now, entry.node, score, entry.build < status.build)
        if entry.build < status.build:
            baseline.outcomes.append((sent_ms, now, log_duration, is_failure and not is_late, is_failure))
            return
        if status.phase in ROLLBACK_PHASES or (
            status.phase == RolloutPhase.RELEASED
            and (
                len(baseline.outcomes) < MIN_BASELINE_OUTCOMES
                or now - baseline.outcomes[-1][ENDED_MS] > BASELINE_MAX_AGE_MS
            )
        ):
            return  # decided, or nothing left to compare with
        self.outcome_count += 1
        if not is_late or is_comparable:
            baseline_rate = max(MIN_BASELINE_RATE, baseline.error_rate())
            if is_late:  # one failure more than was seen, as a rate from few outcomes is uncertain
                failures = sum([one[IS_FAILURE] for one in recent])
                baseline_rate = max(baseline_rate, (failures + 1.0) / (len(recent) + 1.0))
            for stream_method, increase in (
                (method, FAILURE_RATE_INCREASE),
                (ALL_METHODS, self.thresholds.overall_rate_increase),
            ):
                step = failure_step(is_failure, baseline_rate, increase)
                self.add_step(now, stream_method, "failures", step, baseline_rate, entry.node)
        if weight:
            for stream_method in (method, ALL_METHODS):
                step = weight * speed_step(score, baseline_durations)
                self.add_step(now, stream_method, "speed", step, self.node_correlation.correlation, entry.node)

    def record_counts(self, now: float, counts: OutcomeCounts) -> None:
        """Handles the platform's counts of all picks, which are used in low-traffic mode."""
        status = self.status
        if status is None or not self.low_traffic or counts.count == 0 or counts.build > status.build:
            return
        steps = self.counts_analysis.observe(
            now, counts, status, self.ready_nodes, self.thresholds, self.has_baseline_nodes
        )
        if self.counts_analysis.load_increased:
            self.charts.pop((ALL_METHODS, "burden"), None)
        for step in steps:
            self.add_step(now, step.method, step.stream, step.size, step.baseline_rate)

    def add_step(
        self, now: float, method: int, stream: str, step: float, baseline_rate: float, node: int = FLEET
    ) -> None:
        """Adds a step to a chart; where the chart crosses its threshold and others confirm it, rejects the build."""
        threshold = (
            self.thresholds.fleet
            if node < 0
            else self.thresholds.local + (self.failure_threshold_offset if stream == "failures" else 0.0)
        )
        status = self.status
        chart = self.charts.setdefault((method, stream), CusumChart(threshold))
        chart.threshold = threshold
        # One bad node does not make a bad build: at least two nodes must contribute to a crossing.
        max_per_node = (
            math.inf
            if node < 0
            else max(MIN_NODE_LIMIT, NODE_LIMIT_RATIO * threshold / max(2, self.candidate_node_count))
        )
        chart.add(step, node, max_per_node)
        if status is None or chart.level < threshold:
            return
        chart.level = threshold
        # In the fleet's counts one bad node looks like a bad build. So two nodes must stand in this balancer's own
        # charts, or several balancers must vote alike and there must be three candidate nodes.
        contributing = {
            one
            for (_, own_stream), own_chart in self.charts.items()
            if own_stream in stream
            for one in own_chart.added_by_node
        }
        contributing.discard(FLEET)
        # In low-traffic mode this balancer's own links may fail and not the fleet's: the fleet's counts must not speak
        # against its outcomes.
        fleet_chart = self.charts.get((method, f"tallied {stream}")) if self.low_traffic else None
        is_confirmed = (
            (fleet_chart is None or fleet_chart.level > CONFIRMATION_SHARE * fleet_chart.threshold)
            if node >= 0
            else (
                stream == "burden"
                or len(contributing) > 1
                or (self.voting.back_votes > 1 and self.candidate_node_count > 2)
            )
        )
        if is_confirmed and self.rejected_build < 0:
            self.rejected_build = status.build
            name = f"back {status.build}: " + ("all" if method == ALL_METHODS else f"method {method}")
            self.actions.append(
                LogLine(
                    f"{name} {stream} {chart.level:.1f} of {chart.threshold:.1f}, before {baseline_rate:.3f}, "
                    f"{chart.adverse_count} of {chart.outcome_count} against, "
                    f"nodes {len(chart.added_by_node)} of {self.candidate_node_count}"
                )
            )
            self.evaluate(now)

    def evaluate(self, now: float) -> None:
        """Votes, if there is something to say."""
        raise NotImplementedError
