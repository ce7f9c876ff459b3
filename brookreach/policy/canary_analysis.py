"""Whether the build on trial goes on or back: the multichart CUSUM, what earns trust, this marshal's vote.

`CanaryAnalysis` is an actor that `brookreach.policy.balancer` calls; what its thresholds promise:
`brookreach.verdict.plan`.
"""

import math

from brookreach.interface import (
    Action,
    BalancerSettings,
    LogLine,
    NodeEntry,
    Outcome,
    OutcomeCounts,
    PromotionGate,
    RolloutPhase,
    RolloutStatus,
    Verdict,
    Vote,
)
from brookreach.policy.actor import Actor, WorkQueue
from brookreach.policy.baseline_outcomes import BaselineOutcomes
from brookreach.policy.common import (
    EVALUATION_INTERVAL_MS,
    NEVER_EXECUTED,
    ROLLBACK_PHASES,
    WARM_UP_MS,
    is_low_traffic,
    slow_start_factor,
)
from brookreach.policy.cusum import (
    ALL_METHODS,
    BASELINE_FRESH_MS,
    BASELINE_MAX_AGE_MS,
    FAILURE_RATE_INCREASE,
    MIN_BASELINE_OUTCOMES,
    MIN_BASELINE_RATE,
    CusumChart,
    failure_step,
    is_confidence_reached,
    rank_score,
    speed_step,
)
from brookreach.policy.node_correlation import NodeCorrelation
from brookreach.policy.outcome_counts import OutcomeCountsAnalysis
from brookreach.policy.thresholds import Thresholds


