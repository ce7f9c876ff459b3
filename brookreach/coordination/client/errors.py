"""Errors that a client of the cluster raises."""

from __future__ import annotations

from brookreach.coordination.client.rejections import Rejection
from brookreach.coordination.errors import CoordinationError


class ClientError(CoordinationError):
    """Base class of the errors of a client."""


class SessionNotHeldError(ClientError):
    """The client has no session whose lease holds, so it may not act in a session's name."""


class TooManyRequestsError(ClientError):
    """The queue of requests is full; the rejected request was not taken."""


class RequestOutOfOrderError(ClientError):
    """The outcome of a request can no longer be known; the session has to be given up."""


class ClusterUnreachableError(ClientError):
    """No replica answered in time, or the cluster rejects this client. The text is for the operator."""


class RejectedUpdateError(ClientError):
    """A watch message that does not fit the cached tables. It had no effect on them.

    Attributes:
        rejection: The cause, by which such messages are counted.
        needs_new_watch: Whether only the answer to a new WatchRequest can bring the cache up to date.
    """

    def __init__(self, rejection: Rejection, needs_new_watch: bool):
        super().__init__(rejection.value)
        self.rejection = rejection
        self.needs_new_watch = needs_new_watch
