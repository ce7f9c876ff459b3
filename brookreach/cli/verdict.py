"""`brookreach verdict plan|show|replay`: what a wave promises, what became of it, and under other rates."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from brookreach import interface as ifc
from brookreach.cli.main import out

FILE = click.Path(path_type=Path, dir_okay=False)
RATE = click.FloatRange(0.0, 0.5, min_open=True)


@click.group()
def verdict() -> None:
    """Plans of waves, and verdicts on builds as they were reached."""


def or_say(call: Callable[[], Any]) -> Any:
    from brookreach.files import InvalidFileError
    from brookreach.verdict.plan import PlanError

    try:
        return call()
    except (InvalidFileError, PlanError) as error:
        raise click.ClickException(str(error)) from None


@verdict.command()
@click.argument("file", type=FILE, required=False)
@click.option("--false-alarm", type=float, help="Instead of the file's.")
@click.option("--miss", type=float, help="Instead of the file's.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def plan(file: Path | None, false_alarm: float | None, miss: float | None, as_json: bool) -> None:
    """What the wave of FILE (TOML; without it, the defaults) promises: thresholds, effects, error rates."""
    from brookreach.cli import files
    from brookreach.verdict import plan as plans

    def made() -> plans.Plan:
        start, seen, effects = files.planned(file)
        return plans.make(plans.restated(start, false_alarm, miss), seen, effects)

    found = or_say(made)
    out(as_json, found.told(), lambda: plans.table(found))


def waves_of(file: Path, build: int | None) -> list[Any]:
    from brookreach.cli import files

    waves = or_say(lambda: files.read_record(file))
    some = [wave for wave in waves if build in (None, wave.build)]
    if not some:
        held = ", ".join(str(wave.build) for wave in waves) or "none"
        raise click.ClickException(f"{file}: no build {build}; it holds {held}")
    return some


@verdict.command()
@click.argument("file", type=FILE)
@click.option("--build", type=int, help="Only this one.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def show(file: Path, build: int | None, as_json: bool) -> None:
    """Why each build in the record FILE went on or back."""
    from brookreach.verdict import replay

    found = [replay.replay(wave) for wave in waves_of(file, build)]
    out(
        as_json, {"builds": [replay.told(one) for one in found]}, lambda: "\n\n".join(replay.show(one) for one in found)
    )


@verdict.command()
@click.argument("file", type=FILE)
@click.option("--build", type=int, help="Only this one.")
@click.option("--false-alarm", type=RATE, help="Instead of the record's.")
@click.option("--miss", type=RATE, help="Instead of the record's.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def replay(file: Path, build: int | None, false_alarm: float | None, miss: float | None, as_json: bool) -> None:
    """Judge the record FILE again under other stated rates; the news stay as they came."""
    from brookreach.verdict import replay

    pairs = []
    for wave in waves_of(file, build):
        old = wave.start.stated
        stated = ifc.ErrorRateTargets(
            old.false_alarm if false_alarm is None else false_alarm, old.miss if miss is None else miss
        )
        pairs.append((replay.replay(wave), replay.replay(wave, stated), stated))

    def lines() -> str:
        return "\n\n".join(
            f"as it was:\n{replay.show(was)}\n\n"
            f"with false alarm {stated.false_alarm:g}, miss {stated.miss:g}:\n"
            f"{replay.show(now)}"
            for was, now, stated in pairs
        )

    told = [{"was": replay.told(was), "now": replay.told(now)} for was, now, _ in pairs]
    out(as_json, {"builds": told}, lines)
