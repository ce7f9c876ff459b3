"""`brookreach verdict plan|show|replay`: what a rollout promises, how it went, and how under other error rates."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from brookreach import interface as ifc
from brookreach.cli.main import print_result

if TYPE_CHECKING:
    from brookreach.verdict.plan_records import Plan
    from brookreach.verdict.wave_records import Wave

FILE_PATH = click.Path(path_type=Path, dir_okay=False)
Result = TypeVar("Result")

RATE = click.FloatRange(0.0, 0.5, min_open=True)


@click.group()
def verdict() -> None:
    """Plans of waves, and verdicts on builds as they were reached."""


def report_errors(call: Callable[[], Result]) -> Result:
    """Return what a call returns; errors of files and plans end the command with one line and exit code 1."""
    from brookreach.files import InvalidFileError
    from brookreach.verdict.plan_records import PlanError

    try:
        return call()
    except (InvalidFileError, PlanError) as error:
        raise click.ClickException(str(error)) from None


@verdict.command()
@click.argument("file", type=FILE_PATH, required=False)
@click.option("--false-alarm", type=float, help="Instead of the file's.")
@click.option("--miss", type=float, help="Instead of the file's.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def plan(file: Path | None, false_alarm: float | None, miss: float | None, as_json: bool) -> None:
    """What the wave of FILE (TOML; without it, the defaults) promises: thresholds, effects, error rates."""
    from brookreach.cli import plan_file
    from brookreach.verdict import plan as plans
    from brookreach.verdict import plan_table

    def make_plan() -> Plan:
        settings, traffic, effects = plan_file.plan_inputs_from(file)
        settings = plans.with_error_rates(settings, false_alarm, miss)
        return plans.make_plan(settings, traffic, effects)

    result = report_errors(make_plan)
    print_result(as_json, result.to_builtins(), lambda: plan_table.format_plan(result))


def select_waves(file: Path, build: int | None) -> list[Wave]:
    """Return the rollouts of a record: those of one build, or all of them.

    Raises:
        ClickException: The record can't be read, or holds none.
    """
    from brookreach.cli import files

    waves = report_errors(lambda: files.read_waves(file))
    selected = [wave for wave in waves if build in (None, wave.build)]
    if not selected:
        held = ", ".join(str(wave.build) for wave in waves) or "none"
        raise click.ClickException(f"{file}: no build {build}; it holds {held}")
    return selected


@verdict.command()
@click.argument("file", type=FILE_PATH)
@click.option("--build", type=int, help="Only this one.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def show(file: Path, build: int | None, as_json: bool) -> None:
    """Why each build in the record FILE went on or back."""
    from brookreach.verdict import replay

    replays = [replay.replay(wave) for wave in select_waves(file, build)]
    print_result(
        as_json,
        {"builds": [replay.to_builtins(found) for found in replays]},
        lambda: "\n\n".join(replay.format_verdict(found) for found in replays),
    )


@verdict.command()
@click.argument("file", type=FILE_PATH)
@click.option("--build", type=int, help="Only this one.")
@click.option("--false-alarm", type=RATE, help="Instead of the record's.")
@click.option("--miss", type=RATE, help="Instead of the record's.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def replay(file: Path, build: int | None, false_alarm: float | None, miss: float | None, as_json: bool) -> None:
    """Judge the record FILE again under other stated rates; the news stay as they came."""
    from brookreach.verdict import replay

    pairs = []
    for wave in select_waves(file, build):
        old = wave.settings.stated
        stated = ifc.ErrorRateTargets(
            old.false_alarm if false_alarm is None else false_alarm, old.miss if miss is None else miss
        )
        pairs.append((replay.replay(wave), replay.replay(wave, stated), stated))

    def lines() -> str:
        return "\n\n".join(
            f"as it was:\n{replay.format_verdict(was)}\n\n"
            f"with false alarm {stated.false_alarm:g}, miss {stated.miss:g}:\n"
            f"{replay.format_verdict(now)}"
            for was, now, stated in pairs
        )

    builds = [{"was": replay.to_builtins(was), "now": replay.to_builtins(now)} for was, now, _ in pairs]
    print_result(as_json, {"builds": builds}, lines)
