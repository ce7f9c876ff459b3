"""Log lines to standard error, so many a second of each kind: plain, or as the one who starts it writes them.

It owns which lines are written. It must never block on anything but standard error, keep lines, or name a
library that a marshal started by `run` does not have: this file is compiled with those of `run` alone.
"""

from __future__ import annotations

import contextlib
import sys
import time
import traceback
from collections.abc import Callable

LineWriter = Callable[[str, str], object]  # a line's kind and its words
LineWriterFactory = Callable[[str], LineWriter | None]  # by a marshal's name what writes its lines; None: plain ones


class Report:
    def __init__(self, name: str, lines: int, writer: LineWriter | None = None):
        self.name, self.most = name, lines
        self.write: LineWriter = writer or self.write_plain
        self.counts: dict[str, list[int]] = {}  # by kind: the second, lines in it, lines left out

    def log(self, kind: str, text: str) -> None:
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
            self.write(kind, f"{left_out} lines left out")
        self.write(kind, " ".join(text.split()))

    def write_plain(self, kind: str, text: str) -> None:
        with contextlib.suppress(OSError):  # who reads the log may have gone, or its disk be full
            print(f"{self.name} {kind}: {text}", file=sys.stderr, flush=True)


def run_logging_errors(report: Report, step: Callable[[], object]) -> None:
    """Run one step. A defect that it meets is logged as a `fault`, and ends nothing else."""
    try:
        step()
    except Exception:
        report.log("fault", traceback.format_exc(limit=-2))
