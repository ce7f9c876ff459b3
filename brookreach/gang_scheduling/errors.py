"""Errors of gang scheduling, apart from the rejections that are answers to commands."""

from __future__ import annotations


class GangSchedulingError(Exception):
    """Base class of this package's errors."""


class IllegalTransitionError(GangSchedulingError):
    """A gang or an incarnation changed into a state that its present one does not allow."""
