"""A client of the group on sockets, for drills: the program's `Client` with a connection around it.

It connects to the ports that it is given, which are a relay's. It never corrects what the client does wrong: an error
ends it, and the drill reports it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio
import anyio.abc

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import ClientEvent
from brookreach.coordination.clock import now_ms
from brookreach.coordination.errors import FrameTooLongError, InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, LENGTH_PREFIX_BYTES, read_frames
from brookreach.simulation.processes.ports import HOST
from brookreach.simulation.processes.relay import MAX_FRAME_BYTES

CONNECT_TIMEOUT_S = 0.5
MAX_WAIT_S = 0.2
MIN_WAIT_S = 0.001


class SocketClient:
    """Runs a `Client`.

    Attributes:
        rejected_frames: How many frames could not be authenticated or decoded.
        extra_messages: Sent on the open connection beside what the client sends.
    """

    def __init__(
        self,
        client: Client,
        group: str,
        key: bytes,
        ports: Mapping[str, int],
        on_message: Callable[[messages.Body], None],
        on_event: Callable[[ClientEvent], None],
    ):
        self.rejected_frames = 0
        self.extra_messages: list[messages.Body] = []
        self._client = client
        self._group = group
        self._key = key
        self._ports = ports
        self._on_message = on_message
        self._on_event = on_event
        self._connected_to = ""
        self._stream: anyio.abc.SocketStream | None = None
        self._wakeup = anyio.Event()

    def wake(self) -> None:
        """Send what has been queued since the client last slept."""
        self._wakeup.set()

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    self._wakeup = anyio.Event()
                    await self._take_turn(tasks)
                    with anyio.move_on_after(self._seconds_to_wait()):
                        await self._wakeup.wait()
            finally:
                await self._disconnect()

    async def _take_turn(self, tasks: anyio.abc.TaskGroup) -> None:
        client = self._client
        client.advance_time(now_ms())
        for replica, body in client.take_outgoing():
            await self._send(tasks, replica, body)
        extra_messages = self.extra_messages
        self.extra_messages = []
        if self._connected_to == client.replica:
            for body in extra_messages:
                await self._send(tasks, self._connected_to, body)
        for event in client.take_events():
            self._on_event(event)

    def _seconds_to_wait(self) -> float:
        wakeup_ms = self._client.next_wakeup_ms()
        if wakeup_ms is None:
            return MAX_WAIT_S
        return max(MIN_WAIT_S, min(MAX_WAIT_S, (wakeup_ms - now_ms()) / 1000.0))

    async def _send(self, tasks: anyio.abc.TaskGroup, replica: str, body: messages.Body) -> None:
        try:
            if replica != self._connected_to or isinstance(body, messages.OpenSession):
                await self._connect(tasks, replica)
            if self._stream is not None:
                octets = frames.seal_frame(self._key, self._group, self._client.name, replica, body)
                await self._stream.send(len(octets).to_bytes(LENGTH_PREFIX_BYTES, "big") + octets)
        except CONNECTION_ERRORS:
            await self._on_connection_lost(replica)

    async def _connect(self, tasks: anyio.abc.TaskGroup, replica: str) -> None:
        await self._disconnect()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            self._stream = await anyio.connect_tcp(HOST, self._ports[replica])
        self._connected_to = replica
        tasks.start_soon(self._read, replica, self._stream)

    async def _disconnect(self) -> None:
        if self._stream is not None:
            stream = self._stream
            self._stream = None
            self._connected_to = ""
            await anyio.aclose_forcefully(stream)

    async def _read(self, replica: str, stream: anyio.abc.SocketStream) -> None:
        try:
            async for octets in read_frames(stream, MAX_FRAME_BYTES):
                self._on_frame(replica, octets)
        except (*CONNECTION_ERRORS, FrameTooLongError):
            if stream is self._stream:
                await self._on_connection_lost(replica)

    def _on_frame(self, replica: str, octets: bytes) -> None:
        try:
            frame = frames.open_frame(self._key, self._group, self._client.name, octets, messages.SERVER_MESSAGES)
        except InvalidFrameError:
            self.rejected_frames += 1
            return
        if frame.source == replica:
            self._on_message(frame.body)
            self._client.handle_message(now_ms(), replica, frame.body)
        self.wake()

    async def _on_connection_lost(self, replica: str) -> None:
        await self._disconnect()
        self._client.connection_lost(now_ms(), replica)
        self.wake()
