"""Reads the settings that a balancer gets at its start into `BalancerSettings`.

Both adapters share it: the simulator's first message and a real balancer's configuration hold the same object. It owns
the names, the choices and the units of the settings. It must never decide anything, nor fill in a required value that
is missing.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from brookreach.balancer_settings import (
    AllowedActions,
    BalancerSettings,
    Exposure,
    FleetPosition,
    Method,
    Prices,
    RolloutSettings,
    SafetyLimits,
    Tenant,
    Voting,
)
from brookreach.enumerations import DedupScope, Idempotency, LoadMetric, PromotionGate
from brookreach.settings_object import US_PER_MS, SettingsError, SettingsObject, abbreviated_repr, parse_choice

IDEMPOTENCY_VALUES = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.TOKENED,
    "non_idempotent": Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": DedupScope.ALL, "zone": DedupScope.ZONE, "cell": DedupScope.CELL}
GATE_MODES = {"any": PromotionGate.ANY, "share": PromotionGate.SHARE, "timer": PromotionGate.CLOCK}
LOAD_METRICS = {
    "busy_reqs": LoadMetric.INFLIGHT,
    "pending": LoadMetric.QUEUED,
    "cpu_share": LoadMetric.CPU_SHARE,
    "svc_ms": LoadMetric.SERVICE_MS,
    "served_ps": LoadMetric.RATE,
    "failed_ps": LoadMetric.ERROR_RATE,
}
REGISTRY_MODES = {"push": False, "ask": True}  # whether the list of nodes has to be asked for
CAP_SCOPES = {"all": False, "class": True}  # whether each method has a cap of its own
REPLACE_MODES = {"beside": False, "in_place": True}  # whether nodes are replaced in place
REPORT_CHANNELS = {"off": False, "inline": True, "on_probe": True}  # whether nodes report their load

MAX_SHARE = 1.0
DEFAULT_SOFT_STRETCH = 0.0  # where `aimStretch` is left out
DEFAULT_WARM_KEYS = False  # where `warmKeys` is left out


def us_to_ms(us: float) -> float:
    """Returns a time in milliseconds that the protocol gives in microseconds."""
    return us / US_PER_MS


def read_balancer_settings(seed: int, values: Mapping[str, Any]) -> BalancerSettings:
    """Returns the settings in the interface's units; raises SettingsError for the first value that is not valid."""
    settings = SettingsObject(values, "settings")
    allowed = settings.object("allowed")
    guarantees = settings.object("guarantees")
    family = settings.object("familyInfo")
    fees = settings.object("fees")
    report = settings.object("report")
    metric_names = report.items("fields") if report.choice("via", REPORT_CHANNELS) else []
    return BalancerSettings(
        seed=seed,
        place=_read_position(settings),
        methods=_read_methods(settings),
        tenants=tuple(_read_tenant(tenant) for tenant in settings.objects("tenants")),
        over_share_utility=settings.number("overShareWorth"),
        permits=_read_allowed_actions(allowed, settings),
        guards=_read_safety_limits(guarantees),
        exposure=_read_exposure(family),
        voting=_read_voting(family),
        rollout=_read_rollout(family),
        prices=_read_prices(fees, family),
        reports=tuple(
            parse_choice(name, LOAD_METRICS, f"settings.report.fields[{index}]")
            for index, name in enumerate(metric_names)
        ),
        tick_ms=settings.ms_from_us("tickUs"),
    )


def _read_position(settings: SettingsObject) -> FleetPosition:
    position = FleetPosition(
        zone=settings.count("myZone"),
        ordinal=settings.count("ordinal"),
        marshals=settings.count("balancers"),
    )
    if position.ordinal >= position.marshals:
        raise settings.invalid("ordinal", f"below settings.balancers, {position.marshals}")
    zones = len(settings.items("zones")) if "zones" in settings.values else 0
    if 0 < zones <= position.zone:
        raise settings.invalid("myZone", f"one of the {zones} settings.zones, counted from 0")
    return position


def _read_methods(settings: SettingsObject) -> tuple[Method, ...]:
    paths: dict[str, str] = {}  # by name
    methods = []
    for entry in settings.objects("classes"):
        name = entry.text("name")
        if name in paths:
            raise SettingsError(f"{entry.path}.name is {abbreviated_repr(name)}, as {paths[name]}.name is")
        paths[name] = entry.path
        methods.append(_read_method(name, entry))
    if not methods:
        raise settings.invalid("classes", "one class or more")
    return tuple(methods)


