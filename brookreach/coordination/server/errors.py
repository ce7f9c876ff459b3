"""Errors of the server package."""

from __future__ import annotations

from brookreach.coordination.errors import CoordinationError


class InvalidRequestError(CoordinationError):
    """A request that can't be answered as it is; the text is for the client."""
