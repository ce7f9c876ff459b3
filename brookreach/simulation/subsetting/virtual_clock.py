"""A virtual clock that runs scheduled callbacks; times are in milliseconds."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], object]


class VirtualClock:
    """Runs callbacks in the order of their due times, and in the order of scheduling if these are equal."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._queue: list[tuple[int, int, Callback]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_ms: int, callback: Callback) -> None:
        """Schedules the callback to run once after the delay."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._sequence), callback))

    def call_every(self, interval_ms: int, callback: Callback) -> None:
        """Schedules the callback to run periodically, first after one interval."""

        def run_and_repeat() -> None:
            callback()
            self.call_later(interval_ms, run_and_repeat)

        self.call_later(interval_ms, run_and_repeat)

    def run_for(self, duration_ms: int) -> None:
        """Advances the clock by the duration and runs the callbacks that become due."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_ms = end_ms
