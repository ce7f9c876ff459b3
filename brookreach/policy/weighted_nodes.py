"""Random choice of nodes by weight."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from brookreach.interface import NodeEntry


class WeightedNodes:
    """Nodes that an RPC may go to. Each is drawn as often as its weight, its present capacity, says."""

    def __init__(self, weighted: list[tuple[NodeEntry, float]]):
        self.entries = [entry for entry, _ in weighted]
        self.cumulative_weights = list(accumulate(weight for _, weight in weighted))

    def draw(self, rng: random.Random, count: int) -> list[NodeEntry]:
        """Draws `count` nodes by weight, with replacement; none where there are no nodes."""
        return (
            [
                self.entries[
                    bisect(
                        self.cumulative_weights,
                        rng.random() * self.cumulative_weights[-1],
                        0,
                        len(self.cumulative_weights) - 1,
                    )
                ]
                for _ in range(count)
            ]
            if self.entries
            else []
        )
