"""`brookreach run`: one balancer in the foreground, as the platform starts it, with options of its own."""

from __future__ import annotations

import os
import sys
from functools import partial
from pathlib import Path

import click


@click.command()
@click.argument("config", required=False, type=click.Path(path_type=Path, dir_okay=False))
@click.option(
    "--log",
    type=click.Choice(["plain", "json"]),
    default="plain",
    show_default=True,
    help="Lines for people, or one JSON object a line.",
)
@click.option(
    "--record",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Keep the last builds' verdicts here; written at each change of a build's stage and at the end.",
)
@click.option(
    "--fleet",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Act together with the group that FILE (TOML) names: agreed drains are heard as discovery's are.",
)
@click.option("--ask-restart", is_flag=True, help="With --fleet: SIGTERM asks for a permit, without waiting.")
def run(config: Path | None, log: str, record: Path | None, fleet: Path | None, ask_restart: bool) -> None:
    """Start one marshal with the configuration CONFIG, or the one that PROXY_CONFIG names."""
    from brookreach import __main__ as balancer
    from brookreach.cli.structured import select_writer

    if config is not None:
        os.environ["PROXY_CONFIG"] = str(config)
    if fleet is None:
        sys.exit(balancer.serve(partial(select_writer, log), record))
    from brookreach.disruption.balancer_client import BalancerClient
    from brookreach.files import InvalidFileError

    try:
        make_client = partial(BalancerClient, path=fleet, restarts=ask_restart)
        sys.exit(balancer.serve(partial(select_writer, log), record, make_client))
    except InvalidFileError as error:
        click.echo(f"brookreach: {error}", err=True)
        sys.exit(2)
