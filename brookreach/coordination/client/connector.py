"""Which replica a client talks to, and until when that replica has to answer.

A client has one connection at a time. A replica that leaves an OpenSession or a KeepAlive without an answer is given up
for another, as LeaderDiscovery says.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from brookreach.coordination.client.leader_discovery import LeaderDiscovery
from brookreach.coordination.timing import Timing

REPLY_TIMEOUTS_PER_LEASE = 4


class Connector:
    """The state of the client's connection, without its socket.

    Attributes:
        replica: The replica that the client talks to, or "" between two attempts.
        connected: Whether that replica has opened or resumed the session on this connection.
    """

    def __init__(self, replicas: Sequence[str], timing: Timing, rng: random.Random):
        self.replica = ""
        self.connected = False
        self._discovery = LeaderDiscovery(replicas, timing, rng)
        self._reply_timeout_ms = timing.lease_ms / REPLY_TIMEOUTS_PER_LEASE
        self._reply_deadline_ms: float | None = None

    def next_wakeup_ms(self) -> float | None:
        """Returns the deadline of the expected reply, or between two connections the time of the next attempt."""
        return self._reply_deadline_ms if self.replica else self._discovery.next_attempt_ms

    def is_reply_overdue(self, now: float) -> bool:
        """Whether the replica has to be given up."""
        return self._reply_deadline_ms is not None and now >= self._reply_deadline_ms

    def is_attempt_due(self, now: float) -> bool:
        """Whether there is no connection and the next may be opened."""
        return not self.replica and now >= self._discovery.next_attempt_ms

    def start_attempt(self, now: float) -> None:
        """Chooses the next replica and waits for its reply."""
        self.replica = self._discovery.next_replica()
        self.expect_reply(now)

    def expect_reply(self, now: float) -> None:
        """Sets the deadline of a reply to an OpenSession or a KeepAlive that is sent now."""
        self._reply_deadline_ms = now + self._reply_timeout_ms

    def reply_received(self) -> None:
        """Takes note of the reply that was expected."""
        self._reply_deadline_ms = None

    def session_opened(self) -> None:
        """Takes note that the session stands on this connection."""
        self.connected = True
        self._reply_deadline_ms = None

    def record_success(self) -> None:
        """Takes note of a reply that only a leader gives: the backoff of attempts starts again."""
        self._discovery.record_success()

    def is_other_member(self, replica: str) -> bool:
        """Whether `replica` is a configured member and not the one the client talks to."""
        return replica != self.replica and self._discovery.knows(replica)

    def disconnect(self, now: float, max_delay_ms: float, leader: str = "", retry_after_ms: int = 0) -> str:
        """Gives up the connection and schedules the next attempt, as `LeaderDiscovery.schedule_next`.

        Returns:
            The replica that the client talked to.
        """
        previous_replica = self.replica
        self.replica = ""
        self.connected = False
        self._reply_deadline_ms = None
        self._discovery.schedule_next(now, max_delay_ms, leader, retry_after_ms)
        return previous_replica
