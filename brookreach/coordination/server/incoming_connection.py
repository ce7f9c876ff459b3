"""One incoming connection: unidentified until its first valid frame, then a replica's or a client's."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

import anyio
import anyio.abc

from brookreach.coordination.errors import FrameTooLongError, InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.stream import SendQueue, read_frames
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.server.unidentified import UnidentifiedConnection

if TYPE_CHECKING:
    from brookreach.coordination.server.transport import Transport

UNIDENTIFIED = "a stranger"  # the sender's name in counters and log lines


class IncomingConnection:
    """A connection that was accepted; `name` is "" until its sender is known."""

    def __init__(self, transport: Transport, stream: anyio.abc.ByteStream):
        self.name = ""
        self._transport = transport
        self._stream = stream
        self._queue: SendQueue | None = None
        self._handshake = anyio.CancelScope()
        self._unidentified = UnidentifiedConnection(self._give_up)

    async def read(self, tasks: anyio.abc.TaskGroup) -> None:
        """Put its messages into the inbox until it ends, or sends what no replica or client of the cluster can."""
        unidentified = self._transport.unidentified
        with self._handshake as handshake:
            handshake.deadline = anyio.current_time() + self._transport.limits.handshake_timeout_s
            unidentified.add(self._unidentified)
            try:
                async for octets in read_frames(
                    self._stream, messages.MAX_FRAME_BYTES, partial(unidentified.set_buffered, self._unidentified)
                ):
                    if not await self._on_frame(octets, handshake, tasks):
                        return
            except FrameTooLongError as error:
                self._reject(InvalidFrameError("too long", str(error)))

    async def _on_frame(self, octets: bytes, handshake: anyio.CancelScope, tasks: anyio.abc.TaskGroup) -> bool:
        """Take a frame; False: the connection is to be closed."""
        transport = self._transport
        try:
            frame = frames.open_frame(transport.key, transport.cluster, transport.name, octets)
            self._check_sender(frame, len(octets))
        except InvalidFrameError as error:
            self._reject(error)
            return error.name != "bad seal"
        if not self.name:
            handshake.deadline = math.inf
            if not self._identify(frame.source, tasks):
                return False
        is_replica = self.name in transport.addresses
        queue = transport.inbox.from_replicas if is_replica else transport.inbox.from_clients
        await transport.inbox.put(queue, self.name, frame.body)
        return True

    def _give_up(self) -> None:
        count = len(self._transport.unidentified)
        self._transport.log("link", f"{count} connections have said nothing yet: one more is closed")
        self._handshake.cancel()

    def _reject(self, error: InvalidFrameError) -> None:
        self._transport.reject_frame(self.name or UNIDENTIFIED, error)

    def _check_sender(self, frame: frames.Frame, size: int) -> None:
        """Require one name for the whole connection, and messages that replicas or clients may send.

        Raises:
            InvalidFrameError: If that is not so.
        """
        transport = self._transport
        is_replica = frame.source in transport.addresses
        allowed = messages.REPLICA_MESSAGES if is_replica else messages.CLIENT_MESSAGES
        is_other_name = frame.source == transport.name or self.name not in ("", frame.source)
        if is_other_name or not isinstance(frame.body, allowed):
            raise InvalidFrameError("not its to say", f"{frame.source}: {wire_name(frame.body)}")
        max_bytes = transport.limits.max_client_frame_bytes
        if not is_replica and size > max_bytes:
            raise InvalidFrameError("too long", f"{size} bytes; {max_bytes} are allowed to a client")

    def _identify(self, name: str, tasks: anyio.abc.TaskGroup) -> bool:
        """Learn whose connection it is; False: there is no more room for clients. Replicas always find some."""
        transport = self._transport
        is_replica = name in transport.addresses
        previous = transport.queues.get(name)
        clients = len(transport.queues) - len(transport.addresses) + 1
        if not is_replica and previous is None and clients >= transport.limits.max_clients:
            transport.log("link", f"{clients} clients are connected: {name} is closed")
            return False
        self.name = name
        transport.unidentified.remove(self._unidentified)
        if not is_replica:
            self._open_queue(tasks)
            if previous is not None:  # the client has connected anew
                previous.abort()
                transport.disconnected.append(name)
        return True

    def _open_queue(self, tasks: anyio.abc.TaskGroup) -> None:
        limits = self._transport.limits
        self._queue = SendQueue(limits.max_client_queue_bytes, False, limits.send_timeout_s)
        self._transport.queues[self.name] = self._queue
        tasks.start_soon(self._queue.write, self._stream)

    def close(self) -> None:
        """Take note that the connection ended."""
        transport = self._transport
        transport.unidentified.remove(self._unidentified)
        if self._queue is not None and transport.queues.get(self.name) is self._queue:
            del transport.queues[self.name]
            transport.disconnected.append(self.name)
            transport.inbox.arrived.set()
