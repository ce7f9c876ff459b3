"""Canary analysis: whether the candidate build is promoted or rolled back, by its charts and this balancer's vote.

`CanaryAnalysis` is an actor that `brookreach.policy.balancer` drives. What its thresholds promise is worked out by
`brookreach.verdict.plan`.
"""

import math
from typing import Final

from brookreach.interface import (
    Action,
    BalancerSettings,
    LogLine,
    NodeEntry,
    Outcome,
    PromotionGate,
    RolloutPhase,
    RolloutStatus,
    Verdict,
    Vote,
)
from brookreach.policy.actor import WorkQueue
from brookreach.policy.baseline_outcomes import BaselineOutcomes
from brookreach.policy.canary_charts import NO_BUILD, CanaryCharts
from brookreach.policy.common import EVALUATION_INTERVAL_MS, WARM_UP_MS
from brookreach.policy.cusum import (
    BASELINE_FRESH_MS,
    BASELINE_MAX_AGE_MS,
    MIN_BASELINE_OUTCOMES,
    MIN_BASELINE_RATE,
    is_confidence_reached,
)

BASELINE_CAPACITY: Final = 200  # outcomes that are kept of a method
NODES_WAIT_MS: Final = 10_000.0  # for the nodes of a stage that have not started yet
VOTE_RETRY_MS: Final = 500.0  # at least, after a vote that was not accepted
DOUBT_SHARE: Final = 0.5  # of its threshold: a chart above it makes a build doubtful
LOW_TRAFFIC_DOUBT_SHARE: Final = 0.2
RELEASE_WAIT_MS: Final = 1000.0  # before a vote for the release, which exposes no further RPCs


