"""A client of the group on sockets: one connection at a time, to the keeper that its `Client` names.

It owns the connection and when the client is asked again. It must never keep anyone waiting who does not
wait for the group: what uses it is told events in the order in which they happened, between two turns of the
loop.
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
from brookreach.coordination.protocol import frames as seal
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.inbox import Inbox
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS, ConnectionLimits
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, SendQueue, read_frames

MOST_REST_S = 5.0  # a clock that stands still is looked at again


class ReplicaConnection:
    """One connection to a keeper, from before it stands."""

    def __init__(self, keeper: str, line: SendQueue):
        self.replica, self.line, self.closed = keeper, line, False


class ClientConnection:
    """`told` hears each event of the client."""

    def __init__(
        self,
        client: Client,
        group: str,
        key: bytes,
        keepers: Mapping[str, tuple[str, int]],
        told: Callable[[ClientEvent], object],
        bounds: ConnectionLimits = DEFAULT_LIMITS,
    ):
        self.client, self.group, self.key, self.addresses = client, group, key, keepers
        self.on_event, self.bounds = told, bounds
        self.inbox = Inbox(bounds.max_inbox_messages)
        self.connection: ReplicaConnection | None = None
        self.rejected_frames: Counter[str] = Counter()

    def wake(self) -> None:
        """The client was asked something by another task."""
        self.inbox.arrived.set()

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._turn(tasks)
                wake = self.client.next_wakeup_ms()
                wait_s = MOST_REST_S if wake is None else (wake - now_ms()) / 1000.0
                await self.inbox.wait(min(wait_s, MOST_REST_S))

    async def close(self, wait_s: float = 1.0) -> None:
        """The session is left; what was to be said of it is written, if that goes quickly."""
        self.client.close(now_ms())
        call, out = self.connection, self.client.take_outgoing()
        for keeper, body in out:
            if call is not None and keeper == call.replica:
                call.line.put(seal.seal_frame(self.key, self.group, self.client.name, keeper, body))
        if call is not None:
            call.line.finish()
            with anyio.move_on_after(wait_s):
                while not call.closed:
                    await anyio.sleep(0.005)

    def _turn(self, tasks: anyio.abc.TaskGroup) -> None:
        client, call = self.client, self.connection
        for keeper, body in self.inbox.take(0):
            client.handle_message(now_ms(), keeper, body)
        if call is not None and call.closed:
            self.connection = None
            client.connection_lost(now_ms(), call.replica)
        client.advance_time(now_ms())
        for keeper, body in client.take_outgoing():
            if isinstance(body, messages.OpenSession):
                self._dial(tasks, keeper)
            if self.connection is not None and keeper == self.connection.replica:
                self.connection.line.put(seal.seal_frame(self.key, self.group, client.name, keeper, body))
        for event in client.take_events():
            self.on_event(event)

    def _dial(self, tasks: anyio.abc.TaskGroup, keeper: str) -> None:
        """A Join is the first on its connection; what was said before is still written on the one before."""
        if self.connection is not None:
            self.connection.line.finish()
        self.inbox.from_replicas.clear()
        self.connection = ReplicaConnection(
            keeper, SendQueue(self.bounds.max_client_queue_bytes, False, self.bounds.send_timeout_s)
        )
        tasks.start_soon(self._connect, self.connection)

    async def _connect(self, call: ReplicaConnection) -> None:
        try:
            with anyio.fail_after(self.bounds.connect_timeout_s):
                stream = await anyio.connect_tcp(*self.addresses[call.replica])
            async with stream, anyio.create_task_group() as tasks:
                tasks.start_soon(partial(self._write, call, stream, tasks.cancel_scope))
                await self._read(call, stream)
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            call.closed = True
            self.inbox.arrived.set()

    async def _write(self, call: ReplicaConnection, stream: anyio.abc.ByteStream, scope: anyio.CancelScope) -> None:
        await call.line.write(stream)
        scope.cancel()

    async def _read(self, call: ReplicaConnection, stream: anyio.abc.ByteStream) -> None:
        """Until it ends, or says what no keeper can."""
        try:
            async for octets in read_frames(stream, messages.MAX_FRAME_BYTES):
                try:
                    frame = seal.open_frame(self.key, self.group, self.client.name, octets, messages.SERVER_MESSAGES)
                    if frame.source != call.replica:
                        raise InvalidFrameError("not its to say", f"{frame.source} where {call.replica} speaks")
                except InvalidFrameError as error:
                    self.rejected_frames[error.name] += 1
                    if error.name == "bad seal":
                        return
                    continue
                if self.connection is call:
                    await self.inbox.put(self.inbox.from_replicas, frame.source, frame.body)
        except FrameTooLongError:
            self.rejected_frames["too long"] += 1
