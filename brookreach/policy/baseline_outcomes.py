"""The last outcomes of a method on the earlier build."""

from __future__ import annotations

from collections import deque


class BaselineOutcomes:
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
