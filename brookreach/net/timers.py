"""Timers in the order in which they are due: those of the balancer, by token, and timeouts of the network side.

This module owns the order. It never waits.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from brookreach.net.poller import Expirable

MIN_TIMERS_TO_DROP = 256  # fewer are not worth a search


class Timers:
    """A heap; timers of the same time fire in the order in which they were set.

    Times are milliseconds of the driver's clock.
    """

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, int | Expirable]] = []  # when, in what order set, token or timeout
        self.count = 0
        self.needed_count = 0  # of timers, as of the last search

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

    def drop_settled(self, is_needed: Callable[[int | Expirable], bool]) -> None:
        """Drop the timers that would have no effect, once there may be more of these than of others.

        Most RPCs end long before their deadline: kept until then, their timers would hold more memory than open RPCs.
        """
        if len(self.heap) < 2 * self.needed_count + MIN_TIMERS_TO_DROP:
            return
        self.heap = [timer for timer in self.heap if is_needed(timer[2])]
        heapq.heapify(self.heap)
        self.needed_count = len(self.heap)

    def drop_tokens(self) -> None:
        """Keep only timeouts: the balancer that set the other timers is gone."""
        self.heap = [timer for timer in self.heap if isinstance(timer[2], Expirable)]
        heapq.heapify(self.heap)
