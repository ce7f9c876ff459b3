"""The sample sites of deploy/sites as the settings of a balancer."""

import math
import tomllib
from pathlib import Path

from .helpers import US

SITES = Path(__file__).parent.parent / "deploy" / "sites"
IDEMPOTENCY_WORDS = {"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}
LOAD_METRIC_WORDS = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
REPORT_CHANNEL_WORDS = {"answers": "inline", "probe": "on_probe", "none": "off"}
NAMES = sorted(path.stem for path in SITES.glob("*.toml"))
LOW, HIGH = 0, -1  # the end of each range, or the first and last of each choice
FIXED_LISTS = ("zones", "stages", "fields")  # neither ranges nor choices


def at_end(value, end):
    """Returns the value with each range or choice replaced by what stands at one end. Lists of tables stay lists."""
    if isinstance(value, dict):
        return {key: item if key in FIXED_LISTS else at_end(item, end) for key, item in value.items()}
    if isinstance(value, list):
        return [at_end(item, end) for item in value] if isinstance(value[0], dict) else value[end]
    return value


def read_site(name, end=LOW):
    return at_end(tomllib.loads((SITES / f"{name}.toml").read_text()), end)


def us_from_ms(ms):
    return round(ms * US)


def method_settings(method):
    """Returns a [[class]] as the settings have it."""
    return {
        "name": method["name"],
        "idempotency": IDEMPOTENCY_WORDS[method["effect"]],
        "dedupScope": method.get("group", "all"),
        "windowUs": us_from_ms(method.get("window_ms", 5000)),
        "aimUs": us_from_ms(method["aim_ms"]),
        "hardLimitUs": us_from_ms(method["deadline_ms"]),
        "worth": float(method["worth"]),
        "lateWorth": float(method.get("late_worth", 0.0)),
        "stream": method.get("stream", False),
    }


def votes_needed(share, balancers):
    return max(1, math.ceil(share * balancers))


def family_settings(family, balancers):
    """Returns the table [fam] as the settings have it."""
    timer = family["control"] == "timer"
    return {
        "gateMode": family["control"],
        "replaceMode": family["style"],
        "stageShare": family["stages"],
        "exposureCaps": [min(1.0, share * family["slack"]) for share in family["stages"]],
        "toAdvance": 0 if timer else votes_needed(family.get("on_votes", 0.6), balancers),
        "holdVotes": votes_needed(family["hold_votes"], balancers) if timer else 0,
        "toAbort": votes_needed(family["back_votes"], balancers),
        "ballotTtlUs": us_from_ms(1000 * family["vote_life_s"]),
        "minDwellUs": us_from_ms(1000 * family["bake_s"]),
        "movesAfterUs": us_from_ms(1000 * family["step_s"]) if timer else 0,
        "newsPeriodUs": us_from_ms(1000 * family["push_s"]),
        "metricsPeriodUs": us_from_ms(1000 * family["tally_s"]),
        "sample": family["tally_sample"],
        "complaintShare": family["flag_share"],
        "answerWaitUs": us_from_ms(family["call_timeout_ms"]),
        "voteAllowance": float(family["calls_per_s"]),
        "delayPrice": family["behind_price"],
        "blastPrice": float(family["harm_price"]),
        "countedOverUs": us_from_ms(1000 * family["window_s"]),
        "uncounted": float(family["free"]),
        "capScope": family["counts"],
        "guardedStages": family["guarded_stages"],
        "forwardOnly": family["one_way"],
    }


def settings_of(site):
    """Returns the settings that a balancer of this site gets."""
    tier = site["tier"][0]
    allow, conn, kinds, report = site["allow"], tier["conn"], tier["kind"], tier["report"]
    rules, balancers = site["rules"], int(site["scale"]["balancers"])
    return {
        "allowed": {
            "cancel": allow["cancel"],
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": us_from_ms(allow["cpu_ms_per_s"]),
            "dialTimeoutUs": us_from_ms(conn["connect_timeout_ms"]),
            "keepaliveUs": us_from_ms(1000 * conn["idle_s"]),
            "maxRetryAfterUs": us_from_ms(site["clients"]["max_retry_after_ms"]),
            "maxStreams": 1,
            "mostHeld": 20000,
            "peers": allow["peers"],
            "probes": allow["probes"],
            "retryAfter": allow["retry_after"],
            "secondCopies": allow["second_copies"],
            "sendCap": allow["max_attempts"],
        },
        "balancers": balancers,
        "ordinal": balancers - 1,
        "myZone": len(site["net"]["zones"]) - 1,
        "classes": [method_settings(method) for method in site["class"]],
        "familyInfo": family_settings(site["fam"], balancers),
        "fees": {
            "crossZone": site["prices"]["cross_zone"],
            "waste": site["prices"]["waste"],
            "probe": site["prices"]["probe"],
            "lateFail": site["prices"]["late_fail"],
            "moves": 0.0,
        },
        "guarantees": {
            "answerSlackUs": 20 * US,
            "askWithinUs": 10_000 * US,
            "coldShare": min(kind["cold_from"] for kind in kinds),
            "warmWithinUs": us_from_ms(1000 * max(kind["cold_s"] for kind in kinds)),
            "drainGraceUs": us_from_ms(rules["drain_grace_ms"]),
            "fallMultiple": float(rules["fall_multiple"]),
            "tipAfterUs": us_from_ms(rules["fall_ms"]),
        },
        "overShareWorth": site["load"]["over_share_worth"],
        "registryMode": site["discovery"]["mode"],
        "report": {
            "via": REPORT_CHANNEL_WORDS[report["how"]],
            "fields": [LOAD_METRIC_WORDS[field] for field in report["fields"]],
        },
        "serviceType": site["family"],
        "skus": [kind["name"] for kind in kinds],
        "tenants": [
            {"name": tenant["name"], "share": tenant["share"], "allowancePerS": 50.0 * tenant["share"]}
            for tenant in site["tenant"]
        ],
        "tickUs": us_from_ms(site["day"]["tick_ms"]),
        "zones": site["net"]["zones"],
    }
