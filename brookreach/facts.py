"""Reads the settings that a marshal is told at its start into `Start`.

Both adapters share it: the simulator's first message and a real marshal's configuration hold the same object.
It owns the settings' names, words and units; it must never decide anything, nor make up a value not told.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, TypeVar

from brookreach import interface as ifc

REPEATS = {"read_like": ifc.Repeat.IDEMPOTENT, "idempotency_key": ifc.Repeat.TOKENED,
           "non_idempotent": ifc.Repeat.NON_IDEMPOTENT}
GROUPS = {"all": ifc.Group.ALL, "zone": ifc.Group.ZONE, "cell": ifc.Group.CELL}
GATES = {"any": ifc.Gate.ANY, "share": ifc.Gate.SHARE, "timer": ifc.Gate.CLOCK}
LOADS = {"busy_reqs": ifc.Load.INFLIGHT, "pending": ifc.Load.QUEUED, "cpu_share": ifc.Load.CPU_SHARE,
         "svc_ms": ifc.Load.SERVICE_MS, "served_ps": ifc.Load.RATE, "failed_ps": ifc.Load.ERROR_RATE}

Meaning = TypeVar("Meaning")


class FactsError(Exception):
    """The settings are not what the users' pages word; the text says where."""


def to_ms(us: float) -> float:
    return us / 1000.0


def _known(words: Mapping[str, Meaning], word: str) -> Meaning:
    if word not in words:
        raise ValueError(f"unknown word {word!r}")
    return words[word]


def start_from(seed: int, told: Mapping[str, Any]) -> ifc.Start:
    try:
        return _start(seed, told)
    except KeyError as error:
        raise FactsError(f"settings lack or misname {error}") from None
    except (TypeError, AttributeError, ValueError) as error:
        raise FactsError(f"settings are malformed: {error}") from None


def _start(seed: int, told: Mapping[str, Any]) -> ifc.Start:
    allowed, family, guarantees, fees = told["allowed"], told["familyInfo"], told["guarantees"], told["fees"]
    methods = tuple(
        ifc.Method(m["name"], _known(REPEATS, m["idempotency"]), _known(GROUPS, m["dedupScope"]),
                   to_ms(m["windowUs"]), to_ms(m["aimUs"]), to_ms(m["hardLimitUs"]), m["worth"],
                   m["lateWorth"], m.get("aimStretch", 0.0), m["stream"])
        for m in told["classes"])
    tenants = tuple(ifc.Tenant(t["name"], t["share"], t["allowancePerS"]) for t in told["tenants"])
    return ifc.Start(
        seed=seed,
        place=ifc.Place(told["myZone"], told["ordinal"], told["balancers"]),
        methods=methods,
        tenants=tenants,
        over_share_utility=told["overShareWorth"],
        permits=ifc.Permits(allowed["cancel"], allowed["probes"], allowed["secondCopies"], allowed["peers"],
                            allowed["retryAfter"], to_ms(allowed["maxRetryAfterUs"]), allowed["sendCap"],
                            allowed["mostHeld"], told["registryMode"] == "ask"),
        guards=ifc.Guards(to_ms(guarantees["answerSlackUs"]), to_ms(guarantees["askWithinUs"]),
                          guarantees["coldShare"], to_ms(guarantees["warmWithinUs"]),
                          to_ms(guarantees["drainGraceUs"]), guarantees["fallMultiple"],
                          to_ms(guarantees["tipAfterUs"])),
        exposure=ifc.Exposure(to_ms(family["countedOverUs"]), family["uncounted"],
                              tuple(family["exposureCaps"]), family["capScope"] == "class",
                              family["guardedStages"], family["forwardOnly"]),
        voting=ifc.Voting(_known(GATES, family["gateMode"]), family["toAdvance"], family["toAbort"],
                          family["holdVotes"], to_ms(family["ballotTtlUs"]),
                          to_ms(family["answerWaitUs"]), family["voteAllowance"],
                          to_ms(family["minDwellUs"]), to_ms(family["movesAfterUs"])),
        rollout=ifc.Rollout(tuple(family["stageShare"]), family["replaceMode"] == "in_place",
                            to_ms(family["newsPeriodUs"]), to_ms(family["metricsPeriodUs"]),
                            family["sample"], family["complaintShare"], family.get("warmKeys", False)),
        prices=ifc.Prices(fees["crossZone"], fees["waste"], fees["probe"], fees["lateFail"],
                          family["delayPrice"], family["blastPrice"]),
        reports=() if told["report"]["via"] == "off" else tuple(
            _known(LOADS, field) for field in told["report"]["fields"]),
        tick_ms=to_ms(told["tickUs"]),
    )