class CanaryAnalysis(CanaryCharts):
    """Follows the rollout and votes on it.

    Attributes:
        fleet_size: How many nodes were ready when no rollout was running.
        stage_started_ms: When the stage began.
        last_vote: The last verdict voted, with its stage and build.
        last_vote_ms: When it was sent.
        next_vote_ms: No vote is sent before.
        is_vote_acknowledged: Whether the platform has accepted the last vote.
    """

    def __init__(self, work_queue: WorkQueue, actions: list[Action], settings: BalancerSettings):
        super().__init__(work_queue, actions, settings)
        self.stage_shares = settings.rollout.stage_shares
        self.report_interval_ms = settings.rollout.tally_ms
        self.balancers = max(1, settings.place.marshals)
        self.ordinal = settings.place.ordinal
        self.fleet_size = 0
        self.stage_started_ms = 0.0
        self.last_vote: tuple[Verdict, int, int] | None = None
        self.last_vote_ms = 0.0
        self.next_vote_ms = 0.0
        self.is_vote_acknowledged = False

    def update_nodes(self, ready_nodes: list[NodeEntry]) -> None:
        """Takes over the ready nodes of a changed list."""
        self.ready_nodes = ready_nodes
        candidate = self.status.build if self.status else 0
        self.candidate_node_count = sum([entry.build == candidate for entry in ready_nodes])
        self.has_baseline_nodes = 4 * sum([entry.build < candidate for entry in ready_nodes]) >= len(ready_nodes)
        if self.status is None or self.status.phase == RolloutPhase.RELEASED:
            self.fleet_size = len(ready_nodes)

    def update_rollout(self, now: float, status: RolloutStatus) -> None:
        """Takes over the platform's rollout status; charts and thresholds begin anew with another build."""
        old = self.status
        if old is None or status.build != old.build:
            self.set_thresholds(self.rpcs_per_s)
            if old is None or old.phase == RolloutPhase.RELEASED:
                self.baselines = [
                    BaselineOutcomes(BASELINE_CAPACITY, MIN_BASELINE_OUTCOMES, BASELINE_FRESH_MS, BASELINE_MAX_AGE_MS)
                    for _ in self.methods
                ]
                self.node_correlation.forget_nodes()
            self.charts = {}
            self.rejected_build = NO_BUILD
        if old is None or (status.build, status.stage, status.phase) != (old.build, old.stage, old.phase):
            self.outcome_count = 0
            self.stage_started_ms = now - status.age_ms
            self.last_vote = None
            self.actions.append(
                LogLine(f"build {status.build} stage {status.stage} {status.phase.name} cap {status.cap:.3f}")
            )
        self.status = status
        self.update_nodes(self.ready_nodes)
        self.evaluate(now)

    def handle_vote_reply(self, now: float, outcome: Outcome) -> None:
        """Handles the platform's reply to a vote; one that was not accepted is repeated later."""
        self.is_vote_acknowledged = outcome == Outcome.OK
        if not self.is_vote_acknowledged:
            # In this balancer's own turn, so that all of them together send half of the votes the platform accepts.
            turn_ms = 2000.0 * self.balancers / max(0.1, self.voting.votes_per_s)
            offset_ms = self.ordinal * turn_ms / self.balancers
            self.next_vote_ms = now + VOTE_RETRY_MS + (offset_ms - now - VOTE_RETRY_MS) % turn_ms

    def is_confident(self, next_share: float) -> bool:
        """Whether the evidence for the build is strong enough for the share of RPCs that the next stage exposes."""
        needed = max(0.5, self.thresholds.promotion_confidence + math.log(max(1e-3, next_share)))
        return is_confidence_reached(self.charts, needed, len(self.methods), self.low_traffic, self.outcome_count)

    def choose_verdict(self, now: float, status: RolloutStatus) -> Verdict:
        """Returns what this balancer votes now."""
        if self.rejected_build == status.build and status.phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED):
            return Verdict.BACK
        if status.phase != RolloutPhase.ON_TRIAL:
            return Verdict.NONE
        doubt_share = LOW_TRAFFIC_DOUBT_SHARE if self.low_traffic else DOUBT_SHARE
        is_doubtful = any(c.level > doubt_share * c.threshold for c in self.charts.values())
        if self.voting.gate == PromotionGate.CLOCK:
            return Verdict.HOLD if is_doubtful else Verdict.NONE
        started_ms = [entry.started_ms for entry in self.ready_nodes if entry.build == status.build]
        # One evaluation interval is added, as the nodes' clocks may be behind.
        if not started_ms or now < max(started_ms) + WARM_UP_MS + EVALUATION_INTERVAL_MS:
            return Verdict.NONE
        expected_nodes = math.ceil(self.stage_shares[status.stage] * self.fleet_size - 0.01)
        if len(started_ms) < expected_nodes and now < self.stage_started_ms + NODES_WAIT_MS:
            return Verdict.NONE  # nodes of this stage have not started yet
        is_last_stage = status.stage + 1 >= len(self.stage_shares)  # the release exposes no further RPCs
        next_share = self.stage_shares[status.stage if is_last_stage else status.stage + 1]
        waited_ms = now - max(started_ms) - WARM_UP_MS
        has_evidence_against = any(chart.cumulative_sum > 1.0 for chart in self.charts.values())
        # The fault may be that of a few nodes or of the build. Where these can't be told apart, the next stage's nodes
        # tell more: so a doubtful build is promoted after a longer wait, but not to the whole fleet.
        if is_doubtful and (
            next_share == 1.0 or self.low_traffic or waited_ms < 3.0 * self.thresholds.promotion_wait_ms * next_share
        ):
            return Verdict.NONE
        # Before the whole fleet is exposed, and before the release, which ends the outcome counts, low-traffic mode
        # waits for counts of warm nodes.
        awaits_counts = (
            self.low_traffic
            and next_share == 1.0
            and now - self.counts_analysis.received_ms < 1.5 * self.report_interval_ms
        )
        max_wait_ms = max(
            (1.5 * self.report_interval_ms + self.counts_analysis.lag_ms) * awaits_counts,
            RELEASE_WAIT_MS
            if is_last_stage
            else (self.thresholds.promotion_wait_ms * next_share * (2.0 if has_evidence_against else 1.0)),
        )
        return Verdict.NONE if waited_ms < max_wait_ms and not self.is_confident(next_share) else Verdict.ON

    def evaluate(self, now: float) -> None:
        """Votes if there is something to say and the platform does not know it yet; repeats a vote before it lapses."""
        status = self.status
        error_rates = [one.error_rate() for one in self.baselines if len(one.outcomes) >= MIN_BASELINE_OUTCOMES]
        # A failures chart leaves 0 by a failure only, so fewer climbs begin where failures are rare.
        self.failure_threshold_offset = math.log(max(MIN_BASELINE_RATE, *error_rates)) if error_rates else 0.0
        if status is None or now < self.next_vote_ms:
            return
        verdict = self.choose_verdict(now, status)
        vote = verdict, status.stage, status.build
        repeat_after_ms = 0.5 * self.voting.vote_ms if self.is_vote_acknowledged else self.voting.answer_ms
        if verdict == Verdict.NONE or (vote == self.last_vote and now - self.last_vote_ms < repeat_after_ms):
            return
        if vote != self.last_vote:
            self.actions.append(
                LogLine(f"vote {verdict.name} build {status.build} stage {status.stage} after {self.outcome_count}")
            )
        self.last_vote = vote
        self.last_vote_ms = now
        self.is_vote_acknowledged = False
        self.actions.append(Vote(verdict, status.stage, status.build))
