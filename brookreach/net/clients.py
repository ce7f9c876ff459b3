"""The listener and the table of the clients' connections: who is let in, who makes way, who is closed.

It owns which connections stand. It must never read a query, nor answer one.
"""

from __future__ import annotations

import socket
import time
from collections import Counter, OrderedDict
from enum import IntEnum
from itertools import islice

import anyio

from brookreach.net import pgwire
from brookreach.net.client import Client
from brookreach.net.drain import Drain
from brookreach.net.limits import Limits
from brookreach.net.listener import Listener, NoRoomError
from brookreach.net.poller import Expiring, Poller
from brookreach.net.refusals import Refusals
from brookreach.net.report import Report
from brookreach.net.taker import Taker

EVICTED = "evicted for a new connection"


class StopPhase(IntEnum):
    """How far a stop has come."""

    NONE = 0
    LAST_CALL = 1  # past it: new connections are refused, those between RPCs are left
    FINAL = 2  # past the drain's deadline: no connection is waited for
    CLOSING = 3  # who still waits to be accepted is refused, and the listener closed


class Clients:
    """Who is connected. OSError where the address can't be listened on."""

    def __init__(self, limits: Limits, report: Report, poller: Poller, taker: Taker, at: str, drain: Drain) -> None:
        self.limits, self.report, self.poller, self.taker, self.at = limits, report, poller, taker, at
        self.drain = drain
        self.open: set[Client] = set()
        # Who makes way and who is closed, each since when, the oldest first: those that have asked nothing
        # yet, those between RPCs, those with half a message, those that don't take their answers.
        self.silent: OrderedDict[Client, float] = OrderedDict()
        self.idle: OrderedDict[Client, float] = OrderedDict()
        self.half: OrderedDict[Client, float] = OrderedDict()
        self.stalled: OrderedDict[Client, float] = OrderedDict()
        self.closes: Counter[str] = Counter()  # connections that have ended, by reason
        self.pool = pgwire.Pool(limits.large)
        self.resumable: list[Client] = []  # to be looked at again for RPCs that have come already
        self.refusals = Refusals(limits, poller, self.pool, self.resume_accepting, taker.spare_links)
        self.phase = StopPhase.NONE
        self.is_paused = False  # accept is tried again when its alarm rings, or a connection has ended
        self.client_ended = anyio.Event()
        self.listener: Listener | None = Listener(poller, at, limits.backlog, self.arrived)

    @property
    def stopping(self) -> bool:
        """Whether new connections are refused."""
        return self.phase != StopPhase.NONE

    @property
    def is_final(self) -> bool:
        """Whether no connection is waited for any more."""
        return self.phase >= StopPhase.FINAL

    def arrived(self) -> bool:
        """Accept what the kernel has taken for us: a connection that waits there may hold an RPC that nobody
        looks at. Whether more may wait there.
        """
        for _ in range(self.limits.sockets):
            if self._must_wait():
                self._pause_accepting()
                return False
            try:
                sock = self.listener.accept(self.limits.sockets) if self.listener is not None else None
            except NoRoomError as error:
                self.report.say("clients", f"{error}: new ones wait")
                if error.is_ours:
                    self._evict_one()
                self._pause_accepting()
                return False
            if sock is None:
                return False
            self._admit(sock)
        return True

    def _must_wait(self) -> bool:
        """Whether the next one would be refused, and those before it have not read yet that they were."""
        has_room = not self.stopping and len(self.open) < self.limits.clients
        return not has_room and self.phase != StopPhase.CLOSING and self.refusals.is_full()

    def _admit(self, sock: socket.socket) -> None:
        """Where all connections hold RPCs, or we stop, a new one is told so: its client can go elsewhere."""
        if self.stopping:
            self.refusals.refuse(sock, pgwire.NOT_READY, "shutting down")
        elif len(self.open) < self.limits.clients or self._evict_one():
            self.open.add(Client(sock, self))
        else:
            self.report.say("clients", f"{len(self.open)} connections with RPCs: new ones are refused")
            self.refusals.refuse(sock, pgwire.PUSHED_BACK, "too many connections")

    def _pause_accepting(self) -> None:
        """Not only when a connection ends: there may be none that could."""
        if self.listener is not None and not self.is_paused:
            self.is_paused = True
            self.listener.listens(False)
            self.taker.alarm(self.limits.accept_again_s * 1000.0, ResumeAccepting(self))

    def resume_accepting(self) -> None:
        if self.is_paused and self.listener is not None:
            self.is_paused = False
            self.listener.listens(True)

    def _evict_one(self) -> bool:
        """Close the connection that has been silent for longest or the one that has been idle for longest:
        between RPCs we may. Where few are silent, their first query is on its way. One whose next RPC lies
        unread is passed over; one that has half an RPC comes last."""
        rows = [self.silent, self.idle] if len(self.silent) > len(self.idle) else [self.idle, self.silent]
        for row in [*rows, self.half]:
            if row is self.silent and self.refusals.is_full():
                continue  # those that are being told so must not be cut short
            for client in list(islice(row, self.limits.messages)):
                asks = client.slots or client.rest or row is self.idle and len(client.inbound)
                if not asks and client.quiet():
                    if row is self.silent:  # its first query may be on its way: that is answered
                        self.refusals.refuse(
                            client.detach(), pgwire.PUSHED_BACK, "too many connections", client.started
                        )
                        self.left(client, EVICTED)
                    else:
                        client.end(EVICTED)
                    return True
        return False

    def busy(self, client: Client) -> None:
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def left(self, client: Client, why: str) -> None:
        self.closes[why.partition(":")[0]] += 1
        self.open.discard(client)
        for row in (self.silent, self.idle, self.half, self.stalled):
            row.pop(client, None)
        self.client_ended.set()
        self.resume_accepting()

    def sweep(self) -> None:
        """Close what has been silent, half said or stalled for too long, and in a full house what rests."""
        now, limits = time.monotonic(), self.limits
        self.refusals.sweep()
        for client in self.open:
            if not client.reading and not len(client.inbound) and client.quiet():
                client.unread_since = now  # whatever lies unread later has come later
        for client in older(self.stalled, now - limits.stalled_s):
            client.end("takes nothing of its answer")
        # A first query comes right behind the startup: while we stop, it is not waited for longer.
        first_s = limits.linger_s if self.stopping else limits.silent_s
        for row, wait_s in ((self.silent, first_s), (self.half, limits.silent_s)):
            for client in older(row, now - wait_s):
                client.read_up(limits.sockets)  # what came in this instant is not lost
                # Slow is not silent; but no RPC has more time than drip_s.
                since = row.get(client, now)
                drips = len(client.inbound) > 0 and since >= now - limits.drip_s
                if client in row and max(since, client.heard if drips else since) < now - wait_s:
                    client.give_up("silent, or half a message for too long")
        for client in older(self.idle, now - min(limits.rest_s, limits.idle_s)):
            full = len(self.open) - len(self.silent) > limits.clients // 2
            if not full and self.idle[client] >= now - limits.idle_s:
                return
            client.read_up(limits.sockets)
            if client in self.idle and not len(client.inbound):
                client.end("idle")

    def catch_up(self) -> bool:
        """Take what came while its connection had enough under way; whether some have still more."""
        resumable, self.resumable = self.resumable, []
        for client in resumable:
            if not client.closed and not client.leaving:
                client.reading = True
                client.interest()
                client.ready(0)
        return bool(self.resumable)

    def last_call(self) -> None:
        """New connections are refused from here on; what has come up to now is served, also where it lies unread."""
        self._accept_all()
        self.phase = StopPhase.LAST_CALL
        for client in list(self.open):
            client.leave()

    def final_call(self) -> None:
        """The drain's deadline has come, and with it every answer: no connection is waited for."""
        self.phase = StopPhase.FINAL
        for client in list(self.open):
            client.leave()

    def close(self) -> None:
        """Refuse those that still wait to be accepted, and listen no more."""
        self.phase = StopPhase.CLOSING
        self._accept_all()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def _accept_all(self) -> None:
        """Accept until nobody waits; an error for want of room is tried again at once, so many times at the most."""
        for _ in range(self.limits.backlog):
            if not self.arrived() and not self.is_paused:
                return


class ResumeAccepting(Expiring):
    """The alarm of a listener that had no room for one more connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients

    def expire(self) -> None:
        self.clients.refusals.sweep()
        self.clients.resume_accepting()


def older(row: OrderedDict[Client, float], than: float) -> list[Client]:
    """Those of a row that stand in it for longer, the oldest first."""
    found: list[Client] = []
    for client, since in row.items():
        if since >= than:
            break
        found.append(client)
    return found
