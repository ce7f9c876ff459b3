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
from brookreach.net.poller import Expirable, Poller
from brookreach.net.refusals import RefusedConnections
from brookreach.net.report import Report
from brookreach.net.rpc_receiver import RpcReceiver

EVICTED = "evicted for a new connection"


class ShutdownPhase(IntEnum):
    """How far a stop has come."""

    NONE = 0
    REFUSING_NEW = 1  # past it: new connections are refused, those between RPCs are left
    PAST_DEADLINE = 2  # past the drain's deadline: no connection is waited for
    CLOSING = 3  # who still waits to be accepted is refused, and the listener closed


class Clients:
    """Who is connected. OSError where the address can't be listened on."""

    def __init__(
        self, limits: Limits, report: Report, poller: Poller, receiver: RpcReceiver, at: str, drain: Drain
    ) -> None:
        self.limits, self.report, self.poller, self.receiver, self.at = limits, report, poller, receiver, at
        self.drain = drain
        self.connected: set[Client] = set()
        # Who makes way and who is closed, each since when, the oldest first: those that have asked nothing
        # yet, those between RPCs, those with half a message, those that don't take their answers.
        self.silent: OrderedDict[Client, float] = OrderedDict()
        self.idle: OrderedDict[Client, float] = OrderedDict()
        self.partial: OrderedDict[Client, float] = OrderedDict()
        self.stalled: OrderedDict[Client, float] = OrderedDict()
        self.close_counts: Counter[str] = Counter()  # connections that have ended, by reason
        self.pool = pgwire.BufferPool(limits.large_message_bytes)
        self.resumable: list[Client] = []  # to be looked at again for RPCs that have come already
        self.refusals = RefusedConnections(limits, poller, self.pool, self.resume_accepting, receiver.available_links)
        self.phase = ShutdownPhase.NONE
        self.is_paused = False  # accept is tried again when its alarm rings, or a connection has ended
        self.client_ended = anyio.Event()
        self.listener: Listener | None = Listener(poller, at, limits.backlog, self.accept_waiting)

    @property
    def is_stopping(self) -> bool:
        """Whether new connections are refused."""
        return self.phase != ShutdownPhase.NONE

    @property
    def is_past_deadline(self) -> bool:
        """Whether no connection is waited for any more."""
        return self.phase >= ShutdownPhase.PAST_DEADLINE

    def accept_waiting(self) -> bool:
        """Accept what the kernel has taken for us: a connection that waits there may hold an RPC that nobody
        looks at. Whether more may wait there.
        """
        for _ in range(self.limits.sockets_per_turn):
            if self._must_wait():
                self._pause_accepting()
                return False
            try:
                sock = self.listener.accept(self.limits.sockets_per_turn) if self.listener is not None else None
            except NoRoomError as error:
                self.report.log("clients", f"{error}: new ones wait")
                if error.is_own_limit:
                    self._evict_one()
                self._pause_accepting()
                return False
            if sock is None:
                return False
            self._admit(sock)
        return True

    def _must_wait(self) -> bool:
        """Whether the next one would be refused, and those before it have not read yet that they were."""
        has_room = not self.is_stopping and len(self.connected) < self.limits.max_clients
        return not has_room and self.phase != ShutdownPhase.CLOSING and self.refusals.is_full()

    def _admit(self, sock: socket.socket) -> None:
        """Where all connections hold RPCs, or we stop, a new one is told so: its client can go elsewhere."""
        if self.is_stopping:
            self.refusals.refuse(sock, pgwire.NOT_READY_SQLSTATE, "shutting down")
        elif len(self.connected) < self.limits.max_clients or self._evict_one():
            self.connected.add(Client(sock, self))
        else:
            self.report.log("clients", f"{len(self.connected)} connections with RPCs: new ones are refused")
            self.refusals.refuse(sock, pgwire.PUSH_BACK_SQLSTATE, "too many connections")

    def _pause_accepting(self) -> None:
        """Not only when a connection ends: there may be none that could."""
        if self.listener is not None and not self.is_paused:
            self.is_paused = True
            self.listener.set_accepting(False)
            self.receiver.schedule_timeout(self.limits.accept_retry_s * 1000.0, ResumeAccepting(self))

    def resume_accepting(self) -> None:
        if self.is_paused and self.listener is not None:
            self.is_paused = False
            self.listener.set_accepting(True)

    def _evict_one(self) -> bool:
        """Close the connection that has been silent for longest or the one that has been idle for longest:
        between RPCs we may. Where few are silent, their first query is on its way. One whose next RPC lies
        unread is passed over; one that has half an RPC comes last."""
        rows = [self.silent, self.idle] if len(self.silent) > len(self.idle) else [self.idle, self.silent]
        for row in [*rows, self.partial]:
            if row is self.silent and self.refusals.is_full():
                continue  # those that are being told so must not be cut short
            for client in list(islice(row, self.limits.messages_per_turn)):
                asks = client.answers or client.unsent or row is self.idle and len(client.inbound)
                if not asks and client.is_quiet():
                    if row is self.silent:  # its first query may be on its way: that is answered
                        self.refusals.refuse(
                            client.detach(), pgwire.PUSH_BACK_SQLSTATE, "too many connections", client.started
                        )
                        self.remove(client, EVICTED)
                    else:
                        client.end(EVICTED)
                    return True
        return False

    def mark_busy(self, client: Client) -> None:
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def remove(self, client: Client, why: str) -> None:
        self.close_counts[why.partition(":")[0]] += 1
        self.connected.discard(client)
        for row in (self.silent, self.idle, self.partial, self.stalled):
            row.pop(client, None)
        self.client_ended.set()
        self.resume_accepting()

    def sweep(self) -> None:
        """Close what has been silent, half said or stalled for too long, and in a full house what rests."""
        now, limits = time.monotonic(), self.limits
        self.refusals.sweep()
        for client in self.connected:
            if not client.reading and not len(client.inbound) and client.is_quiet():
                client.unread_since = now  # whatever lies unread later has come later
        for client in older(self.stalled, now - limits.stalled_timeout_s):
            client.end("takes nothing of its answer")
        # A first query comes right behind the startup: while we stop, it is not waited for longer.
        first_s = limits.refuse_new_after_s if self.is_stopping else limits.silence_timeout_s
        for row, wait_s in ((self.silent, first_s), (self.partial, limits.silence_timeout_s)):
            for client in older(row, now - wait_s):
                client.read_available(limits.sockets_per_turn)  # what came in this instant is not lost
                # Slow is not silent; but no RPC has more time than slow_message_timeout_s.
                since = row.get(client, now)
                drips = len(client.inbound) > 0 and since >= now - limits.slow_message_timeout_s
                if client in row and max(since, client.heard_at if drips else since) < now - wait_s:
                    client.close_after_answers("silent, or half a message for too long")
        for client in older(self.idle, now - min(limits.crowded_idle_timeout_s, limits.idle_timeout_s)):
            full = len(self.connected) - len(self.silent) > limits.max_clients // 2
            if not full and self.idle[client] >= now - limits.idle_timeout_s:
                return
            client.read_available(limits.sockets_per_turn)
            if client in self.idle and not len(client.inbound):
                client.end("idle")

    def resume_reading(self) -> bool:
        """Take what came while its connection had enough under way; whether some have still more."""
        resumable, self.resumable = self.resumable, []
        for client in resumable:
            if not client.closed and not client.leaving:
                client.reading = True
                client.update_interest()
                client.handle_events(0)
        return bool(self.resumable)

    def refuse_new_connections(self) -> None:
        """New connections are refused from here on; what has come up to now is served, also where it lies unread."""
        self._accept_all()
        self.phase = ShutdownPhase.REFUSING_NEW
        for client in list(self.connected):
            client.close_if_idle()

    def stop_waiting(self) -> None:
        """The drain's deadline has come, and with it every answer: no connection is waited for."""
        self.phase = ShutdownPhase.PAST_DEADLINE
        for client in list(self.connected):
            client.close_if_idle()

    def close(self) -> None:
        """Refuse those that still wait to be accepted, and listen no more."""
        self.phase = ShutdownPhase.CLOSING
        self._accept_all()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def _accept_all(self) -> None:
        """Accept until nobody waits; an error for want of room is tried again at once, so many times at the most."""
        for _ in range(self.limits.backlog):
            if not self.accept_waiting() and not self.is_paused:
                return


class ResumeAccepting(Expirable):
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
