"""Virtual time: callbacks in the order of their moments, and of their scheduling where these are the same."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class EventQueue:
    """A clock that only moves from event to event.

    Attributes:
        now_ms: The present moment.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._events: list[tuple[float, int, Callable[..., object], tuple[object, ...]]] = []
        self._numbers = itertools.count()

    def schedule(self, delay_ms: float, callback: Callable[..., object], *arguments: object) -> None:
        """Calls back after a delay, at once for a negative one."""
        entry = (self.now_ms + max(0.0, delay_ms), next(self._numbers), callback, arguments)
        heapq.heappush(self._events, entry)

    def run(self, until_ms: float) -> None:
        """Runs all events up to a moment, and moves the clock there."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now_ms = until_ms
