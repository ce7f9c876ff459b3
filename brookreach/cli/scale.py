"""`brookreach scale NAME`: measures what a role of the program costs at given sizes."""

from __future__ import annotations

import click

from brookreach.cli.lazy import LazyGroup

COMMANDS = {
    "marshal": "brookreach.cli.scale_marshal:marshal",
    "control": "brookreach.cli.scale_control:control",
    "storm": "brookreach.cli.scale_control:storm",
    "counts": "brookreach.cli.scale_control:counts",
    "hollow": "brookreach.cli.scale_control:hollow",
}


@click.group(cls=LazyGroup, lazy_commands=COMMANDS)
def scale() -> None:
    """Measure what each role costs at sizes that you state, on this machine, with slopes fitted to it."""


class InvalidInputError(click.ClickException):
    """What was asked for can't be measured; the line that is printed says what is allowed."""

    exit_code = 2
