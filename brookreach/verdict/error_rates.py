"""The error rates of a rollout's charts: its false-alarm rate, and the effects that are detected at the miss rate.

Rates come from `brookreach.verdict.markov_chain`; thresholds and effect sizes are read from a `CanaryAnalysis`, so that
they are those of the charts that decide. All are for the whole rollout, over all balancers, methods and charts.
"""

from __future__ import annotations

import math
from collections import deque

from brookreach import interface as ifc
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.cusum import FAILURE_RATE_INCREASE, MIN_BASELINE_RATE
from brookreach.verdict.markov_chain import (
    CusumChain,
    StepDistribution,
    failure_step_distribution,
    mean_and_conjugate_root,
    siegmund_average_run_length,
    speed_step_distribution,
)
from brookreach.verdict.plan_records import BaselineTraffic, PlannedEffect

MAX_CHAIN_OUTCOMES = 20_000  # of one balancer in one rollout; past it the probability grows at a constant hazard rate
PLANNED_CELLS = 160  # of the chain
ALL = "all"  # the effect that all methods fail more often
WORK = "work"  # the effect that the candidate takes longer
RATE_INCREASES = (0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.10, 0.12, 0.15, 0.20, 0.25, 0.30, 0.36, 0.45, 0.60, 0.80)
WORK_RATIOS = (1.2, 1.3, 1.4, 1.5, 1.6, 1.8, 2.0, 2.5, 3.0, 4.0)


def make_analysis(start: ifc.BalancerSettings, seen: BaselineTraffic) -> CanaryAnalysis:
    """Return the canary analysis whose thresholds the rollout will have."""
    analysis = CanaryAnalysis(deque(), [], start)
    analysis.set_thresholds(seen.rpcs_per_s)
    return analysis


def failures_threshold(analysis: CanaryAnalysis, seen: BaselineTraffic) -> float:
    """Return the threshold of the failures charts: lower by the failure rate, as only a failure lets them climb."""
    return analysis.thresholds.local + math.log(max([MIN_BASELINE_RATE, *seen.failure_rates]))


def false_alarm_probability(
    start: ifc.BalancerSettings, analysis: CanaryAnalysis, seen: BaselineTraffic, outcomes: float
) -> float:
    """Return the probability that a build like the baseline crosses, over all balancers, methods and charts.

    Args:
        start: The balancer's settings.
        analysis: Holds the thresholds.
        seen: The baseline's traffic.
        outcomes: Of the candidate that one balancer sees in the whole rollout.
    """
    streams = [
        (share, rate, FAILURE_RATE_INCREASE) for share, rate in zip(seen.method_shares, seen.failure_rates, strict=True)
    ]
    streams.append((1.0, _overall_failure_rate(seen), analysis.thresholds.overall_rate_increase))
    failures_limit = failures_threshold(analysis, seen)
    speed_steps = speed_step_distribution(1.0, seen.log_duration_spread, _speed_weight(seen))
    no_alarm = 1.0
    for share, rate, increase in streams:
        chart_outcomes = outcomes * share
        failure_steps = failure_step_distribution(rate, max(MIN_BASELINE_RATE, rate), increase)
        no_alarm *= 1.0 - _crossing_probability(failure_steps, failures_limit, chart_outcomes)
        no_alarm *= 1.0 - _crossing_probability(speed_steps, analysis.thresholds.local, chart_outcomes)
    return 1.0 - no_alarm**start.place.marshals


def evaluate_effect(
    start: ifc.BalancerSettings,
    analysis: CanaryAnalysis,
    seen: BaselineTraffic,
    outcomes: float,
    what: str,
    size: float,
) -> PlannedEffect:
    """Return what becomes of a build that is bad in one way.

    Args:
        start: The balancer's settings.
        analysis: Holds the thresholds.
        seen: The baseline's traffic.
        outcomes: Of the candidate that one balancer sees in the whole rollout.
        what: `ALL`, `WORK` or a method's name.
        size: By how much the failure rate is raised, or the ratio of the work.
    """
    threshold = analysis.thresholds.local if what == WORK else failures_threshold(analysis, seen)
    charts = _charts_of_effect(start, analysis, seen, outcomes, what, size)
    alarm = max(_crossing_probability(steps, threshold, chart_outcomes) for steps, chart_outcomes in charts)
    needed = min(_needed_outcomes(steps, threshold, outcomes, chart_outcomes) for steps, chart_outcomes in charts)
    miss = (1.0 - alarm) ** (start.place.marshals / max(1, start.voting.back_votes))
    bound = _detection_bound(start, seen, what, size, threshold)
    return PlannedEffect(what, size, miss, needed, bound, miss <= start.stated.miss)


