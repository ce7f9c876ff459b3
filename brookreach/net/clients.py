"""The listener and the clients' connections: RPCs read, each answered once and in order.

It owns every client connection and the order of the answers on it. It must never word an answer that the
driver did not hand it, save for what can't be taken as an RPC at all; that is never worded as a pushback.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections import OrderedDict, deque
from itertools import islice
from typing import Protocol

import anyio

from . import pgwire
from .limits import Limits
from .report import Report
from .stream import IN, Listener, Poller, Stream

EXTENDED = (b"P", b"B", b"D", b"E", b"C", b"H")  # of the extended protocol, all but Sync


class Taker(Protocol):
    """What takes RPCs: the driver."""

    def take(self, statement: pgwire.Statement, slot: Slot) -> int: ...

    def gone(self, rpc: int) -> None: ...


class Slot:
    """The place of one answer in the order of its connection."""

    def __init__(self, client: Client) -> None:
        self.client, self.rpc = client, 0
        self.buffers: list[bytes | memoryview] | None = None

    def answer(self, buffers: list[bytes | memoryview]) -> None:
        assert self.buffers is None  # one answer
        self.buffers = buffers
        self.client.flush()


class Client(Stream):
    """One client connection."""

    def __init__(self, sock: socket.socket, home: Clients) -> None:
        super().__init__(home.poller, sock, pgwire.Inbound(home.limits.message, home.pool))
        self.home = home
        self.slots: deque[Slot] = deque()
        self.started = False  # the startup message has come
        self.skipping = False  # after an error in the extended protocol, until Sync
        self.leaving = False  # we have ended our side
        self.faults = 0
        home.silent[self] = time.monotonic()

    # --- reading ---

    def came(self) -> None:
        limits, count = self.home.limits, 0
        while not self.closed and not self.rest and len(self.slots) < limits.pipelined:
            if count == limits.pipelined:
                self.home.again.append(self)  # others have their turn
                break
            count += 1
            if not self.started:
                body = self.inbound.startup()
                if body is None:
                    if len(self.inbound) > limits.head:
                        raise pgwire.BrokenStream("an endless startup message")
                    return
                self._startup(body)
            else:
                message = self.inbound.message()
                if message is None:
                    self._half(count > 1)
                    return
                if not self.leaving:  # else it crossed our closing: the client sends it again elsewhere
                    self._message(message[0], message[1])
        if not self.closed:
            self.reading = False  # enough under way; `flush` or `emptied` goes on reading
            self.interest()

    def _half(self, new: bool) -> None:
        """All whole messages are handled; half of one may be left, `new` or the one that was there before."""
        if new or not len(self.inbound):
            self.home.half.pop(self, None)
        if len(self.inbound):
            self.home.half.setdefault(self, time.monotonic())

    def _startup(self, body: memoryview) -> None:
        code = pgwire.INT.unpack_from(body)[0] if len(body) >= 4 else 0
        if code in (pgwire.SSL, pgwire.GSSENC):
            self.send([b"N"])
        elif code == pgwire.CANCEL:
            self.broke("a cancel request, which this protocol has no use for")
        elif code >> 16 == 3:
            self.started = True
            self.send([pgwire.WELCOME])
        else:
            raise pgwire.BrokenStream(f"unknown startup code {code}")

    def _message(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Q":
            self._query(body)
        elif tag == b"X":
            self.broke("terminated")
        elif tag == b"S":
            self.skipping = False
            self._in_order(pgwire.READY)
        elif tag == b"F":
            self._in_order(pgwire.error(b"0A000", "no function calls"))
        elif tag not in EXTENDED:
            raise pgwire.BrokenStream(f"unknown message {tag!r}")
        elif not self.skipping:
            self.skipping = True
            self._in_order(pgwire.error(b"0A000", "simple queries only", ready=False))

    def _query(self, body: memoryview) -> None:
        text = body[:-1] if len(body) and body[-1] == 0 else body
        done = pgwire.harmless(text)
        if done is not None:
            self._in_order(done)
            return
        slot = Slot(self)
        try:
            slot.rpc = self.home.taker.take(pgwire.statement(text, self.home.limits.comment), slot)
        except pgwire.BadStatement as error:
            self.home.report.say("client", f"statement not taken: {error}")
            self.faults += 1
            if self.slots or self.faults >= self.home.limits.faults:  # its error would wait, or it goes on
                raise pgwire.BrokenStream("statements that can't be taken") from None
            self._in_order(pgwire.error(error.state, str(error)))
            return
        self.home.busy(self)
        self.slots.append(slot)

    def broke(self, why: str) -> None:
        if why.startswith("not the protocol"):
            self.home.report.say("client", why)
            with contextlib.suppress(OSError):
                self.send([pgwire.error(b"08P01", why, ready=False)])
        self.end()

    def end(self) -> None:
        if self.closed:
            return
        self.close()
        for slot in self.slots:
            if slot.rpc and slot.buffers is None:
                self.home.taker.gone(slot.rpc)
        self.slots.clear()
        self.home.left(self)

    # --- writing ---

    def _in_order(self, answer: bytes) -> None:
        slot = Slot(self)
        self.home.busy(self)
        self.slots.append(slot)
        slot.answer([answer])

    def flush(self) -> None:
        """Write what is answered, up to the first RPC that is not."""
        ready: list[bytes | memoryview] = []
        while self.slots and self.slots[0].buffers is not None:
            ready.extend(self.slots.popleft().buffers or [])
        if not ready or self.closed:
            return
        try:
            self.send(ready)
        except OSError:
            self.end()
            return
        if self.rest:
            self.home.stuck.setdefault(self, time.monotonic())
        else:
            self._read_on()
        if not self.slots:
            self.home.idle[self] = self.poller.polled
            if self.home.stopping:
                self.leave()

    def _read_on(self) -> None:
        if not self.reading:
            self.home.again.append(self)

    def emptied(self) -> None:
        self.home.stuck.pop(self, None)
        self._read_on()
        if self.leaving:
            self.end_sending()

    def leave(self) -> None:
        """End our side between RPCs and read on: a reset could overtake the last answer."""
        if not self.leaving:
            self.leaving = True
            if not self.rest:
                self.end_sending()


class Clients:
    def __init__(self, limits: Limits, report: Report, poller: Poller, taker: Taker, at: str) -> None:
        self.limits, self.report, self.poller, self.taker, self.at = limits, report, poller, taker, at
        self.open: set[Client] = set()
        # Who makes way and who is closed, each since when, the oldest first: those that have asked nothing
        # yet, those between RPCs, those with half a message, those that don't take their answers.
        self.silent: OrderedDict[Client, float] = OrderedDict()
        self.idle: OrderedDict[Client, float] = OrderedDict()
        self.half: OrderedDict[Client, float] = OrderedDict()
        self.stuck: OrderedDict[Client, float] = OrderedDict()
        self.pool = pgwire.Pool(limits.large)
        self.again: list[Client] = []  # to be looked at again for RPCs that have come already
        self.stopping = self.deaf = False
        self.one_left = anyio.Event()
        self.listener: Listener | None = Listener(poller, at, limits.backlog, self.arrived)

    def arrived(self) -> None:
        """Accept what the kernel has taken for us: a connection that waits there may hold an RPC that nobody
        looks at. Where all connections hold RPCs, a new one is closed at once: its client can go elsewhere.
        """
        try:
            for _ in range(self.limits.sockets):
                sock = self.listener.accept() if self.listener is not None else None
                if sock is None:
                    return
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

    def _make_way(self) -> bool:
        """Close the connection that has been silent for longest, else the one that has been idle for longest:
        between RPCs we may. One whose next RPC lies unread is passed over."""
        for row in (self.silent, self.idle):
            for client in list(islice(row, self.limits.pipelined)):
                if client.quiet() and not (row is self.idle and len(client.inbound)):
                    client.end()
                    return True
        return False

    def busy(self, client: Client) -> None:
        self.silent.pop(client, None)
        self.idle.pop(client, None)

    def left(self, client: Client) -> None:
        self.open.discard(client)
        for row in (self.silent, self.idle, self.half, self.stuck):
            row.pop(client, None)
        self.one_left.set()
        if self.deaf and self.listener is not None:
            self.deaf = False
            self.poller.watch(self.listener, IN)

    def sweep(self) -> None:
        """Close what has been silent, half said or stuck for too long, and in a full house what rests."""
        now, limits = time.monotonic(), self.limits
        rows = [(self.silent, limits.silent_s), (self.half, limits.silent_s), (self.stuck, limits.stuck_s),
                (self.idle, limits.idle_s)]
        for row, longest in rows:
            while row and row[next(iter(row))] < now - longest:
                next(iter(row)).broke("too long")
        while len(self.open) - len(self.silent) > limits.clients // 2 and self.idle and (
                self.idle[next(iter(self.idle))] < now - limits.rest_s):
            next(iter(self.idle)).end()

    def catch_up(self) -> bool:
        """Take what came while its connection had enough under way; whether some have still more."""
        again, self.again = self.again, []
        for client in again:
            if not client.closed:
                client.reading = True
                client.interest()
                client.ready(0)
        return bool(self.again)

    async def stop(self) -> None:
        """Take what still comes for a moment, finish what is under way, end the rest between RPCs."""
        await anyio.sleep(self.limits.linger_s)
        self.stopping = True
        self.arrived()  # the kernel has taken these for us
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for client in list(self.open):
            if not client.slots:
                client.leave()
        with anyio.move_on_after(self.limits.drain_s - self.limits.linger_s):
            while self.open:
                self.one_left = anyio.Event()
                await self.one_left.wait()
