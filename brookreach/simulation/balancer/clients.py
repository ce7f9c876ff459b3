"""Clients of one run. They use their connections until these end, and note every request and what became of it."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

import anyio

from brookreach.net import pgwire
from brookreach.simulation.balancer.connection import Connection
from brookreach.simulation.balancer.record import Outcome, Record, Request
from brookreach.simulation.balancer.scenario import ClientStyle
from brookreach.simulation.stand_ins import GONE

HELLO = pgwire.startup_message("portal", "crm")
THINK_S = (0.0, 0.05)
READ_PAUSE_S = (0.1, 0.6)
LEAVE_S = (0.02, 0.25)
REST_OF_HALF_S = (0.05, 1.0)
LATE_HALF_CHANCE = 0.7  # with which the rest of half a request comes at all
SHORT_WAIT_S = (0.05, 0.3)
PIPELINED_REQUESTS = (2, 6)
UNSAFE_SHARE = 0.4


class RequestFactory:
    """Makes requests with ids of their own, and their statements."""

    def __init__(self, record: Record, limits_s: tuple[float, float], prefix: str):
        self._record = record
        self._limits_s = limits_s
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def make(self, rng: random.Random) -> tuple[Request, bytes]:
        """Return a request and its query message."""
        is_safe = rng.random() >= UNSAFE_SHARE
        longest_s = self._limits_s[0 if is_safe else 1]
        wait_s = longest_s if rng.random() < 0.6 else min(longest_s, rng.uniform(*SHORT_WAIT_S))
        return self.make_with(is_safe, wait_s)

    def make_with(self, is_safe: bool, wait_s: float) -> tuple[Request, bytes]:
        """Return a request of this kind and wait, and its query message."""
        name = f"{self._prefix}.{next(self._numbers):x}"
        request = Request(name, is_safe, wait_s, is_first=True, behind=0)
        self._record.requests.append(request)
        verb, method = ("SELECT", "look") if is_safe else ("INSERT", "book")
        text = f"{verb} 'x' /* id={name},c={method},d={wait_s * 1000.0:.0f} */"
        return request, b"".join(pgwire.query_message(text.encode()))


class Client:
    """One client.

    Args:
        may_connect: Whether new connections still reach this process: a front stops that soon after SIGTERM.
    """

    def __init__(
        self,
        style: ClientStyle,
        port: int,
        record: Record,
        requests: RequestFactory,
        rng: random.Random,
        may_connect: Callable[[], bool],
    ):
        self._style, self._port, self._record = style, port, record
        self._requests, self._rng, self._may_connect = requests, rng, may_connect

    async def run(self) -> None:
        """Connect again and again as long as that is allowed, and use each connection to its end."""
        while self._may_connect():
            if not await self._connect_and_use():
                await anyio.sleep(0.02)

    async def run_once(self) -> None:
        """As one of a burst: connect, write a request right behind the startup, wait for the end."""
        await self._connect_and_use()

    async def _connect_and_use(self) -> bool:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self._port)
        except OSError:
            self._record.refused_connections += 1
            return False
        async with stream:
            connection = Connection(stream, self._record)
            async with anyio.create_task_group() as tasks:
                is_slow = self._style == ClientStyle.SLOW_READER
                tasks.start_soon(connection.watch if is_slow else connection.read)
                try:
                    await self._use(connection)
                except GONE:
                    connection.end()
                tasks.cancel_scope.cancel()
        return True

    async def _use(self, connection: Connection) -> None:
        if self._style == ClientStyle.SILENT:
            await connection.send(HELLO, [])
            await connection.wait_until(lambda: connection.has_ended)
            return
        if self._style == ClientStyle.ABORTING:
            await connection.send(HELLO, [])
            await anyio.sleep(self._rng.uniform(*THINK_S))
            connection.reset()
            return
        request, query = self._requests.make(self._rng)
        if self._rng.random() < 0.5:
            await connection.send(HELLO + query, [request])
        else:
            await connection.send(HELLO, [])
            await connection.send(query, [request])
        while not connection.has_ended:
            await self._use_once(connection)
            await anyio.sleep(self._rng.uniform(*THINK_S))

    async def _use_once(self, connection: Connection) -> None:
        match self._style:
            case ClientStyle.PIPELINED:
                count = self._rng.randint(*PIPELINED_REQUESTS)
                made = [self._requests.make(self._rng) for _ in range(count)]
                await connection.send(b"".join(query for _, query in made), [request for request, _ in made])
                await connection.wait_until(lambda: connection.has_ended or len(connection.requests) < count)
            case ClientStyle.HALF:
                await self._send_half(connection)
            case ClientStyle.SLOW_READER:
                await self._read_late(connection)
            case ClientStyle.LEAVING:
                await self._leave(connection)
            case _:
                await connection.wait_until(lambda: connection.has_ended or not connection.requests)
                if not connection.has_ended:
                    request, query = self._requests.make(self._rng)
                    await connection.send(query, [request])

    async def _send_half(self, connection: Connection) -> None:
        await connection.wait_until(lambda: connection.has_ended or not connection.requests)
        if connection.has_ended:
            return
        request, query = self._requests.make(self._rng)
        cut = self._rng.randrange(1, len(query))
        await connection.send(query[:cut], [])
        if self._rng.random() < LATE_HALF_CHANCE:
            await anyio.sleep(self._rng.uniform(*REST_OF_HALF_S))
            if not connection.has_ended:
                await connection.send(query[cut:], [request])
                return
        request.unbound_reason = "not written whole"
        await connection.wait_until(lambda: connection.has_ended)

    async def _read_late(self, connection: Connection) -> None:
        await anyio.sleep(self._rng.uniform(*READ_PAUSE_S))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(connection.read)
            await connection.wait_until(lambda: connection.has_ended or not connection.requests)
            tasks.cancel_scope.cancel()
        if not connection.has_ended:
            request, query = self._requests.make(self._rng)
            await connection.send(query, [request])

    async def _leave(self, connection: Connection) -> None:
        with anyio.move_on_after(self._rng.uniform(*LEAVE_S)):
            await connection.wait_until(lambda: connection.has_ended or not connection.requests)
        if connection.requests and not connection.has_ended:
            connection.end(Outcome.LEFT)
            await anyio.aclose_forcefully(connection.stream)
        elif not connection.has_ended:
            request, query = self._requests.make(self._rng)
            await connection.send(query, [request])
