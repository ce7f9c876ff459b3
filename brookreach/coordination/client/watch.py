"""The client's side of a watch: when it is requested again, and which of its messages the cache takes.

Requests back off, so that many clients with the same fault don't become a load, and a lost message is never waited for
without an end.
"""

from __future__ import annotations

import random
from collections import Counter

from brookreach.coordination.client.backoff import MAX_RETRY_AFTER_LEASES, Backoff
from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.client.errors import RejectedUpdateError
from brookreach.coordination.client.events import RowsChanged, RowUnreadable
from brookreach.coordination.client.rejections import Rejection
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing

REPLY_TIMEOUT_LEASES = 2  # without the next part of a reply for so long, the watch is requested again


class CacheWatch:
    """Keeps a `TableCache` up to date over the client's connection.

    Messages that the cache rejects are counted in `rejections`.
    """

    def __init__(self, cache: TableCache, timing: Timing, rng: random.Random, rejections: Counter[str]):
        self._cache = cache
        self._rejections = rejections
        self._lease_ms = timing.lease_ms
        self._backoff = Backoff(timing, rng)
        self._next_request_ms: float | None = None  # None: the cache is up to date

    def next_wakeup_ms(self) -> float | None:
        """Returns when the watch is requested again, unless messages arrive before."""
        return self._next_request_ms

    def connection_opened(self, now: float) -> None:
        """Makes a request due at once, if any table is watched."""
        self._next_request_ms = now if self._cache.watched else None

    def take_request(self, now: float, session: int) -> messages.WatchRequest | None:
        """Returns the request to be sent now, if one is due."""
        if self._next_request_ms is None or now < self._next_request_ms:
            return None
        self._expect_message(now)
        return messages.WatchRequest(session, self._cache.begin_watch(), self._cache.watched)

    def handle_message(
        self, now: float, message: messages.WatchUpdate | messages.WatchSnapshot
    ) -> list[RowsChanged | RowUnreadable]:
        """Hands a message to the cache and returns what it changed there."""
        if not self._cache.watched:
            self._rejections[Rejection.NOT_REQUESTED] += 1
            return []
        try:
            events = self._apply(message)
        except RejectedUpdateError as error:
            self._rejections[error.rejection] += 1
            if error.needs_new_watch:
                self._schedule_request(now)
            return []
        if self._cache.up_to_date:
            self._next_request_ms = None
            self._backoff.reset()
        else:
            self._expect_message(now)
        return events

    def handle_rejection(self, now: float, message: messages.RequestRejected) -> None:
        """Takes the rejection of a request for the watch."""
        if self._next_request_ms is None:
            self._rejections[Rejection.NOT_REQUESTED] += 1
        elif message.reason == "busy":
            self._next_request_ms = now + self._backoff.next_delay_ms(self._lease_ms, message.retry_after_ms)
        else:
            # Another replica, or this one after an upgrade, may know the tables.
            self._next_request_ms = now + MAX_RETRY_AFTER_LEASES * self._lease_ms

    def _apply(self, message: messages.WatchUpdate | messages.WatchSnapshot) -> list[RowsChanged | RowUnreadable]:
        match message:
            case messages.WatchUpdate():
                return self._cache.apply_update(message)
            case messages.WatchSnapshot():
                return self._cache.apply_snapshot(message)

    def _expect_message(self, now: float) -> None:
        self._next_request_ms = now + REPLY_TIMEOUT_LEASES * self._lease_ms

    def _schedule_request(self, now: float) -> None:
        """Schedules a new request with backoff; messages that don't fit before it is sent don't put it off."""
        request_ms = now + self._backoff.next_delay_ms(self._lease_ms)
        if self._next_request_ms is not None:
            request_ms = min(request_ms, self._next_request_ms)
        self._next_request_ms = request_ms
