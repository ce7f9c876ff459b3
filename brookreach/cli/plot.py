"""`brookreach plot NAME`: figures of plans, records and experiments, by matplotlib."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from brookreach.cli.verdict import FILE_PATH, report_errors, select_waves

DOTS_PER_INCH = 110
IMAGE_SUFFIXES = (".png", ".svg")


@click.group()
def plot() -> None:
    """Draw a PNG or SVG; the ending of the output's name says which."""


def _save(figure: object, to: Path) -> None:
    """Write a figure; raises ClickException if it can't be written or its name has another ending."""
    if to.suffix not in IMAGE_SUFFIXES:
        raise click.ClickException(f"{to}: a name that ends in .png or .svg is allowed")
    try:
        figure.savefig(to, dpi=DOTS_PER_INCH)  # type: ignore[attr-defined]
    except OSError as error:
        raise click.ClickException(f"{to}: {error.strerror}") from None
    click.echo(str(to))


def _read_row_sets(rows: tuple[Path, ...]) -> dict[str, list[dict[str, Any]]]:
    """Return the rows of each file by its name without the ending; raises ClickException if one has none."""
    from brookreach.model import experiment

    sets = {path.stem: experiment.read_rows(path) for path in rows}
    empty = [name for name, set_rows in sets.items() if not set_rows]
    if empty:
        raise click.ClickException(f"no rows in {', '.join(empty)}")
    return sets


@plot.command()
@click.argument("to", type=FILE_PATH)
@click.option("--plan", "file", type=FILE_PATH, help="A plan's TOML; without it, the defaults.")
def oc(to: Path, file: Path | None) -> None:
    """Operating characteristic: the chance that a build is released, by how bad it is."""
    from brookreach.cli import plan_file
    from brookreach.model import figures

    start, seen, _ = report_errors(lambda: plan_file.plan_inputs_from(file))
    _save(figures.operating(start, seen), to)


@plot.command()
@click.argument("record", type=FILE_PATH)
@click.argument("to", type=FILE_PATH)
@click.option("--build", type=int, help="Only this one; else the last.")
def levels(record: Path, to: Path, build: int | None) -> None:
    """The charts of a recorded build by time."""
    from brookreach.model import figures
    from brookreach.verdict import replay as replays

    _save(figures.levels(replays.replay(select_waves(record, build)[-1])), to)


@plot.command()
@click.argument("to", type=FILE_PATH)
@click.argument("rows", type=FILE_PATH, nargs=-1, required=True)
@click.option("--title", default="Time to the verdict", show_default=True)
def delays(to: Path, rows: tuple[Path, ...], title: str) -> None:
    """Times to back and to release by case, one colour for each file of rows."""
    from brookreach.model import figures

    _save(figures.delays(_read_row_sets(rows), title), to)


@plot.command()
@click.argument("to", type=FILE_PATH)
@click.argument("rows", type=FILE_PATH, nargs=-1, required=True)
def errors(to: Path, rows: tuple[Path, ...]) -> None:
    """Shares of good builds sent back and bad ones released by case, with their intervals."""
    from brookreach.model import figures

    _save(figures.errors(_read_row_sets(rows)), to)


@plot.command()
@click.argument("to", type=FILE_PATH)
@click.argument("report", type=FILE_PATH)
def scale_marshal(to: Path, report: Path) -> None:
    """An RPC's cost and a marshal's memory by nodes, of what `scale marshal --json` printed."""
    from brookreach.scale import marshal_plot

    _save(marshal_plot.draw(report_errors(lambda: marshal_plot.read(report))), to)
