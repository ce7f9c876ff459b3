"""The cluster's agreed time, as a leader counts it during its term: whole ms since 1970, put into log records.

It never goes back and does not follow the leader's wall clock, which may be set at any time.
"""

from __future__ import annotations


class AgreedClock:
    """Starts at the low median of the clocks that came with the votes, and advances with the monotonic clock."""

    def __init__(self, now: float, wall_ms: int):
        self._started_at = now
        self._start_ms = wall_ms
        self._last_ms = 0

    def read(self, now: float) -> int:
        """Return the agreed time at `now`."""
        elapsed_ms = int(now - self._started_at)
        self._last_ms = max(self._last_ms, self._start_ms + elapsed_ms)
        return self._last_ms

    def advance_to(self, now: float, at_ms: int) -> None:
        """Go on from `at_ms`, the time of the last record of earlier terms, if that is later."""
        self._start_ms = max(self.read(now), at_ms)
        self._started_at = now

    def local_time_of(self, at_ms: int) -> float:
        """Return the `now` at which the agreed time will have come to `at_ms`."""
        return self._started_at + (at_ms - self._start_ms) + 1.0  # `read` drops the fraction of a ms
