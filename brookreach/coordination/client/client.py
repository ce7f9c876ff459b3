"""A client of the group without I/O: its session and lease, its questions, its copy of what it watches.

It owns what one process may do in the group's name and until when, by its own clock. It must never say that
its lease holds once that may have been given up elsewhere, ask anew what has an unknown outcome, or take from
a message more than fits what it asked. `refusals` counts by name what did not fit.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence

from brookreach.coordination.client import events
from brookreach.coordination.client.cache import TableCache
from brookreach.coordination.client.errors import RequestOutOfOrderError, SessionNotHeldError
from brookreach.coordination.client.leader_discovery import LeaderDiscovery
from brookreach.coordination.client.lease import Lease
from brookreach.coordination.client.requests import MAX_PENDING_REQUESTS, RequestQueue
from brookreach.coordination.client.session_holder import SessionHolder
from brookreach.coordination.client.watch import Watching
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row
from brookreach.coordination.timing import Timing


class Client(SessionHolder):
    """One process's session with the group; without I/O, time and chance handed in."""

    def __init__(
        self,
        name: str,
        kind: messages.ClientKind,
        keepers: Sequence[str],
        timing: Timing,
        chance: random.Random,
        tables: Mapping[str, type[Row]],
        watched: Collection[str] | None = None,
        version: int = 1,
        max_pending: int = MAX_PENDING_REQUESTS,
    ):
        super().__init__(name, Lease(timing, chance))
        self.kind, self.record_version = kind, version
        self.cache = TableCache(tables, tables if watched is None else watched)
        self.rejections: Counter[str] = Counter()
        self.replica = ""  # whom it talks to; a connection to any other may be closed
        self.connected = False
        self._timing = timing
        self._asks, self._seek = RequestQueue(timing, chance, max_pending), LeaderDiscovery(keepers, timing, chance)
        self._watching = Watching(self.cache, timing, chance, self.rejections)
        self._answer_by: float | None = None  # to a Join or Renew, else another keeper is tried
        self._lost, self._left = 0, False  # the session that was lost last; left for good
        self._out: list[tuple[str, messages.Body]] = []
        self._news: list[events.ClientEvent] = []

    # --- what its owner asks ---

    def propose(self, now: float, piece: str, order: Command, version: int = 1) -> int:
        """Returns the number that its reply will bear. Raises TooManyRequestsError; then nothing was taken."""
        self._expire(now)
        if self._left:
            raise SessionNotHeldError(f"{self.name} has left the group")
        seq = self._asks.add(piece, version, order)
        self._fly(now)
        return seq

    def close(self, now: float) -> None:
        """For good: nothing is done under the session any more, so it may be ended at once."""
        self._left = True
        self._lose(now, "left")
        self._news += self._asks.over("left")

    def take_outgoing(self) -> list[tuple[str, messages.Body]]:
        out, self._out = self._out, []
        return out

    def take_events(self) -> list[events.ClientEvent]:
        news, self._news = self._news, []
        return news

    def next_wakeup_ms(self) -> float | None:
        times: list[float | None] = [self._lease.ends_ms() if self.session else None]
        if self.connected:
            times += [self._lease.wake_ms(), self._asks.wake_ms(), self._watching.wake_ms()]
        times.append(self._answer_by if self.replica else None if self._left else self._seek.next_attempt_ms)
        return min((one for one in times if one is not None), default=None)

    # --- what happens to it ---

    def handle_message(self, now: float, source: str, message: messages.Body) -> None:
        self._expire(now)
        if not self.replica or source != self.replica:
            self.rejections["not asked"] += 1
        elif isinstance(message, messages.RequestRejected):
            self._hear_sorry(now, message)
        elif isinstance(message, messages.SessionOpened) and not self.connected:
            self._hear_joined(now, message)
        elif isinstance(message, messages.KeepAliveReply) and self.connected:
            self._hear_renewed(message)
        elif isinstance(message, messages.ProposeReply) and self.connected:
            self._hear_done(message)
        elif isinstance(message, messages.WatchUpdate | messages.WatchSnapshot) and self.connected:
            self._news += self._watching.hear(now, message)
        else:
            self.rejections["not asked"] += 1
        self._fly(now)

    def connection_lost(self, now: float, keeper: str = "") -> None:
        """The connection to its keeper ended; to another one it is nothing to it."""
        self._expire(now)
        if self.replica and keeper in ("", self.replica):
            self._move(now)

    def advance_time(self, now: float) -> None:
        self._expire(now)
        if self._answer_by is not None and now >= self._answer_by:
            self._move(now)
        if not self.replica and not self._left and now >= self._seek.next_attempt_ms:
            self.replica = self._seek.next_replica()
            self._say(messages.OpenSession(self.name, self.kind, self.session, self.record_version))
            self._answer_by = now + self._timing.lease_ms / 4
        self._fly(now)

    def _fly(self, now: float) -> None:
        """Whatever is due on a connection that stands."""
        if not self.connected:
            return
        if (renew := self._lease.fly(now)) is not None:
            self._answer_by = now + self._timing.lease_ms / 4
            self._say(renew)
        for message in (self._asks.fly(now, self.session), self._watching.fly(now, self.session)):
            if message is not None:
                self._say(message)

    def _say(self, message: messages.Body) -> None:
        self._out.append((self.replica, message))

    # --- its session ---

    def _hear_joined(self, now: float, message: messages.SessionOpened) -> None:
        again = bool(self.session)
        fits = message.session == self.session if again else message.session not in (0, self._lost)
        if not fits or self._lease.absurd(message.lease_ms):
            self.rejections["absurd lease" if fits else "other session"] += 1
            return
        if not again:
            self._lease.begun(now, message.session)
            self.cache.agreed_time_ms = 0
        self._time(message.at_ms)
        self.connected, self._answer_by = True, None
        self._lease.joined(now)
        self._watching.begin(now)
        self._news.append(events.SessionEstablished(self.session, self.replica, again))

    def _hear_renewed(self, message: messages.KeepAliveReply) -> None:
        if not self._lease.flies(message.seq):
            self.rejections["unknown seq"] += 1
        elif self._lease.absurd(message.lease_ms):
            self.rejections["absurd lease"] += 1
        else:
            self._answer_by = None
            self._time(message.at_ms)
            self._seek.record_success()
            self._news.append(events.LeaseRenewed(self.session, self._lease.renewed(message.lease_ms)))

    def _time(self, at_ms: int) -> None:
        if not self.cache.advance_agreed_time(at_ms):
            self.rejections["time went back"] += 1

    def _expire(self, now: float) -> None:
        if self._lease.over(now):
            self._lose(now, "its lease ran out")

    def _lose(self, now: float, why: str, told: bool = False) -> None:
        """Whatever was asked in it is not asked again. Unless the group `told` it, it is told."""
        here = self.replica if told else ""
        if self.session:
            self._lost = self.session
            if self.replica and not told:
                self._say(messages.CloseSession(self.session))
            self._lease.ended()
            self._news.append(events.SessionLost(self._lost, why))
            self._news += self._asks.over(why)
        if self.replica:
            self._move(now, here)

    def _move(self, now: float, named: str = "", come_back_ms: int = 0) -> None:
        """Away from its keeper, for now or to the one that is named."""
        here, self.replica, self.connected, self._answer_by = self.replica, "", False, None
        self._lease.dropped()
        self._out = [(to, body) for to, body in self._out if to != here or isinstance(body, messages.CloseSession)]
        self._asks.dropped()
        self._seek.schedule_next(now, self._timing.lease_ms / (6 if self.session else 1), named, come_back_ms)

    # --- answers to what it asked ---

    def _hear_done(self, message: messages.ProposeReply) -> None:
        if not self._asks.flies(message.seq):
            self.rejections["unknown seq"] += 1
        elif message.index <= self.session:  # an answer of an earlier session
            self.rejections["absurd place"] += 1
        else:
            self._seek.record_success()
            self._news.append(self._asks.done(message))

    def _hear_sorry(self, now: float, message: messages.RequestRejected) -> None:
        renews, asks = self._lease.flies(message.seq), self._asks.flies(message.seq)
        if message.seq and not renews and not asks:
            self.rejections["unknown seq"] += 1
        elif message.reason in ("not leader", "ending"):
            known = message.leader != self.replica and self._seek.knows(message.leader)
            if message.leader and not known:
                self.rejections["unknown keeper"] += 1
            self._move(now, message.leader if known else "", message.retry_after_ms)
        elif message.reason == "no session":
            if self.session:
                self._lose(now, "the group ended it", told=True)
            else:
                self.rejections["not asked"] += 1
        elif asks:
            self._hear_not_asked(now, message)
        elif renews:
            self._answer_by = None
            self._lease.put_off(now, message.retry_after_ms)
        elif message.reason == "busy" and not self.connected:
            self._move(now, self.replica, max(1, message.retry_after_ms))
        else:
            self._hear_turned_away(now, message)

    def _hear_turned_away(self, now: float, message: messages.RequestRejected) -> None:
        """About a Watch, where it has joined, else a Join."""
        if message.reason != "busy":
            self._news.append(events.ClientRejected(message.reason, message.text))
        if self.connected:
            self._watching.sorry(now, message)
        else:
            self._move(now, "", int(self._timing.lease_ms))

    def _hear_not_asked(self, now: float, message: messages.RequestRejected) -> None:
        try:
            if (answered := self._asks.sorry(now, message)) is not None:
                self._news.append(answered)
        except RequestOutOfOrderError as error:
            self._lose(now, str(error))
