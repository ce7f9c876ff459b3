"""The clock of the balancer: Unix time that never steps."""

from __future__ import annotations

import time


class Clock:
    """Unix time in milliseconds, as the starts of nodes are given.

    It is read once and carried on by the monotonic clock: between two starts the balancer sees one rate and no step.
    """

    def __init__(self) -> None:
        self.offset_ms = (time.time() - time.monotonic()) * 1000.0

    def to_unix_ms(self, monotonic_s: float) -> float:
        """Return a time of the monotonic clock as Unix time."""
        return self.offset_ms + monotonic_s * 1000.0

    def now_ms(self) -> float:
        """Return the Unix time now."""
        return self.to_unix_ms(time.monotonic())
