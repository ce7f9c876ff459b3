"""`brookreach fleet`: replicas of the agreed state, and what operators ask of it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Literal

import click

from brookreach.cli.fleet_ask import ask
from brookreach.cli.main import print_result
from brookreach.cli.operator_session import FILE_PATH, WAIT_OPTION, OperatorSession, report_errors

if TYPE_CHECKING:
    from brookreach.coordination.client.one_shot import OneShotClient
    from brookreach.coordination.storage.sqlite import SqliteStorage
    from brookreach.disruption.node_agent import NodeDescription

LOG_LINES_PER_SECOND = 20


@click.group()
def fleet() -> None:
    """What many processes agree on: keepers, drains, halts."""


fleet.add_command(ask)

# --- commands about one replica ---


@fleet.command()
@click.argument("path", type=FILE_PATH)
def key(path: Path) -> None:
    """Make a group's key at PATH. Whoever reads it can speak as any keeper, marshal or operator."""
    from brookreach.coordination import configuration

    report_errors(lambda: configuration.make_key(path))
    click.echo(f"{path}: a new key; give it to the group's processes and to nobody else")


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.option("--keeper", required=True, help="Which [[keeper]] of FILE.")
@click.option("--log", type=click.Choice(["plain", "json"]), default="plain", show_default=True)
def keep(file: Path, keeper: str, log: str) -> None:
    """Run one keeper until SIGTERM."""
    from brookreach.applications import load_applications
    from brookreach.cli.structured import select_writer
    from brookreach.coordination.server.process import run_replica
    from brookreach.net.report import Report

    report = Report(keeper, LOG_LINES_PER_SECOND, select_writer(log, keeper))
    sys.exit(run_replica(file, keeper, load_applications(), report.log))


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.option("--keeper", "keepers", multiple=True, help="Whose disk, as often as wanted; else all of FILE.")
def found(file: Path, keepers: tuple[str, ...]) -> None:
    """Begin a new group of all keepers of FILE: once in its life, on empty disks."""

    def bootstrap(storage: SqliteStorage, members: tuple[str, ...]) -> None:
        storage.bootstrap(members)

    report_errors(lambda: _initialize_storage(file, keepers, bootstrap))


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.option("--keeper", required=True, help="A name that no keeper of the group ever had.")
def join(file: Path, keeper: str) -> None:
    """Begin the disk of a keeper that a group is to take in: `fleet seats FILE add NAME`."""

    def join_members(storage: SqliteStorage, members: tuple[str, ...]) -> None:
        storage.join(tuple(member for member in members if member != keeper))

    report_errors(lambda: _initialize_storage(file, (keeper,), join_members))


def _initialize_storage(
    file: Path, replicas: tuple[str, ...], initialize: Callable[[SqliteStorage, tuple[str, ...]], None]
) -> None:
    """Calls `initialize` with the storage of each replica, or of all, and with the names of all replicas."""
    from brookreach.coordination import configuration
    from brookreach.coordination.server.process import open_storage

    cluster = configuration.read(file)
    members = tuple(replica.name for replica in cluster.replicas)
    for name in replicas or members:
        storage = open_storage(file, cluster, name)
        initialize(storage, members)
        storage.close()
        click.echo(f"{name}: {storage.path}")


# --- agents of nodes, for trials ---


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.argument("config", type=FILE_PATH)
@click.option("--away-ms", type=click.FloatRange(0.0), help="Play drains to the end: back after that.")
@click.option(
    "--gangs",
    type=click.Path(path_type=Path, file_okay=False),
    help="Play gangs' members too: what works when, in files of this folder.",
)
@click.option("--room", type=click.IntRange(0, 1 << 32), default=0, help="Of each node, for long jobs.")
def agent(file: Path, config: Path, away_ms: float | None, gangs: Path | None, room: int) -> None:
    """Play the agents of all nodes that the marshal's configuration CONFIG knows, until Ctrl-C."""
    import anyio

    nodes = _read_nodes(config, room)
    if gangs is None:
        from brookreach.disruption.node_agent import run_agents

        away_s = None if away_ms is None else away_ms / 1000.0
        report_errors(lambda: anyio.run(run_agents, file, nodes, away_s, click.echo))
        return
    if away_ms is not None:
        raise click.ClickException("--away-ms with --gangs: nodes that gangs use are not played away")
    from brookreach.gang_scheduling.agent import process

    report_errors(lambda: anyio.run(process.run_agents, file, nodes, room, gangs, click.echo))


def _read_nodes(config: Path, capacity: int) -> list[NodeDescription]:
    """Returns the nodes of a load balancer's configuration, each with `capacity` for long jobs."""
    from dataclasses import replace

    from brookreach.configuration import StartupError, read_json_object
    from brookreach.disruption.node_agent import nodes_from_configuration

    try:
        return [
            replace(node, capacity=capacity)
            for node in nodes_from_configuration(read_json_object(str(config), "CONFIG"))
        ]
    except StartupError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError, ValueError) as error:
        raise click.ClickException(f"{config} is no marshal's configuration: {error!r}") from None


# --- commands of operators ---


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@WAIT_OPTION
def show(file: Path, as_json: bool, wait: float) -> None:
    """Print what is agreed."""
    state = OperatorSession(file, wait).run(_read_state)
    print_result(as_json, state, lambda: _format_state(state))


async def _read_state(client: OneShotClient) -> dict[str, Any]:
    """Returns the object that `show --json` prints."""
    from brookreach.coordination.protocol.tags import wire_fields

    view = await client.read_view()
    cache = client.client.cache
    tables = {
        table: {row_key: wire_fields(row) for row_key, row in view.rows(table)} for table in sorted(cache.watched)
    }
    return {"leader": client.leader, "index": cache.index, "at_ms": cache.agreed_time_ms, "tables": tables}


def _format_state(state: dict[str, Any]) -> str:
    lines = [f"leader {state['leader']}, place {state['index']}, agreed time {state['at_ms']} ms"]
    for table, rows in state["tables"].items():
        lines.append(f"{table}: {len(rows) or 'none'}")
        for row_key, row in rows.items():
            fields = [f"{name}={value}" for name, value in row.items() if value not in ("", 0, False)]
            lines.append(" ".join((f"  {row_key}", *fields)))
    return "\n".join(lines)


@fleet.command()
@click.argument("file", type=FILE_PATH)
@click.argument("way", type=click.Choice(["add", "remove"]))
@click.argument("keeper")
@WAIT_OPTION
def seats(file: Path, way: Literal["add", "remove"], keeper: str, wait: float) -> None:
    """Give the KEEPER a seat, or take it away. One at a time; each must have come along before the next."""
    from brookreach.coordination.server.membership_commands import ChangeMembership
    from brookreach.coordination.state_machine.sessions import MEMBERSHIP

    OperatorSession(file, wait).propose(MEMBERSHIP, ChangeMembership(way, keeper))
