"""Exceptions that the subsetting package raises."""

from __future__ import annotations


class SubsettingError(Exception):
    """Base class of the exceptions of this package."""


class InvalidViewError(SubsettingError, ValueError):
    """A view or change is not valid, so no placement can be computed from it."""
