"""The agreed time, as a leader counts it: whole ms since 1970, handed out in records.

It owns one term's count. It must never go back, nor follow this keeper's wall clock: that may be set.
"""

from __future__ import annotations


class AgreedTime:
    """Begins at `wall_ms`, the low median of the clocks that came with the votes; goes on by `now`."""

    def __init__(self, now: float, wall_ms: int):
        self._since, self._began_ms, self._last_ms = now, wall_ms, 0

    def at(self, now: float) -> int:
        self._last_ms = max(self._last_ms, self._began_ms + int(now - self._since))
        return self._last_ms

    def no_less(self, now: float, at_ms: int) -> None:
        """All records of earlier terms are applied, up to that time: it goes on from there."""
        self._began_ms = max(self.at(now), at_ms)
        self._since = now

    def when(self, at_ms: int) -> float:
        """The `now` at which it will have come to that."""
        return self._since + (at_ms - self._began_ms) + 1.0  # the fraction that `int` takes away
