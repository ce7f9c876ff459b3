"""Errors of carbon-aware scheduling."""

from __future__ import annotations


class CarbonAwareError(Exception):
    """Base class of the errors that this package raises."""


class InvalidTimeError(CarbonAwareError, ValueError):
    """A value is not a time, has no UTC offset, or lies outside the years that a schedule may cover."""


class InvalidIntensityError(CarbonAwareError, ValueError):
    """A value is not a carbon intensity within the limits of a schedule."""
