"""A keeper's sockets: its listener, its connections to the other keepers, those of clients.

It owns who stands at the other end of a connection: the name in its first frame, whose seal proves the
group's key. It must never look into a message; what is refused goes no further than its count. Between
keepers each direction has its own connection, dialled by who speaks on it; a client hears on the one that it
dialled.
"""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

import anyio
import anyio.abc
from anyio.abc import TaskStatus

from brookreach.coordination.errors import FrameTooLongError, InvalidFrameError
from brookreach.coordination.protocol import frames as seal
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.inbox import Inbox
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS, ConnectionLimits
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, SendQueue, read_frames
from brookreach.coordination.protocol.tags import wire_name
from brookreach.net.backoff import Backoff

Say = Callable[[str, str], object]  # a line's kind and its words


class Transport:
    """`left` gets the name of each client whose connection ended."""

    def __init__(
        self,
        me: str,
        group: str,
        key: bytes,
        keepers: Mapping[str, tuple[str, int]],
        say: Say,
        chance: random.Random,
        bounds: ConnectionLimits = DEFAULT_LIMITS,
    ):
        self.me, self.group, self.key, self.keepers = me, group, key, keepers
        self.say, self.chance, self.bounds = say, chance, bounds
        self.inbox, self.left = Inbox(bounds.max_inbox_messages), deque[str]()
        self.lines: dict[str, SendQueue] = {}  # by whom they lead to
        self.refused: Counter[tuple[str, str]] = Counter()  # by who sent it, and the reason
        self.strangers = self.tries = 0  # connections that have said nothing yet; those dialled

    def send(self, target: str, body: messages.Body) -> None:
        """To whom no connection leads it is lost, as any message may be."""
        line = self.lines.get(target)
        if line is None or line.aborted:
            return
        if not line.put(seal.seal_frame(self.key, self.group, self.me, target, body)):
            self.say("link", f"{target} takes nothing, {line.pending_bytes} bytes wait for it: cut off")
            line.abort()

    def full(self) -> list[str]:
        """Those that have not yet taken what they were told."""
        return [name for name, line in self.lines.items() if line.pending_bytes > self.bounds.watch_pause_bytes]

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; has started when it listens. Raises OSError where the address is taken."""
        host, port = self.keepers[self.me]
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as tasks:
            for name in self.keepers:
                if name != self.me:
                    tasks.start_soon(self._speak, name)
            task_status.started()
            await listener.serve(self._heard)

    # --- connections that we dial: to other keepers ---

    async def _speak(self, name: str) -> None:
        """Dials when there is something to say: who is silent would be a stranger there."""
        backoff = Backoff(self.bounds.reconnect_delay_s, self.bounds.max_reconnect_delay_s, self.chance)
        said = False
        while True:
            line = self.lines[name] = SendQueue(self.bounds.max_replica_queue_bytes, True, self.bounds.send_timeout_s)
            await line.wait_for_frames()
            await anyio.sleep(backoff.pause())
            began = anyio.current_time()
            self.tries += 1
            try:
                with anyio.fail_after(self.bounds.connect_timeout_s):
                    stream = await anyio.connect_tcp(*self.keepers[name])
                self.say("link", f"{name} is reached")
                said = False
                async with stream, anyio.create_task_group() as tasks:
                    tasks.start_soon(line.write, stream)
                    while True:  # nothing is said on it but its end
                        await stream.receive()
            except* CONNECTION_ERRORS as group:
                if not said:  # one line a change, not one a try
                    self.say("link", f"{name} is not reached: {first(group)}")
                said = True
            if anyio.current_time() - began > self.bounds.max_reconnect_delay_s:
                backoff.served()  # it stood for a while: what broke now may be mended at once

    # --- connections that come ---

    async def _heard(self, stream: anyio.abc.ByteStream) -> None:
        if self.strangers >= self.bounds.max_unidentified:
            self.say("link", f"{self.strangers} connections have said nothing yet: one more is closed")
            await anyio.aclose_forcefully(stream)
            return
        guest = ClientSession(self, stream)
        try:
            async with stream, anyio.create_task_group() as tasks:
                await guest.read(tasks)
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            guest.ended()

    def refuse(self, source: str, error: InvalidFrameError) -> None:
        self.refused[source, error.name] += 1
        if self.refused[source, error.name] == 1:  # from then on it is counted
            self.say("refused", f"from {source}: {error}")


class ClientSession:
    """One connection that came: a stranger until its first frame, then a keeper's or a client's."""

    def __init__(self, link: Transport, stream: anyio.abc.ByteStream):
        self.link, self.stream, self.name = link, stream, ""
        self.line: SendQueue | None = None
        link.strangers += 1

    async def read(self, tasks: anyio.abc.TaskGroup) -> None:
        """Until it ends, or says what none of ours can."""
        link = self.link
        with anyio.move_on_after(link.bounds.handshake_timeout_s) as hello:
            try:
                async for octets in read_frames(self.stream, messages.MAX_FRAME_BYTES):
                    try:
                        frame = seal.open_frame(link.key, link.group, link.me, octets)
                        self._may(frame, len(octets))
                    except InvalidFrameError as error:
                        link.refuse(self.name or "a stranger", error)
                        if error.name == "bad seal":
                            return
                        continue
                    if not self.name:
                        hello.deadline = math.inf
                        if not self._named(frame.source, tasks):
                            return
                    queue = link.inbox.from_replicas if self.name in link.keepers else link.inbox.from_clients
                    await link.inbox.put(queue, self.name, frame.body)
            except FrameTooLongError as error:
                link.refuse(self.name or "a stranger", InvalidFrameError("too long", str(error)))

    def _may(self, frame: seal.Frame, size: int) -> None:
        """One name a connection, and only what its kind may say; raises InvalidFrameError."""
        may = messages.REPLICA_MESSAGES if frame.source in self.link.keepers else messages.CLIENT_MESSAGES
        other = frame.source == self.link.me or self.name not in ("", frame.source)
        if other or not isinstance(frame.body, may):
            raise InvalidFrameError("not its to say", f"{frame.source}: {wire_name(frame.body)}")
        if may is messages.CLIENT_MESSAGES and size > self.link.bounds.max_client_frame_bytes:
            raise InvalidFrameError(
                "too long", f"{size} bytes; {self.link.bounds.max_client_frame_bytes} are allowed to a client"
            )

    def _named(self, name: str, tasks: anyio.abc.TaskGroup) -> bool:
        """False: there is no more room for clients. Keepers always find some."""
        link, before = self.link, self.link.lines.get(name)
        clients = len(link.lines) - len(link.keepers) + 1
        if name not in link.keepers and before is None and clients >= link.bounds.max_clients:
            link.say("link", f"{clients} clients are connected: {name} is closed")
            return False
        self.name = name
        link.strangers -= 1
        if name not in link.keepers:
            self.line = SendQueue(link.bounds.max_client_queue_bytes, False, link.bounds.send_timeout_s)
            link.lines[name] = self.line
            tasks.start_soon(self.line.write, self.stream)
            if before is not None:  # its client has come again
                before.abort()
                link.left.append(name)
        return True

    def ended(self) -> None:
        link = self.link
        if not self.name:
            link.strangers -= 1
        elif self.line is not None and link.lines.get(self.name) is self.line:
            del link.lines[self.name]
            link.left.append(self.name)
            link.inbox.arrived.set()


def first(group: BaseExceptionGroup[BaseException]) -> str:
    """What ended a connection, in a few words."""
    one: BaseException = group
    while isinstance(one, BaseExceptionGroup):
        one = one.exceptions[0]
    return f"{type(one).__name__} {one}".strip()
