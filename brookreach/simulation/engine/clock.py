"""The clocks of a simulated process: a monotonic and a wall clock that run at their own rate."""

from __future__ import annotations

import math
import random

MONOTONIC_START_MS = 1000.0
EPOCH_MS = 1_800_000_000_000  # wall clocks begin about here
MAX_WALL_OFFSET_MS = 2000.0


class DriftingClock:
    """Both clocks of one process as functions of the true time.

    Attributes:
        rate: Local milliseconds in one true millisecond.
        wall_offset_ms: How far the wall clock is off; a clock jump changes it.
    """

    def __init__(self, rate: float, wall_offset_ms: float):
        self.rate = rate
        self.wall_offset_ms = wall_offset_ms

    @classmethod
    def draw(cls, rng: random.Random, max_drift: float) -> DriftingClock:
        """Draw a clock; the rates of any two differ by at most `max_drift`, as a fraction.

        The slowest and the fastest rate are as likely as all between them together.
        """
        half = math.log1p(max_drift) / 2.0
        log_rate = rng.choice((-half, half, rng.uniform(-half, half)))
        return cls(math.exp(log_rate), rng.uniform(-MAX_WALL_OFFSET_MS, MAX_WALL_OFFSET_MS))

    def monotonic_ms(self, true_ms: float) -> float:
        """Return what the monotonic clock shows at a true time."""
        return MONOTONIC_START_MS + true_ms * self.rate

    def wall_ms(self, true_ms: float) -> int:
        """Return what the wall clock shows at a true time, in ms since the Unix epoch."""
        return EPOCH_MS + round(true_ms * self.rate + self.wall_offset_ms)

    def true_ms(self, monotonic_ms: float) -> float:
        """Return the true time at which the monotonic clock shows `monotonic_ms`."""
        return (monotonic_ms - MONOTONIC_START_MS) / self.rate

    def true_duration_ms(self, local_ms: float) -> float:
        """Return how long a local duration takes in true time."""
        return local_ms / self.rate
