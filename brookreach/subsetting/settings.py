"""Settings of the scope, read from TOML: strict, with every error named by file, key, value and what is allowed."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec

from brookreach.files import BadFile, read_toml

MOST_COUNT = 1_000_000  # of anything
MOST_MS = 3_600_000
LEAST_MARSHALS = 4  # holders of a service: two may be lost, and a zone


class Caps(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[caps]: what a marshal of weight 1 may hold, hard; one of weight w may hold w times as much."""

    services: int = 24
    nodes: int = 1200
    routes: int = 240
    tenants: int = 4800
    rpcs: int = 300  # a second, its share of each service's peak


class Spread(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[spread]: how many marshals a service has, before the caps."""

    marshals: int = 6  # of each service, at least
    rpcs_per_marshal: int = 50  # a second; a service with more has more marshals


class Subset(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[subset]: of a service with more nodes than `nodes`, each marshal holds a subset."""

    nodes: int = 200  # of one service on one marshal, at most
    holders: int = 4  # marshals of each node, at least
    most_holders: int = 8
    zone_nodes: int = 4  # of each zone on each marshal, where the zone has them


class Times(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[times]: hold-downs, in milliseconds."""

    gone_ms: int = 90_000  # a marshal that ended is still placed for so long: a restart moves nothing
    join_ms: int = 5_000  # a new marshal is placed after so long without a break
    size_ms: int = 60_000  # a service or marshal of another size is placed anew after so long
    batch_ms: int = 1_000  # all that falls due within this becomes one version
    ask_ms: int = 1_000  # between two questions of one who waits to let go


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole file; every value has a default."""

    caps: Caps = Caps()
    spread: Spread = Spread()
    subset: Subset = Subset()
    times: Times = Times()


LEAST = {"spread.marshals": LEAST_MARSHALS, "times.gone_ms": 0, "times.join_ms": 0, "times.size_ms": 0}


def read_settings(path: Path) -> Settings:
    """Raises BadFile with all that is wrong."""
    told = read_toml(path)
    if errors := list(_errors(path, told)):
        raise BadFile(errors)
    settings = msgspec.convert(told, Settings)
    if errors := [f"{path}: {one}" for one in contradictions(settings)]:
        raise BadFile(errors)
    return settings


def _errors(path: Path, told: dict[str, Any]) -> Any:
    parts = msgspec.to_builtins(Settings())
    for part, values in told.items():
        if part not in parts:
            yield f"{path}: {part}: no such part; {', '.join(parts)} are allowed"
        elif not isinstance(values, dict):
            yield f"{path}: {part}: {values!r}; a table is allowed"
        else:
            for key, value in values.items():
                if error := _error(part, key, value, parts[part]):
                    yield f"{path}: {error}"


def _error(part: str, key: str, value: object, known: dict[str, int]) -> str:
    name = f"{part}.{key}"
    if key not in known:
        return f"{name}: no such key; {', '.join(known)} are allowed"
    least = LEAST.get(name, 1)
    most = MOST_MS if part == "times" else MOST_COUNT
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        return f"{name}: {value!r}; a whole number from {least} to {most} is allowed"
    return ""


def contradictions(settings: Settings) -> list[str]:
    """Values that can't stand together, a line each."""
    subset, caps, errors = settings.subset, settings.caps, []
    if subset.most_holders < subset.holders:
        errors.append(
            f"subset.most_holders: {subset.most_holders}; subset.holders ({subset.holders}) or more is allowed"
        )
    if subset.nodes > caps.nodes:
        errors.append(f"subset.nodes: {subset.nodes}; at most caps.nodes ({caps.nodes}) is allowed")
    return errors
