"""A machine's uplink under a virtual clock: connections take turns, each keeps its order, as TCP does.

It owns when a frame has left and when it arrives. It must never lose or overtake: faults are the caller's.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

LEAST_MS, MOST_MS = 0.2, 2.0  # of a frame's way, once it left
TURN = 16 << 10  # bytes of one connection before the next one's

At = Callable[[float, Callable[[], None]], None]


class Uplink:
    """`rate` in bytes a ms; `at(ms, call)` is the clock's."""

    def __init__(self, rate: float, chance: random.Random, at: At):
        self.rate, self.chance, self.at = rate, chance, at
        self.lines: dict[str, deque[tuple[float, Callable[[], None]]]] = {}  # by turns; bytes left of a frame
        self.waits: dict[str, int] = {}  # bytes that have not left, by connection
        self.arrived: dict[str, float] = {}
        self.busy = False

    def put(self, now: float, line: str, octets: int, arrives: Callable[[], None]) -> None:
        self.lines.setdefault(line, deque()).append((octets, arrives))
        self.waits[line] = self.waits.get(line, 0) + octets
        if not self.busy:
            self._turn(now)

    def _turn(self, now: float) -> None:
        """The next connection's, of which whole frames leave at its end."""
        self.busy = bool(self.lines)
        if not self.busy:
            return
        line = next(iter(self.lines))
        frames, spent = self.lines.pop(line), 0.0
        left: list[Callable[[], None]] = []
        while frames and spent < TURN:
            octets, arrives = frames.popleft()
            part = min(octets, TURN - spent)
            spent += part
            if part < octets:
                frames.appendleft((octets - part, arrives))
            else:
                left.append(arrives)
        end = now + spent / self.rate

        def ends() -> None:
            frames.extend(self.lines.pop(line, ()))  # put meanwhile
            if frames:
                self.lines[line] = frames
            self.waits[line] -= int(spent)
            if not self.waits[line]:
                del self.waits[line]
            for arrives in left:
                way = end + self.chance.uniform(LEAST_MS, MOST_MS)
                self.arrived[line] = max(self.arrived.get(line, 0.0), way)
                self.at(self.arrived[line], arrives)
            self._turn(end)

        self.at(end, ends)

    def full(self, most: int) -> list[str]:
        return [line for line, octets in self.waits.items() if octets > most]
