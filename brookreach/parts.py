"""What the marshal's actors are made of: inboxes, what is held of an RPC, sums over a sliding time, the last
outcomes of a method, draws by weight.

It owns no figure and no decision: spans, buckets and counts are handed in by the `policy` files.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections import deque
from itertools import accumulate
from typing import Any

from brookreach.interface import Method, NodeEntry, RpcReceived

Due = deque[Any]  # the loop's order of work: a part, once for each note in its inbox


class Part:
    def __init__(self, due: Due):
        self.due = due
        self.inbox: deque[tuple[str, tuple[Any, ...]]] = deque()

    def tell(self, note: str, *args: Any) -> None:
        self.inbox.append((note, args))
        self.due.append(self)


class Rpc:
    """What the desk holds of one RPC; `picks` are [node entry, sent at, ending or None]."""

    def __init__(self, now: float, event: RpcReceived, facts: Method):
        self.id, self.method, self.facts = event.rpc_id, event.method, facts
        self.cost, self.key = event.cost_ms, event.key
        self.end, soft = event.deadline_ms, facts.soft_ms + facts.soft_stretch * (event.cost_ms or 0.0)
        self.soft = min(now + min(soft, facts.hard_ms), self.end)
        self.picks: list[list[Any]] = []
        self.bids: list[tuple[NodeEntry, int, float]] = []  # node, how sick, expected wait
        self.asked, self.drawn, self.done = 0, 0, False

    def pending(self) -> bool:
        return any(pick[2] is None for pick in self.picks)


class Earlier:
    """The earlier build's last outcomes of one method: (when sent, when ended, log time, error, failure).

    Fewer than `enough` tell no rate; answers older than `fresh_ms` are looked at only while they are fewer.
    """

    def __init__(self, most: int, enough: int, fresh_ms: float, kept_ms: float) -> None:
        self.kept: deque[tuple[float, float, float, bool, bool]] = deque(maxlen=most)
        self.enough, self.fresh_ms, self.kept_ms = enough, fresh_ms, kept_ms

    def errors(self) -> float:
        return sum([one[3] for one in self.kept]) / len(self.kept) if len(self.kept) >= self.enough else 0.0

    def beside(self, now: float) -> list[tuple[float, float, float, bool, bool]]:
        """The newest ones, of the same seconds."""
        out: list[tuple[float, float, float, bool, bool]] = []
        for one in reversed(self.kept):
            old = now - one[1] > (self.fresh_ms if len(out) >= self.enough else self.kept_ms)
            if old or len(out) == 2 * self.enough:
                break
            out.append(one)
        return out


class Ring:
    """A sum over a sliding time, in fixed buckets that are used again."""

    def __init__(self, span_ms: float, buckets: int = 40):
        self.width, self.buckets, self.mark, self.at = span_ms / buckets, buckets, -1, 0
        self.sums, self.marks = [0.0] * (buckets + 1), [-1] * (buckets + 1)
        self.past, self.oldest = 0.0, 0.0  # of all buckets but the newest; of the oldest

    def roll(self, now: float) -> None:
        mark = int(now // self.width)
        if mark != self.mark:
            low = mark - self.buckets
            self.past = sum([s for s, m in zip(self.sums, self.marks, strict=True) if low <= m < mark])
            self.oldest = sum([s for s, m in zip(self.sums, self.marks, strict=True) if m == low])
            self.mark, self.at = mark, mark % (self.buckets + 1)
            self.marks[self.at], self.sums[self.at] = mark, 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        self.roll(now)
        self.sums[self.at] += amount

    def total(self, now: float, inner: bool = False) -> float:
        """The sum of the span and the rest of its oldest bucket; `inner` leaves that bucket out."""
        self.roll(now)
        return self.past + self.sums[self.at] - (self.oldest if inner else 0.0)


class Side:
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
