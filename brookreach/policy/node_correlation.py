"""Correlation of durations at one node: RPCs that waited in one queue tell less than as many at different nodes."""

import math
from typing import Final

from brookreach.policy.cusum import BASELINE_FRESH_MS

MEMORY_MS: Final = 0.25 * BASELINE_FRESH_MS  # time constant by which a node's earlier durations lose weight
INITIAL_CORRELATION: Final = 0.05
LEARNING_RATE: Final = 0.01
MAX_CORRELATION: Final = 0.8


class NodeCorrelation:
    """The correlation between duration scores of one node, learned on the baseline build."""

    def __init__(self) -> None:
        self.correlation = INITIAL_CORRELATION
        self.last = dict[int, tuple[float, float, float]]()  # by node: score, when (ms), decayed number of scores

    def forget_nodes(self) -> None:
        """Forgets the scores for another build. The learned correlation is a property of the nodes and stays."""
        self.last = {}

    def weigh(self, now: float, node: int, score: float, is_baseline: bool) -> float:
        """Returns how much of a new score counts beside the node's recent ones, between 0 and 1.

        `is_baseline`: the score is of the baseline build, and the correlation is learned from it.
        """
        last_score, last_ms, count = self.last.get(node, (0.0, now, 0.0))
        count *= math.exp((last_ms - now) / MEMORY_MS)
        if is_baseline and now - last_ms < MEMORY_MS and count > 0.0:
            learned = self.correlation + LEARNING_RATE * (score * last_score - self.correlation)
            self.correlation = min(MAX_CORRELATION, max(0.0, learned))
        self.last[node] = score, now, count + 1.0
        weight: float = (1.0 + count * self.correlation / (1.0 - self.correlation)) ** -2.0
        return weight
