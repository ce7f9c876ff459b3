"""Frames on one byte stream, each after its length; what is to be written waits in a bounded queue.

This module never looks into a frame, connects or listens.
"""

from __future__ import annotations

from collections import deque
from collections.abc import AsyncIterator, Callable

import anyio
import anyio.abc

from brookreach.coordination.errors import FrameTooLongError

LENGTH_PREFIX_BYTES = 4
CONNECTION_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
"""What ends a connection; `OSError` covers `TimeoutError`."""


async def read_frames(
    stream: anyio.abc.ByteStream, max_bytes: int, on_buffered: Callable[[int], object] = int
) -> AsyncIterator[bytes]:
    """Yields frames as they are received, until the stream ends.

    Args:
        stream: Where they come from.
        max_bytes: The longest frame.
        on_buffered: Called with the bytes that are held, whenever some have been received.

    Raises:
        FrameTooLongError: A length prefix is greater than `max_bytes`.
        anyio.EndOfStream: The stream ended; other errors of the stream pass through as well.
    """
    buffer = bytearray()
    while True:
        while len(buffer) >= LENGTH_PREFIX_BYTES:
            size = int.from_bytes(buffer[:LENGTH_PREFIX_BYTES], "big")
            if size > max_bytes:
                raise FrameTooLongError(f"{size} bytes; {max_bytes} are allowed")
            end = LENGTH_PREFIX_BYTES + size
            if len(buffer) < end:
                break
            frame = bytes(buffer[LENGTH_PREFIX_BYTES:end])
            del buffer[:end]
            yield frame
        buffer += await stream.receive()
        on_buffered(len(buffer))


class SendQueue:
    """Frames to be written on one connection, which may not be established yet.

    Attributes:
        pending_bytes: Bytes that wait, among them those being written.
        dropped_frames: Frames that were dropped for space.
        aborted: `abort` was called.
    """

    def __init__(self, max_bytes: int, drop_oldest: bool, send_timeout_s: float):
        """Creates an empty queue.

        Args:
            max_bytes: Bound on `pending_bytes`.
            drop_oldest: Whether a full queue drops its oldest frames; else it accepts no more.
            send_timeout_s: Bound on the time in which the stream accepts one write.
        """
        self.pending_bytes = 0
        self.dropped_frames = 0
        self.aborted = False
        self._max_bytes = max_bytes
        self._drop_oldest = drop_oldest
        self._send_timeout_s = send_timeout_s
        self._frames: deque[bytes] = deque()
        self._finished = False
        self._wakeup = anyio.Event()
        self._send_scope: anyio.CancelScope | None = None

    def put(self, frame: bytes) -> bool:
        """Appends a frame; returns False if the queue is full and drops nothing."""
        octets = len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame
        if self.pending_bytes + len(octets) > self._max_bytes and not self._drop_oldest:
            return False
        while self._frames and self.pending_bytes + len(octets) > self._max_bytes:
            self.pending_bytes -= len(self._frames.popleft())
            self.dropped_frames += 1
        self._frames.append(octets)
        self.pending_bytes += len(octets)
        self._wakeup.set()
        return True

    async def wait_for_frames(self) -> None:
        """Waits until there is something to write."""
        while not self._frames:
            await self._wait()

    async def _wait(self) -> None:
        self._wakeup = anyio.Event()
        await self._wakeup.wait()

    async def write(self, stream: anyio.abc.ByteStream) -> None:
        """Writes to the stream until everything is written that came before `finish`.

        Raises:
            TimeoutError: The peer accepted nothing for `send_timeout_s`, or `abort` was called.
            anyio.BrokenResourceError: The connection ended; other errors of the stream pass through as well.
        """
        while not self.aborted:
            if not self._frames:
                if self._finished:
                    return
                await self._wait()
                continue
            octets = b"".join(self._frames)
            self._frames.clear()
            with anyio.move_on_after(self._send_timeout_s) as self._send_scope:
                await stream.send(octets)
            if self._send_scope.cancelled_caught:
                break
            self.pending_bytes -= len(octets)
        raise TimeoutError("cut off" if self.aborted else f"it took nothing for {self._send_timeout_s} s")

    def finish(self) -> None:
        """Says that nothing more will be put: `write` returns once the queue is empty."""
        self._finished = True
        self._wakeup.set()

    def abort(self) -> None:
        """Makes `write` raise at once, which ends the connection."""
        self.aborted = True
        self._wakeup.set()
        if self._send_scope is not None:
            self._send_scope.cancel()
