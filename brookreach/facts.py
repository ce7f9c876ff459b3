"""Reads the settings that a marshal is told at its start into `Start`.

Both adapters share it: the simulator's first message and a real marshal's configuration hold the same object.
It owns the settings' names, words and units; it must never decide anything, nor make up a value not told.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

from brookreach import interface as ifc

REPEATS = {
    "read_like": ifc.Repeat.IDEMPOTENT,
    "idempotency_key": ifc.Repeat.TOKENED,
    "non_idempotent": ifc.Repeat.NON_IDEMPOTENT,
}
GROUPS = {"all": ifc.Group.ALL, "zone": ifc.Group.ZONE, "cell": ifc.Group.CELL}
GATES = {"any": ifc.Gate.ANY, "share": ifc.Gate.SHARE, "timer": ifc.Gate.CLOCK}
LOADS = {
    "busy_reqs": ifc.Load.INFLIGHT,
    "pending": ifc.Load.QUEUED,
    "cpu_share": ifc.Load.CPU_SHARE,
    "svc_ms": ifc.Load.SERVICE_MS,
    "served_ps": ifc.Load.RATE,
    "failed_ps": ifc.Load.ERROR_RATE,
}
LISTS_ON_REQUEST = {"push": False, "ask": True}
CAPS_BY_METHOD = {"all": False, "class": True}
IN_PLACE = {"beside": False, "in_place": True}
REPORTED = {"off": False, "inline": True, "on_probe": True}
SHOWN = 60  # characters of a value that is not as agreed

Meaning = TypeVar("Meaning")


class FactsError(Exception):
    """The settings are not what the users' pages word; the text says where, and what stands there."""


def to_ms(us: float) -> float:
    return us / 1000.0


def _shown(value: object) -> str:
    text = repr(value)
    return text if len(text) <= SHOWN else text[:SHOWN] + "..."


class Told:
    """One object of the settings and the path to it. What is read is as agreed, or raises FactsError."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, Mapping):
            raise FactsError(f"{path} is {_shown(value)}, not an object")
        self.values: Mapping[str, Any] = value
        self.path = path

    def wrong(self, key: str, wanted: str) -> FactsError:
        return FactsError(f"{self.path}.{key} is {_shown(self.values[key])}, not {wanted}")

    def value(self, key: str) -> Any:
        if key not in self.values:
            whole, _, within = self.path.partition(".")
            lack = "lack or misname" if whole.endswith("s") else "lacks or misnames"
            raise FactsError(f"{whole} {lack} {(within and within + '.') + key!r}")
        return self.values[key]

    def object(self, key: str) -> Told:
        return Told(self.value(key), f"{self.path}.{key}")

    def items(self, key: str) -> list[Any]:
        value = self.value(key)
        if not isinstance(value, list):
            raise self.wrong(key, "a list")
        return value

    def objects(self, key: str) -> list[Told]:
        return [Told(item, f"{self.path}.{key}[{at}]") for at, item in enumerate(self.items(key))]

    def number(self, key: str, most: float = math.inf) -> float:
        """From 0 to `most`; what JSON can't hold but Python reads, NaN and infinities, is none."""
        value = self.value(key)
        if not _is_number(value, most):
            raise self.wrong(key, "a number" + _range(most))
        return float(value)

    def ms(self, key: str) -> float:
        """A time that is told in microseconds."""
        return to_ms(self.number(key))

    def count(self, key: str, most: float = math.inf) -> int:
        value = self.value(key)
        if not _is_number(value, most) or value != int(value):
            raise self.wrong(key, "a whole number" + _range(most))
        return int(value)

    def numbers(self, key: str, most: float) -> tuple[float, ...]:
        items = self.items(key)
        for at, item in enumerate(items):
            if not _is_number(item, most):
                raise FactsError(f"{self.path}.{key}[{at}] is {_shown(item)}, not a number" + _range(most))
        return tuple(float(item) for item in items)

    def texts(self, key: str) -> list[str]:
        items = self.items(key)
        for at, item in enumerate(items):
            if not isinstance(item, str):
                raise FactsError(f"{self.path}.{key}[{at}] is {_shown(item)}, not a text")
        return items

    def flag(self, key: str) -> bool:
        value = self.value(key)
        if not isinstance(value, bool):
            raise self.wrong(key, "true or false")
        return value

    def text(self, key: str) -> str:
        value = self.value(key)
        if not isinstance(value, str) or not value:
            raise self.wrong(key, "a text")
        return value

    def word(self, key: str, words: Mapping[str, Meaning]) -> Meaning:
        return _meaning(self.value(key), words, f"{self.path}.{key}")


def _range(most: float) -> str:
    return " from 0 up" if most == math.inf else f" from 0 to {most:g}"


def _is_number(value: object, most: float) -> bool:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return False
    return 0 <= value <= min(most, 1e300)  # false also for what is not a number


def _meaning(word: object, words: Mapping[str, Meaning], path: str) -> Meaning:
    if not isinstance(word, str) or word not in words:
        raise FactsError(f"{path} is {_shown(word)}, an unknown word; known: {', '.join(words)}")
    return words[word]


def start_from(seed: int, told: Mapping[str, Any]) -> ifc.Start:
    """The settings as told, in our units; raises FactsError for the first that is not as agreed."""
    settings = Told(told, "settings")
    allowed, guards, family = (settings.object(key) for key in ("allowed", "guarantees", "familyInfo"))
    fees, report = settings.object("fees"), settings.object("report")
    fields = report.items("fields") if report.word("via", REPORTED) else []
    return ifc.Start(
        seed=seed,
        place=_place(settings),
        methods=_methods(settings),
        tenants=tuple(
            ifc.Tenant(one.text("name"), one.number("share"), one.number("allowancePerS"))
            for one in settings.objects("tenants")
        ),
        over_share_utility=settings.number("overShareWorth"),
        permits=ifc.Permits(
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
        guards=ifc.Guards(
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
        rollout=ifc.Rollout(
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
        reports=tuple(_meaning(field, LOADS, f"settings.report.fields[{at}]") for at, field in enumerate(fields)),
        tick_ms=settings.ms("tickUs"),
    )


def _place(settings: Told) -> ifc.Place:
    place = ifc.Place(settings.count("myZone"), settings.count("ordinal"), settings.count("balancers"))
    if place.ordinal >= place.marshals:
        raise settings.wrong("ordinal", f"below settings.balancers, {place.marshals}")
    zones = len(settings.items("zones")) if "zones" in settings.values else 0
    if 0 < zones <= place.zone:
        raise settings.wrong("myZone", f"one of the {zones} settings.zones, counted from 0")
    return place


def _methods(settings: Told) -> tuple[ifc.Method, ...]:
    seen: dict[str, str] = {}
    methods = []
    for told in settings.objects("classes"):
        name = told.text("name")
        if name in seen:
            raise FactsError(f"{told.path}.name is {_shown(name)}, as {seen[name]}.name is")
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


def _exposure(family: Told) -> ifc.Exposure:
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
