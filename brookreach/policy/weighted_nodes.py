"""Draws by weight."""

from __future__ import annotations

import random
from bisect import bisect
from itertools import accumulate

from brookreach.interface import NodeEntry


class WeightedNodes:
    """Nodes that an RPC may go to, with running sums of what they can do: it is drawn by these."""

    def __init__(self, able: list[tuple[NodeEntry, float]]):
        self.entries, self.sums = [e for e, _ in able], list(accumulate(can for _, can in able))

    def draw(self, chance: random.Random, most: int) -> list[NodeEntry]:
        return (
            [
                self.entries[bisect(self.sums, chance.random() * self.sums[-1], 0, len(self.sums) - 1)]
                for _ in range(most)
            ]
            if self.entries
            else []
        )
