"""Which keeper a client tries next, and when: by turns, at once where one names the leader, with pauses.

It must never let many clients that lost the same keeper come back in step, nor two keepers that name each
other send a client to and fro without a pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from brookreach.coordination.timing import Timing

MOST_DOUBLED = 12
WAIT = 10  # leases: a keeper that says to come back later than that is not believed


class Pauses:
    """Each longer than the one before, until something goes well; not the same for two that began at once."""

    def __init__(self, timing: Timing, chance: random.Random):
        self._first, self._most_told = timing.heartbeat_ms, WAIT * timing.lease_ms
        self._chance, self._failed = chance, 0

    def reset(self) -> None:
        self._failed = 0

    def next_delay_ms(self, most_ms: float, told_ms: int = 0) -> float:
        """No shorter than one was told to wait."""
        most = min(most_ms, self._first * 2 ** min(self._failed, MOST_DOUBLED))
        self._failed += 1
        return min(float(told_ms), self._most_told) + self._chance.uniform(most / 2, most)


class LeaderDiscovery:
    def __init__(self, keepers: Sequence[str], timing: Timing, chance: random.Random):
        if not keepers:
            raise ValueError("no keepers are named; at least one is needed")
        self._keepers = list(dict.fromkeys(keepers))
        chance.shuffle(self._keepers)
        self._pauses = Pauses(timing, chance)
        self._named, self._hops = "", set[str]()  # who is tried next; to whom one went at once
        self._row = set[str]()  # those tried since the last pause
        self.next_attempt_ms = 0.0  # when the next is to be tried

    def knows(self, keeper: str) -> bool:
        return keeper in self._keepers

    def record_success(self) -> None:
        self._pauses.reset()
        self._hops.clear()

    def schedule_next(self, now: float, most_ms: float, named: str = "", come_back_ms: int = 0) -> None:
        """Leaves a keeper. One that is named is tried at once, each a first time since something went well:
        keepers go on naming a leader that died, so the next one must not wait for the pauses since."""
        self._named = named
        if named and named not in self._hops | self._row and not come_back_ms:
            self._hops.add(named)
            self.next_attempt_ms = now
        else:
            self._row.clear()
            self.next_attempt_ms = now + self._pauses.next_delay_ms(most_ms, come_back_ms)

    def next_replica(self) -> str:
        named, self._named = self._named, ""
        if not named:
            named = self._keepers.pop(0)
            self._keepers.append(named)
        self._row.add(named)
        return named