def smallest_detected_size(
    start: ifc.BalancerSettings, analysis: CanaryAnalysis, seen: BaselineTraffic, outcomes: float, what: str
) -> float | None:
    """Return the smallest size of an effect that the rollout detects at the stated miss rate; None if it detects none.

    The arguments are those of `evaluate_effect`.
    """
    for size in WORK_RATIOS if what == WORK else RATE_INCREASES:
        if evaluate_effect(start, analysis, seen, outcomes, what, size).seen:
            return size
    return None


def _overall_failure_rate(seen: BaselineTraffic) -> float:
    return math.fsum(share * rate for share, rate in zip(seen.method_shares, seen.failure_rates, strict=True))


def _speed_weight(seen: BaselineTraffic) -> float:
    return (1.0 - seen.node_correlation) ** 2


def _crossing_probability(steps: StepDistribution, threshold: float, outcomes: float) -> float:
    """Return the probability of a crossing within so many outcomes; long rollouts go on at the last hazard rate."""
    count = math.ceil(outcomes)
    if count <= 0:
        return 0.0
    exact = min(count, MAX_CHAIN_OUTCOMES)
    curve = CusumChain.from_steps(steps, threshold, PLANNED_CELLS).crossing_probabilities(exact)
    end = float(curve[-1])
    if exact == count:
        return end
    half = exact // 2
    hazard_rate = float(curve[-1] - curve[half]) / max(1e-300, 1.0 - float(curve[half])) / (exact - half)
    return 1.0 - (1.0 - end) * math.exp(-hazard_rate * (count - exact))


def _charts_of_effect(
    start: ifc.BalancerSettings,
    analysis: CanaryAnalysis,
    seen: BaselineTraffic,
    outcomes: float,
    what: str,
    size: float,
) -> list[tuple[StepDistribution, float]]:
    """Return the charts that an effect moves: their steps and one balancer's outcomes."""
    if what == WORK:
        return [(speed_step_distribution(size, seen.log_duration_spread, _speed_weight(seen)), outcomes)]
    overall = _overall_failure_rate(seen)
    floored_overall = max(MIN_BASELINE_RATE, overall)
    overall_increase = analysis.thresholds.overall_rate_increase
    if what == ALL:
        return [(failure_step_distribution(min(1.0, overall + size), floored_overall, overall_increase), outcomes)]
    index = _method_index(start, what)
    rate = seen.failure_rates[index]
    share = seen.method_shares[index]
    method_steps = failure_step_distribution(min(1.0, rate + size), max(MIN_BASELINE_RATE, rate), FAILURE_RATE_INCREASE)
    mixed_rate = min(1.0, overall + share * size)
    overall_steps = failure_step_distribution(mixed_rate, floored_overall, overall_increase)
    return [(method_steps, outcomes * share), (overall_steps, outcomes)]


def _needed_outcomes(steps: StepDistribution, threshold: float, outcomes: float, chart_outcomes: float) -> float:
    """Return the expected time to the alarm of one chart, in outcomes of the balancer over all methods."""
    mean, _ = mean_and_conjugate_root(steps)
    if mean > 0.0:
        return siegmund_average_run_length(steps, threshold) * outcomes / max(1e-9, chart_outcomes)
    return math.inf


def _detection_bound(
    start: ifc.BalancerSettings, seen: BaselineTraffic, what: str, size: float, threshold: float
) -> float:
    """Return the fewest outcomes, over all methods, that any test of this false-alarm rate needs for an effect."""
    if what == WORK:
        shift = math.log(size) / seen.log_duration_spread
        return threshold / max(1e-12, 0.5 * shift * shift)
    if what == ALL:
        return _lorden_bound(size, max(MIN_BASELINE_RATE, _overall_failure_rate(seen)), threshold)
    index = _method_index(start, what)
    bound = _lorden_bound(size, max(MIN_BASELINE_RATE, seen.failure_rates[index]), threshold)
    return bound / max(1e-9, seen.method_shares[index])


def _lorden_bound(increase: float, baseline_rate: float, threshold: float) -> float:
    """Return Lorden's bound: no rule with this run length to a false alarm needs fewer outcomes.

    That is the threshold over the Kullback-Leibler divergence of the raised failure rate from the baseline's.
    """
    raised_rate = min(1.0 - 1e-9, baseline_rate + increase)
    baseline_rate = min(1.0 - 1e-9, max(1e-9, baseline_rate))
    divergence = raised_rate * math.log(raised_rate / baseline_rate) + (1.0 - raised_rate) * math.log(
        (1.0 - raised_rate) / (1.0 - baseline_rate)
    )
    return threshold / max(1e-12, divergence)


def _method_index(start: ifc.BalancerSettings, name: str) -> int:
    return [method.name for method in start.methods].index(name)
