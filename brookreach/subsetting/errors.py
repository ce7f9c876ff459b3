"""Errors of subsetting."""

from __future__ import annotations


class SubsettingError(Exception):
    """Base of the errors that this package raises."""


class InvalidViewError(SubsettingError, ValueError):
    """A view or change that no placement can be made of."""
