"""What a marshal is told once, at its start: methods, limits of the rules, exposure, voting, prices.

Times are milliseconds (float), rates are per second, shares lie between 0 and 1.
`brookreach.balancer_settings_reader` reads these records from the settings; nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.enumerations import DedupScope, Idempotency, LoadMetric, PromotionGate


@dataclass(frozen=True, slots=True)
class Method:
    name: str
    repeat: Idempotency
    group: DedupScope
    token_ms: float
    soft_ms: float
    hard_ms: float
    utility: float
    late_utility: float
    soft_stretch: float
    streamed: bool


@dataclass(frozen=True, slots=True)
class Tenant:
    name: str
    share: float
    rate: float


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """Where this marshal stands among the others."""

    zone: int
    ordinal: int
    marshals: int


@dataclass(frozen=True, slots=True)
class AllowedActions:
    cancel: bool
    probes: bool
    second_copies: bool
    peers: bool
    come_back: bool
    come_back_ms: float
    max_picks: int
    max_open: int
    list_on_request: bool


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Figures of the rules."""

    answer_slack_ms: float
    ask_within_ms: float
    cold_share: float
    warm_ms: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Exposure:
    window_ms: float
    free: float
    caps: tuple[float, ...]
    by_method: bool
    closed_stages: int
    one_way: bool


@dataclass(frozen=True, slots=True)
class Voting:
    gate: PromotionGate
    on_votes: int
    back_votes: int
    hold_votes: int
    vote_ms: float
    answer_ms: float
    votes_per_s: float
    dwell_ms: float
    step_ms: float


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """How builds are brought in."""

    stage_shares: tuple[float, ...]
    in_place: bool
    news_ms: float
    tally_ms: float
    tally_sample: float
    disputed_share: float
    warm_keys: bool


@dataclass(frozen=True, slots=True)
class Prices:
    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    delay: float
    harm: float


@dataclass(frozen=True, slots=True)
class ErrorRateTargets:
    """The error rates of a whole wave, over all marshals, that its operators state before it."""

    false_alarm: float = 0.05  # a good build is sent back
    miss: float = 0.05  # a bad one is released


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """A marshal's life begins; it knows nothing else."""

    seed: int
    place: FleetPosition
    methods: tuple[Method, ...]
    tenants: tuple[Tenant, ...]
    over_share_utility: float
    permits: AllowedActions
    guards: SafetyLimits
    exposure: Exposure
    voting: Voting
    rollout: RolloutSettings
    prices: Prices
    reports: tuple[LoadMetric, ...]
    tick_ms: float
    stated: ErrorRateTargets = ErrorRateTargets()
