"""The configuration of one marshal at a size, worded as its platform words it."""

from __future__ import annotations

from typing import Any

from brookreach.scale.marshal_sizes import Size

MARSHALS = 890  # that stand before the same nodes
ZONES = ("a", "b", "c", "d", "e", "f")
RELEASED_BUILD, NEW_BUILD = 7, 8
VERSION = 41  # of the list of nodes
SOFT_US, HARD_US = 1_000_000, 3_000_000
PERIOD_US = 4_000_000  # that exposure is counted over
IDEMPOTENCY = ("read_like", "idempotency_key", "non_idempotent")  # in turn
STAGE_SHARES = (0.1, 0.75, 1.0)  # of the nodes, that run a new build in each stage
TRIAL_STAGE = 1
MEMORY_MB, SOCKETS = 192, 1024


def method(number: int) -> dict[str, Any]:
    return {
        "name": f"method-{number}",
        "idempotency": IDEMPOTENCY[number % len(IDEMPOTENCY)],
        "dedupScope": "all",
        "windowUs": 5_000_000,
        "aimUs": SOFT_US,
        "hardLimitUs": HARD_US,
        "worth": 1.0,
        "lateWorth": 0.0,
        "stream": False,
    }


def tenant(number: int, tenants: int) -> dict[str, Any]:
    return {"name": f"tenant-{number}", "share": 1.0 / tenants, "allowancePerS": 10.0}


def settings(size: Size) -> dict[str, Any]:
    """All but the sizes is as in deploy/marshal.json, with one vote of each of many marshals."""
    return {
        "allowed": {
            "cancel": True,
            "dialTimeoutUs": 250_000,
            "keepaliveUs": 30_000_000,
            "maxRetryAfterUs": 2_000_000,
            "mostHeld": 20_000,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": True,
            "sendCap": 2,
        },
        "balancers": MARSHALS,
        "classes": [method(number) for number in range(size.methods)],
        "familyInfo": {
            "answerWaitUs": 300_000,
            "ballotTtlUs": 6_000_000,
            "blastPrice": 5.0,
            "capScope": "all",
            "complaintShare": 0.0,
            "countedOverUs": PERIOD_US,
            "delayPrice": 0.45,
            "exposureCaps": [0.1, 1.0, 1.0],
            "forwardOnly": False,
            "gateMode": "share",
            "guardedStages": 0,
            "holdVotes": 0,
            "metricsPeriodUs": 0,
            "minDwellUs": 1_500_000,
            "movesAfterUs": 0,
            "newsPeriodUs": 4_000_000,
            "replaceMode": "in_place",
            "sample": 0.4,
            "stageShare": list(STAGE_SHARES),
            "toAbort": MARSHALS // 4,
            "toAdvance": MARSHALS // 2,
            "uncounted": 3.0,
            "voteAllowance": 300.0,
        },
        "fees": {"crossZone": 0.0, "waste": 0.05, "probe": 0.01, "lateFail": 0.08},
        "guarantees": {
            "answerSlackUs": 20_000,
            "askWithinUs": 10_000_000,
            "coldShare": 0.3,
            "drainGraceUs": 250_000,
            "fallMultiple": 2.5,
            "tipAfterUs": 2_000_000,
            "warmWithinUs": 4_500_000,
        },
        "myZone": 0,
        "ordinal": 0,
        "overShareWorth": 0.1,
        "registryMode": "push",
        "report": {"fields": [], "via": "off"},
        "skus": ["std"],
        "tenants": [tenant(number, size.tenants) for number in range(size.tenants)],
        "tickUs": 5000,
        "zones": list(ZONES),
    }


def member(number: int, address: str, build: int = RELEASED_BUILD, phase: str = "active") -> dict[str, Any]:
    """One node of the list."""
    return {
        "id": f"node-{number}",
        "host_port": address,
        "locality": ZONES[number % len(ZONES)],
        "flavor": "std",
        "cell": number % (4 * len(ZONES)),
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
        "revision_no": build,
    }


def members(size: Size, addresses: list[str]) -> list[dict[str, Any]]:
    """All nodes, on trial none; nodes share `addresses` in turn."""
    return [member(number, addresses[number % len(addresses)]) for number in range(size.nodes)]


def configuration(size: Size, listen: str, discovery: str, platform: str, addresses: list[str]) -> dict[str, Any]:
    """What PROXY_CONFIG names; times in the settings are microseconds."""
    return {
        "name": "m1",
        "listen": listen,
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "deployer": {
            "address": platform,
            "news": {"version": RELEASED_BUILD, "step": 2, "status": "Healthy", "maxWeight": 1.0, "observedAgoMs": 0},
        },
        "known": {"revision": VERSION, "complete": True, "members": members(size, addresses)},
        "settings": settings(size),
    }
