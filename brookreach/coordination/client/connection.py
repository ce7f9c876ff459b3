"""A client of the cluster on sockets: one connection at a time, to the replica that its `Client` chose.

The owner is called with the client's events between two turns of the loop, in the order in which they happened, so it
never waits for the cluster.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from functools import partial

import anyio
import anyio.abc

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import ClientEvent
from brookreach.coordination.clock import now_ms
from brookreach.coordination.errors import FrameTooLongError, InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.inbox import Inbox
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS, ConnectionLimits
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, SendQueue, read_frames

MAX_SLEEP_S = 5.0  # after so long the clock is read again, in case it stood still
CLOSE_TIMEOUT_S = 1.0
CLOSE_POLL_INTERVAL_S = 0.005


class ReplicaConnection:
    """One connection to a replica, from before it is established until it is closed."""

    def __init__(self, replica: str, send_queue: SendQueue):
        self.replica = replica
        self.send_queue = send_queue
        self.closed = False


class ClientConnection:
    """Runs a `Client` on sockets.

    Attributes:
        client: The client that is run.
        connection: The present connection, if there is one.
        rejected_frames: Received frames without effect, counted by `InvalidFrameError.name`.
    """

    def __init__(
        self,
        client: Client,
        group: str,
        key: bytes,
        addresses: Mapping[str, tuple[str, int]],
        on_event: Callable[[ClientEvent], object],
        limits: ConnectionLimits = DEFAULT_LIMITS,
    ):
        """Makes the connection without opening it.

        Args:
            client: The client to run.
            group: The cluster's name, which every frame bears.
            key: The cluster's key, by which frames are authenticated.
            addresses: Host and port of each replica.
            on_event: Called with each event of the client.
            limits: Bounds of queues and times.
        """
        self.client = client
        self.connection: ReplicaConnection | None = None
        self.rejected_frames: Counter[str] = Counter()
        self._group = group
        self._key = key
        self._addresses = addresses
        self._on_event = on_event
        self._limits = limits
        self._inbox = Inbox(limits.max_inbox_messages)

    def wake(self) -> None:
        """Makes `run` look at the client again, after another task called it."""
        self._inbox.arrived.set()

    async def run(self) -> None:
        """Runs the client until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._process(tasks)
                await self._inbox.wait(self._sleep_s())

    async def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Ends the session and waits up to `timeout_s` until that is written."""
        self.client.close(now_ms())
        connection = self.connection
        for replica, message in self.client.take_outgoing():
            self._put(replica, message)
        if connection is None:
            return
        connection.send_queue.finish()
        with anyio.move_on_after(timeout_s):
            while not connection.closed:
                await anyio.sleep(CLOSE_POLL_INTERVAL_S)

    def wrap_stream(self, stream: anyio.abc.ByteStream) -> anyio.abc.ByteStream:
        """Returns the stream to be used for a new connection; for subclasses that observe its bytes."""
        return stream

    def _sleep_s(self) -> float:
        wakeup_ms = self.client.next_wakeup_ms()
        if wakeup_ms is None:
            return MAX_SLEEP_S
        return min((wakeup_ms - now_ms()) / 1000.0, MAX_SLEEP_S)

    def _process(self, tasks: anyio.abc.TaskGroup) -> None:
        """Handles what arrived and what is due, sends what came of it, and reports the events."""
        client = self.client
        connection = self.connection
        for replica, message in self._inbox.take(0):
            client.handle_message(now_ms(), replica, message)
        if connection is not None and connection.closed:
            self.connection = None
            client.connection_lost(now_ms(), connection.replica)
        client.advance_time(now_ms())
        for replica, message in client.take_outgoing():
            if isinstance(message, messages.OpenSession):
                self._open_connection(tasks, replica)
            self._put(replica, message)
        for event in client.take_events():
            self._on_event(event)

    def _put(self, replica: str, message: messages.Body) -> None:
        """Queues a message if the present connection is to that replica; else it is dropped."""
        if self.connection is not None and replica == self.connection.replica:
            frame = frames.seal_frame(self._key, self._group, self.client.name, replica, message)
            self.connection.send_queue.put(frame)

    def _open_connection(self, tasks: anyio.abc.TaskGroup, replica: str) -> None:
        """Opens a connection in place of the present one, on which all that is queued is still written."""
        if self.connection is not None:
            self.connection.send_queue.finish()
        self._inbox.from_replicas.clear()
        send_queue = SendQueue(self._limits.max_client_queue_bytes, False, self._limits.send_timeout_s)
        self.connection = ReplicaConnection(replica, send_queue)
        tasks.start_soon(self._connect, self.connection)

    async def _connect(self, connection: ReplicaConnection) -> None:
        try:
            with anyio.fail_after(self._limits.connect_timeout_s):
                stream = await anyio.connect_tcp(*self._addresses[connection.replica])
            async with self.wrap_stream(stream) as wrapped, anyio.create_task_group() as tasks:
                tasks.start_soon(partial(self._write, connection, wrapped, tasks.cancel_scope))
                await self._read(connection, wrapped)
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            connection.closed = True
            self._inbox.arrived.set()

    async def _write(
        self, connection: ReplicaConnection, stream: anyio.abc.ByteStream, scope: anyio.CancelScope
    ) -> None:
        await connection.send_queue.write(stream)
        scope.cancel()

    async def _read(self, connection: ReplicaConnection, stream: anyio.abc.ByteStream) -> None:
        """Reads until the stream ends, or bears what no replica of the cluster sends."""
        try:
            async for octets in read_frames(stream, messages.MAX_FRAME_BYTES):
                try:
                    frame = self._open_frame(octets, connection.replica)
                except InvalidFrameError as error:
                    self.rejected_frames[error.name] += 1
                    if error.name == "bad seal":
                        return
                    continue
                if self.connection is connection:
                    await self._inbox.put(self._inbox.from_replicas, frame.source, frame.body)
        except FrameTooLongError:
            self.rejected_frames["too long"] += 1

    def _open_frame(self, octets: bytes, replica: str) -> frames.Frame:
        frame = frames.open_frame(self._key, self._group, self.client.name, octets, messages.SERVER_MESSAGES)
        if frame.source != replica:
            raise InvalidFrameError("not its to say", f"{frame.source} where {replica} speaks")
        return frame