def _read_method(name: str, entry: SettingsObject) -> Method:
    return Method(
        name=name,
        repeat=entry.choice("idempotency", IDEMPOTENCY_VALUES),
        group=entry.choice("dedupScope", DEDUP_SCOPES),
        token_ms=entry.ms_from_us("windowUs"),
        soft_ms=entry.ms_from_us("aimUs"),
        hard_ms=entry.ms_from_us("hardLimitUs"),
        utility=entry.number("worth"),
        late_utility=entry.number("lateWorth"),
        soft_stretch=entry.number("aimStretch") if "aimStretch" in entry.values else DEFAULT_SOFT_STRETCH,
        streamed=entry.flag("stream"),
    )


def _read_tenant(entry: SettingsObject) -> Tenant:
    return Tenant(name=entry.text("name"), share=entry.number("share"), rate=entry.number("allowancePerS"))


def _read_allowed_actions(allowed: SettingsObject, settings: SettingsObject) -> AllowedActions:
    return AllowedActions(
        cancel=allowed.flag("cancel"),
        probes=allowed.flag("probes"),
        second_copies=allowed.flag("secondCopies"),
        peers=allowed.flag("peers"),
        come_back=allowed.flag("retryAfter"),
        come_back_ms=allowed.ms_from_us("maxRetryAfterUs"),
        max_picks=allowed.count("sendCap"),
        max_open=allowed.count("mostHeld"),
        list_on_request=settings.choice("registryMode", REGISTRY_MODES),
    )


def _read_safety_limits(guarantees: SettingsObject) -> SafetyLimits:
    return SafetyLimits(
        answer_slack_ms=guarantees.ms_from_us("answerSlackUs"),
        ask_within_ms=guarantees.ms_from_us("askWithinUs"),
        cold_share=guarantees.number("coldShare", MAX_SHARE),
        warm_ms=guarantees.ms_from_us("warmWithinUs"),
        drain_grace_ms=guarantees.ms_from_us("drainGraceUs"),
        fall_multiple=guarantees.number("fallMultiple"),
        fall_ms=guarantees.ms_from_us("tipAfterUs"),
    )


def _read_exposure(family: SettingsObject) -> Exposure:
    caps = family.numbers("exposureCaps", MAX_SHARE)
    stages = len(family.items("stageShare"))
    if not stages:
        raise family.invalid("stageShare", "one stage or more")
    if len(caps) != stages:
        raise family.invalid("exposureCaps", f"one cap for each of the {stages} stages of stageShare")
    return Exposure(
        window_ms=family.ms_from_us("countedOverUs"),
        free=family.number("uncounted"),
        caps=caps,
        by_method=family.choice("capScope", CAP_SCOPES),
        closed_stages=family.count("guardedStages"),
        one_way=family.flag("forwardOnly"),
    )


def _read_voting(family: SettingsObject) -> Voting:
    return Voting(
        gate=family.choice("gateMode", GATE_MODES),
        on_votes=family.count("toAdvance"),
        back_votes=family.count("toAbort"),
        hold_votes=family.count("holdVotes"),
        vote_ms=family.ms_from_us("ballotTtlUs"),
        answer_ms=family.ms_from_us("answerWaitUs"),
        votes_per_s=family.number("voteAllowance"),
        dwell_ms=family.ms_from_us("minDwellUs"),
        step_ms=family.ms_from_us("movesAfterUs"),
    )


def _read_rollout(family: SettingsObject) -> RolloutSettings:
    return RolloutSettings(
        stage_shares=family.numbers("stageShare", MAX_SHARE),
        in_place=family.choice("replaceMode", REPLACE_MODES),
        news_ms=family.ms_from_us("newsPeriodUs"),
        tally_ms=family.ms_from_us("metricsPeriodUs"),
        tally_sample=family.number("sample", MAX_SHARE),
        disputed_share=family.number("complaintShare", MAX_SHARE),
        warm_keys=family.flag("warmKeys") if "warmKeys" in family.values else DEFAULT_WARM_KEYS,
    )


def _read_prices(fees: SettingsObject, family: SettingsObject) -> Prices:
    return Prices(
        cross_zone=fees.number("crossZone"),
        waste=fees.number("waste"),
        probe=fees.number("probe"),
        late_fail=fees.number("lateFail"),
        delay=family.number("delayPrice"),
        harm=family.number("blastPrice"),
    )
