"""`brookreach xds serve FILE`: the xDS control plane."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import click


@click.group()
def xds() -> None:
    """The module's decisions given to proxies that are not ours."""


@xds.command()
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False))
@click.option("--log", type=click.Choice(["plain", "json"]), default="plain", show_default=True)
def serve(file: Path, log: str) -> None:
    """Serve ADS as FILE (TOML) says, until SIGTERM; SIGHUP reads it again."""
    import anyio

    from brookreach.cli.structured import select_writer
    from brookreach.configuration import StartupError
    from brookreach.files import InvalidFileError
    from brookreach.tls.errors import InvalidCredentialsError
    from brookreach.xds.config import read_configuration
    from brookreach.xds.control_plane import ControlPlane

    try:
        control_plane = ControlPlane(file, read_configuration(file), partial(select_writer, log))
        anyio.run(control_plane.run)
    except (StartupError, InvalidFileError, InvalidCredentialsError, OSError) as error:
        raise click.ClickException(str(error)) from None
