"""The listener and the table of the clients' connections: who is let in, who makes way, who is closed.

It owns which connections stand. It must never read a query, nor answer one.
"""

from __future__ import annotations

import math
import time
from collections import Counter, OrderedDict
from itertools import islice

import anyio

from brookreach.net import pgwire
from brookreach.net.client import Client, Taker
from brookreach.net.limits import Limits
from brookreach.net.report import Report
from brookreach.net.stream import IN, Listener, Poller


class Clients:
    def __init__(self, limits: Limits, report: Report, poller: Poller, taker: Taker, at: str) -> None:
        self.limits, self.report, self.poller, self.taker, self.at = limits, report, poller, taker, at
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
        self.stopping = self.deaf = False
        self.ends_at = math.inf  # by the monotonic clock
        self.one_left = anyio.Event()
        self.listener: Listener | None = Listener(poller, at, limits.backlog, self.arrived)

    def arrived(self) -> bool:
        """Accept what the kernel has taken for us: a connection that waits there may hold an RPC that nobody
        looks at. Where all connections hold RPCs, a new one is closed at once: its client can go elsewhere.
        Whether more may wait there.
        """
        try:
            for _ in range(self.limits.sockets):
                sock = self.listener.accept() if self.listener is not None else None
                if sock is None:
                    return False
                if len(self.open) < self.limits.clients or self._make_way():
                    self.open.add(Client(sock, self))
                else:
                    self.report.say("clients", f"{len(self.open)} connections with RPCs: new ones are closed")
                    sock.close()
        except OSError as error:  # out of descriptors or buffers: heard again when a connection has gone
            self.report.say("clients", f"{error}: new ones wait")
            if self.listener is not None and not self._make_way():
                self.deaf = True
                self.poller.watch(self.listener, 0)
                return False
        return True

    def _make_way(self) -> bool:
        """Close the connection that has been silent for longest or the one that has been idle for longest:
        between RPCs we may. Where few are silent, their first query is on its way. One whose next RPC lies
        unread is passed over; one that has half an RPC comes last."""
        rows = [self.silent, self.idle] if len(self.silent) > len(self.idle) else [self.idle, self.silent]
        for row in [*rows, self.half]:
            for client in list(islice(row, self.limits.messages)):
                asks = client.slots or client.rest or row is self.idle and len(client.inbound)
                if not asks and client.quiet():
                    client.end("makes way for a new connection")
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
        self.one_left.set()
        if self.deaf and self.listener is not None:
            self.deaf = False
            self.poller.watch(self.listener, IN)

    def sweep(self) -> None:
        """Close what has been silent, half said or stalled for too long, and in a full house what rests."""
        now, limits = time.monotonic(), self.limits
        for client in self.open:
            if not client.reading and not len(client.inbound) and client.quiet():
                client.unread_since = now  # whatever lies unread later has come later
        for client in older(self.stalled, now - limits.stalled_s):
            client.end("takes nothing of its answer")
        for row in (self.silent, self.half):
            for client in older(row, now - limits.silent_s):
                client.read_up()  # what came in this instant is not lost
                # Slow is not silent; but no RPC has more time than drain_s.
                since = row.get(client, now)
                drips = len(client.inbound) > 0 and since >= now - limits.drain_s
                if client in row and max(since, client.heard if drips else since) < now - limits.silent_s:
                    client.give_up("silent, or half a message for too long")
        for client in older(self.idle, now - min(limits.rest_s, limits.idle_s)):
            full = len(self.open) - len(self.silent) > limits.clients // 2
            if not full and self.idle[client] >= now - limits.idle_s:
                return
            client.read_up()
            if client in self.idle and not len(client.inbound):
                client.end("idle")

    def catch_up(self) -> bool:
        """Take what came while its connection had enough under way; whether some have still more."""
        resumable, self.resumable = self.resumable, []
        for client in resumable:
            if not client.closed:
                client.reading = True
                client.interest()
                client.ready(0)
        return bool(self.resumable)

    async def stop(self) -> None:
        """Take what still comes for a moment, finish what is under way, end the rest between RPCs."""
        await anyio.sleep(self.limits.linger_s)
        self.last_call()
        with anyio.move_on_after(self.ends_at - time.monotonic()):
            while self.open:
                self.one_left = anyio.Event()
                await self.one_left.wait()

    def last_call(self) -> None:
        """Nobody new from here on; what has come up to now is owed an answer, also where it lies unread."""
        self.stopping = True
        for _ in range(self.limits.backlog):
            if not self.arrived():
                break
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for client in list(self.open):
            client.leave()
        self.ends_at = time.monotonic() + self.limits.drain_s - self.limits.linger_s + self.limits.past_s

    def ends_before(self, due: float) -> bool:
        """Whether we may have ended before an RPC that is due then, by the monotonic clock, has its answer."""
        return due > self.ends_at


def older(row: OrderedDict[Client, float], than: float) -> list[Client]:
    """Those of a row that stand in it for longer, the oldest first."""
    found: list[Client] = []
    for client, since in row.items():
        if since >= than:
            break
        found.append(client)
    return found
