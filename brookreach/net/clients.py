"""The listener and the clients' connections: RPCs read, each answered once and in order.

It owns every client connection and the order of the answers on it. It must never word an answer that the
driver did not hand it, save for what can't be taken as an RPC at all; that is never worded as a pushback.
"""

from __future__ import annotations

import contextlib
import socket
import time
from collections import deque
from typing import Protocol

import anyio

from . import pgwire
from .limits import Limits
from .report import Report
from .stream import Expiring, Listener, Poller, Stream

EXTENDED = (b"P", b"B", b"D", b"E", b"C", b"H")  # of the extended protocol, all but Sync


class Taker(Protocol):
    """What takes RPCs: the driver."""

    def take(self, statement: pgwire.Statement, slot: Slot) -> int: ...

    def gone(self, rpc: int) -> None: ...

    def alarm(self, delay_ms: float, what: Expiring) -> None: ...


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
        super().__init__(home.poller, sock, home.limits.message)
        self.home = home
        self.slots: deque[Slot] = deque()
        self.started = False  # the startup message has come
        self.skipping = False  # after an error in the extended protocol, until Sync
        self.leaving = False  # we have ended our side
        self.used_at = time.monotonic()
        self.stuck = 0  # how often an alarm has found the same answer not taken
        home.taker.alarm(home.limits.startup_s * 1000.0, self)

    # --- reading ---

    def came(self) -> None:
        while not self.closed and len(self.slots) < self.home.limits.pipelined:
            if not self.started:
                body = self.inbound.startup()
                if body is None:
                    if len(self.inbound) > self.home.limits.head:
                        raise pgwire.BrokenStream("an endless startup message")
                    return
                self._startup(body)
            else:
                message = self.inbound.message()
                if message is None:
                    return
                if not self.leaving:  # else it crossed our closing: the client sends it again elsewhere
                    self._message(message[0], message[1])
        if not self.closed:
            self.reading = False  # enough under way; `flush` goes on reading
            self.interest()

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
            self.slots.append(slot)
        except pgwire.BadStatement as error:
            self.home.report.say("client", f"statement not taken: {error}")
            self._in_order(pgwire.error(error.state, str(error)))

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
        self.slots.append(slot)
        slot.answer([answer])

    def flush(self) -> None:
        """Write what is answered, up to the first RPC that is not."""
        ready: list[bytes | memoryview] = []
        while self.slots and self.slots[0].buffers is not None:
            ready.extend(self.slots.popleft().buffers or [])
        if not ready or self.closed:
            return
        self.used_at = self.poller.polled
        try:
            self.send(ready)
        except OSError:
            self.end()
            return
        if self.rest and not self.stuck:
            self.stuck = 1
            self.home.taker.alarm(self.home.limits.stuck_s * 1000.0, self)
        if not self.reading:
            self.reading = True
            self.interest()
            self.home.again.append(self)
        if self.home.stopping and not self.slots:
            self.leave()

    def emptied(self) -> None:
        self.stuck = 0
        if self.leaving:
            self.end_sending()

    def expire(self) -> None:
        """No startup in time, or an answer that it does not take: it has gone."""
        if not self.closed and (not self.started or (self.stuck and self.rest)):
            self.end()

    def leave(self) -> None:
        """End our side between RPCs and read on: a reset could overtake the last answer."""
        if not self.leaving:
            self.leaving = True
            if not self.rest:
                self.end_sending()


def _used_at(client: Client) -> float:
    return client.used_at


class Clients:
    def __init__(self, limits: Limits, report: Report, poller: Poller, taker: Taker, at: str) -> None:
        self.limits, self.report, self.poller, self.taker, self.at = limits, report, poller, taker, at
        self.open: set[Client] = set()
        self.again: list[Client] = []  # to be looked at again for RPCs that have come already
        self.stopping = False
        self.one_left = anyio.Event()
        self.listener: Listener | None = None
        self._listen()

    def _listen(self) -> None:
        self.listener = Listener(self.poller, self.at, self.limits.backlog, self.arrived)

    def arrived(self) -> None:
        """Accept all that the kernel has taken for us. With too many, refuse new ones: a connection that
        waits to be accepted holds an RPC that is taken and that nobody looks at."""
        try:
            while self.listener is not None:
                sock = self.listener.accept()
                if sock is None:
                    return
                self.open.add(Client(sock, self))
                if len(self.open) >= self.limits.clients and not self._spare_one():
                    self._refuse(f"{len(self.open)} connections")
        except OSError as error:
            self._refuse(str(error))  # out of descriptors or buffers

    def _refuse(self, why: str) -> None:
        listener, self.listener = self.listener, None
        if listener is not None:
            self.report.say("clients", f"{why}: new ones are refused")
            with contextlib.suppress(OSError):
                while (sock := listener.accept()) is not None:
                    self.open.add(Client(sock, self))
            listener.close()

    def _spare_one(self) -> bool:
        """Close the connection that has been idle for longest: between RPCs we may."""
        idle = [client for client in self.open if client.started and not client.slots and not client.rest]
        if idle:
            client = min(idle, key=_used_at)
            if client.quiet():
                client.end()
                return True
        return False

    def left(self, client: Client) -> None:
        self.open.discard(client)
        self.one_left.set()
        if self.listener is None and not self.stopping and len(self.open) < self.limits.again:
            try:
                self._listen()
            except OSError as error:
                self.report.say("clients", f"can't listen again yet: {error}")

    def catch_up(self) -> None:
        """Take the RPCs that came while their connection had enough under way."""
        again, self.again = self.again, []
        for client in again:
            if not client.closed:
                try:
                    client.came()
                except pgwire.BrokenStream as error:
                    client.broke(f"not the protocol: {error}")

    async def stop(self) -> None:
        """Take what still comes for a moment, finish what is under way, end the rest between RPCs."""
        await anyio.sleep(self.limits.linger_s)
        self.stopping = True
        self.arrived()  # the kernel has taken these for us
        if self.listener is not None:
            self.listener.close()
        for client in list(self.open):
            if not client.slots:
                client.leave()
        with anyio.move_on_after(self.limits.drain_s - self.limits.linger_s):
            while self.open:
                self.one_left = anyio.Event()
                await self.one_left.wait()
