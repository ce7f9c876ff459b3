"""Incoming connections whose sender is not known yet: how many there may be, and what they may hold together.

This module owns which of them makes way. A replica or client identifies itself with its first frame, within
milliseconds: so the one that has waited longest is given up, never the one that came last.
"""

from __future__ import annotations

from collections.abc import Callable


class UnidentifiedConnection:
    """One such connection.

    Args:
        give_up: Closes it.
    """

    def __init__(self, give_up: Callable[[], object]):
        self.give_up = give_up
        self.buffered_bytes = 0


class UnidentifiedConnections:
    """All such connections of a process, the one that has waited longest first.

    Args:
        max_connections: How many there may be.
        max_bytes: What their unfinished frames may hold together.
    """

    def __init__(self, max_connections: int, max_bytes: int):
        self._max_connections = max_connections
        self._max_bytes = max_bytes
        self._connections: dict[UnidentifiedConnection, None] = {}
        self._buffered_bytes = 0
        self.given_up = 0

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: UnidentifiedConnection) -> None:
        """Take a connection in; another one makes way if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > self._max_connections:
            self._give_up_oldest()

    def set_buffered(self, connection: UnidentifiedConnection, size: int) -> None:
        """Note how many bytes of an unfinished frame it holds; others or itself make way if all hold too much."""
        if connection not in self._connections:
            return
        self._buffered_bytes += size - connection.buffered_bytes
        connection.buffered_bytes = size
        while self._buffered_bytes > self._max_bytes:
            self._give_up_oldest()

    def remove(self, connection: UnidentifiedConnection) -> None:
        """It is identified, or has ended."""
        if connection in self._connections:
            del self._connections[connection]
            self._buffered_bytes -= connection.buffered_bytes

    def _give_up_oldest(self) -> None:
        oldest = next(iter(self._connections))
        self.remove(oldest)
        self.given_up += 1
        oldest.give_up()
