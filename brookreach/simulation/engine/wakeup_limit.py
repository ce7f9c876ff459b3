"""Finds a process that wakes again and again without time passing."""

from __future__ import annotations

MAX_WAKEUPS_PER_MS = 2000  # a process that wakes more often never sleeps


class BusyLoopError(RuntimeError):
    """A process does the same again and again without time passing."""


class WakeupLimit:
    """Counts the wakeups of one process."""

    def __init__(self) -> None:
        self._count = 0
        self._since_ms = 0.0

    def count(self, now_ms: float) -> None:
        """Count a wakeup.

        Raises:
            BusyLoopError: There were too many within a millisecond of true time.
        """
        if now_ms - self._since_ms > 1.0:
            self._count = 0
            self._since_ms = now_ms
        self._count += 1
        if self._count > MAX_WAKEUPS_PER_MS:
            raise BusyLoopError(f"it wakes {MAX_WAKEUPS_PER_MS} times in one ms")
