"""Settings of subsetting, read from TOML.

Reading is strict: every error names the file, the key, the value and the allowed values.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from brookreach.files import InvalidFileError, read_toml

MAX_COUNT = 1_000_000  # upper limit of every setting that is not a duration
MAX_DURATION_MS = 3_600_000
MIN_BALANCERS = 4  # per service, so that it survives the loss of two balancers and of a zone


class Caps(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[caps]: the maximum load of a balancer of weight 1; the limits of a balancer of weight w are w times as high."""

    services: int = 24
    nodes: int = 1200
    routes: int = 240
    tenants: int = 4800
    rpcs: int = 300  # per second: the sum of its shares of the services' peaks


class Spread(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[spread]: how many balancers a service requires, before the caps are applied."""

    balancers: int = msgspec.field(name="marshals", default=6)  # minimum per service
    rpcs_per_balancer: int = msgspec.field(name="rpcs_per_marshal", default=50)  # per second


class Subset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[subset]: each balancer holds a subset of a service that has more endpoints than `nodes`."""

    nodes: int = 200  # maximum number of endpoints of one service on one balancer
    holders: int = 4  # minimum number of balancers per endpoint
    max_holders: int = msgspec.field(name="most_holders", default=8)
    zone_nodes: int = 4  # minimum number of endpoints of each zone on each balancer, if the zone has as many


class Times(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[times]: hold-downs and intervals, in milliseconds."""

    removal_hold_ms: int = msgspec.field(name="gone_ms", default=90_000)  # longer than a restart, which moves nothing
    join_hold_ms: int = msgspec.field(name="join_ms", default=5_000)  # uninterrupted, before services are placed
    resize_hold_ms: int = msgspec.field(name="size_ms", default=60_000)  # for services and balancers
    batch_interval_ms: int = msgspec.field(name="batch_ms", default=1_000)  # changes due within it form one version
    query_interval_ms: int = msgspec.field(name="ask_ms", default=1_000)  # between queries of a pending handover


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The complete settings file; every value has a default."""

    caps: Caps = Caps()
    spread: Spread = Spread()
    subset: Subset = Subset()
    times: Times = Times()


MINIMUMS = {"spread.marshals": MIN_BALANCERS, "times.gone_ms": 0, "times.join_ms": 0, "times.size_ms": 0}
"""Minimum values by key path; the minimum of all other keys is 1."""


def read_settings(path: Path) -> Settings:
    """Reads the file; raises InvalidFileError with all errors that were found in it."""
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
    """Returns the error in the key or its value, or "" if both are valid."""
    key_path = f"{section}.{key}"
    if key not in known:
        return f"{key_path}: no such key; {', '.join(known)} are allowed"
    minimum = MINIMUMS.get(key_path, 1)
    maximum = MAX_DURATION_MS if section == "times" else MAX_COUNT
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        return f"{key_path}: {value!r}; a whole number from {minimum} to {maximum} is allowed"
    return ""


def contradictions(settings: Settings) -> list[str]:
    """Returns an error line for each pair of values that contradict each other."""
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
