"""A replica's sockets: its listener, its connections to the other replicas, and those of clients.

Who is at the other end of a connection is the name in its first frame, which is authenticated with the cluster's key.
What is said is not looked into; what is rejected goes no further than a counter. Between two replicas each direction
has a connection of its own, dialled by the sender; a client is answered on the connection that it dialled.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Callable, Mapping

import anyio
import anyio.abc
from anyio.abc import TaskStatus

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.inbox import Inbox
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS, ConnectionLimits
from brookreach.coordination.protocol.stream import CONNECTION_ERRORS, SendQueue
from brookreach.coordination.server.incoming_connection import IncomingConnection
from brookreach.coordination.server.unidentified import UnidentifiedConnections
from brookreach.net.backoff import Backoff

LogLine = Callable[[str, str], object]  # takes the kind of a log line, and its text


class Transport:
    """The sockets of one replica.

    Attributes:
        inbox: Messages received.
        disconnected: Clients whose connection ended or was replaced, for the caller to take.
        queues: What is to be sent, by receiver.
        rejected_frames: How many frames were rejected, by sender and reason.
        unidentified: Incoming connections that have not said yet whose they are.
        dial_attempts: How often another replica was dialled.
    """

    def __init__(
        self,
        name: str,
        cluster: str,
        key: bytes,
        addresses: Mapping[str, tuple[str, int]],
        log: LogLine,
        rng: random.Random,
        limits: ConnectionLimits = DEFAULT_LIMITS,
    ):
        """Prepare the transport.

        Args:
            name: The replica's name.
            cluster: The cluster's name.
            key: The cluster's key.
            addresses: Hosts and ports of all replicas, this one's included.
            log: Takes log lines.
            rng: For the pauses between attempts to connect.
            limits: Bounds on connections and queues.
        """
        self.name = name
        self.cluster = cluster
        self.key = key
        self.addresses = addresses
        self.log = log
        self.limits = limits
        self.inbox = Inbox(limits.max_inbox_messages)
        self.disconnected: deque[str] = deque()
        self.queues: dict[str, SendQueue] = {}
        self.rejected_frames: Counter[tuple[str, str]] = Counter()
        self.unidentified = UnidentifiedConnections(limits.max_unidentified, limits.max_unidentified_bytes)
        self.dial_attempts = 0
        self._rng = rng

    def send(self, target: str, body: messages.Body) -> None:
        """Queue a message; without a connection to the target it is lost, as any message may be."""
        queue = self.queues.get(target)
        if queue is None or queue.aborted:
            return
        frame = frames.seal_frame(self.key, self.cluster, self.name, target, body)
        if not queue.put(frame):
            self.log("link", f"{target} takes nothing, {queue.pending_bytes} bytes wait for it: cut off")
            queue.abort()

    def slow_receivers(self) -> list[str]:
        """Return those that have not yet taken what they were sent."""
        pause_bytes = self.limits.watch_pause_bytes
        return [name for name, queue in self.queues.items() if queue.pending_bytes > pause_bytes]

    def reject_frame(self, source: str, error: InvalidFrameError) -> None:
        """Count a rejected frame; the first one of its kind is logged."""
        self.rejected_frames[source, error.name] += 1
        if self.rejected_frames[source, error.name] == 1:
            self.log("refused", f"from {source}: {error}")

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Run until cancelled; started once it listens.

        Raises:
            OSError: If the address is in use.
        """
        host, port = self.addresses[self.name]
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        async with listener, anyio.create_task_group() as tasks:
            for name in self.addresses:
                if name != self.name:
                    tasks.start_soon(self._send_to_replica, name)
            task_status.started()
            await listener.serve(self._accept)

    # --- Connections to other replicas ---

    async def _send_to_replica(self, name: str) -> None:
        """Keep a connection while there is something to send: an idle one would stay unidentified there."""
        backoff = Backoff(self.limits.reconnect_delay_s, self.limits.max_reconnect_delay_s, self._rng)
        failure_logged = False
        while True:
            queue = SendQueue(self.limits.max_replica_queue_bytes, True, self.limits.send_timeout_s)
            self.queues[name] = queue
            await queue.wait_for_frames()
            await anyio.sleep(backoff.next_delay_s())
            started_at = anyio.current_time()
            self.dial_attempts += 1
            try:
                with anyio.fail_after(self.limits.connect_timeout_s):
                    stream = await anyio.connect_tcp(*self.addresses[name])
                self.log("link", f"{name} is reached")
                failure_logged = False
                await self._write_until_closed(stream, queue)
            except* CONNECTION_ERRORS as errors:
                if not failure_logged:  # one line for each change, not for each attempt
                    self.log("link", f"{name} is not reached: {describe_first(errors)}")
                failure_logged = True
            if anyio.current_time() - started_at > self.limits.max_reconnect_delay_s:
                backoff.reset()  # the connection was a working one: reconnect without delay

    @staticmethod
    async def _write_until_closed(stream: anyio.abc.ByteStream, queue: SendQueue) -> None:
        async with stream, anyio.create_task_group() as tasks:
            tasks.start_soon(queue.write, stream)
            while True:  # nothing is received on it but its end
                await stream.receive()

    # --- Incoming connections ---

    async def _accept(self, stream: anyio.abc.ByteStream) -> None:
        connection = IncomingConnection(self, stream)
        try:
            async with stream, anyio.create_task_group() as tasks:
                await connection.read(tasks)
                tasks.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            connection.close()


def describe_first(errors: BaseExceptionGroup[BaseException]) -> str:
    """Return the type and text of a group's first error."""
    error: BaseException = errors
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f"{type(error).__name__} {error}".strip()
