"""Frames on one TCP connection: a length of 4 bytes, then what `seal.sealed` made; and what waits around it.

It owns what is not yet written, and what is heard and not yet handled; both are bounded. It must never look
into a message, dial or listen.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass

import anyio
import anyio.abc
import anyio.lowlevel

from brookreach.coordination.errors import FrameTooLongError
from brookreach.coordination.protocol import messages

LENGTH_PREFIX_BYTES = 4  # bytes of length
CONNECTION_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)  # and TimeoutError


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Of one process's sockets. Bytes are those that wait to be written on one connection."""

    max_clients: int = 2048
    max_unidentified: int = 256  # connections that have not said a frame yet
    handshake_timeout_s: float = 2.0  # within which they have to
    connect_timeout_s: float = 1.0
    send_timeout_s: float = 5.0  # a peer that takes nothing for so long has gone
    max_client_frame_bytes: int = messages.MAX_COMMAND_BYTES + 4096  # the longest frame of a client
    max_client_queue_bytes: int = 4 << 20  # past it the client is cut off: it comes again and is told the whole
    watch_pause_bytes: int = 512 << 10  # past it nothing more of what it watches is put there
    max_replica_queue_bytes: int = 8 << 20  # past it the oldest is dropped: what it said is said again
    max_inbox_messages: int = 1024  # messages heard and not yet handled; past it nothing is read
    reconnect_delay_s: float = 0.05  # the first pause before a connection that failed is made again; it doubles
    max_reconnect_delay_s: float = 1.0


DEFAULT_LIMITS = ConnectionLimits()


async def read_frames(stream: anyio.abc.ByteStream, most: int) -> AsyncIterator[bytes]:
    """Frames as they come, until the stream ends; raises TooLong, and what the stream raises."""
    held = bytearray()
    while True:
        while len(held) >= LENGTH_PREFIX_BYTES:
            size = int.from_bytes(held[:LENGTH_PREFIX_BYTES], "big")
            if size > most:
                raise FrameTooLongError(f"{size} bytes; {most} are allowed")
            if len(held) < LENGTH_PREFIX_BYTES + size:
                break
            frame = bytes(held[LENGTH_PREFIX_BYTES : LENGTH_PREFIX_BYTES + size])
            del held[: LENGTH_PREFIX_BYTES + size]
            yield frame
        held += await stream.receive()


class SendQueue:
    """What waits to be written on one connection, which may not stand yet."""

    def __init__(self, most: int, drops: bool, stalled_s: float):
        self.most, self.drops, self.stalled_s = most, drops, stalled_s
        self.waiting: deque[bytes] = deque()
        self.pending_bytes = self.dropped_frames = 0  # bytes, those being written among them; frames
        self.aborted = self.finished = False
        self.wake = anyio.Event()
        self.sending: anyio.CancelScope | None = None

    def put(self, frame: bytes) -> bool:
        """False where it is full and drops nothing."""
        octets = len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame
        if self.pending_bytes + len(octets) > self.most and not self.drops:
            return False
        while self.waiting and self.pending_bytes + len(octets) > self.most:
            self.pending_bytes -= len(self.waiting.popleft())
            self.dropped_frames += 1
        self.waiting.append(octets)
        self.pending_bytes += len(octets)
        self.wake.set()
        return True

    async def wait_for_frames(self) -> None:
        """Until there is something to write."""
        while not self.waiting:
            self.wake = anyio.Event()
            await self.wake.wait()

    async def write(self, stream: anyio.abc.ByteStream) -> None:
        """Until all is written that came before `finish`; raises one of LOST where the connection ends, is
        stalled or cut off."""
        while not self.aborted:
            if not self.waiting:
                if self.finished:
                    return
                self.wake = anyio.Event()
                await self.wake.wait()  # what is put, or an end
                continue
            octets = b"".join(self.waiting)
            self.waiting.clear()
            with anyio.move_on_after(self.stalled_s) as self.sending:
                await stream.send(octets)
            if self.sending.cancelled_caught:
                break
            self.pending_bytes -= len(octets)
        raise TimeoutError("cut off" if self.aborted else f"it took nothing for {self.stalled_s} s")

    def finish(self) -> None:
        """Nothing more is put."""
        self.finished = True
        self.wake.set()

    def abort(self) -> None:
        """The writer raises at its next turn, and so ends the connection."""
        self.aborted = True
        self.wake.set()
        if self.sending is not None:
            self.sending.cancel()


class Inbox:
    """Messages heard and not yet handled. Keepers' have their own queue: a crowd of clients must not unseat a
    leader. Where one is full its readers wait, and the kernel pushes back."""

    def __init__(self, most: int):
        self.most = most
        self.from_replicas: deque[tuple[str, messages.Body]] = deque()
        self.from_clients: deque[tuple[str, messages.Body]] = deque()
        self.arrived, self.room = anyio.Event(), anyio.Event()

    async def put(self, queue: deque[tuple[str, messages.Body]], source: str, body: messages.Body) -> None:
        while len(queue) >= self.most:
            await self.room.wait()
        queue.append((source, body))
        self.arrived.set()

    def take(self, most: int) -> list[tuple[str, messages.Body]]:
        """All of the keepers', then so many of the clients'."""
        told = list(self.from_replicas)
        self.from_replicas.clear()
        told += [self.from_clients.popleft() for _ in range(min(most, len(self.from_clients)))]
        self.room.set()
        self.room, self.arrived = anyio.Event(), anyio.Event()
        return told

    async def wait(self, wait_s: float) -> None:
        if not self.from_replicas and not self.from_clients:
            with anyio.move_on_after(max(0.0, wait_s)):
                await self.arrived.wait()
        else:
            await anyio.lowlevel.checkpoint()  # readers and writers have their turn
