"""Errors of TLS credentials."""

from __future__ import annotations


class TlsError(Exception):
    """Base of the errors that this package raises."""


class InvalidCredentialsError(TlsError, ValueError):
    """The credentials can't be used; the text says why and never quotes a key."""
