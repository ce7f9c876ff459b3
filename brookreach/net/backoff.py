"""How long one waits before a call that failed is made again.

It owns the growth of the pause and its chance part: marshals that lost a service together must not call it
together again. It must never sleep, nor know what was called.
"""

from __future__ import annotations

import random


class Backoff:
    """Pauses in seconds: none at first, then `initial_s` and twice as long after each failure, up to `max_s`;
    each of them half as long to half as long again by chance. What served sets them back."""

    def __init__(self, initial_s: float, max_s: float, rng: random.Random) -> None:
        self.initial_s, self.max_s, self.rng, self.next_s = initial_s, max_s, rng, 0.0

    def next_delay_s(self) -> float:
        """How long to wait before the next call; should it fail too, the one after it waits longer."""
        pause_s = self.next_s * self.rng.uniform(0.5, 1.5)
        self.next_s = min(max(2.0 * self.next_s, self.initial_s), self.max_s)
        return pause_s

    def reset(self) -> None:
        self.next_s = 0.0
