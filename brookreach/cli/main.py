"""`brookreach`: the group that all commands hang from."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Mapping
from typing import Any

import click

from brookreach.cli.lazy import LazyGroup

FAMILIES = {
    "run": "brookreach.cli.run:run",
    "site": "brookreach.cli.site:site",
    "check": "brookreach.cli.check:check",
    "verdict": "brookreach.cli.verdict:verdict",
    "waves": "brookreach.cli.waves:waves",
    "plot": "brookreach.cli.plot:plot",
    "drill": "brookreach.cli.drill:drill",
    "xds": "brookreach.cli.xds:xds",
    "fleet": "brookreach.cli.fleet:fleet",
    "scale": "brookreach.cli.scale:scale",
    "capacity": "brookreach.cli.capacity:capacity",
}


@click.group(cls=LazyGroup, lazy_commands=FAMILIES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="brookreach", message="%(prog)s %(version)s")
def main() -> None:
    """An RPC router that judges new builds while it routes: the marshal, its plans, records, experiments,
    drills.

    `python -m brookreach` without a word starts the marshal, as the platform does.
    """


def out(as_json: bool, told: Mapping[str, Any], text: Callable[[], str]) -> None:
    """One object and nothing else with --json, else lines for people."""
    click.echo(json.dumps(finite(told), sort_keys=True, allow_nan=False) if as_json else text())


def finite(told: Any) -> Any:
    """JSON knows no infinity: null stands for what has no figure."""
    if isinstance(told, Mapping):
        return {str(key): finite(value) for key, value in told.items()}
    if isinstance(told, list | tuple):
        return [finite(value) for value in told]
    return None if isinstance(told, float) and not math.isfinite(told) else told


def progress(label: str, as_json: bool) -> Callable[[int, int], None]:
    """A line that is written over on a terminal, a plain line at each tenth elsewhere; on standard error."""
    last = [-1]

    def tell(done: int, of: int) -> None:
        if as_json:
            return
        if sys.stderr.isatty():
            click.echo(f"\r{label} {done} of {of}", nl=done == of, err=True)
        elif of and done * 10 // of != last[0]:
            last[0] = done * 10 // of
            click.echo(f"{label} {done} of {of}", err=True)

    return tell
