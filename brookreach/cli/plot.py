"""`brookreach plot NAME`: figures of plans, records and experiments, by matplotlib."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from brookreach.cli.verdict import FILE, or_say, waves_of


@click.group()
def plot() -> None:
    """Draw a PNG or SVG; the ending of the output's name says which."""


def _save(figure: object, to: Path) -> None:
    if to.suffix not in (".png", ".svg"):
        raise click.ClickException(f"{to}: a name that ends in .png or .svg is allowed")
    try:
        figure.savefig(to, dpi=110)  # type: ignore[attr-defined]
    except OSError as error:
        raise click.ClickException(f"{to}: {error.strerror}") from None
    click.echo(str(to))


def _sets(rows: tuple[Path, ...]) -> dict[str, list[dict[str, Any]]]:
    from brookreach.model import experiment

    sets = {path.stem: experiment.read_rows(path) for path in rows}
    empty = [name for name, some in sets.items() if not some]
    if empty:
        raise click.ClickException(f"no rows in {', '.join(empty)}")
    return sets


@plot.command()
@click.argument("to", type=FILE)
@click.option("--plan", "file", type=FILE, help="A plan's TOML; without it, the defaults.")
def oc(to: Path, file: Path | None) -> None:
    """Operating characteristic: the chance that a build is released, by how bad it is."""
    from brookreach.cli import files
    from brookreach.model import figures

    start, seen, _ = or_say(lambda: files.planned(file))
    _save(figures.operating(start, seen), to)


@plot.command()
@click.argument("record", type=FILE)
@click.argument("to", type=FILE)
@click.option("--build", type=int, help="Only this one; else the last.")
def levels(record: Path, to: Path, build: int | None) -> None:
    """The charts of a recorded build by time."""
    from brookreach.model import figures
    from brookreach.verdict import replay as replays

    _save(figures.levels(replays.replay(waves_of(record, build)[-1])), to)


@plot.command()
@click.argument("to", type=FILE)
@click.argument("rows", type=FILE, nargs=-1, required=True)
@click.option("--title", default="Time to the verdict", show_default=True)
def delays(to: Path, rows: tuple[Path, ...], title: str) -> None:
    """Times to back and to release by case, one colour for each file of rows."""
    from brookreach.model import figures

    _save(figures.delays(_sets(rows), title), to)


@plot.command()
@click.argument("to", type=FILE)
@click.argument("rows", type=FILE, nargs=-1, required=True)
def errors(to: Path, rows: tuple[Path, ...]) -> None:
    """Shares of good builds sent back and bad ones released by case, with their intervals."""
    from brookreach.model import figures

    _save(figures.errors(_sets(rows)), to)


@plot.command()
@click.argument("to", type=FILE)
@click.argument("report", type=FILE)
def scale_marshal(to: Path, report: Path) -> None:
    """An RPC's cost and a marshal's memory by nodes, of what `scale marshal --json` printed."""
    from brookreach.scale import marshal_plot

    _save(marshal_plot.draw(or_say(lambda: marshal_plot.read(report))), to)
