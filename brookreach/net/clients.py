"""The listener and the table of client connections: which are admitted, evicted and closed.

This module owns which connections stand. It does not read queries or answer them.
"""

from __future__ import annotations

import socket
import time
from collections import Counter, OrderedDict, deque

import anyio

from brookreach.net import pgwire
from brookreach.net.client import Client
from brookreach.net.drain import Drain, ShutdownPhase
from brookreach.net.eviction import connection_to_evict
from brookreach.net.limits import Limits
from brookreach.net.listener import Listener, NoRoomError
from brookreach.net.message_buffer import BufferPool
from brookreach.net.poller import Expirable, Poller
from brookreach.net.refusals import RefusedConnections
from brookreach.net.report import Report
from brookreach.net.rpc_memory import RpcMemory
from brookreach.net.rpc_receiver import RpcReceiver
from brookreach.net.waiting_rows import older

EVICTED = "evicted for a new connection"


class Clients:
    """The table of client connections.

    Raises:
        OSError: The address can't be listened on.
    """

    def __init__(
        self, limits: Limits, report: Report, poller: Poller, receiver: RpcReceiver, at: str, drain: Drain
    ) -> None:
        self.limits = limits
        self.report = report
        self.poller = poller
        self.receiver = receiver
        self.drain = drain
        self.connected: set[Client] = set()
        # Connections that may be evicted or closed, with the time since when, the oldest first: those that have not
        # asked anything yet, those between RPCs, those with a partial message, those that don't take their answers.
        self.silent: OrderedDict[Client, float] = OrderedDict()
        self.idle: OrderedDict[Client, float] = OrderedDict()
        self.partial: OrderedDict[Client, float] = OrderedDict()
        self.discarding: OrderedDict[Client, float] = OrderedDict()  # partial ones that there is no room to keep
        self.stalled: OrderedDict[Client, float] = OrderedDict()
        self.close_counts: Counter[str] = Counter()  # connections that have ended, by reason
        self.pool = BufferPool(limits.large_message_bytes)
        self.memory = RpcMemory(limits)
        self.resumable: deque[Client] = deque()  # may have received RPCs that were not handled yet
        self.refusals = RefusedConnections(limits, poller, self.pool, self.resume_accepting, receiver.available_links)
        self.phase = ShutdownPhase.NONE
        self.is_paused = False  # until its timeout, or until a connection has ended, nothing is accepted
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
        """Accept what the kernel has accepted ahead; return whether more may wait there.

        A connection that waits there may hold an RPC that nobody looks at.
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
            self._admit(sock, self.listener.waiting_since if self.listener is not None else self.poller.events_since)
        return True

    def _must_wait(self) -> bool:
        """Whether the next connection would be refused while earlier ones have not read their refusal yet.

        That lasts for a limited time: the next one may hold an RPC, which has to be answered in time as well.
        """
        has_room = not self.is_stopping and len(self.connected) < self.limits.max_clients
        if has_room or self.phase == ShutdownPhase.CLOSING or self.listener is None:
            return False
        waited_s = time.monotonic() - self.listener.waiting_since
        return waited_s < self.limits.accept_wait_s and self.refusals.is_full()

    def _admit(self, sock: socket.socket, waiting_since: float) -> None:
        """Admit a connection; refuse it while we stop, or if all others hold RPCs: its client can go elsewhere."""
        if self.is_stopping:
            self.refusals.refuse(sock, pgwire.NOT_READY_SQLSTATE, "shutting down")
        elif len(self.connected) < self.limits.max_clients or self._evict_one():
            client = Client(sock, self)
            client.arrival.note_accepted(waiting_since)
            self.connected.add(client)
        else:
            self.report.log("clients", f"{len(self.connected)} connections with RPCs: new ones are refused")
            self.refusals.refuse(sock, pgwire.PUSH_BACK_SQLSTATE, "too many connections")

    def _pause_accepting(self) -> None:
        """Resume after a while, not only when a connection ends: there may be none that could."""
        if self.listener is not None and not self.is_paused:
            self.is_paused = True
            self.listener.set_accepting(False)
            self.receiver.schedule_timeout(self.limits.accept_retry_s * 1000.0, ResumeAccepting(self))

    def resume_accepting(self) -> None:
        """Accept connections again after a pause."""
        if self.is_paused and self.listener is not None:
            self.is_paused = False
            self.listener.set_accepting(True)

    def _evict_one(self) -> bool:
        """Close one connection that may make way for a new one; return whether there was one."""
        client = connection_to_evict(self)
        if client is None:
            return False
        is_awaited = client in self.silent or client in self.discarding  # its query may be on its way
        if is_awaited and not self.refusals.is_full():
            sock = client.detach()
            self.refusals.refuse(sock, pgwire.PUSH_BACK_SQLSTATE, "too many connections", client.started)
            self.remove(client, EVICTED)
        else:
            client.end(EVICTED)
        return True

    def mark_busy(self, client: Client) -> None:
        """A connection is neither silent nor idle any more."""
        for row in (self.silent, self.idle):
            row.pop(client, None)

    def note_stalled(self, client: Client) -> None:
        """A client does not take its answers; without room for them, those that have stalled longest are ended."""
        self.stalled.pop(client, None)
        self.stalled[client] = time.monotonic()  # since the kernel last took something
        client.answers.note_unsent(client.unsent)
        while self.memory.answers.is_exceeded() and self.stalled:
            next(iter(self.stalled)).end("takes nothing of its answer while others need the room")

    def forget_partial(self, client: Client) -> None:
        """A connection has no partial message any more, or is not waited for."""
        for row in (self.partial, self.discarding):
            row.pop(client, None)

    def remove(self, client: Client, why: str) -> None:
        """A connection has ended, for this reason."""
        self.close_counts[why.partition(":")[0]] += 1
        self.connected.discard(client)
        for row in (self.silent, self.idle, self.partial, self.discarding, self.stalled):
            row.pop(client, None)
        self.client_ended.set()
        self.resume_accepting()

    def sweep(self) -> None:
        """Close what was silent, partial or stalled for too long, and idle connections where many are connected."""
        now, limits = time.monotonic(), self.limits
        self.refusals.sweep()
        for client in self.connected:
            if not client.reading and not len(client.inbound) and client.is_quiet():
                client.unread_since = now  # whatever lies unread later has arrived later
        for client in older(self.stalled, now - limits.stalled_timeout_s):
            client.end("takes nothing of its answer")
        # A first query follows the startup message at once: while we stop, it is not waited for longer.
        first_s = limits.refuse_new_after_s if self.is_stopping else limits.silence_timeout_s
        for row, wait_s in ((self.silent, first_s), (self.partial, limits.silence_timeout_s)):
            for client in older(row, now - wait_s):
                client.read_available(limits.sockets_per_turn)  # what arrived in this instant is not lost
                # A slow message is not silence; but no RPC has more time than slow_message_timeout_s.
                since = row.get(client, now)
                is_slow = len(client.inbound) > 0 and since >= now - limits.slow_message_timeout_s
                if client in row and max(since, client.heard_at if is_slow else since) < now - wait_s:
                    client.close_after_answers("silent, or half a message for too long")
        for client in older(self.idle, now - min(limits.crowded_idle_timeout_s, limits.idle_timeout_s)):
            is_crowded = len(self.connected) - len(self.silent) > limits.max_clients // 2
            if not is_crowded and self.idle[client] >= now - limits.idle_timeout_s:
                return
            client.read_available(limits.sockets_per_turn)
            if client in self.idle and not len(client.inbound):
                client.end("idle")

    def resume_reading(self) -> bool:
        """Handle what arrived while some connections had enough under way; return whether some have still more."""
        for _ in range(min(self.limits.sockets_per_poll, len(self.resumable))):
            client = self.resumable.popleft()
            if not client.closed and not client.leaving:
                client.reading = True
                client.update_interest()
                client.handle_events(0)
        return bool(self.resumable)

    def refuse_new_connections(self) -> None:
        """Refuse new connections from now on; what has arrived up to now is served, also where it lies unread."""
        self._accept_all()
        self.phase = ShutdownPhase.REFUSING_NEW
        for client in list(self.connected):
            client.close_if_idle()

    def stop_waiting(self) -> None:
        """The drain's deadline has come, and with it every answer: no connection is waited for any more."""
        self.phase = ShutdownPhase.PAST_DEADLINE
        for client in list(self.connected):
            client.close_if_idle()

    def close(self) -> None:
        """Refuse the connections that still wait to be accepted, and close the listener."""
        self.phase = ShutdownPhase.CLOSING
        self._accept_all()
        if self.listener is not None:
            self.listener.close()
            self.listener = None

    def _accept_all(self) -> None:
        """Accept until none waits; an error for want of room is retried at once, a limited number of times."""
        for _ in range(self.limits.backlog):
            if not self.accept_waiting() and not self.is_paused:
                return


class ResumeAccepting(Expirable):
    """The timeout of a listener that had no room for one more connection."""

    def __init__(self, clients: Clients) -> None:
        self.clients = clients

    def expire(self) -> None:
        """Try again, with the room of refusals that had their time."""
        self.clients.refusals.sweep()
        self.clients.resume_accepting()
