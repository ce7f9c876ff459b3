"""The connections between simulated processes: clients open them, replicas answer on those that are open."""

from __future__ import annotations

from typing import Any, Protocol

from brookreach.coordination.protocol import messages
from brookreach.simulation.engine.links import FrameInTransit
from brookreach.simulation.engine.process_events import ConnectionClosed, ConnectionReplaced, ProcessEvent

REPLICA_CONNECTION = 0  # between replicas: they connect again at once, so that one stands for all


class NetworkProcess(Protocol):
    """What the network needs to know of a process."""

    name: str
    is_replica: bool
    is_running: bool
    incarnation: int
    server: str  # of a client: the replica that it connected to last
    connection: int  # of a client: how often it has connected

    @property
    def is_paused(self) -> bool:
        """Whether what arrives has to wait."""
        ...

    def hold_frame(self, frame: FrameInTransit) -> None:
        """Keep a frame until the process is resumed."""
        ...

    def receive(self, source: str, body: messages.Body) -> None:
        """Handle a message."""
        ...

    def on_event(self, event: ProcessEvent) -> None:
        """Handle what isn't a message."""
        ...

    def state(self) -> Any:
        """Return all that the process knows, for a digest."""
        ...


class ConnectionTable:
    """The connections that replicas know of, by replica and client."""

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}  # negative once the connection has ended

    def number_for(self, sender: NetworkProcess, receiver: NetworkProcess) -> int | None:
        """Return the connection that a frame is sent on; None if a replica has none to that client."""
        if not sender.is_replica:
            return sender.connection
        if receiver.is_replica:
            return REPLICA_CONNECTION
        number = self._numbers.get((sender.name, receiver.name), 0)
        return number if number > 0 else None

    def accepts(self, receiver: NetworkProcess, sender: NetworkProcess, frame: FrameInTransit) -> bool:
        """Whether a frame's connection is the one that its receiver has at present.

        A newer connection of a client replaces the one before.
        """
        if not receiver.is_replica:
            return (receiver.server, receiver.connection) == (sender.name, frame.connection)
        if sender.is_replica:
            return True
        ends = (receiver.name, sender.name)
        known = self._numbers.get(ends, 0)
        if frame.connection > abs(known):
            self._numbers[ends] = frame.connection
            if known > 0:
                receiver.on_event(ConnectionReplaced(sender.name))
        return frame.connection == self._numbers[ends]

    def close(self, replica: str, closed: ConnectionClosed) -> bool:
        """Mark a connection as ended; return False if a newer one exists, or none."""
        ends = (replica, closed.client)
        if self._numbers.get(ends) != closed.connection:
            return False
        self._numbers[ends] = -closed.connection
        return True
