"""`brookreach`: the root group of all commands, and how they print."""

from __future__ import annotations

import json
import math
import sys
from collections.abc import Callable, Mapping
from typing import Any

import click

from brookreach.cli.lazy import LazyGroup

COMMANDS = {
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


@click.group(cls=LazyGroup, lazy_commands=COMMANDS, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="brookreach", message="%(prog)s %(version)s")
def main() -> None:
    """An RPC router that judges new builds while it routes: the marshal, its plans, records, experiments, drills.

    `python -m brookreach` without a word starts the marshal, as the platform does.
    """


def print_result(as_json: bool, values: Mapping[str, Any], text: Callable[[], str]) -> None:
    """Print one JSON object and nothing else, or lines for people.

    Args:
        as_json: Whether --json was given.
        values: The object; any: each command has its own.
        text: Gives the lines; called only if they are printed.
    """
    click.echo(json.dumps(replace_non_finite(values), sort_keys=True, allow_nan=False) if as_json else text())


def replace_non_finite(value: Any) -> Any:
    """Return a value with None in place of infinities and NaN, which JSON doesn't know; keys become strings."""
    if isinstance(value, Mapping):
        return {str(key): replace_non_finite(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [replace_non_finite(item) for item in value]
    return None if isinstance(value, float) and not math.isfinite(value) else value


def progress_printer(label: str, as_json: bool) -> Callable[[int, int], None]:
    """Return a function that prints progress on standard error; with --json it prints nothing.

    On a terminal a line is overwritten, elsewhere there is a line for each tenth.

    Args:
        label: What is going on.
        as_json: Whether --json was given.
    """
    last_tenth = -1

    def print_progress(done: int, total: int) -> None:
        nonlocal last_tenth
        if as_json:
            return
        if sys.stderr.isatty():
            click.echo(f"\r{label} {done} of {total}", nl=done == total, err=True)
        elif total and done * 10 // total != last_tenth:
            last_tenth = done * 10 // total
            click.echo(f"{label} {done} of {total}", err=True)

    return print_progress
