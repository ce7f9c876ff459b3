"""A node: cores that serve first come, first served, a bounded queue, a cold start, a drain."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True)
class Job:
    """One pick at a node; `work` in ms of a warm core."""

    marshal: int
    rpc: int
    nth: int
    method: int
    sent: float
    work: float
    live: bool = True  # its marshal still waits for it


class Node:
    """State only: the world asks it what starts when, and rings when it ends."""

    def __init__(self, number: int, place: int, build: int, started: float, size: float, cores: int):
        self.number, self.place, self.build, self.started = number, place, build, started
        self.size, self.cores, self.busy = size, cores, 0
        self.queue: deque[Job] = deque()
        self.up, self.draining = True, False
        self.most = 40 * cores

    def warmth(self, now: float, cold: float, cold_ms: float) -> float:
        return min(1.0, cold + (1.0 - cold) * (now - self.started) / cold_ms) if self.started else 1.0

    def offer(self, job: Job) -> bool:
        """Whether it has room for one more."""
        if len(self.queue) + self.busy >= self.most:
            return False
        self.queue.append(job)
        return True

    def begin(self) -> Job | None:
        """The next job, where a core is free; what nobody waits for is passed over."""
        while self.queue and self.busy < self.cores:
            job = self.queue.popleft()
            if job.live:
                self.busy += 1
                return job
        return None
