"""Errors of carbon-aware scheduling."""

from __future__ import annotations


class CarbonAwareError(Exception):
    """Base of the errors that this package raises."""


class InvalidTimeError(CarbonAwareError, ValueError):
    """A value is no time, has no offset from UTC, or lies outside the years that a schedule may cover."""


class InvalidIntensityError(CarbonAwareError, ValueError):
    """A value is no carbon intensity that a schedule may hold."""
