"""Our files as checked values: TOML plans, JSON configurations of a marshal, records of waves.

An error names the file, the key's path, what stands there and what is allowed. Unknown keys are errors.
"""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from brookreach import interface as ifc
from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.files import MAX_CHECKSUMMED_BYTES, InvalidFileError, convert_values, read_bounded, read_toml
from brookreach.model.case import NAMES, Case, start_of
from brookreach.settings_object import SettingsError
from brookreach.verdict import notes, plan


class StatedPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[stated]: error rates of a whole wave, over all marshals together."""

    false_alarm: float = 0.05
    miss: float = 0.05


class MethodPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[method]]: its share of the RPCs and its failures on the earlier build."""

    name: str
    share: float
    failures: float = 0.001
    repeat: str = "idempotent"
    soft_ms: float = 1000.0
    hard_ms: float = 3000.0


class WavePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[wave]: stages, caps, votes and prices, as the settings tell them to a marshal."""

    marshals: int = 3
    rpcs_per_s: float = 40.0  # of one marshal
    stages: tuple[float, ...] = (0.05, 0.15, 0.4, 1.0)
    caps: tuple[float, ...] = ()  # none: 1.4 times the stages
    on_votes: int = 1
    back_votes: int = 1
    delay_price: float = 0.45
    harm_price: float = 5.0
    spread: float = 0.6  # of log times on the earlier build
    alike: float = 0.05  # of times of one node
    tally_ms: float = 2000.0
    tally_sample: float = 0.4


class EffectPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[effect]]: what a bad build does: "all", a method's name or "work", and how much."""

    what: str
    size: float


class PlanFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plan's input."""

    stated: StatedPart = StatedPart()
    wave: WavePart = WavePart()
    method: tuple[MethodPart, ...] = tuple(MethodPart(name, 1.0 / 3.0) for name in NAMES)
    effect: tuple[EffectPart, ...] = ()


REPEATS = {
    "idempotent": ifc.Idempotency.IDEMPOTENT,
    "tokened": ifc.Idempotency.TOKENED,
    "non-idempotent": ifc.Idempotency.NON_IDEMPOTENT,
}


def read_plan(file: Path) -> PlanFile:
    """Raises InvalidFileError."""
    return convert_values(file, read_toml(file), PlanFile)


def planned(file: Path | None) -> tuple[ifc.BalancerSettings, plan.Seen, list[tuple[str, float]]]:
    """Of a plan's file, or of the defaults; raises InvalidFileError."""
    return facts_of(file, read_plan(file)) if file else facts_of(Path("defaults"), PlanFile())


def facts_of(file: Path, told: PlanFile) -> tuple[ifc.BalancerSettings, plan.Seen, list[tuple[str, float]]]:
    """What a marshal would be told and see; raises InvalidFileError with all that no wave can have."""
    errors = [
        f"{file}: method[{at}].repeat: {one.repeat!r}; {', '.join(REPEATS)} are allowed"
        for at, one in enumerate(told.method)
        if one.repeat not in REPEATS
    ]
    names = [one.name for one in told.method]
    errors += [
        f"{file}: method[{at}].name: {name!r} stands twice, or is kept for something else"
        for at, name in enumerate(names)
        if names.index(name) != at or name in ("all", "work", "")
    ]
    errors += [
        f"{file}: wave.{name}: {value}; 1 to wave.marshals ({told.wave.marshals}) are allowed"
        for name, value in (("on_votes", told.wave.on_votes), ("back_votes", told.wave.back_votes))
        if not 1 <= value <= max(1, told.wave.marshals)
    ]
    if errors:
        raise InvalidFileError(errors)
    wave = told.wave
    methods = tuple(
        ifc.Method(
            one.name,
            REPEATS[one.repeat],
            ifc.DedupScope.ALL,
            5000.0,
            one.soft_ms,
            one.hard_ms,
            1.0,
            0.0,
            0.0,
            False,
        )
        for one in told.method
    )
    caps = wave.caps or tuple(min(1.0, 1.4 * share) for share in wave.stages)
    # A marshal of the model, with what the file says in its place; a plan looks at nothing else.
    known = start_of(Case(marshals=wave.marshals), 0, 0)
    gate = ifc.PromotionGate.ANY if wave.on_votes == 1 else ifc.PromotionGate.SHARE
    start = replace(
        known,
        methods=methods,
        exposure=replace(known.exposure, caps=caps),
        voting=replace(known.voting, gate=gate, on_votes=wave.on_votes, back_votes=wave.back_votes),
        rollout=replace(
            known.rollout, stage_shares=wave.stages, tally_ms=wave.tally_ms, tally_sample=wave.tally_sample
        ),
        prices=replace(known.prices, delay=wave.delay_price, harm=wave.harm_price),
        stated=ifc.ErrorRateTargets(told.stated.false_alarm, told.stated.miss),
    )
    seen = plan.Seen(
        wave.rpcs_per_s,
        tuple(one.share for one in told.method),
        tuple(one.failures for one in told.method),
        wave.spread,
        wave.alike,
    )
    try:
        plan.check(start, seen)
    except plan.PlanError as error:
        raise InvalidFileError([f"{file}: {error}"]) from None
    return start, seen, [(one.what, one.size) for one in told.effect]


