"""The life of a client's session over its connections: opened, resumed, renewed, given up.

A request whose outcome is unknown is never sent again in a new session; it is reported as unknown when the session
ends.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence

from brookreach.coordination.client import events
from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.client.connector import Connector
from brookreach.coordination.client.lease import Lease
from brookreach.coordination.client.rejections import Rejection
from brookreach.coordination.client.requests import RequestQueue
from brookreach.coordination.client.watch import CacheWatch
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing

SHORT_RECONNECTS_PER_LEASE = (
    6  # with a session the reconnect backoff is short, so that the lease can be renewed in time
)


class ClientSession:
    """The session with its lease, requests and watch, and the connection on which it stands.

    Attributes:
        lease: The lease of the present session, if there is one.
        requests: The commands that wait for their outcome.
        connector: The replica talked to.
        watch: Keeps the cache up to date.
        cache: The watched tables.
        rejections: Messages without effect, counted by `Rejection`.
        outgoing: Messages to be sent, each with its replica.
        events: What happened, for the owner of the client.
    """

    def __init__(
        self, cache: TableCache, replicas: Sequence[str], timing: Timing, rng: random.Random, max_pending_requests: int
    ):
        self.cache = cache
        self.rejections: Counter[str] = Counter()
        self.lease = Lease(timing, rng)
        self.requests = RequestQueue(timing, rng, max_pending_requests)
        self.connector = Connector(replicas, timing, rng)
        self.watch = CacheWatch(cache, timing, rng, self.rejections)
        self.outgoing: list[tuple[str, messages.Body]] = []
        self.events: list[events.ClientEvent] = []
        self._lease_ms = timing.lease_ms
        self._last_lost_session = 0

    def next_wakeup_ms(self) -> float | None:
        """Returns when something is due in the session; the connector's attempts are not counted."""
        deadlines: list[float | None] = []
        if self.lease.session:
            deadlines.append(self.lease.expires_ms())
        if self.connector.connected:
            deadlines += [part.next_wakeup_ms() for part in (self.lease, self.requests, self.watch)]
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    def send(self, message: messages.Body) -> None:
        """Queues a message to the present replica."""
        self.outgoing.append((self.connector.replica, message))

    def send_due(self, now: float) -> None:
        """Queues whatever is due, if the session stands on the present connection."""
        if not self.connector.connected:
            return
        keep_alive = self.lease.take_keep_alive(now)
        if keep_alive is not None:
            self.connector.expect_reply(now)
            self.send(keep_alive)
        proposal = self.requests.take_request(now, self.lease.session)
        if proposal is not None:
            self.send(proposal)
        watch_request = self.watch.take_request(now, self.lease.session)
        if watch_request is not None:
            self.send(watch_request)

    # --- replies ---

    def on_session_opened(self, now: float, message: messages.SessionOpened) -> None:
        """Takes the reply to OpenSession."""
        is_resumed = bool(self.lease.session)
        if is_resumed:
            is_expected = message.session == self.lease.session
        else:
            is_expected = message.session not in (0, self._last_lost_session)
        if not is_expected:
            self.rejections[Rejection.OTHER_SESSION] += 1
            return
        if self.lease.is_out_of_bounds(message.lease_ms):
            self.rejections[Rejection.LEASE_OUT_OF_BOUNDS] += 1
            return
        if not is_resumed:
            self.lease.start(now, message.session)
            self.cache.agreed_time_ms = 0
        self._advance_agreed_time(message.at_ms)
        self.connector.session_opened()
        self.lease.connection_opened(now)
        self.watch.connection_opened(now)
        self.events.append(events.SessionEstablished(self.lease.session, self.connector.replica, is_resumed))

    def on_keep_alive_reply(self, message: messages.KeepAliveReply) -> None:
        """Takes the renewal of the lease."""
        if not self.lease.is_in_flight(message.seq):
            self.rejections[Rejection.UNKNOWN_SEQUENCE_NUMBER] += 1
            return
        if self.lease.is_out_of_bounds(message.lease_ms):
            self.rejections[Rejection.LEASE_OUT_OF_BOUNDS] += 1
            return
        self.connector.reply_received()
        self._advance_agreed_time(message.at_ms)
        self.connector.record_success()
        until_ms = self.lease.renew(message.lease_ms)
        self.events.append(events.LeaseRenewed(self.lease.session, until_ms))

    def on_propose_reply(self, message: messages.ProposeReply) -> None:
        """Takes the outcome of the request in flight."""
        if not self.requests.is_in_flight(message.seq):
            self.rejections[Rejection.UNKNOWN_SEQUENCE_NUMBER] += 1
        elif message.index <= self.lease.session:  # the reply to a request of an earlier session
            self.rejections[Rejection.INDEX_BEFORE_SESSION] += 1
        else:
            self.connector.record_success()
            self.events.append(self.requests.complete(message))

    def _advance_agreed_time(self, at_ms: int) -> None:
        if not self.cache.advance_agreed_time(at_ms):
            self.rejections[Rejection.TIME_WENT_BACK] += 1

    # --- ends ---

    def expire_lease(self, now: float) -> None:
        """Gives up the session whose lease has run out."""
        if self.lease.has_expired(now):
            self.lose(now, "its lease ran out")

    def lose(self, now: float, reason: str, ended_by_cluster: bool = False) -> None:
        """Ends the session, if there is one, and leaves the connection.

        None of its requests is sent again. Unless the cluster ended the session itself, it is told; if it did, the next
        session is opened at the same replica.
        """
        next_replica = self.connector.replica if ended_by_cluster else ""
        if self.lease.session:
            self._last_lost_session = self.lease.session
            if self.connector.replica and not ended_by_cluster:
                self.send(messages.CloseSession(self.lease.session))
            self.lease.end()
            self.events.append(events.SessionLost(self._last_lost_session, reason))
            self.events += self.requests.end_session(reason)
        if self.connector.replica:
            self.disconnect(now, next_replica)

    def disconnect(self, now: float, leader: str = "", retry_after_ms: int = 0) -> None:
        """Leaves the present replica for another, or for the one that is named as the leader."""
        max_delay_ms = self._lease_ms / SHORT_RECONNECTS_PER_LEASE if self.lease.session else self._lease_ms
        self.lease.connection_lost()
        self.requests.connection_lost()
        left_replica = self.connector.disconnect(now, max_delay_ms, leader, retry_after_ms)
        self.outgoing = [
            (replica, message)
            for replica, message in self.outgoing
            if replica != left_replica or isinstance(message, messages.CloseSession)
        ]
