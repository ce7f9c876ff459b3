"""A client of the cluster without I/O: its session, its requests and its cache of the watched tables.

The client acts in the name of its session only while its lease holds by its own clock. It never sends a request of
unknown outcome in a new session, and a message from a replica has no effect beyond what the client requested; messages
that don't fit are counted in `rejections`. Times are milliseconds of the clock that is handed in as `now`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from brookreach.coordination.client import events
from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.client.errors import RequestOutOfOrderError, SessionNotHeldError
from brookreach.coordination.client.rejections import Rejection
from brookreach.coordination.client.requests import MAX_PENDING_REQUESTS, RECORD_VERSION
from brookreach.coordination.client.session import ClientSession
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row
from brookreach.coordination.timing import Timing


class Client:
    """One process's session with the cluster.

    Attributes:
        name: The client's name; the cluster allows one session of a name at a time.
        kind: What the process is.
        cache: The watched tables; all of `tables` unless `watched` names fewer.
    """

    def __init__(
        self,
        name: str,
        kind: messages.ClientKind,
        replicas: Sequence[str],
        timing: Timing,
        rng: random.Random,
        tables: Mapping[str, type[Row]],
        watched: Collection[str] | None = None,
        max_pending: int = MAX_PENDING_REQUESTS,
    ):
        self.name = name
        self.kind = kind
        self.cache = TableCache(tables, tables if watched is None else watched)
        self._session = ClientSession(self.cache, replicas, timing, rng, max_pending)
        self._lease = self._session.lease
        self._connector = self._session.connector
        self._lease_ms = int(timing.lease_ms)
        self._closed = False

    @property
    def rejections(self) -> Counter[str]:
        """Messages without effect, counted by `Rejection`."""
        return self._session.rejections

    @property
    def replica(self) -> str:
        """The replica it talks to, or ""; a connection to any other may be closed."""
        return self._connector.replica

    @property
    def connected(self) -> bool:
        """Whether the session stands on the present connection."""
        return self._connector.connected

    # --- the lease: read the clock right before the act, not before something that may take long ---

    @property
    def session(self) -> int:
        """The session, or 0 without one."""
        return self._lease.session

    def holds_lease(self, now: float) -> bool:
        """Whether the client may act in the name of its session at `now`."""
        return self._lease.holds(now)

    def fencing_token(self, now: float) -> int | None:
        """Returns the token to act with, or None while the lease does not hold."""
        return self._lease.fencing_token(now)

    def require_fencing_token(self, now: float) -> int:
        """Returns the token to act with; raises SessionNotHeldError while the lease does not hold."""
        return self._lease.require_fencing_token(now)

    # --- calls of the owner ---

    def propose(self, now: float, application: str, command: Command) -> int:
        """Queues a command and returns the number that its outcome will bear.

        Raises:
            SessionNotHeldError: The client is closed.
            TooManyRequestsError: The queue is full.
        """
        self._session.expire_lease(now)
        if self._closed:
            raise SessionNotHeldError(f"{self.name} has left the group")
        request_id = self._session.requests.add(application, command)
        self._session.send_due(now)
        return request_id

    def close(self, now: float) -> None:
        """Ends the session for good; the cluster may end it at once, for nothing is done in its name any more."""
        self._closed = True
        self._session.lose(now, "left")
        self._session.events += self._session.requests.end_session("left")

    def take_outgoing(self) -> list[tuple[str, messages.Body]]:
        """Returns the messages to be sent since the last call, each with its replica."""
        outgoing = self._session.outgoing
        self._session.outgoing = []
        return outgoing

    def take_events(self) -> list[events.ClientEvent]:
        """Returns what happened since the last call, in order."""
        taken = self._session.events
        self._session.events = []
        return taken

    def next_wakeup_ms(self) -> float | None:
        """Returns when `advance_time` is to be called at the latest; None: not before the next message."""
        deadlines = [self._session.next_wakeup_ms()]
        if self.replica or not self._closed:
            deadlines.append(self._connector.next_wakeup_ms())
        return min((deadline for deadline in deadlines if deadline is not None), default=None)

    # --- inputs ---

    def handle_message(self, now: float, source: str, message: messages.Body) -> None:
        """Takes a message that arrived from the replica `source`."""
        self._session.expire_lease(now)
        if self.replica and source == self.replica:
            self._dispatch(now, message)
        else:
            self.rejections[Rejection.NOT_REQUESTED] += 1
        self._session.send_due(now)

    def connection_lost(self, now: float, replica: str = "") -> None:
        """Takes note that the connection to `replica`, or to the present one, has ended."""
        self._session.expire_lease(now)
        if self.replica and replica in ("", self.replica):
            self._session.disconnect(now)

    def advance_time(self, now: float) -> None:
        """Does whatever is due at `now`."""
        self._session.expire_lease(now)
        if self._connector.is_reply_overdue(now):
            self._session.disconnect(now)
        if not self._closed and self._connector.is_attempt_due(now):
            self._connector.start_attempt(now)
            self._session.send(messages.OpenSession(self.name, self.kind, self.session, RECORD_VERSION))
        self._session.send_due(now)

    def _dispatch(self, now: float, message: messages.Body) -> None:
        match message:
            case messages.RequestRejected():
                self._on_request_rejected(now, message)
            case messages.SessionOpened() if not self.connected:
                self._session.on_session_opened(now, message)
            case messages.KeepAliveReply() if self.connected:
                self._session.on_keep_alive_reply(message)
            case messages.ProposeReply() if self.connected:
                self._session.on_propose_reply(message)
            case messages.WatchUpdate() | messages.WatchSnapshot() if self.connected:
                self._session.events += self._session.watch.handle_message(now, message)
            case _:
                self.rejections[Rejection.NOT_REQUESTED] += 1

    # --- rejections ---

    def _on_request_rejected(self, now: float, message: messages.RequestRejected) -> None:
        is_keep_alive = self._lease.is_in_flight(message.seq)
        is_proposal = self._session.requests.is_in_flight(message.seq)
        if message.seq and not is_keep_alive and not is_proposal:
            self.rejections[Rejection.UNKNOWN_SEQUENCE_NUMBER] += 1
        elif message.reason in ("not leader", "ending"):
            self._on_not_leader(now, message)
        elif message.reason == "no session":
            self._on_session_ended(now)
        elif is_proposal:
            self._on_proposal_rejected(now, message)
        elif is_keep_alive:
            self._connector.reply_received()
            self._lease.postpone_renewal(now, message.retry_after_ms)
        elif self.connected:
            self._on_watch_rejected(now, message)
        else:
            self._on_open_session_rejected(now, message)

    def _on_not_leader(self, now: float, message: messages.RequestRejected) -> None:
        leader = message.leader if self._connector.is_other_member(message.leader) else ""
        if message.leader and not leader:
            self.rejections[Rejection.UNKNOWN_REPLICA] += 1
        self._session.disconnect(now, leader, message.retry_after_ms)

    def _on_session_ended(self, now: float) -> None:
        if self.session:
            self._session.lose(now, "the group ended it", ended_by_cluster=True)
        else:
            self.rejections[Rejection.NOT_REQUESTED] += 1

    def _on_proposal_rejected(self, now: float, message: messages.RequestRejected) -> None:
        try:
            outcome = self._session.requests.reject(now, message)
        except RequestOutOfOrderError as error:
            self._session.lose(now, str(error))
            return
        if outcome is not None:
            self._session.events.append(outcome)

    def _on_watch_rejected(self, now: float, message: messages.RequestRejected) -> None:
        self._report_rejection(message)
        self._session.watch.handle_rejection(now, message)

    def _on_open_session_rejected(self, now: float, message: messages.RequestRejected) -> None:
        self._report_rejection(message)
        if message.reason == "busy":
            self._session.disconnect(now, self.replica, max(1, message.retry_after_ms))
        else:
            self._session.disconnect(now, "", self._lease_ms)

    def _report_rejection(self, message: messages.RequestRejected) -> None:
        if message.reason != "busy":
            self._session.events.append(events.ClientRejected(message.reason, message.text))