def read_record(file: Path) -> list[notes.Wave]:
    """Raises InvalidFileError."""
    return _waves(file, read_bounded(file, MAX_CHECKSUMMED_BYTES))


def _waves(file: Path, octets: bytes) -> list[notes.Wave]:
    try:
        return notes.decode(octets)
    except notes.RecordError as error:
        raise InvalidFileError([f"{file}: {error}"]) from None


def read(file: Path) -> tuple[str, dict[str, Any]]:
    """What kind of file it is, and its values; raises InvalidFileError."""
    if file.suffix == ".toml":
        values = read_toml(file)
        if "slope" in values:
            from brookreach.capacity import read as capacity

            return "sizes and slopes", msgspec.to_builtins(capacity.capacity(file, values))
        if "serve" in values:
            from brookreach.xds import config

            return "a control service", msgspec.to_builtins(config.parse_configuration(file, values))
        if "group" in values:
            from brookreach.coordination import configuration as group

            return "a group of keepers", msgspec.to_builtins(group.read_values(file, values))
        if "gang" in values:
            from brookreach.gang_scheduling import gang_file as gangs

            return "a list of gangs", {"gang": msgspec.to_builtins(gangs.read_gang_file(file, 0))}
        if "schedule" in values:
            from brookreach.carbon_aware import schedule_file

            return "a power schedule", msgspec.to_builtins(schedule_file.parse_schedule(file, values))
        told = convert_values(file, values, PlanFile)
        facts_of(file, told)
        return "a plan of a wave", msgspec.to_builtins(told)
    octets = read_bounded(file, MAX_CHECKSUMMED_BYTES)
    if octets.startswith(notes.MAGIC):
        waves = _waves(file, octets)
        return "a record of waves", {
            "builds": [wave.build for wave in waves],
            "notes": [len(wave.notes) for wave in waves],
        }
    try:
        told_json = json.loads(octets)
        start = read_balancer_settings(int(str(told_json["seed"]), 16), told_json["settings"])
    except (SettingsError, KeyError, TypeError, ValueError, RecursionError) as error:
        raise InvalidFileError(
            [f"{file}: no record, and no marshal's configuration: {type(error).__name__} {error}"]
        ) from None
    return "a marshal's configuration", msgspec.to_builtins(start)


def text(told: dict[str, Any], path: str = "") -> str:
    """Values by their keys' paths, a line each."""
    lines = []
    for key, value in told.items():
        here = f"{path}.{key}" if path else str(key)
        if isinstance(value, dict):
            lines.append(text(value, here))
        elif isinstance(value, list | tuple) and value and isinstance(value[0], dict):
            lines += [text(one, f"{here}[{at}]") for at, one in enumerate(value)]
        else:
            lines.append(f"{here} = {json.dumps(value)}")
    return "\n".join(lines)
