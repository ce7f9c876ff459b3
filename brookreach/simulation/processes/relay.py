"""A TCP relay between processes: the one place where a drill cuts, delays, reorders, duplicates or corrupts frames.

It splits the streams into frames by their length and forwards them; it holds no key and decodes none of them. Only
the content of a frame is ever corrupted, never its length, so that the receiver's authentication has to reject it.
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
from brookreach.coordination.protocol.stream import (
    CONNECTION_ERRORS,
    LENGTH_PREFIX_BYTES,
    read_frames,
)
from brookreach.simulation.processes.ports import HOST

MAX_FRAME_BYTES = 1 << 21  # no process of the program sends longer ones


class InvalidFrameLengthError(OSError):
    """A stream announces a frame that no process of the program sends: the connection ends."""


@dataclass(frozen=True, slots=True)
class Impairment:
    """What happens to the frames of a link.

    Attributes:
        cut: Every frame is dropped, and neither end is told.
        delay_ms: Added to the transit of each frame.
        jitter_ms: The most that is added at random after that, so that frames overtake each other.
        duplicate_fraction: The fraction of frames that are delivered twice, 0 to 1.
        corrupt_fraction: The fraction of frames in which one bit is flipped, 0 to 1.
    """

    cut: bool = False
    delay_ms: float = 0.0
    jitter_ms: float = 0.0
    duplicate_fraction: float = 0.0
    corrupt_fraction: float = 0.0

    def combined_with(self, other: Impairment) -> Impairment:
        """Return the worse of both in each respect, for impairments that overlap in time."""
        return Impairment(
            cut=self.cut or other.cut,
            delay_ms=max(self.delay_ms, other.delay_ms),
            jitter_ms=max(self.jitter_ms, other.jitter_ms),
            duplicate_fraction=max(self.duplicate_fraction, other.duplicate_fraction),
            corrupt_fraction=max(self.corrupt_fraction, other.corrupt_fraction),
        )


UNIMPAIRED = Impairment()
ROUGH = Impairment(delay_ms=10.0, jitter_ms=60.0, duplicate_fraction=0.2, corrupt_fraction=0.01)
"""A bad network: frames are late, overtake each other, come twice and are damaged."""


@dataclass(slots=True)
class RelayLink:
    """The direction from one process to another, with its impairment and counts of what it did."""

    impairment: Impairment = UNIMPAIRED
    frame_counts: Counter[str] = field(default_factory=Counter)

    def impair(self, impairment: Impairment) -> None:
        """Add an impairment to those that are in effect until the next reset."""
        self.impairment = self.impairment.combined_with(impairment)

    def reset(self) -> None:
        """Forward frames as they come again."""
        self.impairment = UNIMPAIRED


@dataclass(frozen=True, slots=True)
class RelayEndpoint:
    """A port of the relay: `source` connects to `listen_port` in order to reach `target` at `target_port`."""

    source: str
    target: str
    listen_port: int
    target_port: int


class Relay:
    """Forwards between all processes of a drill.

    Attributes:
        links: By source and target.
    """

    def __init__(self, endpoints: Iterable[RelayEndpoint], seed: int):
        self.endpoints = tuple(endpoints)
        self.seed = seed
        self.links: dict[tuple[str, str], RelayLink] = {}
        for endpoint in self.endpoints:
            self.links.setdefault((endpoint.source, endpoint.target), RelayLink())
            self.links.setdefault((endpoint.target, endpoint.source), RelayLink())

    def links_between(self, sources: Iterable[str], targets: Iterable[str]) -> list[RelayLink]:
        """Return the links from any of the sources to any of the targets that lead through the relay."""
        ordered_targets = sorted(set(targets))
        return [
            self.links[source, target]
            for source in sources
            for target in ordered_targets
            if (source, target) in self.links
        ]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Forward until cancelled; started as soon as all ports listen.

        All listeners are closed at the end, also if one of them could not be opened.
        """
        async with AsyncExitStack() as listeners, anyio.create_task_group() as tasks:
            for endpoint in self.endpoints:
                listener = await anyio.create_tcp_listener(local_host=HOST, local_port=endpoint.listen_port)
                await listeners.enter_async_context(listener)
                tasks.start_soon(self._serve, listener, endpoint)
            task_status.started()

    async def _serve(self, listener: anyio.abc.Listener[anyio.abc.SocketStream], endpoint: RelayEndpoint) -> None:
        async def on_connection(stream: anyio.abc.SocketStream) -> None:
            await self._forward_connection(stream, endpoint)

        await listener.serve(on_connection)

    async def _forward_connection(self, near: anyio.abc.SocketStream, endpoint: RelayEndpoint) -> None:
        """Forward both directions of a connection; when either side closes it, both sides are closed."""
        try:
            async with (
                near,
                await anyio.connect_tcp(HOST, endpoint.target_port) as far,
                anyio.create_task_group() as tasks,
            ):
                outbound = (endpoint.source, endpoint.target)
                inbound = (endpoint.target, endpoint.source)
                tasks.start_soon(self._forwarder(near, far, outbound).run, tasks.cancel_scope)
                tasks.start_soon(self._forwarder(far, near, inbound).run, tasks.cancel_scope)
        except* CONNECTION_ERRORS:
            pass

    def _forwarder(
        self, source: anyio.abc.ByteStream, target: anyio.abc.ByteStream, names: tuple[str, str]
    ) -> LinkForwarder:
        return LinkForwarder(source, target, self.links[names], random.Random(f"{self.seed} {names}"))


