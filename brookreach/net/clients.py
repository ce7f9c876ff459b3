"""The listener and the clients' connections: RPCs read, each answered once and in order.

It owns every client connection and the order of the answers on it. It must never word an answer that the
driver did not hand it, save for what can't be taken as an RPC at all; that is never worded as a pushback.
"""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from . import pgwire
from .limits import Limits
from .report import Report
from .stream import Ended, Stream


class Taker(Protocol):
    """What takes RPCs: the driver."""

    def take(self, statement: pgwire.Statement, slot: Slot) -> int: ...

    def gone(self, rpc: int) -> None: ...


class Slot:
    """The place of one answer in the order of its connection."""

    __slots__ = ("client", "rpc", "buffers")

    def __init__(self, client: Client):
        self.client = client
        self.rpc: int | None = None
        self.buffers: list[bytes] | None = None

    def answer(self, buffers: list[bytes]) -> None:
        assert self.buffers is None  # one answer
        self.buffers = buffers
        self.client.flush()


class Client:
    """One client connection."""

    def __init__(self, sock: socket.socket, home: Clients):
        self.stream, self.home = Stream(sock), home
        self.inbound = pgwire.Inbound(home.limits.message)
        self.slots: deque[Slot] = deque()
        self.rest: list[bytes | memoryview] = []  # answered, and not taken by the kernel yet
        self.writing = False
        self.leaving = False  # we have ended our side
        self.room = anyio.Event()

    # --- reading ---

    async def serve(self) -> None:
        try:
            with anyio.move_on_after(self.home.limits.startup_s) as scope:
                await self._startup()
            if not scope.cancelled_caught:
                await self._queries()
        except Ended:
            pass
        except pgwire.BrokenStream as error:
            self.home.report.say("client", f"not the protocol: {error}")
            self._last(pgwire.error(b"08P01", str(error), fatal=True))
        finally:
            for slot in self.slots:
                if slot.rpc is not None and slot.buffers is None:
                    self.home.taker.gone(slot.rpc)
            self.slots.clear()
            self.stream.close()

    async def _startup(self) -> None:
        while True:
            body = self.inbound.startup()
            if body is None:
                if len(self.inbound) > self.home.limits.head:
                    raise pgwire.BrokenStream("an endless startup message")
                await self.stream.fill(self.inbound)
                continue
            code = pgwire.INT.unpack_from(body)[0] if len(body) >= 4 else 0
            if code in (pgwire.SSL, pgwire.GSSENC):
                self._say([b"N"])
            elif code == pgwire.CANCEL:
                raise Ended("a cancel request, which this protocol has no use for")
            elif code >> 16 == 3:
                self._say([pgwire.WELCOME])
                return
            else:
                raise pgwire.BrokenStream(f"unknown startup code {code}")

    async def _queries(self) -> None:
        skipping = False  # after an error in the extended protocol, until Sync
        while True:
            message = self.inbound.message()
            if message is None:
                await self.stream.fill(self.inbound)
                continue
            tag, body = message
            if self.leaving:
                continue  # it crossed our closing: the client sends it again elsewhere
            if tag == b"X":
                return
            if tag == b"Q":
                self._query(body)
            elif tag == b"S":
                skipping = False
                self._in_order(pgwire.READY)
            elif tag in (b"P", b"B", b"D", b"E", b"C", b"H", b"F"):
                if not skipping and tag != b"H":
                    skipping = tag != b"F"
                    refusal = pgwire.error(b"0A000", "simple queries only")
                    self._in_order(refusal[:-len(pgwire.READY)] if skipping else refusal)
            else:
                raise pgwire.BrokenStream(f"unknown message {tag!r}")
            while len(self.slots) >= self.home.limits.pipelined:
                self.room = anyio.Event()
                await self.room.wait()

    def _query(self, body: memoryview) -> None:
        text = body[:-1] if body and body[-1] == 0 else body
        done = pgwire.harmless(text)
        if done is not None:
            self._in_order(done)
            return
        try:
            statement = pgwire.statement(text, self.home.limits.comment)
            slot = Slot(self)
            slot.rpc = self.home.taker.take(statement, slot)
            self.slots.append(slot)
        except pgwire.BadStatement as error:
            self.home.report.say("client", f"statement not taken: {error}")
            self._in_order(pgwire.error(error.state, str(error)))

    # --- writing ---

    def _in_order(self, answer: bytes) -> None:
        slot = Slot(self)
        self.slots.append(slot)
        slot.answer([answer])

    def flush(self) -> None:
        """Write what is answered, up to the first RPC that is not."""
        ready: list[bytes] = []
        while self.slots and self.slots[0].buffers is not None:
            ready += self.slots.popleft().buffers or []
        self.room.set()
        if ready:
            self._say(ready)
        if self.home.stopping and not self.slots:
            self.leave()

    def _say(self, buffers: list[bytes]) -> None:
        """At once as far as the kernel takes it; the rest by a task of its own."""
        if self.stream.closed:
            return
        self.rest += buffers
        if self.writing:
            return
        try:
            self.rest = self.stream.push(self.rest)
        except Ended:
            self.rest = []  # reading will see it too
            return
        if self.rest:
            self.writing = True
            self.home.spawn(self._write)

    async def _write(self) -> None:
        try:
            while self.rest:
                going, self.rest = self.rest, []
                with anyio.move_on_after(self.home.limits.stuck_s) as scope:
                    await self.stream.send(going)
                if scope.cancelled_caught:
                    self.stream.close()  # it takes nothing: it has gone
                    return
        except Ended:
            return
        finally:
            self.writing = False
        if self.leaving:
            self.stream.end_sending()

    def _last(self, answer: bytes) -> None:
        with contextlib.suppress(Ended):
            self.stream.push([*self.rest, answer])

    def leave(self) -> None:
        """End our side between RPCs and read on: a reset could overtake the last answer."""
        if not self.leaving:
            self.leaving = True
            if not self.rest and not self.writing:
                self.stream.end_sending()


