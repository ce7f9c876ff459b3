"""Records of the settings that a balancer gets at its start: methods, tenants, limits, voting, rollout and costs.

Times are milliseconds (float), rates are per second, shares lie between 0 and 1. `balancer_settings_reader` fills these
records in; nothing here decides anything. msgspec writes them by their fields' names into stored records of verdicts:
a field keeps its name, however it reads. Fields that are listed without a meaning are stored only: no decision reads
them, and the setting of that name is explained where settings are.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.enumerations import DedupScope, Idempotency, LoadMetric, PromotionGate


@dataclass(frozen=True, slots=True)
class Method:
    """One RPC method.

    Attributes:
        name: As clients send it.
        repeat: Whether an RPC may be executed more than once.
        group: The nodes that recognise a repeated idempotency token.
        token_ms: How long they recognise it.
        soft_ms: Soft deadline: an answer past it is late.
        hard_ms: Hard deadline: the longest that an RPC may take.
        utility: Setting `worth`.
        late_utility: Setting `lateWorth`.
        soft_stretch: What each millisecond of an RPC's estimated cost adds to its soft deadline, in milliseconds.
        streamed: Setting `stream`.
    """

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
    """One tenant: its share of the load and its allowance of RPCs per second."""

    name: str
    share: float
    rate: float


@dataclass(frozen=True, slots=True)
class FleetPosition:
    """The place of this balancer in the fleet: its zone's index and its number among `marshals` balancers, from 0."""

    zone: int
    ordinal: int
    marshals: int


@dataclass(frozen=True, slots=True)
class AllowedActions:
    """The actions that this balancer may take, and their bounds.

    Attributes:
        cancel: Setting `cancel`.
        probes: Setting `probes`.
        second_copies: Whether a second pick may be sent while the first is under way.
        peers: Setting `peers`.
        come_back: Whether a push back may name a time after which to retry.
        come_back_ms: The longest such time.
        max_picks: Picks of one RPC.
        max_open: RPCs without an answer.
        list_on_request: Setting `registryMode`.
    """

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
    """Limits of the rules that all balancers have to keep.

    Attributes:
        answer_slack_ms: Setting `answerSlackUs`.
        ask_within_ms: Setting `askWithinUs`.
        cold_share: Share of its capacity that a node has as it starts.
        warm_ms: After this a node has all of its capacity.
        drain_grace_ms: How long picks may go on after a drain or a lower cap is known.
        fall_multiple: Load on a cold node, as a multiple of what it can carry, under which it fails.
        fall_ms: How long it bears that load before it fails.
    """

    answer_slack_ms: float
    ask_within_ms: float
    cold_share: float
    warm_ms: float
    drain_grace_ms: float
    fall_multiple: float
    fall_ms: float


@dataclass(frozen=True, slots=True)
class Exposure:
    """How many picks may go to a build on trial within a sliding window.

    Attributes:
        window_ms: Length of the window.
        free: Picks in a window that no cap counts.
        caps: By rollout stage: picks at the build on trial, as a share of all RPCs in the window.
        by_method: Whether each method has a count of its own.
        closed_stages: In so many first stages only idempotent RPCs go to the build on trial.
        one_way: Whether a key that a build on trial served may not go back to an earlier build.
    """

    window_ms: float
    free: float
    caps: tuple[float, ...]
    by_method: bool
    closed_stages: int
    one_way: bool


@dataclass(frozen=True, slots=True)
class Voting:
    """How the balancers vote on a build.

    Attributes:
        gate: What moves a build on to its next stage.
        on_votes: Votes needed to move it on.
        back_votes: Votes needed to roll it back.
        hold_votes: Setting `holdVotes`.
        vote_ms: How long a vote counts.
        answer_ms: How long the answer to a vote is waited for.
        votes_per_s: Rate of votes that the platform accepts.
        dwell_ms: Setting `minDwellUs`.
        step_ms: Setting `movesAfterUs`.
    """

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
    """How a build is rolled out, and what balancers learn of it meanwhile.

    Attributes:
        stage_shares: By stage: share of the nodes that run the new build.
        in_place: Setting `replaceMode`.
        news_ms: Setting `newsPeriodUs`.
        tally_ms: Period of the counts of outcomes; 0: none are sent.
        tally_sample: Share of all picks that is counted.
        disputed_share: Setting `complaintShare`.
        warm_keys: Setting `warmKeys`.
    """

    stage_shares: tuple[float, ...]
    in_place: bool
    news_ms: float
    tally_ms: float
    tally_sample: float
    disputed_share: float
    warm_keys: bool


@dataclass(frozen=True, slots=True)
class Prices:
    """Costs that decisions are weighed by.

    Attributes:
        cross_zone: Of a pick in another zone.
        waste: Setting `waste`.
        probe: Setting `probe`.
        late_fail: Setting `lateFail`.
        delay: Share of utility lost while a good build is not released.
        harm: For each share of utility that a bad build harms.
    """

    cross_zone: float
    waste: float
    probe: float
    late_fail: float
    delay: float
    harm: float


@dataclass(frozen=True, slots=True)
class ErrorRateTargets:
    """Error rates of the verdict on one build, over all balancers together, as its operators state them."""

    false_alarm: float = 0.05  # a good build is rolled back
    miss: float = 0.05  # a bad build is released


@dataclass(frozen=True, slots=True)
class BalancerSettings:
    """All that a balancer knows as it starts.

    Attributes:
        seed: Of its random numbers.
        over_share_utility: Setting `overShareWorth`.
        reports: Metrics in a node's load report, in their order.
        tick_ms: Setting `tickUs`.
    """

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
