"""`brookreach fleet`: keepers of the agreed state, and what operators ask of it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from brookreach.cli.fleet_ask import ask
from brookreach.cli.main import out
from brookreach.cli.talked import WAIT, File, asked, said, talked

if TYPE_CHECKING:
    from brookreach.coordination.client.one_shot import OneShotClient


@click.group()
def fleet() -> None:
    """What many processes agree on: keepers, drains, halts."""


fleet.add_command(ask)

# --- a keeper's own ---


@fleet.command()
@click.argument("path", type=File)
def key(path: Path) -> None:
    """Make a group's key at PATH. Whoever reads it can speak as any keeper, marshal or operator."""
    from brookreach.coordination import configuration as config

    said(lambda: config.make_key(path))
    click.echo(f"{path}: a new key; give it to the group's processes and to nobody else")


@fleet.command()
@click.argument("file", type=File)
@click.option("--keeper", required=True, help="Which [[keeper]] of FILE.")
@click.option("--log", type=click.Choice(["plain", "json"]), default="plain", show_default=True)
def keep(file: Path, keeper: str, log: str) -> None:
    """Run one keeper until SIGTERM."""
    from brookreach.applications import load_applications
    from brookreach.cli.structured import writer
    from brookreach.coordination.server.process import run_replica as run
    from brookreach.net.report import Report

    sys.exit(run(file, keeper, load_applications(), Report(keeper, 20, writer(log, keeper)).say))


@fleet.command()
@click.argument("file", type=File)
@click.option("--keeper", "keepers", multiple=True, help="Whose disk, as often as wanted; else all of FILE.")
def found(file: Path, keepers: tuple[str, ...]) -> None:
    """Begin a new group of all keepers of FILE: once in its life, on empty disks."""
    _begin(file, keepers, lambda disk, names: disk.bootstrap(names))


@fleet.command()
@click.argument("file", type=File)
@click.option("--keeper", required=True, help="A name that no keeper of the group ever had.")
def join(file: Path, keeper: str) -> None:
    """Begin the disk of a keeper that a group is to take in: `fleet seats FILE add NAME`."""
    _begin(file, (keeper,), lambda disk, names: disk.join(tuple(one for one in names if one != keeper)))


def _begin(file: Path, keepers: tuple[str, ...], begin: Callable[[Any, tuple[str, ...]], None]) -> None:
    from brookreach.coordination import configuration as config
    from brookreach.coordination.server.process import open_storage

    def each() -> None:
        told = config.read(file)
        names = tuple(one.name for one in told.keeper)
        for name in keepers or names:
            disk = open_storage(file, told, name)
            begin(disk, names)
            disk.close()
            click.echo(f"{name}: {disk.path}")

    said(each)


@fleet.command()
@click.argument("file", type=File)
@click.argument("config", type=File)
@click.option("--away-ms", type=click.FloatRange(0.0), help="Play drains to the end: back after that.")
@click.option(
    "--gangs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Play gangs' members too: what works when, in files of this folder.",
)
@click.option("--room", type=click.IntRange(0, 1 << 32), default=0, help="Of each node, for long jobs.")
def agent(file: Path, config: Path, away_ms: float | None, gangs: Path | None, room: int) -> None:
    """Play the agents of all nodes that the marshal's configuration CONFIG knows, until Ctrl-C."""
    from dataclasses import replace

    import anyio

    from brookreach.configuration import BadStart, object_at
    from brookreach.disruption.node_agent import nodes_of, play

    try:
        nodes = [replace(one, room=room) for one in nodes_of(object_at(str(config), "CONFIG"))]
    except BadStart as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError, ValueError) as error:
        raise click.ClickException(f"{config} is no marshal's configuration: {error!r}") from None
    if gangs is not None:
        from brookreach.gang_scheduling.agent import process

        if away_ms is not None:
            raise click.ClickException("--away-ms with --gangs: nodes that gangs use are not played away")
        said(lambda: anyio.run(process.play, file, nodes, room, gangs, click.echo))
        return
    away_s = None if away_ms is None else away_ms / 1000.0
    said(lambda: anyio.run(play, file, nodes, away_s, click.echo))


# --- operators ---


@fleet.command()
@click.argument("file", type=File)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@WAIT
def show(file: Path, as_json: bool, wait: float) -> None:
    """Print what is agreed."""
    import msgspec

    async def look(one: OneShotClient) -> dict[str, Any]:
        view = await one.read_view()
        tables = {
            name: {key: msgspec.structs.asdict(row) for key, row in view.rows(name)}
            for name in sorted(one.client.cache.watched)
        }
        return {
            "leader": one.leader,
            "index": one.client.cache.index,
            "at_ms": one.client.cache.agreed_time_ms,
            "tables": tables,
        }

    told = talked(file, wait, look)
    out(as_json, told, lambda: _text(told))


def _text(told: dict[str, Any]) -> str:
    lines = [f"leader {told['leader']}, place {told['index']}, agreed time {told['at_ms']} ms"]
    for name, rows in told["tables"].items():
        lines.append(f"{name}: {len(rows) or 'none'}")
        for key, row in rows.items():
            told_of = [f"{field}={value}" for field, value in row.items() if value not in ("", 0, False)]
            lines.append(" ".join(("  " + key, *told_of)))
    return "\n".join(lines)


@fleet.command()
@click.argument("file", type=File)
@click.argument("way", type=click.Choice(["add", "remove"]))
@click.argument("keeper")
@WAIT
def seats(file: Path, way: str, keeper: str, wait: float) -> None:
    """Give the KEEPER a seat, or take it away. One at a time; each must have come along before the next."""
    from brookreach.coordination.server.proposals import ChangeMembership
    from brookreach.coordination.state_machine.sessions import MEMBERSHIP

    asked(file, wait, MEMBERSHIP, ChangeMembership(way, keeper))  # type: ignore[arg-type]  # one of the choices
