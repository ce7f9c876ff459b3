"""Exponential backoff with jitter, in milliseconds."""

from __future__ import annotations

import random

from brookreach.coordination.timing import Timing

MAX_DOUBLINGS = 12
MAX_RETRY_AFTER_LEASES = 10  # a replica that asks for a longer wait than so many leases is not believed


class Backoff:
    """Delays between attempts that double until an attempt succeeds.

    Each delay is drawn from the upper half of its range, so that clients that failed together don't retry together.
    """

    def __init__(self, timing: Timing, rng: random.Random):
        self._initial_ms = timing.heartbeat_ms
        self._max_retry_after_ms = MAX_RETRY_AFTER_LEASES * timing.lease_ms
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Records a success: the next delay is the shortest again."""
        self._failures = 0

    def next_delay_ms(self, max_delay_ms: float, retry_after_ms: int = 0) -> float:
        """Records a failure and returns the delay before the next attempt.

        Args:
            max_delay_ms: Upper bound of the drawn delay.
            retry_after_ms: How long the replica asked to wait; the drawn delay is added to it.
        """
        delay_ms = min(max_delay_ms, self._initial_ms * 2 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return min(float(retry_after_ms), self._max_retry_after_ms) + self._rng.uniform(delay_ms / 2, delay_ms)
