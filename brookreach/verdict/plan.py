"""The plan of a wave, before it: what its charts promise at the rates that its operators state.

Facts come from `interface.Start`, what is seen from `BaselineTraffic`; thresholds, rises and waits are read from a
`CanaryAnalysis` made of them, so that the plan speaks of the charts that decide. Error rates come from
`brookreach.verdict.markov_chain`; they are for the whole wave, over all marshals, methods and charts.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import WARM_UP_MS
from brookreach.policy.cusum import FAILURE_RATE_INCREASE, MIN_BASELINE_RATE
from brookreach.verdict.markov_chain import (
    CusumChain,
    failure_step_distribution,
    mean_and_conjugate_root,
    siegmund_average_run_length,
    speed_step_distribution,
)
from brookreach.verdict.plan_records import (
    BaselineTraffic,
    Plan,
    PlanError,
    PlannedEffect,
    PlannedStage,
    validate,
    validate_number,
)

MAX_CHAIN_OUTCOMES = 20_000  # of one marshal in one wave, past which the chance of crossing is carried on evenly
NODE_START_MS = 2000.0  # a machine's start, as planned; what takes longer only delays
RATE_INCREASES = (0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.10, 0.12, 0.15, 0.20, 0.25, 0.30, 0.36, 0.45, 0.60, 0.80)
WORK_RATIOS = (1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0, 2.5, 3.0, 4.0)


def make_analysis(start: ifc.BalancerSettings, seen: BaselineTraffic) -> CanaryAnalysis:
    """The judge whose thresholds the wave will have."""
    judge = CanaryAnalysis(deque(), [], start)
    judge.set_thresholds(seen.rpcs_per_s)
    return judge


def failures_threshold(judge: CanaryAnalysis, seen: BaselineTraffic) -> float:
    """Of the failures charts: they climb from a failure only, so they stand lower by the rate of failures."""
    return judge.thresholds.local + math.log(max([MIN_BASELINE_RATE, *seen.failure_rates]))


def plan_stages(start: ifc.BalancerSettings, judge: CanaryAnalysis, seen: BaselineTraffic) -> tuple[PlannedStage, ...]:
    """Stages of a build that earns no trust, so that each wait ends by its price.

    Where trust speaks strongly against a build the wait is doubled; nothing is promised from that.
    """
    shares, out = start.rollout.stage_shares, []
    for at, share in enumerate(shares):
        opens = shares[min(at + 1, len(shares) - 1)]
        least = NODE_START_MS + WARM_UP_MS
        last = at + 1 == len(shares)
        most = least + (1000.0 if last else judge.thresholds.promotion_wait_ms * opens)
        cap = start.exposure.caps[min(at, len(start.exposure.caps) - 1)] if start.exposure.caps else share
        gets = min(share, cap)
        # While the stage's machines start, the share of the stage before goes on.
        before = shares[at - 1] if at else 0.0
        outcomes = seen.rpcs_per_s / 1000.0 * (gets * (most - NODE_START_MS) + before * NODE_START_MS)
        out.append(PlannedStage(share, least, most, outcomes))
    return tuple(out)


def _crossed(steps: Sequence[tuple[float, float]], threshold: float, outcomes: float) -> float:
    """The chance of a crossing within so many outcomes; long waves are carried on at the last rate."""
    count = math.ceil(outcomes)
    if count <= 0:
        return 0.0
    played = min(count, MAX_CHAIN_OUTCOMES)
    curve = CusumChain.from_steps(steps, threshold, 160).crossing_probabilities(played)
    if played == count:
        return float(curve[-1])
    rate = float(curve[-1] - curve[played // 2]) / max(1e-300, 1.0 - float(curve[played // 2])) / (played - played // 2)
    return 1.0 - (1.0 - float(curve[-1])) * math.exp(-rate * (count - played))


def false_alarm_probability(
    start: ifc.BalancerSettings, judge: CanaryAnalysis, seen: BaselineTraffic, outcomes: float
) -> float:
    """Of a whole wave of a build that is like the last, over all marshals, methods and charts."""
    kept = 1.0
    overall = math.fsum(share * rate for share, rate in zip(seen.method_shares, seen.failure_rates, strict=True))
    streams = [
        (share, rate, FAILURE_RATE_INCREASE) for share, rate in zip(seen.method_shares, seen.failure_rates, strict=True)
    ]
    streams.append((1.0, overall, judge.thresholds.overall_rate_increase))
    weight, failing = (1.0 - seen.node_correlation) ** 2, failures_threshold(judge, seen)
    for share, rate, rise in streams:
        own = outcomes * share
        kept *= 1.0 - _crossed(failure_step_distribution(rate, max(MIN_BASELINE_RATE, rate), rise), failing, own)
        kept *= 1.0 - _crossed(
            speed_step_distribution(1.0, seen.log_duration_spread, weight), judge.thresholds.local, own
        )
    return 1.0 - kept**start.place.marshals


def _bound(chance: float, before: float, threshold: float) -> float:
    """Lorden: no rule with this run length to a false alarm needs fewer outcomes."""
    after = min(1.0 - 1e-9, before + chance)
    before = min(1.0 - 1e-9, max(1e-9, before))
    kl = after * math.log(after / before) + (1.0 - after) * math.log((1.0 - after) / (1.0 - before))
    return threshold / max(1e-12, kl)


def evaluate_effect(
    start: ifc.BalancerSettings, judge: CanaryAnalysis, seen: BaselineTraffic, outcomes: float, what: str, size: float
) -> PlannedEffect:
    """`what` is "all", a method's name, or "work"; `size` more failures, or so many times the work."""
    names = [method.name for method in start.methods]
    overall = math.fsum(s * r for s, r in zip(seen.method_shares, seen.failure_rates, strict=True))
    charts: list[tuple[list[tuple[float, float]], float]] = []  # steps, outcomes of one marshal
    limit = judge.thresholds.local if what == "work" else failures_threshold(judge, seen)
    if what == "work":
        steps = speed_step_distribution(size, seen.log_duration_spread, (1.0 - seen.node_correlation) ** 2)
        charts.append((steps, outcomes))
        shift = math.log(size) / seen.log_duration_spread
        bound = limit / max(1e-12, 0.5 * shift * shift)
    elif what == "all":
        charts.append(
            (
                failure_step_distribution(
                    min(1.0, overall + size), max(MIN_BASELINE_RATE, overall), judge.thresholds.overall_rate_increase
                ),
                outcomes,
            )
        )
        bound = _bound(size, max(MIN_BASELINE_RATE, overall), limit)
    else:
        at = names.index(what)
        rate, share = seen.failure_rates[at], seen.method_shares[at]
        charts.append(
            (
                failure_step_distribution(min(1.0, rate + size), max(MIN_BASELINE_RATE, rate), FAILURE_RATE_INCREASE),
                outcomes * share,
            )
        )
        mixed = min(1.0, overall + share * size)
        charts.append(
            (
                failure_step_distribution(
                    mixed, max(MIN_BASELINE_RATE, overall), judge.thresholds.overall_rate_increase
                ),
                outcomes,
            )
        )
        bound = _bound(size, max(MIN_BASELINE_RATE, rate), limit) / max(1e-9, share)
    alarm = max(_crossed(steps, limit, own) for steps, own in charts)
    # The best chart's own time, in outcomes of the marshal over all methods.
    needed = min(
        siegmund_average_run_length(steps, limit) * outcomes / max(1e-9, own)
        if mean_and_conjugate_root(steps)[0] > 0.0
        else math.inf
        for steps, own in charts
    )
    miss = (1.0 - alarm) ** (start.place.marshals / max(1, start.voting.back_votes))
    return PlannedEffect(what, size, miss, needed, bound, miss <= start.stated.miss)


