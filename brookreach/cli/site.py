"""`brookreach site CONFIG`: stand-ins for all that a marshal's configuration names, on loopback."""

from __future__ import annotations

import signal
from pathlib import Path

import click


@click.command()
@click.argument("config", type=click.Path(path_type=Path, dir_okay=False))
def site(config: Path) -> None:
    """Play the nodes, discovery and the platform of CONFIG until Ctrl-C, so that a marshal can be tried."""
    import anyio

    from brookreach.configuration import StartupError, read_json_object
    from brookreach.simulation.stand_ins import Site

    async def play(played: Site) -> None:
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async with anyio.create_task_group() as tasks:
                await tasks.start(played.run)
                click.echo(
                    f"{len(played.nodes)} nodes, discovery and the platform stand; now, elsewhere: "
                    f"python -m brookreach run {config}"
                )
                async for _ in signals:
                    tasks.cancel_scope.cancel()
        for at, node in sorted(played.nodes.items()):
            click.echo(f"node {at}: {node.served} queries on {node.links} connections")

    try:
        played = Site(read_json_object(str(config), "CONFIG"))
    except StartupError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError, ValueError) as error:
        raise click.ClickException(f"{config} is no marshal's configuration: {error!r}") from None
    try:
        anyio.run(play, played)
    except* OSError as group:
        taken = group.exceptions[0]
        click.echo(f"Error: an address of {config} can't be listened on: {taken}", err=True)
        raise SystemExit(1) from None
