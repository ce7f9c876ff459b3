"""How a call for the list of nodes failed, and what that tells of the service.

This module owns the distinction between a service that is out of reach, one that refuses, and one whose queue is
overloaded. It must never decide when the next call is made.
"""

from __future__ import annotations

import enum

from brookreach.net.http import HTTP_OK, HttpConnection
from brookreach.net.limits import Limits

OVERLOADED_AFTER_S = 1.0  # an error that comes so long after its call has waited in the service's queue


class CallFailure(enum.Enum):
    """How a call failed, as far as the caller can tell."""

    STALE_CONNECTION = enum.auto()  # a kept connection had been closed before the call: nothing is known of the service
    UNREACHABLE = enum.auto()  # no connection, or it was lost before an answer
    UNREADABLE = enum.auto()  # an answer that broke off or can't be taken over
    REFUSED = enum.auto()  # answered with an error, at once
    OVERLOADED = enum.auto()  # answered with an error, after the service had kept the call waiting
    SILENT = enum.auto()  # given up


def failure_of_call(error: Exception, http: HttpConnection | None, waited_s: float, limits: Limits) -> CallFailure:
    """Return how a call failed.

    Args:
        error: What it raised.
        http: Its connection, None if that was not made.
        waited_s: The time since the call began.
        limits: The time-outs of calls.
    """
    if isinstance(error, TimeoutError):
        return CallFailure.SILENT
    if http is None:
        return CallFailure.UNREACHABLE
    if http.status is None:
        is_stale = bool(http.last_body) and waited_s < limits.retry_min_s
        return CallFailure.STALE_CONNECTION if is_stale else CallFailure.UNREACHABLE
    if http.status == HTTP_OK:
        return CallFailure.UNREADABLE
    has_queued = OVERLOADED_AFTER_S <= waited_s <= limits.full_list_timeout_s
    return CallFailure.OVERLOADED if has_queued else CallFailure.REFUSED
