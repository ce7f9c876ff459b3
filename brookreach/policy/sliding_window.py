"""A sum over a sliding time window."""

from __future__ import annotations


class SlidingWindowSum:
    """A sum over the last `span_ms`, kept in a fixed number of buckets that are used again."""

    def __init__(self, span_ms: float, bucket_count: int = 40):
        self.bucket_ms = span_ms / bucket_count
        self.bucket_count = bucket_count
        self.current_number = -1  # of the newest bucket, counted since time 0
        self.current_index = 0
        self.sums = [0.0] * (bucket_count + 1)
        self.numbers = [-1] * (bucket_count + 1)
        self.completed_sum = 0.0  # of all buckets but the newest
        self.oldest_sum = 0.0  # of the oldest bucket, which lies in the window only in part

    def advance(self, now: float) -> None:
        """Begins a new bucket when `now` lies past the newest one."""
        number = int(now // self.bucket_ms)
        if number != self.current_number:
            oldest = number - self.bucket_count
            self.completed_sum = sum([s for s, n in zip(self.sums, self.numbers, strict=True) if oldest <= n < number])
            self.oldest_sum = sum([s for s, n in zip(self.sums, self.numbers, strict=True) if n == oldest])
            self.current_number = number
            self.current_index = number % (self.bucket_count + 1)
            self.numbers[self.current_index] = number
            self.sums[self.current_index] = 0.0

    def add(self, now: float, amount: float = 1.0) -> None:
        """Adds `amount` at the time `now` (ms)."""
        self.advance(now)
        self.sums[self.current_index] += amount

    def total(self, now: float, without_oldest: bool = False) -> float:
        """Returns the sum of the window and of the rest of its oldest bucket.

        `without_oldest` leaves that bucket out, so that nothing from before the window is counted.
        """
        self.advance(now)
        return self.completed_sum + self.sums[self.current_index] - (self.oldest_sum if without_oldest else 0.0)
