"""How alike the times of one node are: RPCs that waited in one queue tell less than as many of different nodes."""

import math

from brookreach.policy.cusum import BASELINE_FRESH_MS

MEMORY_MS = 0.25 * BASELINE_FRESH_MS  # how long a time of a node counts as one of late
LEARNING_RATE = 0.01
MAX_CORRELATION = 0.8


class NodeCorrelation:
    """The correlation of scores of one node, learned on the earlier build, and each node's last score."""

    def __init__(self) -> None:
        self.correlation = 0.05
        self.last = dict[int, tuple[float, float, float]]()  # by node: score, when (ms), how many of late

    def forget_nodes(self) -> None:
        """Begins anew with another build; the correlation is the nodes' own and stays."""
        self.last = {}

    def weigh(self, now: float, node: int, score: float, earlier: bool) -> float:
        """Returns what one more time of a node adds to those it gave of late, between 0 and 1.

        `earlier`: the time is of the earlier build, and the correlation is learned from it.
        """
        old, at, count = self.last.get(node, (0.0, now, 0.0))
        count *= math.exp((at - now) / MEMORY_MS)
        if earlier and now - at < MEMORY_MS and count > 0.0:
            learned = self.correlation + LEARNING_RATE * (score * old - self.correlation)
            self.correlation = min(MAX_CORRELATION, max(0.0, learned))
        self.last[node] = score, now, count + 1.0
        return (1.0 + count * self.correlation / (1.0 - self.correlation)) ** -2.0
