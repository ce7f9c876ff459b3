"""Log lines: plain print to standard error, so many a second of each kind.

It owns what the log looks like. It must never block on anything but standard error, nor keep lines.
"""

from __future__ import annotations

import sys
import time


class Report:
    def __init__(self, name: str, lines: int):
        self.name, self.most = name, lines
        self.counts: dict[str, list[int]] = {}  # by kind: the second, lines in it, lines left out

    def say(self, kind: str, text: str) -> None:
        second = int(time.monotonic())
        count = self.counts.setdefault(kind, [second, 0, 0])
        left_out = 0
        if count[0] != second:
            left_out, count[:] = count[2], [second, 0, 0]
        count[1] += 1
        if count[1] > self.most:
            count[2] += 1
            return
        if left_out:
            print(f"{self.name} {kind}: {left_out} lines left out", file=sys.stderr, flush=True)
        plain = " ".join(text.split())
        print(f"{self.name} {kind}: {plain}", file=sys.stderr, flush=True)
