"""Standstills: times in which this process was held up, told by its own clock between two turns of the driver.

What arrived meanwhile is found all at once at the end, and is older than it looks. This module owns how long the
process waits without looking at its clock, and what is late enough to be counted. It changes no deadline.
"""

from __future__ import annotations

import time

from brookreach.net.report import Report

MAX_WAIT_S = 0.05  # a standstill within a longer wait, ended by input, could not be told from a quiet time
MIN_STANDSTILL_S = 0.05  # past the end of a wait; less is the machine's usual delay


class StandstillMonitor:
    """Counts the standstills of one process.

    Attributes:
        count: How many there were.
        total_s: How long they lasted together.
    """

    def __init__(self, report: Report) -> None:
        self.report = report
        self.count = 0
        self.total_s = 0.0
        self._last_turn_at = time.monotonic()

    def check(self, planned_s: float) -> bool:
        """Return whether much more than `planned_s` has passed since the last turn began, and count it if so."""
        late_s = time.monotonic() - self._last_turn_at - planned_s
        if late_s < MIN_STANDSTILL_S:
            return False
        self.count += 1
        self.total_s += late_s
        self.report.log("standstill", f"held up for {late_s:.2f} s; {self.count} times, {self.total_s:.2f} s in all")
        return True

    def earliest_input_at(self) -> float:
        """Return the earliest time at which what comes to notice now may have come."""
        now = time.monotonic()
        has_stood_still = now - self._last_turn_at >= MAX_WAIT_S + MIN_STANDSTILL_S
        return self._last_turn_at if has_stood_still else now

    def note_turn(self) -> None:
        """A turn begins now."""
        self._last_turn_at = time.monotonic()
