"""The virtual clock of a simulation, and the trace of what happened at which time."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Callable


class EventQueue:
    """A discrete-event queue; events of the same time are run in the order in which they were scheduled.

    Attributes:
        now_ms: The true time, which no simulated process can read. It moves only from one event to the next.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._scheduled = 0

    def schedule(self, at_ms: float, action: Callable[[], None]) -> None:
        """Run `action` at `at_ms`, or at once if that has passed."""
        self._scheduled += 1
        heapq.heappush(self._heap, (max(self.now_ms, at_ms), self._scheduled, action))

    def run_until(self, until_ms: float) -> None:
        """Run all events that are due by `until_ms`, and leave the clock there."""
        while self._heap and self._heap[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._heap)
            action()
        self.now_ms = until_ms


class Trace:
    """What happened in a run, line by line, as a digest that two runs of one seed must share.

    The texts of its lines are part of the digest: they stay as they are, so that versions can be compared.

    Attributes:
        lines: All lines; None unless they are to be kept.
    """

    def __init__(self, keep_lines: bool = False):
        self.lines: list[str] | None = [] if keep_lines else None
        self._hash = hashlib.sha256()

    def record(self, at_ms: float, name: str, text: str) -> None:
        """Add a line about the process `name`, which is empty for the simulation itself."""
        line = f"{at_ms:.3f} {name} {text}"
        self._hash.update(line.encode())
        self._hash.update(b"\n")
        if self.lines is not None:
            self.lines.append(line)

    @property
    def digest(self) -> str:
        """The SHA-256 of all lines so far, in hex."""
        return self._hash.hexdigest()