class CanaryAnalysis(Actor):
    """The multichart CUSUM and this marshal's vote."""

    def __init__(self, due: WorkQueue, out: list[Action], start: BalancerSettings):
        super().__init__(due)
        self.acts, self.voting, self.methods, self.places, self.trial_nodes = out, start.voting, start.methods, 0, 0
        self.marshals, self.ordinal = max(1, start.place.marshals), start.place.ordinal
        self.ready, self.guards, self.shares = list[NodeEntry](), start.guards, start.rollout.stage_shares
        self.tally_ms, self.few = start.rollout.tally_ms, is_low_traffic(start)
        self.tallies = OutcomeCountsAnalysis(start)
        self.before, self.charts = list[BaselineOutcomes](), dict[tuple[int, str], CusumChart]()
        self.news: RolloutStatus | None = None
        self.cast: tuple[Verdict, int, int] | None = None
        self.stage_at, self.cast_at, self.retry_at, self.sure, self.seen = 0.0, 0.0, 0.0, False, 0
        # The build whose chart crossed; RPCs a second; log of the share of failures; if earlier nodes last.
        self.crossed, self.flow, self.rare, self.abreast = -1, 0.0, 0.0, False
        self.start, self.times = start, NodeCorrelation()
        self.plan(0.0)

    def plan(self, flow: float) -> None:
        """Sets the thresholds of a wave from the RPCs that are taken a second."""
        self.thresholds = Thresholds(self.start, flow)

    def outcome(
        self,
        now: float,
        entry: NodeEntry,
        method: int,
        sent: float,
        ending: Outcome,
        took: float,
        unit: float,
        flow: float,
    ) -> None:
        news, late, self.flow = self.news, took > self.methods[method].soft_ms, flow
        if (
            news is None
            or entry.build > news.build
            or ending in NEVER_EXECUTED
            or (ending in (Outcome.CANCELLED, Outcome.TIMEOUT) and not late)
        ):
            return  # the build did not see it, or it was cut shorter than the soft deadline
        failure = late or ending != Outcome.OK
        pace = math.log(max(1.0, took * slow_start_factor(entry, sent, self.guards)) / unit)
        earlier = self.before[method]
        # Held against the earlier build meanwhile: jams make both wait. Once it has few nodes, errors tell.
        cold = entry.started_ms > 0.0 and sent < entry.started_ms + WARM_UP_MS
        beside = earlier.beside(now) if self.abreast and not cold else []
        like, weight, score, low = len(beside) >= MIN_BASELINE_OUTCOMES, 0.0, 0.0, sorted([one[2] for one in beside])
        if like and ending == Outcome.OK:  # what never answered took no time that can be held against it
            score = rank_score(pace, low)
            weight = self.times.weigh(now, entry.node, score, entry.build < news.build)
        if entry.build < news.build:
            return earlier.kept.append((sent, now, pace, failure and not late, failure))
        if news.phase in ROLLBACK_PHASES or (
            news.phase == RolloutPhase.RELEASED
            and (len(earlier.kept) < MIN_BASELINE_OUTCOMES or now - earlier.kept[-1][1] > BASELINE_MAX_AGE_MS)
        ):
            return  # decided, or nothing left to compare with
        self.seen += 1
        if not late or like:
            before = max(MIN_BASELINE_RATE, earlier.errors())
            if late:  # one more than was seen: few tell little
                before = max(before, (sum([one[4] for one in beside]) + 1.0) / (len(beside) + 1.0))
            for stream, rise in ((method, FAILURE_RATE_INCREASE), (ALL_METHODS, self.thresholds.overall_rate_increase)):
                size = failure_step(failure, before, rise)
                self.step(now, stream, "failures", size, before, entry.node)
        if weight:
            for stream in (method, ALL_METHODS):
                self.step(now, stream, "speed", weight * speed_step(score, low), self.times.correlation, entry.node)

    def tally(self, now: float, told: OutcomeCounts) -> None:
        """What the platform counted of all picks, for a marshal that sees few."""
        news = self.news
        if news is None or not self.few or told.count == 0 or told.build > news.build:
            return
        steps = self.tallies.observe(now, told, news, self.ready, self.thresholds, self.abreast)
        if self.tallies.load_increased:
            self.charts.pop((ALL_METHODS, "burden"), None)
        for one in steps:
            self.step(now, one.method, one.stream, one.size, one.baseline_rate)

    def step(self, now: float, method: int, stream: str, size: float, before: float, node: int = -1) -> None:
        limit = (
            self.thresholds.fleet if node < 0 else self.thresholds.local + (self.rare if stream == "failures" else 0.0)
        )
        news, chart = self.news, self.charts.setdefault((method, stream), CusumChart(limit))
        chart.threshold = limit  # one bad node is no bad build: two must contribute, or more
        chart.add(size, node, math.inf if node < 0 else max(3.2, 1.25 * limit / max(2, self.trial_nodes)))
        if news is None or chart.level < limit:
            return
        # A bad node looks like a bad build in tallies: two must stand in my charts, or votes agree on three.
        chart.level = limit
        stood = {one for (_, own), its in self.charts.items() if own in stream for one in its.added_by_node} - {-1}
        # Where few, one marshal's links may fail and not the fleet's: tallies must not speak against it.
        told = self.charts.get((method, f"tallied {stream}")) if self.few else None
        sure = (
            (told is None or told.level > 0.5 * told.threshold)
            if node >= 0
            else (stream == "burden" or len(stood) > 1 or (self.voting.back_votes > 1 and self.trial_nodes > 2))
        )
        if sure and self.crossed < 0:
            self.crossed = news.build
            name = f"back {news.build}: " + ("all" if method == ALL_METHODS else f"method {method}")
            self.acts.append(
                LogLine(
                    f"{name} {stream} {chart.level:.1f} of {chart.threshold:.1f}, before {before:.3f}, "
                    f"{chart.adverse_count} of {chart.outcome_count} against, "
                    f"nodes {len(chart.added_by_node)} of {self.trial_nodes}"
                )
            )
            self.decide(now)

    def listed(self, ready: list[NodeEntry]) -> None:
        self.ready = ready
        offered = self.news.build if self.news else 0
        self.trial_nodes = sum([entry.build == offered for entry in ready])
        self.abreast = 4 * sum([entry.build < offered for entry in ready]) >= len(ready)
        if self.news is None or self.news.phase == RolloutPhase.RELEASED:
            self.places = len(ready)

    def told(self, now: float, news: RolloutStatus) -> None:
        old = self.news
        if old is None or news.build != old.build:
            self.plan(self.flow)
            if old is None or old.phase == RolloutPhase.RELEASED:
                self.before = [
                    BaselineOutcomes(200, MIN_BASELINE_OUTCOMES, BASELINE_FRESH_MS, BASELINE_MAX_AGE_MS)
                    for _ in self.methods
                ]
                self.times.forget_nodes()
            self.charts, self.crossed = {}, -1
        if old is None or (news.build, news.stage, news.phase) != (old.build, old.stage, old.phase):
            self.seen, self.stage_at, self.cast = 0, now - news.age_ms, None
            self.acts.append(LogLine(f"build {news.build} stage {news.stage} {news.phase.name} cap {news.cap:.3f}"))
        self.news = news
        self.listed(self.ready)
        self.decide(now)

    def reply(self, now: float, ending: Outcome) -> None:
        self.sure = ending == Outcome.OK
        if not self.sure:  # again in this marshal's own turn: all together say half of what is taken
            turn = 2000.0 * self.marshals / max(0.1, self.voting.votes_per_s)
            self.retry_at = now + 500.0 + (self.ordinal * turn / self.marshals - now - 500.0) % turn

    def trusted(self, opens: float) -> bool:
        """Whether what was seen speaks for the build as far as the share that `on` opens asks for."""
        need = max(0.5, self.thresholds.promotion_confidence + math.log(max(1e-3, opens)))
        return is_confidence_reached(self.charts, need, len(self.methods), self.few, self.seen)

    def wanted(self, now: float, news: RolloutStatus) -> Verdict:
        if self.crossed == news.build and news.phase in (RolloutPhase.ON_TRIAL, RolloutPhase.RELEASED):
            return Verdict.BACK
        if news.phase != RolloutPhase.ON_TRIAL:
            return Verdict.NONE
        doubt = any(c.level > (0.2 if self.few else 0.5) * c.threshold for c in self.charts.values())
        if self.voting.gate == PromotionGate.CLOCK:
            return Verdict.HOLD if doubt else Verdict.NONE
        starts = [entry.started_ms for entry in self.ready if entry.build == news.build]
        if not starts or now < max(starts) + WARM_UP_MS + EVALUATION_INTERVAL_MS:  # a beat for late clocks
            return Verdict.NONE
        awaited = math.ceil(self.shares[news.stage] * self.places - 0.01)
        if len(starts) < awaited and now < self.stage_at + 10_000.0:
            return Verdict.NONE  # machines of this stage are still to come
        last = news.stage + 1 >= len(self.shares)  # a release opens nothing more
        opens, waited = self.shares[news.stage if last else news.stage + 1], now - max(starts) - WARM_UP_MS
        against = any(chart.cumulative_sum > 1.0 for chart in self.charts.values())
        # A few nodes' fault or the build's: where they can't tell, more will, short of the full share.
        if doubt and (opens == 1.0 or self.few or waited < 3.0 * self.thresholds.promotion_wait_ms * opens):
            return Verdict.NONE
        # All of the fleet is opened, and released (which ends tallies), after a tally of warm machines.
        tell = self.few and opens == 1.0 and now - self.tallies.received_ms < 1.5 * self.tally_ms
        most = max(
            (1.5 * self.tally_ms + self.tallies.lag_ms) * tell,
            1000.0 if last else (self.thresholds.promotion_wait_ms * opens * (2.0 if against else 1.0)),
        )
        return Verdict.NONE if waited < most and not self.trusted(opens) else Verdict.ON

    def decide(self, now: float) -> None:
        news, shares = self.news, [one.errors() for one in self.before if len(one.kept) >= MIN_BASELINE_OUTCOMES]
        self.rare = math.log(max(MIN_BASELINE_RATE, *shares)) if shares else 0.0  # charts climb from a failure only
        if news is None or now < self.retry_at:
            return
        want = self.wanted(now, news)
        key = want, news.stage, news.build
        again = 0.5 * self.voting.vote_ms if self.sure else self.voting.answer_ms
        if want == Verdict.NONE or (key == self.cast and now - self.cast_at < again):
            return
        if key != self.cast:
            self.acts.append(LogLine(f"vote {want.name} build {news.build} stage {news.stage} after {self.seen}"))
        self.cast, self.cast_at, self.sure = key, now, False
        self.acts.append(Vote(want, news.stage, news.build))
