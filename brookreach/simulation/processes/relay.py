"""The one place between two processes where what they say is cut, delayed, overtaken, doubled or changed.

It reads frames by their length and passes them on; it holds no key and never looks into one. Its `Way`s are
turned by the drill in whose process it runs. Nothing is done to the bytes of a connection's shape: a change
is inside a frame, so that the reader's seal is what meets it.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field

import anyio
import anyio.abc
from anyio.abc import TaskStatus

from brookreach.coordination.errors import FrameTooLongError
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, LENGTH_PREFIX_BYTES, read_frames

MOST_FRAME = 1 << 21  # past it no stream of ours goes on


@dataclass(slots=True)
class Way:
    """What happens to frames from one process to another; shares are of frames."""

    cut: bool = False  # nothing passes, and nobody is told
    delay_ms: float = 0.0
    spread_ms: float = 0.0  # on top of it, by chance: frames overtake each other
    double: float = 0.0
    change: float = 0.0
    seen: Counter[str] = field(default_factory=Counter)

    def calm(self) -> None:
        self.cut, self.delay_ms, self.spread_ms, self.double, self.change = False, 0.0, 0.0, 0.0, 0.0


@dataclass(frozen=True, slots=True)
class Port:
    """Who dials it, whom it stands for, and where that one listens."""

    source: str
    target: str
    listen: int
    behind: int


class Relay:
    def __init__(self, ports: Iterable[Port], seed: int):
        self.ports, self.seed = tuple(ports), seed
        self.ways: dict[tuple[str, str], Way] = {}
        for one in self.ports:
            self.ways.setdefault((one.source, one.target), Way())
            self.ways.setdefault((one.target, one.source), Way())

    def between(self, one: Iterable[str], other: Iterable[str]) -> list[Way]:
        """The ways from these to those that a port leads over."""
        others = set(other)
        return [self.ways[a, b] for a in one for b in sorted(others) if (a, b) in self.ways]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; has started when all ports listen. All are closed, also where one can't listen."""
        async with AsyncExitStack() as closes, anyio.create_task_group() as tasks:
            for port in self.ports:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port.listen)
                await closes.enter_async_context(listener)
                tasks.start_soon(self._serve, listener, port)
            task_status.started()

    async def _serve(self, listener: anyio.abc.Listener[anyio.abc.SocketStream], port: Port) -> None:
        async def came(stream: anyio.abc.SocketStream) -> None:
            await self._both(stream, port)

        await listener.serve(came)

    async def _both(self, near: anyio.abc.SocketStream, port: Port) -> None:
        """One connection, until either end ends it: then both ends do."""
        try:
            async with (
                near,
                await anyio.connect_tcp("127.0.0.1", port.behind) as far,
                anyio.create_task_group() as tasks,
            ):
                there, back = (port.source, port.target), (port.target, port.source)
                for pump in (
                    Pump(near, far, self.ways[there], self.chance(there)),
                    Pump(far, near, self.ways[back], self.chance(back)),
                ):
                    tasks.start_soon(pump.run, tasks.cancel_scope)
        except* CONNECTION_ERRORS:
            pass

    def chance(self, way: tuple[str, str]) -> random.Random:
        return random.Random(f"{self.seed} {way}")


class Pump:
    """One direction of one connection: what has been read waits here until it is due."""

    def __init__(self, source: anyio.abc.ByteStream, target: anyio.abc.ByteStream, way: Way, chance: random.Random):
        self.source, self.target, self.way, self.chance = source, target, way, chance
        self.due: list[tuple[float, int, bytes]] = []
        self.count = 0
        self.came = anyio.Event()

    async def run(self, scope: anyio.CancelScope) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.write)
                await self.read()
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        scope.cancel()  # the other direction ends with it

    async def read(self) -> None:
        try:
            async for frame in read_frames(self.source, MOST_FRAME):
                self.take(frame)
        except FrameTooLongError as error:
            raise OSError(f"no length of a frame: {error}") from None

    def take(self, frame: bytes) -> None:
        way, chance = self.way, self.chance
        way.seen["frames"] += 1
        if way.cut:
            way.seen["cut"] += 1
            return
        if frame and chance.random() < way.change:
            at = chance.randrange(len(frame))
            frame = frame[:at] + bytes((frame[at] ^ 1 << chance.randrange(8),)) + frame[at + 1 :]
            way.seen["changed"] += 1
        times = 1 + (chance.random() < way.double)
        way.seen["doubled"] += times - 1
        for _ in range(times):
            due = anyio.current_time() + (way.delay_ms + way.spread_ms * chance.random()) / 1000.0
            self.count += 1
            heapq.heappush(self.due, (due, self.count, frame))
        self.came.set()

    async def write(self) -> None:
        while True:
            if not self.due:
                self.came = anyio.Event()
                await self.came.wait()
                continue
            wait = self.due[0][0] - anyio.current_time()
            if wait > 0.0:  # what comes meanwhile may be due sooner
                self.came = anyio.Event()
                with anyio.move_on_after(wait):
                    await self.came.wait()
                continue
            _, _, frame = heapq.heappop(self.due)
            if not self.way.cut:
                await self.target.send(len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame)