def smallest_detected_size(
    start: ifc.BalancerSettings, judge: CanaryAnalysis, seen: BaselineTraffic, outcomes: float, what: str
) -> float | None:
    """The least size of an effect that the wave tells apart at the stated miss; None where it tells none."""
    for size in WORK_RATIOS if what == "work" else RATE_INCREASES:
        if evaluate_effect(start, judge, seen, outcomes, what, size).seen:
            return size
    return None


def make_plan(start: ifc.BalancerSettings, seen: BaselineTraffic, effects: Sequence[tuple[str, float]] = ()) -> Plan:
    """The plan of a wave. Raises PlanError for facts that no wave can have."""
    validate(start, seen)
    judge = make_analysis(start, seen)
    stages = plan_stages(start, judge, seen)
    outcomes = math.fsum(stage.outcomes for stage in stages)
    names = [method.name for method in start.methods]
    known = [*names, "all", "work"]
    for what, size in effects:
        if what not in known:
            raise PlanError(f"effect {what!r}: one of {', '.join(known)} is allowed")
        validate_number(f"effect {what}", size, 0.0, 100.0 if what == "work" else 1.0, True)
    least = {what: smallest_detected_size(start, judge, seen, outcomes, what) for what in known}
    wanted = list(effects) or [("all", 0.08), ("all", 0.20), *((name, 0.15) for name in names), ("work", 1.6)]
    rows = tuple(evaluate_effect(start, judge, seen, outcomes, what, size) for what, size in wanted)
    alarm = false_alarm_probability(start, judge, seen, outcomes)
    charts = 2 * (len(names) + 1)
    # Wald's bound: a chance of exp(-threshold) a climb, over all charts and marshals. A failures chart's
    # climbs begin with a failure, a speed chart's with any outcome.
    bound = min(1.0, charts * outcomes * start.place.marshals * math.exp(-judge.thresholds.local))
    return Plan(
        start.stated,
        start.place.marshals,
        judge.thresholds.local,
        failures_threshold(judge, seen),
        judge.thresholds.fleet,
        judge.thresholds.overall_rate_increase,
        judge.thresholds.promotion_confidence,
        stages,
        alarm,
        bound,
        rows,
        least,
        tuple(_limits(start, judge, seen, rows, alarm, outcomes)),
    )


