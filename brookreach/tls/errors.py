"""Errors of TLS credentials."""

from __future__ import annotations


class TlsError(Exception):
    """Base of the errors that this package raises."""


class InvalidCredentialsError(TlsError, ValueError):
    """Why credentials can't be used; its text never holds anything of a key."""
