"""Reads the settings that a marshal is told at its start into `BalancerSettings`.

Both adapters share it: the simulator's first message and a real marshal's configuration hold the same object.
It owns the settings' names, words and units; it must never decide anything, nor make up a value not told.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from brookreach import interface as ifc
from brookreach.settings_object import SettingsError, SettingsObject, meaning, shown

REPEATS = {
    "read_like": ifc.Idempotency.IDEMPOTENT,
    "idempotency_key": ifc.Idempotency.TOKENED,
    "non_idempotent": ifc.Idempotency.NON_IDEMPOTENT,
}
GROUPS = {"all": ifc.DedupScope.ALL, "zone": ifc.DedupScope.ZONE, "cell": ifc.DedupScope.CELL}
GATES = {"any": ifc.PromotionGate.ANY, "share": ifc.PromotionGate.SHARE, "timer": ifc.PromotionGate.CLOCK}
LOADS = {
    "busy_reqs": ifc.LoadMetric.INFLIGHT,
    "pending": ifc.LoadMetric.QUEUED,
    "cpu_share": ifc.LoadMetric.CPU_SHARE,
    "svc_ms": ifc.LoadMetric.SERVICE_MS,
    "served_ps": ifc.LoadMetric.RATE,
    "failed_ps": ifc.LoadMetric.ERROR_RATE,
}
LISTS_ON_REQUEST = {"push": False, "ask": True}
CAPS_BY_METHOD = {"all": False, "class": True}
IN_PLACE = {"beside": False, "in_place": True}
REPORTED = {"off": False, "inline": True, "on_probe": True}


def to_ms(us: float) -> float:
    return us / 1000.0


def read_balancer_settings(seed: int, told: Mapping[str, Any]) -> ifc.BalancerSettings:
    """The settings as told, in our units; raises SettingsError for the first that is not as agreed."""
    settings = SettingsObject(told, "settings")
    allowed, guards, family = (settings.object(key) for key in ("allowed", "guarantees", "familyInfo"))
    fees, report = settings.object("fees"), settings.object("report")
    fields = report.items("fields") if report.word("via", REPORTED) else []
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
            allowed.ms("maxRetryAfterUs"),
            allowed.count("sendCap"),
            allowed.count("mostHeld"),
            settings.word("registryMode", LISTS_ON_REQUEST),
        ),
        guards=ifc.SafetyLimits(
            guards.ms("answerSlackUs"),
            guards.ms("askWithinUs"),
            guards.number("coldShare", 1.0),
            guards.ms("warmWithinUs"),
            guards.ms("drainGraceUs"),
            guards.number("fallMultiple"),
            guards.ms("tipAfterUs"),
        ),
        exposure=_exposure(family),
        voting=ifc.Voting(
            family.word("gateMode", GATES),
            family.count("toAdvance"),
            family.count("toAbort"),
            family.count("holdVotes"),
            family.ms("ballotTtlUs"),
            family.ms("answerWaitUs"),
            family.number("voteAllowance"),
            family.ms("minDwellUs"),
            family.ms("movesAfterUs"),
        ),
        rollout=ifc.RolloutSettings(
            family.numbers("stageShare", 1.0),
            family.word("replaceMode", IN_PLACE),
            family.ms("newsPeriodUs"),
            family.ms("metricsPeriodUs"),
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
        reports=tuple(meaning(field, LOADS, f"settings.report.fields[{at}]") for at, field in enumerate(fields)),
        tick_ms=settings.ms("tickUs"),
    )


def _place(settings: SettingsObject) -> ifc.FleetPosition:
    place = ifc.FleetPosition(settings.count("myZone"), settings.count("ordinal"), settings.count("balancers"))
    if place.ordinal >= place.marshals:
        raise settings.wrong("ordinal", f"below settings.balancers, {place.marshals}")
    zones = len(settings.items("zones")) if "zones" in settings.values else 0
    if 0 < zones <= place.zone:
        raise settings.wrong("myZone", f"one of the {zones} settings.zones, counted from 0")
    return place


def _methods(settings: SettingsObject) -> tuple[ifc.Method, ...]:
    seen: dict[str, str] = {}
    methods = []
    for told in settings.objects("classes"):
        name = told.text("name")
        if name in seen:
            raise SettingsError(f"{told.path}.name is {shown(name)}, as {seen[name]}.name is")
        seen[name] = told.path
        methods.append(
            ifc.Method(
                name,
                told.word("idempotency", REPEATS),
                told.word("dedupScope", GROUPS),
                told.ms("windowUs"),
                told.ms("aimUs"),
                told.ms("hardLimitUs"),
                told.number("worth"),
                told.number("lateWorth"),
                told.number("aimStretch") if "aimStretch" in told.values else 0.0,
                told.flag("stream"),
            )
        )
    if not methods:
        raise settings.wrong("classes", "one class or more")
    return tuple(methods)


def _exposure(family: SettingsObject) -> ifc.Exposure:
    caps, stages = family.numbers("exposureCaps", 1.0), len(family.items("stageShare"))
    if not stages:
        raise family.wrong("stageShare", "one stage or more")
    if len(caps) != stages:
        raise family.wrong("exposureCaps", f"one cap for each of the {stages} stages of stageShare")
    return ifc.Exposure(
        family.ms("countedOverUs"),
        family.number("uncounted"),
        caps,
        family.word("capScope", CAPS_BY_METHOD),
        family.count("guardedStages"),
        family.flag("forwardOnly"),
    )
