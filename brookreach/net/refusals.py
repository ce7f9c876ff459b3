"""Connections that are told that there is no room for them, or that the process stops.

This module owns them from the refusal until their client has closed them. It never takes an RPC.
"""

from __future__ import annotations

import socket
import time
from collections import OrderedDict
from collections.abc import Callable

from brookreach.net import pgwire
from brookreach.net.limits import Limits
from brookreach.net.message_buffer import BufferPool, MessageBuffer
from brookreach.net.poller import IN, OUT, Poller
from brookreach.net.stream import Stream


class RefusedConnection(Stream):
    """A connection that was answered before it asked anything: whatever arrives on it, nothing of it ran."""

    def __init__(self, registry: RefusedConnections, sock: socket.socket) -> None:
        super().__init__(registry.poller, sock, MessageBuffer(registry.limits.max_message_bytes, registry.pool))
        self.registry = registry
        self.has_written = False  # its client has, and so it reads by now

    def send_refusal(self, answer: bytes) -> None:
        """Write the answer, then end our side. Raises OSError if the connection is broken."""
        self.send([answer])
        self.on_writable()

    def on_writable(self) -> None:
        """End our side once the answer is written."""
        if not self.unsent:  # else the kernel took none of the answer, and is asked again
            self.shutdown_write()

    def on_data(self) -> None:
        """Discard what arrives: it is answered already; left unread, it would end in a reset over the answer."""
        self.inbound.head = self.inbound.tail
        self.has_written = True
        self.registry.open.move_to_end(self, last=False)

    def on_closed(self, why: str) -> None:
        """Its client has closed it."""
        self.end()

    def end(self) -> None:
        """Close it."""
        if not self.closed:
            self.close()
            self.registry.remove(self)


class RefusedConnections:
    """The refused connections that have not closed yet: first those whose client has written, then the oldest.

    Args:
        limits: How many there may be, and for how long.
        poller: Watches them.
        pool: Memory for what arrives on them.
        on_removed: Called when one has gone.
        available_links: Returns how many descriptors kept for nodes are not used.
    """

    def __init__(
        self,
        limits: Limits,
        poller: Poller,
        pool: BufferPool,
        on_removed: Callable[[], object],
        available_links: Callable[[], int],
    ) -> None:
        self.limits = limits
        self.poller = poller
        self.pool = pool
        self.on_removed = on_removed
        self.available_links = available_links
        self.open: OrderedDict[RefusedConnection, float] = OrderedDict()  # since when

    def is_full(self) -> bool:
        """Return whether one more would cut short one that may not have read its answer."""
        return len(self.open) >= self._room() and not next(iter(self.open)).has_written

    def _room(self) -> int:
        return max(1, self.limits.min_refusals + max(0, self.available_links()) // 2)

    def refuse(self, sock: socket.socket, sqlstate: bytes, text: str, is_welcomed: bool = False) -> None:
        """Answer with a fatal error that says that a retry is harmless, then end our side; a close is no answer.

        `is_welcomed` tells that the connection has had its startup response.
        """
        while len(self.open) >= self._room():
            self._close(next(iter(self.open)))
        refused = RefusedConnection(self, sock)
        self.open[refused] = time.monotonic()
        try:
            refused.send_refusal(pgwire.fatal_response(sqlstate, text, ready=is_welcomed))
        except OSError:  # the client has gone
            refused.end()

    def remove(self, refused: RefusedConnection) -> None:
        """A connection has closed."""
        self.open.pop(refused, None)
        self.on_removed()

    def _close(self, refused: RefusedConnection) -> None:
        for mask in (OUT, IN):  # the rest of its answer, and unread bytes that would end it in a reset
            if not refused.closed:
                refused.handle_events(mask)
        refused.end()

    def sweep(self) -> None:
        """Close those that had their time to close by themselves."""
        before = time.monotonic() - self.limits.refusal_timeout_s
        for refused in [one for one, since in self.open.items() if since < before]:
            self._close(refused)
