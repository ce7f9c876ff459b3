"""Exponential backoff with jitter: how long to wait before a failed call is repeated.

This module owns the growth and the jitter of the delays: balancers that lost a service together must not call it
again together. It must never sleep, nor know what was called.
"""

from __future__ import annotations

import random

GROWTH_FACTOR = 2.0  # of the delay after each failure
MIN_JITTER = 0.5  # a delay is multiplied by a random factor between these two
MAX_JITTER = 1.5


class Backoff:
    """The delays, in seconds, between repeated calls to one service.

    The first delay is 0, the next `initial_s`, and each further one doubles up to `max_s`. Each is multiplied by a
    random factor between 0.5 and 1.5. A call that succeeds starts the sequence again.

    Args:
        initial_s: The delay after the first failure, before jitter.
        max_s: The longest delay, before jitter.
        rng: The source of the jitter.
    """

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        self.initial_s = initial_s
        self.max_s = max_s
        self.rng = rng
        self.next_s = 0.0  # before jitter

    def next_delay_s(self) -> float:
        """Return how long to wait before the next call, and lengthen the delay after it in case that fails too."""
        delay_s = self.next_s * self.rng.uniform(MIN_JITTER, MAX_JITTER)
        self.next_s = min(max(GROWTH_FACTOR * self.next_s, self.initial_s), self.max_s)
        return delay_s

    def reset(self) -> None:
        """Start again without a delay: the last call succeeded, or the next one goes to another address."""
        self.next_s = 0.0
