"""The log: lines to standard error, a limited number per second of each kind.

This module owns which lines are written. It never blocks on anything but standard error, keeps no lines, and imports
no library beyond those of the platform's `run`, with which alone it is compiled: lines in another form are written by
who starts the process.
"""

from __future__ import annotations

import contextlib
import sys
import time
import traceback
from collections.abc import Callable

LineWriter = Callable[[str, str], object]  # takes a line's kind and its text
LineWriterFactory = Callable[[str], LineWriter | None]  # by the balancer's name, what writes its lines; None: plain


class Report:
    """The log of one process.

    Args:
        name: Of the balancer, in front of each line.
        lines: How many lines of a kind are written in one second.
        writer: Writes a line; if None, lines are plain text on standard error.
    """

    def __init__(self, name: str, lines: int, writer: LineWriter | None = None):
        self.name = name
        self.max_lines = lines
        self.write: LineWriter = writer or self.write_plain
        self.counts: dict[str, list[int]] = {}  # by kind: the second, lines in it, lines left out

    def log(self, kind: str, text: str) -> None:
        """Write a line, unless too many of its kind were written in this second."""
        second = int(time.monotonic())
        count = self.counts.setdefault(kind, [second, 0, 0])
        left_out = 0
        if count[0] != second:
            left_out, count[:] = count[2], [second, 0, 0]
        count[1] += 1
        if count[1] > self.max_lines:
            count[2] += 1
            return
        if left_out:
            self.write(kind, f"{left_out} lines left out")
        self.write(kind, " ".join(text.split()))

    def write_plain(self, kind: str, text: str) -> None:
        """Write a line as plain text."""
        with contextlib.suppress(OSError):  # the reader of the log may be gone, or its disk full
            print(f"{self.name} {kind}: {text}", file=sys.stderr, flush=True)


def run_logging_errors(report: Report, step: Callable[[], object]) -> None:
    """Run one step. A defect that it meets is logged as a `fault`, and ends nothing else."""
    try:
        step()
    except Exception:
        report.log("fault", traceback.format_exc(limit=-2))
