"""A click group whose commands are imported when they are asked for, so that each needs its own libraries only."""

from __future__ import annotations

import importlib
import importlib.util
from collections.abc import Mapping
from typing import Any

import click


class LazyGroup(click.Group):
    """A group whose commands are named by where they are imported from.

    A command whose module is not installed is neither listed nor found.

    Attributes:
        lazy_commands: By command: its place, as `package.module:attribute`.
    """

    def __init__(self, *args: Any, lazy_commands: Mapping[str, str], **settings: Any) -> None:
        super().__init__(*args, **settings)
        self.lazy_commands = lazy_commands

    def list_commands(self, _context: click.Context) -> list[str]:
        """Return the names of the commands whose modules are installed."""
        return [name for name in self.lazy_commands if self._installed(name)]

    def get_command(self, _context: click.Context, name: str) -> click.Command | None:
        """Import a command; return None if there is no such command.

        Raises:
            ClickException: A library that it needs is not installed.
        """
        if not self._installed(name):
            return None
        module, attribute = self.lazy_commands[name].split(":")
        try:
            command = getattr(importlib.import_module(module), attribute)
        except ImportError as error:
            raise click.ClickException(
                f"{name} needs a library that is not installed ({error.name}): pip install brookreach[tools,plots]"
            ) from None
        assert isinstance(command, click.Command)
        return command

    def _installed(self, name: str) -> bool:
        return (
            name in self.lazy_commands and importlib.util.find_spec(self.lazy_commands[name].split(":")[0]) is not None
        )
