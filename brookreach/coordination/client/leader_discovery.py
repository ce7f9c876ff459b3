"""Which replica a client tries next, and when.

Replicas are tried in turn, in a random order of the client's own. A replica that a reply names as the leader is tried
at once. Attempts back off with jitter, so clients that lost the same replica don't come back in step, and two replicas
that name each other can't send a client to and fro without a pause.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from brookreach.coordination.client.backoff import Backoff
from brookreach.coordination.timing import Timing


class LeaderDiscovery:
    """The order and the times of a client's connection attempts.

    Attributes:
        next_attempt_ms: When the next replica may be tried.
    """

    def __init__(self, replicas: Sequence[str], timing: Timing, rng: random.Random):
        if not replicas:
            raise ValueError("no replicas are named; at least one is needed")
        self._replicas = list(dict.fromkeys(replicas))
        rng.shuffle(self._replicas)
        self._backoff = Backoff(timing, rng)
        self._named_leader = ""  # tried next, in place of the one whose turn it is
        self._followed_hints: set[str] = set()  # tried at once since the last success
        self._tried: set[str] = set()  # since the last pause
        self.next_attempt_ms = 0.0

    def knows(self, replica: str) -> bool:
        """Whether `replica` is a member that the client was configured with."""
        return replica in self._replicas

    def record_success(self) -> None:
        """Records that a request was answered: the backoff starts again."""
        self._backoff.reset()
        self._followed_hints.clear()

    def schedule_next(self, now: float, max_delay_ms: float, leader: str = "", retry_after_ms: int = 0) -> None:
        """Schedules the attempt after the present one failed.

        A replica named as the leader is tried at once, but only the first time since a success: replicas go on naming
        a leader that died, so the way to its successor must not wait for the pauses that have grown since.

        Args:
            now: The client's clock.
            max_delay_ms: Upper bound of the backoff.
            leader: The replica named as the leader, or "".
            retry_after_ms: How long the replica asked to wait.
        """
        self._named_leader = leader
        is_new_hint = leader not in self._followed_hints | self._tried
        if leader and is_new_hint and not retry_after_ms:
            self._followed_hints.add(leader)
            self.next_attempt_ms = now
        else:
            self._tried.clear()
            self.next_attempt_ms = now + self._backoff.next_delay_ms(max_delay_ms, retry_after_ms)

    def next_replica(self) -> str:
        """Returns the replica to try now."""
        replica = self._named_leader
        self._named_leader = ""
        if not replica:
            replica = self._replicas.pop(0)
            self._replicas.append(replica)
        self._tried.add(replica)
        return replica
