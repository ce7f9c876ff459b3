"""The TOML file of a plan, and what a balancer would be told and see by it.

An error names the file, the key's path, the value that stands there and what is allowed. Unknown keys are errors.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec

from brookreach import interface as ifc
from brookreach.files import InvalidFileError, convert_values, read_toml
from brookreach.model.case import NAMES, Case, start_of
from brookreach.verdict import plan_records

REPEATS = {
    "idempotent": ifc.Idempotency.IDEMPOTENT,
    "tokened": ifc.Idempotency.TOKENED,
    "non-idempotent": ifc.Idempotency.NON_IDEMPOTENT,
}
RESERVED_NAMES = ("all", "work", "")
"""Names that an effect uses for something else than a method."""

CAP_PER_STAGE_SHARE = 1.4
TOKEN_WINDOW_MS = 5000.0

Effects = list[tuple[str, float]]
"""What each bad build does, and how much."""

PlanInputs = tuple[ifc.BalancerSettings, plan_records.BaselineTraffic, Effects]
"""The settings of a balancer, what it sees, and the bad builds that are looked at."""


class StatedPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[stated]: error rates of a whole rollout, over all balancers together.

    Attributes:
        false_alarm: The chance that a good build is sent back.
        miss: The chance that a bad build is released.
    """

    false_alarm: float = 0.05
    miss: float = 0.05


class MethodPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[method]]: one method as clients use it.

    Attributes:
        name: Its name.
        share: Its part of the RPCs.
        failures: The part of its RPCs that fails on the earlier build.
        repeat: Its idempotency, one of `REPEATS`.
        soft_ms: Its soft deadline.
        hard_ms: Its hard deadline.
    """

    name: str
    share: float
    failures: float = 0.001
    repeat: str = "idempotent"
    soft_ms: float = 1000.0
    hard_ms: float = 3000.0


class WavePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[wave]: a rollout's stages, caps, votes and prices, as a balancer's settings have them.

    Attributes:
        marshals: How many balancers there are.
        rpcs_per_s: The RPCs of one balancer.
        stages: The share of the nodes at each stage.
        caps: The share of the picks at each stage; empty for 1.4 times the stages.
        on_votes: Votes that a next stage needs.
        back_votes: Votes that send the build back.
        delay_price: The price of a delay.
        harm_price: The price of harm.
        spread: The spread of the logarithms of times on the earlier build.
        alike: How far the times of one node are alike, from 0 to 1.
        tally_ms: The interval of the outcome counts over all balancers.
        tally_sample: The share of the picks that these counts hold.
    """

    marshals: int = 3
    rpcs_per_s: float = 40.0
    stages: tuple[float, ...] = (0.05, 0.15, 0.4, 1.0)
    caps: tuple[float, ...] = ()
    on_votes: int = 1
    back_votes: int = 1
    delay_price: float = 0.45
    harm_price: float = 5.0
    spread: float = 0.6
    alike: float = 0.05
    tally_ms: float = 2000.0
    tally_sample: float = 0.4


class EffectPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[effect]]: what a bad build does.

    Attributes:
        what: "all" or a method's name for more failures, "work" for more work.
        size: The additional share of failures, or how many times the work.
    """

    what: str
    size: float


class PlanFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plan's input."""

    stated: StatedPart = StatedPart()
    wave: WavePart = WavePart()
    method: tuple[MethodPart, ...] = tuple(MethodPart(name, 1.0 / 3.0) for name in NAMES)
    effect: tuple[EffectPart, ...] = ()


def read_plan(file: Path) -> PlanFile:
    """Read a plan's file.

    Raises:
        InvalidFileError: It can't be read, or holds a value that is not allowed.
    """
    return convert_values(file, read_toml(file), PlanFile)


def plan_inputs_from(file: Path | None) -> PlanInputs:
    """Return the inputs of a plan's file, or of the defaults.

    Raises:
        InvalidFileError: The file can't be read, or holds a value that is not allowed.
    """
    return plan_inputs(file, read_plan(file)) if file else plan_inputs(Path("defaults"), PlanFile())


def plan_inputs(file: Path, values: PlanFile) -> PlanInputs:
    """Return what a balancer would be told and see.

    Args:
        file: Where the values stand, for the errors.
        values: The plan's file.

    Raises:
        InvalidFileError: No rollout can have these values; it holds a line for each error.
    """
    errors = _value_errors(file, values)
    if errors:
        raise InvalidFileError(errors)
    wave = values.wave
    start = _balancer_settings(values)
    seen = plan_records.BaselineTraffic(
        wave.rpcs_per_s,
        tuple(method.share for method in values.method),
        tuple(method.failures for method in values.method),
        wave.spread,
        wave.alike,
    )
    try:
        plan_records.validate(start, seen)
    except plan_records.PlanError as error:
        raise InvalidFileError([f"{file}: {error}"]) from None
    return start, seen, [(effect.what, effect.size) for effect in values.effect]


def _value_errors(file: Path, values: PlanFile) -> list[str]:
    wave = values.wave
    errors = [
        f"{file}: method[{index}].repeat: {method.repeat!r}; {', '.join(REPEATS)} are allowed"
        for index, method in enumerate(values.method)
        if method.repeat not in REPEATS
    ]
    names = [method.name for method in values.method]
    errors += [
        f"{file}: method[{index}].name: {name!r} stands twice, or is kept for something else"
        for index, name in enumerate(names)
        if names.index(name) != index or name in RESERVED_NAMES
    ]
    errors += [
        f"{file}: wave.{name}: {votes}; 1 to wave.marshals ({wave.marshals}) are allowed"
        for name, votes in (("on_votes", wave.on_votes), ("back_votes", wave.back_votes))
        if not 1 <= votes <= max(1, wave.marshals)
    ]
    return errors


def _balancer_settings(values: PlanFile) -> ifc.BalancerSettings:
    """Return the settings of a balancer of the model, with the file's values; a plan looks at no other."""
    wave = values.wave
    methods = tuple(
        ifc.Method(
            method.name,
            REPEATS[method.repeat],
            ifc.DedupScope.ALL,
            TOKEN_WINDOW_MS,
            method.soft_ms,
            method.hard_ms,
            1.0,
            0.0,
            0.0,
            False,
        )
        for method in values.method
    )
    caps = wave.caps or tuple(min(1.0, CAP_PER_STAGE_SHARE * share) for share in wave.stages)
    defaults = start_of(Case(marshals=wave.marshals), 0, 0)
    gate = ifc.PromotionGate.ANY if wave.on_votes == 1 else ifc.PromotionGate.SHARE
    return replace(
        defaults,
        methods=methods,
        exposure=replace(defaults.exposure, caps=caps),
        voting=replace(defaults.voting, gate=gate, on_votes=wave.on_votes, back_votes=wave.back_votes),
        rollout=replace(
            defaults.rollout, stage_shares=wave.stages, tally_ms=wave.tally_ms, tally_sample=wave.tally_sample
        ),
        prices=replace(defaults.prices, delay=wave.delay_price, harm=wave.harm_price),
        stated=ifc.ErrorRateTargets(values.stated.false_alarm, values.stated.miss),
    )
