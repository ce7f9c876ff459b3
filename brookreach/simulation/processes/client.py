"""A client of the group on sockets, for drills: the program's `Client` with what a process around it does.

It dials by the ports that it is given (a relay's), and tells a script of each event. It must never mend what
the client does: an error ends it, and the drill says so.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio
import anyio.abc

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import ClientEvent
from brookreach.coordination.errors import FrameTooLongError, InvalidFrameError
from brookreach.coordination.protocol import frames as seal
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.stream import (
    CONNECTION_ERRORS,
    LENGTH_PREFIX_BYTES,
    read_frames,
)
from brookreach.simulation.processes.relay import MAX_FRAME_BYTES

DIAL_S, MOST_WAIT_S = 0.5, 0.2


def now_ms() -> float:
    return anyio.current_time() * 1000.0


class SocketClient:
    """`heard` is told of each frame that could be opened, `news` of each event."""

    def __init__(
        self,
        client: Client,
        group: str,
        key: bytes,
        ports: Mapping[str, int],
        heard: Callable[[messages.Body], None],
        news: Callable[[ClientEvent], None],
    ):
        self.client, self.group, self.key, self.ports = client, group, key, ports
        self.heard, self.news = heard, news
        self.at = ""
        self.came = anyio.Event()
        self.refused = 0
        self.beside: list[messages.Body] = []  # said on the connection that stands, past the client
        self.stream: anyio.abc.SocketStream | None = None

    async def run(self) -> None:
        """Until cancelled."""
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    self.came = anyio.Event()
                    self.client.advance_time(now_ms())
                    for keeper, body in self.client.take_outgoing():
                        await self.say(tasks, keeper, body)
                    beside, self.beside = self.beside, []
                    for body in beside if self.at == self.client.replica else ():
                        await self.say(tasks, self.at, body)
                    for event in self.client.take_events():
                        self.news(event)
                    wake = self.client.next_wakeup_ms()
                    wait = MOST_WAIT_S if wake is None else (wake - now_ms()) / 1000.0
                    with anyio.move_on_after(max(0.001, min(MOST_WAIT_S, wait))):
                        await self.came.wait()
            finally:
                await self.hang_up()

    async def say(self, tasks: anyio.abc.TaskGroup, keeper: str, body: messages.Body) -> None:
        try:
            if keeper != self.at or isinstance(body, messages.OpenSession):
                await self.dial(tasks, keeper)
            if self.stream is not None:
                octets = seal.seal_frame(self.key, self.group, self.client.name, keeper, body)
                await self.stream.send(len(octets).to_bytes(LENGTH_PREFIX_BYTES, "big") + octets)
        except CONNECTION_ERRORS:
            await self.ended(keeper)

    async def dial(self, tasks: anyio.abc.TaskGroup, keeper: str) -> None:
        await self.hang_up()
        with anyio.fail_after(DIAL_S):
            self.stream = await anyio.connect_tcp("127.0.0.1", self.ports[keeper])
        self.at = keeper
        tasks.start_soon(self.read, keeper, self.stream)

    async def hang_up(self) -> None:
        if self.stream is not None:
            stream, self.stream, self.at = self.stream, None, ""
            await anyio.aclose_forcefully(stream)

    async def read(self, keeper: str, stream: anyio.abc.SocketStream) -> None:
        try:
            async for octets in read_frames(stream, MAX_FRAME_BYTES):
                self.frame(keeper, octets)
        except (*CONNECTION_ERRORS, FrameTooLongError):
            if stream is self.stream:
                await self.ended(keeper)

    def frame(self, keeper: str, octets: bytes) -> None:
        try:
            frame = seal.open_frame(self.key, self.group, self.client.name, octets, messages.SERVER_MESSAGES)
        except InvalidFrameError:
            self.refused += 1
            return
        if frame.source == keeper:
            self.heard(frame.body)
            self.client.handle_message(now_ms(), keeper, frame.body)
        self.came.set()

    async def ended(self, keeper: str) -> None:
        await self.hang_up()
        self.client.connection_lost(now_ms(), keeper)
        self.came.set()
