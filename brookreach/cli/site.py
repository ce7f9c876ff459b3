"""`brookreach site CONFIG`: stand-ins for all that a balancer's configuration names, on loopback."""

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

    async def run_until_signal(stand_ins: Site) -> None:
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async with anyio.create_task_group() as tasks:
                await tasks.start(stand_ins.run)
                click.echo(
                    f"{len(stand_ins.nodes)} nodes, discovery and the platform stand; now, elsewhere: "
                    f"python -m brookreach run {config}"
                )
                async for _ in signals:
                    tasks.cancel_scope.cancel()
        for address, node in sorted(stand_ins.nodes.items()):
            click.echo(f"node {address}: {node.served} queries on {node.links} connections")

    try:
        stand_ins = Site(read_json_object(str(config), "CONFIG"))
    except StartupError as error:
        raise click.ClickException(str(error)) from None
    except (KeyError, TypeError, ValueError) as error:
        raise click.ClickException(f"{config} is no marshal's configuration: {error!r}") from None
    try:
        anyio.run(run_until_signal, stand_ins)
    except* OSError as group:
        first_error = group.exceptions[0]
        click.echo(f"Error: an address of {config} can't be listened on: {first_error}", err=True)
        raise SystemExit(1) from None