class LinkForwarder:
    """One direction of one connection: frames that were read wait here until they are due."""

    def __init__(self, source: anyio.abc.ByteStream, target: anyio.abc.ByteStream, link: RelayLink, rng: random.Random):
        self._source = source
        self._target = target
        self._link = link
        self._rng = rng
        self._queue: list[tuple[float, int, bytes]] = []  # a heap of: when it is due, its number, the frame
        self._frames_queued = 0
        self._frame_queued = anyio.Event()

    async def run(self, connection_scope: anyio.CancelScope) -> None:
        """Forward until either end closes the connection, then end its other direction as well."""
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write)
                await self._read()
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        connection_scope.cancel()

    async def _read(self) -> None:
        try:
            async for frame in read_frames(self._source, MAX_FRAME_BYTES):
                self._on_frame(frame)
        except FrameTooLongError as error:
            raise InvalidFrameLengthError(f"{error}: at most {MAX_FRAME_BYTES} bytes are allowed") from error

    def _on_frame(self, frame: bytes) -> None:
        impairment = self._link.impairment
        counts = self._link.frame_counts
        counts["frames"] += 1
        if impairment.cut:
            counts["cut"] += 1
            return
        if frame and self._rng.random() < impairment.corrupt_fraction:
            frame = self._flip_random_bit(frame)
            counts["changed"] += 1
        copies = 2 if self._rng.random() < impairment.duplicate_fraction else 1
        counts["doubled"] += copies - 1
        for _ in range(copies):
            transit_ms = impairment.delay_ms + impairment.jitter_ms * self._rng.random()
            due = anyio.current_time() + transit_ms / 1000.0
            self._frames_queued += 1
            heapq.heappush(self._queue, (due, self._frames_queued, frame))
        self._frame_queued.set()

    def _flip_random_bit(self, frame: bytes) -> bytes:
        index = self._rng.randrange(len(frame))
        flipped = frame[index] ^ 1 << self._rng.randrange(8)
        return frame[:index] + bytes((flipped,)) + frame[index + 1 :]

    async def _write(self) -> None:
        while True:
            if not self._queue:
                self._frame_queued = anyio.Event()
                await self._frame_queued.wait()
                continue
            wait_s = self._queue[0][0] - anyio.current_time()
            if wait_s > 0.0:  # a frame that arrives meanwhile may be due sooner
                self._frame_queued = anyio.Event()
                with anyio.move_on_after(wait_s):
                    await self._frame_queued.wait()
                continue
            _, _, frame = heapq.heappop(self._queue)
            if not self._link.impairment.cut:
                await self._target.send(len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame)
