"""A balancer of the drill whose charts and votes are checked before and after each event.

Rules of the charts: never below 0; thresholds by the stated rates, the number of balancers and the weights; no outcome
of the baseline moves them; an error of the candidate lowers none, a good answer raises no failures chart. Of the votes:
back only from a chart at its threshold, on not before 3 s.
"""

from __future__ import annotations

import math

from brookreach import interface as ifc
from brookreach.policy import common, cusum
from brookreach.policy.balancer import Balancer
from brookreach.simulation.verdict.routing_rules import RecordCheck, ReportViolation, RoutingRules

LEVEL_RULE = "charts stand at 0 or above"
THRESHOLD_RULE = "thresholds as stated"
BASELINE_RULE = "only the trial build moves charts"
DIRECTION_RULE = "errors raise, answers lower"
ROLLBACK_RULE = "back from a crossed chart"
PROMOTION_RULE = "on not before 3 s"

EARLIEST_PROMOTION_MS = 3000.0  # after the start of the newest node
MIN_ROLLOUT_OUTCOMES = 100.0
STAGE_WARM_UPS = 2.0  # a stage is expected to last so many warm-up times
CHART_WEIGHT = 0.5  # of the false-alarm rate; the charts of one kind share it
LOW_TRAFFIC_CHART_WEIGHT = 0.25

Levels = dict[tuple[int, str], float]
"""The levels of charts by method and stream."""


class CheckedBalancer:
    """A balancer under the rules; the model takes it for the balancer itself.

    Attributes:
        start: The balancer's settings.
        report_violation: Called for each violation.
        record_check: Called for each check.
        inner: The balancer.
        rules: The rules of its routing.
        top_share: The highest share of its threshold that a chart has had in this rollout.
        build: The candidate build of this rollout; -1 before the first.
    """

    def __init__(self, start: ifc.BalancerSettings, report_violation: ReportViolation, record_check: RecordCheck):
        self.start = start
        self.report_violation = report_violation
        self.record_check = record_check
        self.inner = Balancer(start)
        self.rules = RoutingRules(start, report_violation, record_check)
        self.top_share = 0.0
        self.build = -1

    def begin(self, now: float) -> list[ifc.Action]:
        """Start the balancer at `now` (ms) and return its actions."""
        return self.inner.begin(now)

    def handle(self, now: float, event: ifc.Event) -> list[ifc.Action]:
        """Give an event at `now` (ms) to the balancer, check what it does and return its actions."""
        entry = method = None
        if isinstance(event, ifc.PickEnded):
            rpc = self.inner.request_router.rpcs.get(event.rpc_id)
            if rpc is not None and event.pick_index < len(rpc.picks):
                entry = rpc.picks[event.pick_index][0]
                method = rpc.method
        before = self._levels()
        rpcs_per_s = self.inner.canary_analysis.rpcs_per_s
        self.rules.observe_event(now, event)
        actions = self.inner.handle(now, event)
        after = self._levels()
        self._check_charts(now)
        self._check_thresholds(now, rpcs_per_s)
        if isinstance(event, ifc.PickEnded) and entry is not None and method is not None:
            self._check_steps(now, event, entry, method, before, after)
        for action in actions:
            self.rules.check_action(now, action)
            if isinstance(action, ifc.Vote):
                self._check_vote(now, action)
        return actions

    def _levels(self) -> Levels:
        return {key: chart.level for key, chart in self.inner.canary_analysis.charts.items()}

    def _check_charts(self, now: float) -> None:
        analysis = self.inner.canary_analysis
        self.record_check(LEVEL_RULE)
        for key, chart in analysis.charts.items():
            if chart.level < 0.0:
                self.report_violation(LEVEL_RULE, now, f"chart {key} stands at {chart.level:.2f}")
            self.top_share = max(self.top_share, chart.level / chart.threshold)
            _, stream = key
            least_offset = math.log(cusum.MIN_BASELINE_RATE) if stream == "failures" else 0.0
            offset = chart.threshold - analysis.thresholds.local
            if "tallied" not in stream and not least_offset - 1e-6 <= offset <= 1e-6:
                self.report_violation(THRESHOLD_RULE, now, f"chart {key} has {chart.threshold:.3f}")

    def _check_thresholds(self, now: float, rpcs_per_s: float) -> None:
        """Check, as a rollout begins, the threshold against the formula of the design (docs/design.md).

        That is log target + log balancers - log weight, worked out here again from the settings.
        """
        analysis = self.inner.canary_analysis
        settings = self.start
        if analysis.status is None or analysis.status.build == self.build:
            return
        self.build = analysis.status.build
        self.top_share = 0.0
        self.record_check(THRESHOLD_RULE)
        stage_s = STAGE_WARM_UPS * common.WARM_UP_MS / 1000.0
        exposed_shares = math.fsum(min(1.0, cap) for cap in settings.exposure.caps)
        target = max(MIN_ROLLOUT_OUTCOMES, rpcs_per_s * exposed_shares * stage_s)
        total_weight = LOW_TRAFFIC_CHART_WEIGHT if common.is_low_traffic(settings) else CHART_WEIGHT
        weight = total_weight / (len(settings.methods) + 1)
        wanted = math.log(target / settings.stated.false_alarm) + math.log(settings.place.marshals) - math.log(weight)
        actual = analysis.thresholds.local
        if abs(wanted - actual) > 1e-6:
            self.report_violation(THRESHOLD_RULE, now, f"it stands at {actual:.3f}, stated {wanted:.3f}")

    def _check_steps(
        self, now: float, event: ifc.PickEnded, entry: ifc.NodeEntry, method: int, before: Levels, after: Levels
    ) -> None:
        """Check which charts the outcome of a pick has moved, and in which direction."""
        status = self.inner.canary_analysis.status
        if status is None:
            return
        self.record_check(BASELINE_RULE)
        if entry.build < status.build:
            changed = [key for key in after if after[key] != before.get(key, 0.0)]
            if changed:
                self.report_violation(BASELINE_RULE, now, f"build {entry.build} moved {changed}")
            return
        self.record_check(DIRECTION_RULE)
        soft_ms = self.start.methods[method].soft_ms
        is_error = event.outcome == ifc.Outcome.ERROR
        is_good = event.outcome == ifc.Outcome.OK and event.duration_ms <= soft_ms
        for key, level in after.items():
            if key[1] != "failures":
                continue
            old_level = before.get(key, 0.0)
            if is_error and level < old_level - 1e-9:
                self.report_violation(DIRECTION_RULE, now, f"an error lowered {key}")
            if is_good and level > old_level + 1e-9:
                self.report_violation(DIRECTION_RULE, now, f"a good answer raised {key}")

    def _check_vote(self, now: float, vote: ifc.Vote) -> None:
        if vote.verdict == ifc.Verdict.BACK:
            self.record_check(ROLLBACK_RULE)
            if self.top_share < 1.0 - 1e-9:
                self.report_violation(
                    ROLLBACK_RULE, now, f"the highest chart stood at {self.top_share:.2f} of its threshold"
                )
        if vote.verdict == ifc.Verdict.ON:
            self.record_check(PROMOTION_RULE)
            starts_ms = [
                entry.started_ms
                for entry, _ in self.rules.states.values()
                if entry.build == vote.build and entry.state == ifc.NodeState.READY
            ]
            if starts_ms and now < max(starts_ms) + EARLIEST_PROMOTION_MS:
                since_start_ms = now - max(starts_ms)
                self.report_violation(PROMOTION_RULE, now, f"on {since_start_ms:.0f} ms after the newest start")
