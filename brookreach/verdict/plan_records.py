"""What a plan of a wave is made from and what it promises; the check of the facts it is made from."""

from __future__ import annotations

import math
from dataclasses import asdict, dataclass
from typing import Any

from brookreach import interface as ifc

MAX_BALANCERS = 100_000
MAX_METHODS = 1000
MAX_STAGES = 100


class PlanError(ValueError):
    """Facts that no wave can have; the text names the field, what it holds and what is allowed."""


@dataclass(frozen=True)
class BaselineTraffic:
    """What a marshal sees of the earlier build before a wave."""

    rpcs_per_s: float  # of one marshal
    method_shares: tuple[float, ...]  # of the methods, adding up to 1
    failure_rates: tuple[float, ...]  # of each method on the earlier build
    log_duration_spread: float = 0.6  # of log times
    node_correlation: float = 0.05  # how alike times of one node are


@dataclass(frozen=True)
class PlannedStage:
    """One stage as planned: its share, its time, what one marshal sees of the build in it."""

    share: float
    least_ms: float
    most_ms: float
    outcomes: float


@dataclass(frozen=True)
class PlannedEffect:
    """One way in which a build can be bad, and what becomes of it."""

    what: str
    size: float
    miss: float  # chance that it is released
    outcomes: float  # of one marshal, expected to the alarm of its best chart
    bound: float  # the least that any test with this false alarm would need (Lorden)
    seen: bool  # within the stated miss


@dataclass(frozen=True)
class Plan:
    """All that is promised of one wave."""

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
        """As plain values, for JSON."""
        return asdict(self)


def validate_number(name: str, value: float, low: float, high: float, open_low: bool = False) -> None:
    """Raises PlanError unless `value` lies from `low` to `high`; `open_low`: `low` itself is not allowed."""
    if (
        not (isinstance(value, int | float) and math.isfinite(value))
        or not low <= value <= high
        or (open_low and value == low)
    ):
        raise PlanError(f"{name}: {value!r}; from {low:g}{' (not itself)' if open_low else ''} to {high:g} is allowed")


def validate(start: ifc.BalancerSettings, seen: BaselineTraffic) -> None:
    """Raises PlanError at the first fact that no wave can have."""
    if not 1 <= len(start.methods) <= MAX_METHODS:
        raise PlanError(f"methods: {len(start.methods)}; 1 to {MAX_METHODS} are allowed")
    validate_number("marshals", start.place.marshals, 1, MAX_BALANCERS)
    validate_number("stated.false_alarm", start.stated.false_alarm, 0.0, 0.5, True)
    validate_number("stated.miss", start.stated.miss, 0.0, 0.5, True)
    if not 1 <= len(start.rollout.stage_shares) <= MAX_STAGES:
        raise PlanError(f"stage_shares: {len(start.rollout.stage_shares)}; 1 to {MAX_STAGES} are allowed")
    for at, share in enumerate(start.rollout.stage_shares):
        validate_number(f"stage_shares[{at}]", share, 0.0, 1.0)
    if sorted(start.rollout.stage_shares) != list(start.rollout.stage_shares):
        raise PlanError(f"stage_shares: {start.rollout.stage_shares}; no stage may hold less than the one before")
    if max(start.rollout.stage_shares) == 0.0:
        raise PlanError("stage_shares: all are 0; a build that nobody gets can't be judged")
    for at, cap in enumerate(start.exposure.caps):
        validate_number(f"caps[{at}]", cap, 0.0, 1.0)
    validate_number("prices.delay", start.prices.delay, 0.0, 1e6)
    validate_number("prices.harm", start.prices.harm, 0.0, 1e6)
    validate_number("rpcs_per_s", seen.rpcs_per_s, 0.0, 1e7, True)
    validate_number("spread", seen.log_duration_spread, 0.0, 10.0, True)
    validate_number("alike", seen.node_correlation, 0.0, 0.8)
    for name, values in (("shares", seen.method_shares), ("failures", seen.failure_rates)):
        if len(values) != len(start.methods):
            raise PlanError(f"{name}: {len(values)} values for {len(start.methods)} methods")
        for at, value in enumerate(values):
            validate_number(f"{name}[{at}]", value, 0.0, 1.0)
    if abs(math.fsum(seen.method_shares) - 1.0) > 1e-3:
        raise PlanError(f"shares: they add up to {math.fsum(seen.method_shares):.4g}; 1 is needed")
