"""Timers in the order in which they are due: those of the decisions, by token, and alarms of the network side.

It owns the order. It must never wait.
"""

from __future__ import annotations

import heapq
import math

from brookreach.net.poller import Expirable


class Timers:
    """A heap; timers of the same time ring in the order in which they were set. Times are ms of the driver's clock."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, int | Expirable]] = []  # when, in what order set, token or alarm
        self.count = 0

    def schedule(self, at: float, what: int | Expirable) -> None:
        self.count += 1
        heapq.heappush(self.heap, (at, self.count, what))

    def next_due_ms(self) -> float:
        """When the next one is due, infinite where there is none."""
        return self.heap[0][0] if self.heap else math.inf

    def pop(self) -> int | Expirable:
        return heapq.heappop(self.heap)[2]

    def drop_tokens(self) -> None:
        """Keep only alarms: the decisions that set the others have ended."""
        self.heap = [timer for timer in self.heap if isinstance(timer[2], Expirable)]
        heapq.heapify(self.heap)
