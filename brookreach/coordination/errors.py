"""Errors that the parts of the coordination service share."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of the coordination service's errors."""


class StorageError(CoordinationError):
    """A replica's storage can't be read or written, is corrupt, or belongs to another replica or cluster.

    A replica must stop on this error: it can no longer keep what it has promised.
    """
