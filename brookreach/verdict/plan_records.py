"""What the plan of a rollout is made from and what it promises; the validation of what it is made from."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from typing import Any

from brookreach import interface as ifc

MAX_BALANCERS = 100_000
MAX_METHODS = 1000
MAX_STAGES = 100
MAX_STATED_RATE = 0.5
MAX_PRICE = 1e6
MAX_RPCS_PER_S = 1e7
MAX_SPREAD = 10.0  # of the log of durations
MAX_NODE_CORRELATION = 0.8
SHARES_TOLERANCE = 1e-3  # by which the methods' shares may miss 1


class PlanError(ValueError):
    """No rollout can have this value; the text names the field, what it holds and what is allowed."""


@dataclass(frozen=True)
class BaselineTraffic:
    """What one balancer sees of the baseline build before a rollout.

    Attributes:
        rpcs_per_s: The RPCs that the balancer receives.
        method_shares: The methods' shares of them, adding up to 1.
        failure_rates: Of each method.
        log_duration_spread: The standard deviation of the log of durations.
        node_correlation: The correlation of the durations of one node.
    """

    rpcs_per_s: float
    method_shares: tuple[float, ...]
    failure_rates: tuple[float, ...]
    log_duration_spread: float = 0.6
    node_correlation: float = 0.05


@dataclass(frozen=True)
class PlannedStage:
    """One stage as planned. The fields are printed as JSON.

    Attributes:
        share: The candidate's share of the nodes.
        least_ms: The shortest time to the vote for promotion.
        most_ms: The longest, for a build without evidence against it.
        outcomes: Of the candidate that one balancer sees by then.
    """

    share: float
    least_ms: float
    most_ms: float
    outcomes: float


@dataclass(frozen=True)
class PlannedEffect:
    """One way in which a build can be bad, and what becomes of it. The fields are printed as JSON.

    Attributes:
        what: "all", "work" or a method's name.
        size: By how much the failure rate is raised, or the ratio of the work.
        miss: The probability that the build is released.
        outcomes: Expected to the alarm of the best chart, in outcomes of one balancer.
        bound: The fewest that any test of this false-alarm rate would need (Lorden).
        seen: Whether `miss` lies within the stated miss rate.
    """

    what: str
    size: float
    miss: float
    outcomes: float
    bound: float
    seen: bool


@dataclass(frozen=True)
class Plan:
    """All that is promised of one rollout. The fields are printed as JSON.

    Attributes:
        stated: The error rates that the operators state.
        marshals: How many balancers there are.
        threshold: Of a balancer's speed charts.
        failing_threshold: Of a balancer's failures charts.
        tally_threshold: Of the charts of the fleet's outcome counts.
        rise: The effect size of the failures charts over all methods.
        trust: The log odds for a build that a vote for promotion needs.
        stages: In order.
        false_alarm: The probability that a build like the baseline is rejected.
        false_alarm_bound: Wald's bound of it.
        effects: What becomes of bad builds.
        least: By effect: the smallest size that is detected at the stated miss rate; None for none.
        limits: What can't be promised, for people.
    """

    stated: ifc.ErrorRateTargets
    marshals: int
    threshold: float
    failing_threshold: float
    tally_threshold: float
    rise: float
    trust: float
    stages: tuple[PlannedStage, ...]
    false_alarm: float
    false_alarm_bound: float
    effects: tuple[PlannedEffect, ...]
    least: dict[str, float | None]
    limits: tuple[str, ...]

    def to_builtins(self) -> dict[str, Any]:
        """Return the plan as plain values, for JSON. Any: each field has its own type."""
        return asdict(self)


def validate_number(name: str, value: float, low: float, high: float, open_low: bool = False) -> None:
    """Check a number.

    Args:
        name: Names it in the error.
        value: The number.
        low: The smallest that is allowed.
        high: The largest that is allowed.
        open_low: `low` itself is not allowed.

    Raises:
        PlanError: `value` is not finite or lies outside.
    """
    is_finite = isinstance(value, int | float) and math.isfinite(value)
    if not is_finite or not low <= value <= high or (open_low and value == low):
        raise PlanError(f"{name}: {value!r}; from {low:g}{' (not itself)' if open_low else ''} to {high:g} is allowed")


def validate(start: ifc.BalancerSettings, seen: BaselineTraffic) -> None:
    """Check the settings and the traffic that a plan is made from.

    Raises:
        PlanError: At the first value that no rollout can have.
    """
    if not 1 <= len(start.methods) <= MAX_METHODS:
        raise PlanError(f"methods: {len(start.methods)}; 1 to {MAX_METHODS} are allowed")
    validate_number("marshals", start.place.marshals, 1, MAX_BALANCERS)
    validate_number("stated.false_alarm", start.stated.false_alarm, 0.0, MAX_STATED_RATE, True)
    validate_number("stated.miss", start.stated.miss, 0.0, MAX_STATED_RATE, True)
    _validate_stages(start.rollout.stage_shares)
    for index, cap in enumerate(start.exposure.caps):
        validate_number(f"caps[{index}]", cap, 0.0, 1.0)
    validate_number("prices.delay", start.prices.delay, 0.0, MAX_PRICE)
    validate_number("prices.harm", start.prices.harm, 0.0, MAX_PRICE)
    _validate_traffic(seen, len(start.methods))


def _validate_stages(shares: tuple[float, ...]) -> None:
    if not 1 <= len(shares) <= MAX_STAGES:
        raise PlanError(f"stage_shares: {len(shares)}; 1 to {MAX_STAGES} are allowed")
    for index, share in enumerate(shares):
        validate_number(f"stage_shares[{index}]", share, 0.0, 1.0)
    if sorted(shares) != list(shares):
        raise PlanError(f"stage_shares: {shares}; no stage may hold less than the one before")
    if max(shares) == 0.0:
        raise PlanError("stage_shares: all are 0; a build that nobody gets can't be judged")


def _validate_traffic(seen: BaselineTraffic, methods: int) -> None:
    validate_number("rpcs_per_s", seen.rpcs_per_s, 0.0, MAX_RPCS_PER_S, True)
    validate_number("spread", seen.log_duration_spread, 0.0, MAX_SPREAD, True)
    validate_number("alike", seen.node_correlation, 0.0, MAX_NODE_CORRELATION)
    for name, values in (("shares", seen.method_shares), ("failures", seen.failure_rates)):
        if len(values) != methods:
            raise PlanError(f"{name}: {len(values)} values for {methods} methods")
        for index, value in enumerate(values):
            validate_number(f"{name}[{index}]", value, 0.0, 1.0)
    total = math.fsum(seen.method_shares)
    if abs(total - 1.0) > SHARES_TOLERANCE:
        raise PlanError(f"shares: they add up to {total:.4g}; 1 is needed")
