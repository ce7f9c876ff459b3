"""The simulated network: frames between processes, their connections and what the links do to them.

Every message is sealed and opened as on sockets, so that an intercepted frame meets the real authentication.
"""

from __future__ import annotations

import random
from collections import Counter
from functools import partial

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.engine.connections import ConnectionTable, NetworkProcess
from brookreach.simulation.engine.event_queue import EventQueue, Trace
from brookreach.simulation.engine.links import (
    GROUP,
    KEY,
    FrameInterceptor,
    FrameInTransit,
    FrameReaction,
    Link,
    SentFrame,
    SubstituteFrame,
)
from brookreach.simulation.engine.observer import RunObserver
from brookreach.simulation.engine.process_events import (
    ConnectionClosed,
    ConnectionLost,
    ProcessEvent,
)
from brookreach.simulation.engine.state_digest import state_digest

NOTICE_MS = 1.0  # until a process learns that a connection has ended


class Network:
    """All links of a run.

    Attributes:
        connections: Those between clients and replicas.
        rejections: How often receivers rejected a frame, by the name of the error.
        reaction: What came of the intercepted frame; None as long as it wasn't received.
    """

    def __init__(
        self,
        seed: int,
        queue: EventQueue,
        trace: Trace,
        observer: RunObserver,
        intercept: FrameInterceptor | None = None,
    ):
        self.connections = ConnectionTable()
        self.rejections: Counter[str] = Counter()
        self.reaction: FrameReaction | None = None
        self._seed = seed
        self._queue = queue
        self._trace = trace
        self._observer = observer
        self._intercept = intercept
        self._processes: dict[str, NetworkProcess] = {}
        self._links: dict[tuple[str, str], Link] = {}
        self._rngs: dict[tuple[str, str], random.Random] = {}
        self._frames_sent = 0
        self._intercepted_frame: int | None = None
        self._recorded_replies: list[messages.Body] | None = None

    def attach(self, process: NetworkProcess) -> None:
        """Add a process, which others reach by its name."""
        self._processes[process.name] = process

    def link(self, source: str, target: str) -> Link:
        """Return the link from one process to another."""
        return self._links.setdefault((source, target), Link())

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing passes from one process to another."""
        return self.link(source, target).active_cuts > 0

    def _rng(self, source: str, target: str) -> random.Random:
        """Each link has its own source of randomness: a fault that is left out elsewhere changes little on it."""
        if (source, target) not in self._rngs:
            self._rngs[source, target] = random.Random(f"{self._seed} {source} {target}")
        return self._rngs[source, target]

    # --- sending ---

    def send(self, source: str, target: str, body: messages.Body, delay_ms: float = 0.0) -> None:
        """Seal a message and put it, or what an interceptor makes of it, on its way."""
        if self._recorded_replies is not None:
            self._recorded_replies.append(body)
        octets = frames.seal_frame(KEY, GROUP, source, target, body)
        frame = SentFrame(self._frames_sent, self._queue.now_ms, source, target, body, octets)
        self._frames_sent += 1
        substitutes = self._intercept(frame) if self._intercept is not None else None
        if substitutes is None:
            substitutes = (SubstituteFrame(octets, body),)
        else:
            self._intercepted_frame = frame.number
        for substitute in substitutes:
            self._transmit(frame, substitute, delay_ms)

    def _transmit(self, frame: SentFrame, substitute: SubstituteFrame, delay_ms: float) -> None:
        now_ms = self._queue.now_ms
        source = substitute.source or frame.source
        if substitute.body is not None:
            self._observer.on_frame_sent(now_ms, source, frame.target, substitute.body)
        seal = substitute.octets[: frames.SEAL_BYTES].hex()
        self._trace.record(now_ms, frame.source, f"> {frame.target} {wire_name(frame.body)} {seal}")
        self._carry(frame.number, source, frame.target, substitute.octets, delay_ms + substitute.delay_ms)

    def _carry(self, number: int, source: str, target: str, octets: bytes, delay_ms: float) -> None:
        link = self.link(source, target)
        rng = self._rng(source, target)
        copies = 1 + (rng.random() < link.duplicate_fraction)
        is_lost = rng.random() < link.lost_fraction
        is_late = rng.random() < link.late_fraction
        receiver = self._processes[target]
        connection = self.connections.number_for(self._processes[source], receiver)
        if link.active_cuts or is_lost or connection is None:
            self._trace.record(self._queue.now_ms, source, f"lost to {target}")
            return
        frame = FrameInTransit(number, source, octets, receiver.incarnation, connection)
        for _ in range(copies):
            transit_ms = rng.uniform(link.min_transit_ms, link.max_transit_ms)
            if is_late:
                transit_ms += link.late_ms * rng.random()
            self._queue.schedule(self._queue.now_ms + transit_ms + delay_ms, partial(self.deliver, target, frame))

    # --- receiving ---

    def deliver(self, target: str, frame: FrameInTransit) -> None:
        """Hand a frame to its receiver, if that still runs and the frame's connection still exists."""
        receiver = self._processes[target]
        if not receiver.is_running or receiver.incarnation != frame.incarnation:
            self._notify_unreachable(target, frame)
            return
        if receiver.is_paused:
            receiver.hold_frame(frame)
            return
        if self.is_cut(frame.source, target) or not self.connections.accepts(
            receiver, self._processes[frame.source], frame
        ):
            return
        try:
            opened = frames.open_frame(KEY, GROUP, target, frame.octets)
            self._check_sender(opened, receiver, frame.source)
        except InvalidFrameError as error:
            self._on_rejection(receiver, frame, error)
            return
        self._observer.on_frame_received(self._queue.now_ms, frame.source, target, opened.body)
        if frame.number == self._intercepted_frame and self.reaction is None:
            self._receive_intercepted(receiver, frame.source, opened.body)
        else:
            receiver.receive(frame.source, opened.body)

    def _receive_intercepted(self, receiver: NetworkProcess, source: str, body: messages.Body) -> None:
        """Hand over an intercepted frame and record the receiver's reaction."""
        digest_before = state_digest(receiver.state())
        replies: list[messages.Body] = []
        self._recorded_replies = replies
        receiver.receive(source, body)
        self._recorded_replies = None
        state_changed = not receiver.is_running or state_digest(receiver.state()) != digest_before
        self.reaction = FrameReaction(replies=tuple(replies), state_changed=state_changed)

    def _on_rejection(self, receiver: NetworkProcess, frame: FrameInTransit, error: InvalidFrameError) -> None:
        self.rejections[error.name] += 1
        self._trace.record(self._queue.now_ms, receiver.name, f"refused {error.name}")
        if frame.number == self._intercepted_frame:
            self.reaction = FrameReaction(rejection=error.name)

    def _check_sender(self, frame: frames.Frame, receiver: NetworkProcess, source: str) -> None:
        """A connection belongs to one process and carries only what its kind may send."""
        allowed: tuple[type, ...] = messages.SERVER_MESSAGES
        if receiver.is_replica:
            sender_is_replica = self._processes[source].is_replica
            allowed = messages.REPLICA_MESSAGES if sender_is_replica else messages.CLIENT_MESSAGES
        if not isinstance(frame.body, allowed) or frame.source != source:
            raise InvalidFrameError("not its to say", f"{frame.source}: {wire_name(frame.body)}")

    # --- connections ---

    def close_connection(self, client: NetworkProcess) -> None:
        """A client ends its connection, which its server learns unless the link is cut."""
        server = self._processes.get(client.server)
        if server is not None and not self.is_cut(client.name, client.server):
            self._notify(server, ConnectionClosed(client.name, client.connection))

    def drop_connections_to(self, replica: str) -> None:
        """A replica has ended: every client that is connected to it learns so."""
        for process in self._processes.values():
            if process.server == replica:
                self._notify(process, ConnectionLost(replica, process.connection))

    def _notify_unreachable(self, target: str, frame: FrameInTransit) -> None:
        """No process, or a new one, listens there: a client that connected to it learns so."""
        sender = self._processes[frame.source]
        if sender.is_running and not sender.is_replica:
            self._notify(sender, ConnectionLost(target, frame.connection))

    def _notify(self, process: NetworkProcess, event: ProcessEvent) -> None:
        self._queue.schedule(self._queue.now_ms + NOTICE_MS, partial(process.on_event, event))