class Clients:
    def __init__(self, limits: Limits, report: Report, taker: Taker, listener: socket.socket):
        self.limits, self.report, self.taker, self.listener = limits, report, taker, listener
        self.open: set[Client] = set()
        self.stopping = False
        self.tasks: TaskGroup | None = None
        self.left = anyio.Event()

    def spawn(self, task: Callable) -> None:  # type: ignore[type-arg]
        assert self.tasks is not None
        self.tasks.start_soon(task)

    async def accept(self) -> None:
        while True:
            if len(self.open) >= self.limits.clients:
                self.report.say("clients", f"{len(self.open)} connections: accepting waits")
                self.left = anyio.Event()
                await self.left.wait()
                continue
            try:
                if not self._accept_one():
                    await anyio.wait_readable(self.listener)
            except anyio.ClosedResourceError:
                return
            except OSError as error:
                if self.listener.fileno() < 0:
                    return
                self.report.say("clients", f"accepting waits: {error}")  # out of descriptors or buffers
                await anyio.sleep(self.limits.again_s)

    def _accept_one(self) -> bool:
        try:
            sock, _ = self.listener.accept()
        except (BlockingIOError, ConnectionAbortedError):
            return False
        client = Client(sock, self)
        self.open.add(client)
        assert self.tasks is not None
        self.tasks.start_soon(self._serve, client)
        return True

    async def _serve(self, client: Client) -> None:
        try:
            await client.serve()
        finally:
            self.open.discard(client)
            self.left.set()

    async def stop(self) -> None:
        """Take what still comes for a moment, finish what is under way, end the rest between RPCs."""
        await anyio.sleep(self.limits.linger_s)
        while len(self.open) < self.limits.clients and self._accept_one():
            pass  # the kernel has taken these for us
        anyio.notify_closing(self.listener)
        self.listener.close()
        await anyio.lowlevel.checkpoint()
        self.stopping = True
        for client in list(self.open):
            if not client.slots:
                client.leave()
        with anyio.move_on_after(self.limits.drain_s - self.limits.linger_s):
            while self.open:
                self.left = anyio.Event()
                await self.left.wait()
