"""Reads the settings that a marshal is told at its start into `BalancerSettings`.

Both adapters share it: the simulator's first message and a real marshal's configuration hold the same object.
It owns the settings' names, words and units; it must never decide anything, nor make up a value not told.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from brookreach import interface as ifc
from brookreach.settings_object import SettingsError, SettingsObject, abbreviated_repr, parse_choice

IDEMPOTENCY_VALUES = {
    "read_like": ifc.Idempotency.IDEMPOTENT,
    "idempotency_key": ifc.Idempotency.TOKENED,
    "non_idempotent": ifc.Idempotency.NON_IDEMPOTENT,
}
DEDUP_SCOPES = {"all": ifc.DedupScope.ALL, "zone": ifc.DedupScope.ZONE, "cell": ifc.DedupScope.CELL}
GATE_MODES = {"any": ifc.PromotionGate.ANY, "share": ifc.PromotionGate.SHARE, "timer": ifc.PromotionGate.CLOCK}
LOAD_METRICS = {
    "busy_reqs": ifc.LoadMetric.INFLIGHT,
    "pending": ifc.LoadMetric.QUEUED,
    "cpu_share": ifc.LoadMetric.CPU_SHARE,
    "svc_ms": ifc.LoadMetric.SERVICE_MS,
    "served_ps": ifc.LoadMetric.RATE,
    "failed_ps": ifc.LoadMetric.ERROR_RATE,
}
REGISTRY_MODES = {"push": False, "ask": True}
CAP_SCOPES = {"all": False, "class": True}
REPLACE_MODES = {"beside": False, "in_place": True}
REPORT_CHANNELS = {"off": False, "inline": True, "on_probe": True}


def us_to_ms(us: float) -> float:
    return us / 1000.0


def read_balancer_settings(seed: int, told: Mapping[str, Any]) -> ifc.BalancerSettings:
    """The settings as told, in our units; raises SettingsError for the first that is not as agreed."""
    settings = SettingsObject(told, "settings")
    allowed, guards, family = (settings.object(key) for key in ("allowed", "guarantees", "familyInfo"))
    fees, report = settings.object("fees"), settings.object("report")
    fields = report.items("fields") if report.choice("via", REPORT_CHANNELS) else []
    return ifc.BalancerSettings(
        seed=seed,
        place=_place(settings),
        methods=_methods(settings),
        tenants=tuple(
            ifc.Tenant(one.text("name"), one.number("share"), one.number("allowancePerS"))
            for one in settings.objects("tenants")
        ),
        over_share_utility=settings.number("overShareWorth"),
        permits=ifc.AllowedActions(
            allowed.flag("cancel"),
            allowed.flag("probes"),
            allowed.flag("secondCopies"),
            allowed.flag("peers"),
            allowed.flag("retryAfter"),
            allowed.ms_from_us("maxRetryAfterUs"),
            allowed.count("sendCap"),
            allowed.count("mostHeld"),
            settings.choice("registryMode", REGISTRY_MODES),
        ),
        guards=ifc.SafetyLimits(
            guards.ms_from_us("answerSlackUs"),
            guards.ms_from_us("askWithinUs"),
            guards.number("coldShare", 1.0),
            guards.ms_from_us("warmWithinUs"),
            guards.ms_from_us("drainGraceUs"),
            guards.number("fallMultiple"),
            guards.ms_from_us("tipAfterUs"),
        ),
        exposure=_exposure(family),
        voting=ifc.Voting(
            family.choice("gateMode", GATE_MODES),
            family.count("toAdvance"),
            family.count("toAbort"),
            family.count("holdVotes"),
            family.ms_from_us("ballotTtlUs"),
            family.ms_from_us("answerWaitUs"),
            family.number("voteAllowance"),
            family.ms_from_us("minDwellUs"),
            family.ms_from_us("movesAfterUs"),
        ),
        rollout=ifc.RolloutSettings(
            family.numbers("stageShare", 1.0),
            family.choice("replaceMode", REPLACE_MODES),
            family.ms_from_us("newsPeriodUs"),
            family.ms_from_us("metricsPeriodUs"),
            family.number("sample", 1.0),
            family.number("complaintShare", 1.0),
            family.flag("warmKeys") if "warmKeys" in family.values else False,
        ),
        prices=ifc.Prices(
            fees.number("crossZone"),
            fees.number("waste"),
            fees.number("probe"),
            fees.number("lateFail"),
            family.number("delayPrice"),
            family.number("blastPrice"),
        ),
        reports=tuple(
            parse_choice(field, LOAD_METRICS, f"settings.report.fields[{at}]") for at, field in enumerate(fields)
        ),
        tick_ms=settings.ms_from_us("tickUs"),
    )


def _place(settings: SettingsObject) -> ifc.FleetPosition:
    place = ifc.FleetPosition(settings.count("myZone"), settings.count("ordinal"), settings.count("balancers"))
    if place.ordinal >= place.marshals:
        raise settings.invalid("ordinal", f"below settings.balancers, {place.marshals}")
    zones = len(settings.items("zones")) if "zones" in settings.values else 0
    if 0 < zones <= place.zone:
        raise settings.invalid("myZone", f"one of the {zones} settings.zones, counted from 0")
    return place


def _methods(settings: SettingsObject) -> tuple[ifc.Method, ...]:
    seen: dict[str, str] = {}
    methods = []
    for told in settings.objects("classes"):
        name = told.text("name")
        if name in seen:
            raise SettingsError(f"{told.path}.name is {abbreviated_repr(name)}, as {seen[name]}.name is")
        seen[name] = told.path
        methods.append(
            ifc.Method(
                name,
                told.choice("idempotency", IDEMPOTENCY_VALUES),
                told.choice("dedupScope", DEDUP_SCOPES),
                told.ms_from_us("windowUs"),
                told.ms_from_us("aimUs"),
                told.ms_from_us("hardLimitUs"),
                told.number("worth"),
                told.number("lateWorth"),
                told.number("aimStretch") if "aimStretch" in told.values else 0.0,
                told.flag("stream"),
            )
        )
    if not methods:
        raise settings.invalid("classes", "one class or more")
    return tuple(methods)


def _exposure(family: SettingsObject) -> ifc.Exposure:
    caps, stages = family.numbers("exposureCaps", 1.0), len(family.items("stageShare"))
    if not stages:
        raise family.invalid("stageShare", "one stage or more")
    if len(caps) != stages:
        raise family.invalid("exposureCaps", f"one cap for each of the {stages} stages of stageShare")
    return ifc.Exposure(
        family.ms_from_us("countedOverUs"),
        family.number("uncounted"),
        caps,
        family.choice("capScope", CAP_SCOPES),
        family.count("guardedStages"),
        family.flag("forwardOnly"),
    )
