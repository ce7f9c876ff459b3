"""Sums over a sliding time."""

from __future__ import annotations


class SlidingWindowSum:
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
