"""The plan of a rollout, made before it: what its charts promise at the error rates that its operators state.

A plan is made from a balancer's settings and the baseline's traffic; thresholds, effect sizes and waits are read from a
`CanaryAnalysis` made of them, so that the plan speaks of the charts that decide.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import RELEASE_WAIT_MS, CanaryAnalysis
from brookreach.policy.common import WARM_UP_MS
from brookreach.verdict.error_rates import (
    ALL,
    WORK,
    evaluate_effect,
    failures_threshold,
    false_alarm_probability,
    make_analysis,
    smallest_detected_size,
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

NODE_START_MS = 2000.0  # a machine's start; what takes longer only delays the rollout
MAX_WORK_RATIO = 100.0
DEFAULT_OVERALL_INCREASES = (0.08, 0.20)  # of the failure rate over all methods
DEFAULT_METHOD_INCREASE = 0.15
DEFAULT_WORK_RATIO = 1.6


def make_plan(start: ifc.BalancerSettings, seen: BaselineTraffic, effects: Sequence[tuple[str, float]] = ()) -> Plan:
    """Return the plan of a rollout.

    Args:
        start: The balancer's settings.
        seen: The baseline's traffic.
        effects: What bad builds do and how much, as `evaluate_effect` takes them; without any, one of each kind.

    Raises:
        PlanError: No rollout can have these settings, this traffic or these effects.
    """
    validate(start, seen)
    analysis = make_analysis(start, seen)
    stages = plan_stages(start, analysis, seen)
    outcomes = math.fsum(stage.outcomes for stage in stages)
    method_names = [method.name for method in start.methods]
    kinds = [*method_names, ALL, WORK]
    _validate_effects(effects, kinds)
    least = {kind: smallest_detected_size(start, analysis, seen, outcomes, kind) for kind in kinds}
    wanted = list(effects) or _default_effects(method_names)
    rows = tuple(evaluate_effect(start, analysis, seen, outcomes, what, size) for what, size in wanted)
    false_alarm = false_alarm_probability(start, analysis, seen, outcomes)
    thresholds = analysis.thresholds
    return Plan(
        stated=start.stated,
        marshals=start.place.marshals,
        threshold=thresholds.local,
        failing_threshold=failures_threshold(analysis, seen),
        tally_threshold=thresholds.fleet,
        rise=thresholds.overall_rate_increase,
        trust=thresholds.promotion_confidence,
        stages=stages,
        false_alarm=false_alarm,
        false_alarm_bound=_wald_bound(start, analysis, outcomes),
        effects=rows,
        least=least,
        limits=tuple(_limits(start, analysis, rows, false_alarm, outcomes)),
    )


def plan_stages(
    start: ifc.BalancerSettings, analysis: CanaryAnalysis, seen: BaselineTraffic
) -> tuple[PlannedStage, ...]:
    """Return the stages of a build that reaches no confidence, so that each wait ends by its price.

    Where the evidence speaks strongly against a build the wait is doubled; the plan promises nothing from that.
    """
    shares = start.rollout.stage_shares
    caps = start.exposure.caps
    stages = []
    for index, share in enumerate(shares):
        is_last = index + 1 == len(shares)
        next_share = shares[min(index + 1, len(shares) - 1)]
        least_ms = NODE_START_MS + WARM_UP_MS
        most_ms = least_ms + (RELEASE_WAIT_MS if is_last else analysis.thresholds.promotion_wait_ms * next_share)
        cap = caps[min(index, len(caps) - 1)] if caps else share
        exposed_share = min(share, cap)
        # While the stage's machines start, the share of the stage before goes on.
        share_before = shares[index - 1] if index else 0.0
        outcomes = seen.rpcs_per_s / 1000.0 * (exposed_share * (most_ms - NODE_START_MS) + share_before * NODE_START_MS)
        stages.append(PlannedStage(share, least_ms, most_ms, outcomes))
    return tuple(stages)


def with_error_rates(
    start: ifc.BalancerSettings, false_alarm: float | None, miss: float | None
) -> ifc.BalancerSettings:
    """Return the same settings at other stated error rates; None keeps one."""
    old = start.stated
    stated = ifc.ErrorRateTargets(
        old.false_alarm if false_alarm is None else false_alarm, old.miss if miss is None else miss
    )
    return replace(start, stated=stated)


def _validate_effects(effects: Sequence[tuple[str, float]], kinds: list[str]) -> None:
    for what, size in effects:
        if what not in kinds:
            raise PlanError(f"effect {what!r}: one of {', '.join(kinds)} is allowed")
        validate_number(f"effect {what}", size, 0.0, MAX_WORK_RATIO if what == WORK else 1.0, True)


def _default_effects(method_names: list[str]) -> list[tuple[str, float]]:
    return [
        *((ALL, increase) for increase in DEFAULT_OVERALL_INCREASES),
        *((name, DEFAULT_METHOD_INCREASE) for name in method_names),
        (WORK, DEFAULT_WORK_RATIO),
    ]


def _wald_bound(start: ifc.BalancerSettings, analysis: CanaryAnalysis, outcomes: float) -> float:
    """Return Wald's bound of the false-alarm rate: exp(-threshold) an excursion, over all charts and balancers.

    An excursion of a failures chart begins with a failure, one of a speed chart with any outcome.
    """
    charts = 2 * (len(start.methods) + 1)
    return min(1.0, charts * outcomes * start.place.marshals * math.exp(-analysis.thresholds.local))


def _limits(
    start: ifc.BalancerSettings,
    analysis: CanaryAnalysis,
    effects: Sequence[PlannedEffect],
    false_alarm: float,
    outcomes: float,
) -> list[str]:
    """Return what the rollout can't promise, and what more time or a larger share would do."""
    limits = []
    if false_alarm > start.stated.false_alarm:
        limits.append(
            f"false alarms {false_alarm:.3f} are over the stated {start.stated.false_alarm:g}: "
            f"state more, or make the wave shorter"
        )
    limits += [_missed_effect(effect, outcomes) for effect in effects if not effect.seen]
    if analysis.low_traffic:
        limits.append(
            "this marshal sees few: its own charts are backed by the platform's tallies, which this plan leaves out"
        )
    return limits


def _missed_effect(effect: PlannedEffect, outcomes: float) -> str:
    more = effect.outcomes / max(1e-9, outcomes)
    how = (
        f"about {more + 1.0:.1f} times the wave's time or share would"
        if math.isfinite(more)
        else "no time would at these rises: it lies below what the charts look for"
    )
    return f"{effect.what} {effect.size:g} can't be told apart: released in {effect.miss:.2f} of waves, {how}"
