"""Messages that a process's connections have received and its main loop has not yet handled."""

from __future__ import annotations

from collections import deque

import anyio
import anyio.lowlevel

from brookreach.coordination.protocol.messages import Body

ReceivedMessage = tuple[str, Body]
"""A message with the name of its sender."""


class Inbox:
    """Two bounded queues of received messages, one from replicas and one from clients.

    They are apart so that a crowd of clients can't delay the messages that keep a leader in office. Where a queue is
    full its readers wait, and the kernel's buffers push back on the senders.

    Attributes:
        arrived: Set when there is something to do; another task may set it to wake the main loop.
    """

    def __init__(self, max_messages: int):
        self.from_replicas: deque[ReceivedMessage] = deque()
        self.from_clients: deque[ReceivedMessage] = deque()
        self.arrived = anyio.Event()
        self._max_messages = max_messages
        self._space = anyio.Event()

    async def put(self, queue: deque[ReceivedMessage], source: str, body: Body) -> None:
        """Appends to one of the two queues; waits while it is full."""
        while len(queue) >= self._max_messages:
            await self._space.wait()
        queue.append((source, body))
        self.arrived.set()

    def take(self, max_from_clients: int) -> list[ReceivedMessage]:
        """Removes and returns all messages from replicas, then up to `max_from_clients` from clients."""
        received = list(self.from_replicas)
        self.from_replicas.clear()
        count = min(max_from_clients, len(self.from_clients))
        received += [self.from_clients.popleft() for _ in range(count)]
        self._space.set()
        self._space = anyio.Event()
        self.arrived = anyio.Event()
        return received

    async def wait(self, timeout_s: float) -> None:
        """Waits until a message is there or `arrived` is set, `timeout_s` at most.

        With messages left over from the last turn it only lets the tasks that read and write have theirs.
        """
        if self.from_replicas or self.from_clients:
            await anyio.lowlevel.checkpoint()
            return
        with anyio.move_on_after(max(0.0, timeout_s)):
            await self.arrived.wait()
