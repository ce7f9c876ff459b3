"""The end of a process that was told to stop: fixed once, when the signal comes, by the monotonic clock.

It owns when all answers are due and when the process ends. It must never answer an RPC or close a connection.
"""

from __future__ import annotations

import math
import time

from brookreach.net.limits import Limits


class Drain:
    """The deadline of a stop; infinite until it begins. Times are seconds of the monotonic clock."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.began = self.last_call = self.deadline = self.end = math.inf

    def begin(self) -> None:
        """The signal has come. A second one moves nothing."""
        if self.has_begun:
            return
        # The kill is counted from the signal: whatever is late here must not move the end with it.
        self.began = time.monotonic()
        self.deadline = self.began + self.limits.stop_s
        self.last_call = min(self.began + self.limits.linger_s, self.deadline)
        self.end = self.deadline + self.limits.past_s

    @property
    def has_begun(self) -> bool:
        """Whether the process was told to stop."""
        return self.began < math.inf

    def due(self, due: float) -> float:
        """When an answer is due that its client waits for until `due`."""
        return min(due, self.deadline)
