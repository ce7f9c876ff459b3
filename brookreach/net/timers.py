"""Timers in the order in which they are due: those of the balancer, by token, and timeouts of the network side.

This module owns the order. It never waits.
"""

from __future__ import annotations

import heapq
import math

from brookreach.net.poller import Expirable


class Timers:
    """A heap; timers of the same time fire in the order in which they were set.

    Times are milliseconds of the driver's clock.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, int | Expirable]] = []  # when, in what order set, token or timeout
        self.count = 0

    def schedule(self, at_ms: float, target: int | Expirable) -> None:
        """Set a timer for a token of the balancer or for a timeout."""
        self.count += 1
        heapq.heappush(self.heap, (at_ms, self.count, target))

    def next_due_ms(self) -> float:
        """Return when the next timer is due; infinite if there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def pop(self) -> int | Expirable:
        """Remove the next timer and return its target."""
        return heapq.heappop(self.heap)[2]

    def drop_tokens(self) -> None:
        """Keep only timeouts: the balancer that set the other timers is gone."""
        self.heap = [timer for timer in self.heap if isinstance(timer[2], Expirable)]
        heapq.heapify(self.heap)
