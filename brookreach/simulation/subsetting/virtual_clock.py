"""A virtual clock with callbacks, in ms."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], object]


class VirtualClock:
    """Runs callbacks in the order of their times; those of one time in the order in which they were added."""

    def __init__(self) -> None:
        self.now_ms = 0
        self._queue: list[tuple[int, int, Callback]] = []
        self._sequence = itertools.count()

    def call_later(self, delay_ms: int, callback: Callback) -> None:
        """Runs the callback once."""
        heapq.heappush(self._queue, (self.now_ms + delay_ms, next(self._sequence), callback))

    def call_every(self, interval_ms: int, callback: Callback) -> None:
        """Runs the callback again and again, for the first time after one interval."""

        def run_and_repeat() -> None:
            callback()
            self.call_later(interval_ms, run_and_repeat)

        self.call_later(interval_ms, run_and_repeat)

    def run_for(self, duration_ms: int) -> None:
        """Runs what is due within the duration."""
        end_ms = self.now_ms + duration_ms
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, callback = heapq.heappop(self._queue)
            callback()
        self.now_ms = end_ms
