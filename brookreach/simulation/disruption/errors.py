"""Errors of the drills of planned disruptions: a drill that can't go on, as against a rule that is broken."""

from __future__ import annotations


class DisruptionDrillError(Exception):
    """Base of these errors."""


class CommandNotAcceptedError(DisruptionDrillError):
    """A command that the drill depends on was rejected."""


class OpenPermitsError(DisruptionDrillError):
    """Permits are open after all targets returned."""
