"""The times of a shutdown, fixed once when its signal comes.

This module owns when all answers are due and when the process exits. It answers no RPC and closes no connection.
"""

from __future__ import annotations

import math
import time
from enum import IntEnum

from brookreach.net.limits import Limits


class ShutdownPhase(IntEnum):
    """How far a shutdown has come."""

    NONE = 0
    REFUSING_NEW = 1  # new connections are refused, those between RPCs are ended
    PAST_DEADLINE = 2  # past the drain's deadline: no connection is waited for
    CLOSING = 3  # connections that still wait to be accepted are refused, and the listener closed


class Drain:
    """The deadline of a shutdown; infinite until it begins. Times are seconds of the monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.began_at = self.refuse_new_at = self.deadline = self.exit_at = math.inf

    def begin(self, signalled_at: float = math.inf) -> None:
        """The signal has come, at `signalled_at` at the earliest, now if that is not known.

        A second one changes nothing.
        """
        if self.has_begun:
            return
        # The kill is counted from the signal: whatever is late here must not delay the exit.
        self.began_at = min(signalled_at, time.monotonic())
        self.deadline = self.began_at + self.limits.drain_timeout_s
        self.refuse_new_at = min(self.began_at + self.limits.refuse_new_after_s, self.deadline)
        self.exit_at = self.deadline + self.limits.exit_grace_s

    @property
    def has_begun(self) -> bool:
        """Whether the process was told to stop."""
        return self.began_at < math.inf

    def answer_due(self, due: float) -> float:
        """Return when an answer is due whose client waits for it until `due`."""
        return min(due, self.deadline)