def _limits(
    start: ifc.BalancerSettings,
    judge: CanaryAnalysis,
    seen: BaselineTraffic,
    rows: Sequence[PlannedEffect],
    alarm: float,
    outcomes: float,
) -> list[str]:
    """What the wave can't promise, and what more time or share would do."""
    out = []
    if alarm > start.stated.false_alarm:
        out.append(
            f"false alarms {alarm:.3f} are over the stated {start.stated.false_alarm:g}: "
            f"state more, or make the wave shorter"
        )
    for row in rows:
        if row.seen:
            continue
        more = row.outcomes / max(1e-9, outcomes)
        how = (
            f"about {more + 1.0:.1f} times the wave's time or share would"
            if math.isfinite(more)
            else "no time would at these rises: it lies below what the charts look for"
        )
        out.append(f"{row.what} {row.size:g} can't be told apart: released in {row.miss:.2f} of waves, {how}")
    if judge.low_traffic:
        out.append(
            "this marshal sees few: its own charts are backed by the platform's tallies, which this plan leaves out"
        )
    return out


def with_error_rates(start: ifc.BalancerSettings, rate: float | None, miss: float | None) -> ifc.BalancerSettings:
    """The same facts under other stated rates."""
    old = start.stated
    return replace(
        start,
        stated=ifc.ErrorRateTargets(old.false_alarm if rate is None else rate, old.miss if miss is None else miss),
    )


def format_plan(plan: Plan) -> str:
    """The plan as plain lines."""
    lines = [
        f"stated: false alarm {plan.stated.false_alarm:g}, miss {plan.stated.miss:g}, over {plan.marshals} "
        f"marshals together",
        f"threshold {plan.threshold:.2f}, of failures {plan.failing_threshold:.2f} "
        f"(tallies {plan.tally_threshold:.2f}), over all methods a rise of "
        f"{plan.rise:g}, a method's {FAILURE_RATE_INCREASE:g}, trust at {-plan.trust:.2f}",
        f"false alarm {plan.false_alarm:.4f} by the chain, at most {plan.false_alarm_bound:.4f} by Wald",
        "",
        f"{'stage':>5} {'share':>6} {'at least s':>10} {'at most s':>9} {'outcomes':>9}",
    ]
    for at, stage in enumerate(plan.stages):
        lines.append(
            f"{at:5} {stage.share:6.2f} {stage.least_ms / 1000.0:10.1f} {stage.most_ms / 1000.0:9.1f} "
            f"{stage.outcomes:9.0f}"
        )
    lines += ["", f"{'effect':16} {'size':>6} {'released':>9} {'outcomes':>9} {'bound':>7}  told apart"]
    for row in plan.effects:
        lines.append(
            f"{row.what:16} {row.size:6.2f} {row.miss:9.4f} {row.outcomes:9.0f} {row.bound:7.0f}  "
            f"{'yes' if row.seen else 'NO'}"
        )
    told = ", ".join(f"{what} {'none' if size is None else format(size, 'g')}" for what, size in plan.least.items())
    return "\n".join([*lines, "", f"least effect told apart: {told}", *plan.limits])
