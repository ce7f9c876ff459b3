"""Settings of subsetting, read from TOML: strict, with every error named by file, key, value and what is allowed."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from brookreach.files import InvalidFileError, read_toml

MAX_COUNT = 1_000_000  # of anything
MAX_DURATION_MS = 3_600_000
MIN_BALANCERS = 4  # of a service: two may be lost, and a zone


class Caps(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[caps]: what a balancer of weight 1 may hold at most; one of weight w may hold w times as much."""

    services: int = 24
    nodes: int = 1200
    routes: int = 240
    tenants: int = 4800
    rpcs: int = 300  # a second, its share of each service's peak


class Spread(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[spread]: how many balancers a service has, before the caps."""

    balancers: int = msgspec.field(name="marshals", default=6)  # of each service, at least
    rpcs_per_balancer: int = msgspec.field(name="rpcs_per_marshal", default=50)  # a second


class Subset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[subset]: of a service with more endpoints than `nodes`, each balancer holds a subset."""

    nodes: int = 200  # of one service on one balancer, at most
    holders: int = 4  # balancers of each endpoint, at least
    max_holders: int = msgspec.field(name="most_holders", default=8)
    zone_nodes: int = 4  # of each zone on each balancer, where the zone has them


class Times(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[times]: hold-downs, in milliseconds."""

    removal_hold_ms: int = msgspec.field(name="gone_ms", default=90_000)  # longer than a restart, which moves nothing
    join_hold_ms: int = msgspec.field(name="join_ms", default=5_000)  # without a break, until a balancer is placed
    resize_hold_ms: int = msgspec.field(name="size_ms", default=60_000)  # of a service or balancer
    batch_interval_ms: int = msgspec.field(name="batch_ms", default=1_000)  # changes due within it are one version
    query_interval_ms: int = msgspec.field(name="ask_ms", default=1_000)  # between queries of a pending handover


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; every value has a default."""

    caps: Caps = Caps()
    spread: Spread = Spread()
    subset: Subset = Subset()
    times: Times = Times()


MINIMUMS = {"spread.marshals": MIN_BALANCERS, "times.gone_ms": 0, "times.join_ms": 0, "times.size_ms": 0}
"""By the key's path; of all others 1."""


def read_settings(path: Path) -> Settings:
    """Reads the file; raises InvalidFileError with all that is wrong in it."""
    values = read_toml(path)
    if errors := list(_errors(path, values)):
        raise InvalidFileError(errors)
    settings = msgspec.convert(values, Settings)
    if errors := [f"{path}: {text}" for text in contradictions(settings)]:
        raise InvalidFileError(errors)
    return settings


def _errors(path: Path, values: dict[str, Any]) -> Iterator[str]:
    sections: dict[str, dict[str, int]] = msgspec.to_builtins(Settings())
    for section, keys in values.items():
        if section not in sections:
            yield f"{path}: {section}: no such part; {', '.join(sections)} are allowed"
        elif not isinstance(keys, dict):
            yield f"{path}: {section}: {keys!r}; a table is allowed"
        else:
            for key, value in keys.items():
                if error := _key_error(section, key, value, sections[section]):
                    yield f"{path}: {error}"


def _key_error(section: str, key: str, value: object, known: dict[str, int]) -> str:
    """Returns what is wrong with the value; "": nothing."""
    key_path = f"{section}.{key}"
    if key not in known:
        return f"{key_path}: no such key; {', '.join(known)} are allowed"
    minimum = MINIMUMS.get(key_path, 1)
    maximum = MAX_DURATION_MS if section == "times" else MAX_COUNT
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        return f"{key_path}: {value!r}; a whole number from {minimum} to {maximum} is allowed"
    return ""


def contradictions(settings: Settings) -> list[str]:
    """Returns values that contradict each other, a line each."""
    subset = settings.subset
    caps = settings.caps
    errors: list[str] = []
    if subset.max_holders < subset.holders:
        errors.append(
            f"subset.most_holders: {subset.max_holders}; subset.holders ({subset.holders}) or more is allowed"
        )
    if subset.nodes > caps.nodes:
        errors.append(f"subset.nodes: {subset.nodes}; at most caps.nodes ({caps.nodes}) is allowed")
    return errors
