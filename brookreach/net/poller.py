"""One epoll for all sockets of the balancer, and the base class of what has a timeout.

This module owns which descriptors are registered for which events. It never reads from or writes to a socket.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
import traceback
from collections.abc import Callable

import anyio

IN = select.EPOLLIN
OUT = select.EPOLLOUT
RDHUP = select.EPOLLRDHUP
ALWAYS_REPORTED = select.EPOLLHUP | select.EPOLLERR
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side sends no more
WAIT_RETRY_S = 0.005


class Expirable:
    """Something with a timeout."""

    def expire(self) -> None:
        """The timeout has passed; also called if the matter was settled long before."""
        raise NotImplementedError

    def is_settled(self) -> bool:
        """Return whether `expire` would have no effect any more."""
        return False


class PolledSocket(Expirable):
    """A socket that is registered with the poller.

    `urgent_mask` are the epoll events that are handled as they are found, before sockets that wait for their turn.
    Among those that wait, preferred ones have theirs first.
    """

    def __init__(self, poller: Poller, sock: socket.socket, urgent_mask: int = 0, is_preferred: bool = False) -> None:
        sock.setblocking(False)
        self.poller = poller
        self.sock = sock
        self.fd = sock.fileno()
        self.urgent_mask = urgent_mask
        self.is_preferred = is_preferred
        self.closed = False

    def handle_events(self, mask: int) -> None:
        """Handle the epoll events in `mask`."""
        raise NotImplementedError

    def on_defect(self) -> None:
        """A handler of this socket raised an exception that it should not."""

    def close(self) -> None:
        """Close the socket and remove it from the poller."""
        if not self.closed:
            self.closed = True
            self.poller.unregister(self.fd)
            self.sock.close()


class ReadySocket:
    """What was found ready on a socket that waits for its turn.

    Args:
        mask: The epoll events.
        since: When the poll before the one that found them was, by the monotonic clock: they occurred after it.
    """

    def __init__(self, mask: int, since: float) -> None:
        self.mask = mask
        self.since = since


class Poller:
    """The epoll, and the sockets that were found ready and wait for their turn, the longest waiting first.

    Each poll asks for all sockets that are ready, handles what is urgent on them, and some of those that wait. So the
    end of a client's connection or a node's answer does not wait behind the requests of a crowd. What is being handled
    occurred after `events_since` (seconds of the monotonic clock), however long its socket has waited.

    The kernel may refuse a change of registration for a moment (ENOMEM, ENOSPC): it is repeated at a later poll, so
    that no connection fails because of it.

    Args:
        max_sockets: Preferred sockets handled in one poll, and as many others.
        on_fault: Called with the traceback of a defect in a handler.
    """

    def __init__(self, max_sockets: int, on_fault: Callable[[str], None]) -> None:
        self.epoll = select.epoll()
        self.max_sockets = max_sockets
        self.on_fault = on_fault
        self.watched: dict[int, PolledSocket] = {}
        self.ready: dict[PolledSocket, ReadySocket] = {}  # in the order in which they are handled
        self.ready_preferred: dict[PolledSocket, ReadySocket] = {}
        self.registered: set[int] = set()
        self.refused_masks: dict[int, int] = {}  # that the kernel has not taken yet, by descriptor
        self.events_since = self.polled_at = time.monotonic()

    def register(self, one: PolledSocket, mask: int) -> None:
        """Wait for the events in `mask` on this socket, in place of those registered before."""
        self.watched[one.fd] = one
        waiting = self._ready_like(one).get(one)
        if waiting is not None:  # it no longer waits for all that was found
            waiting.mask &= mask | ALWAYS_REPORTED
        try:
            self._set_mask(one.fd, mask)
        except OSError:
            self.refused_masks[one.fd] = mask

    def _set_mask(self, fd: int, mask: int) -> None:
        """Raises OSError if the kernel refuses it."""
        if fd in self.registered:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.register(fd, mask)
            self.registered.add(fd)
        self.refused_masks.pop(fd, None)

    def unregister(self, fd: int) -> None:
        """Wait for no more events on this descriptor."""
        one = self.watched.pop(fd, None)
        if one is not None:
            self._ready_like(one).pop(one, None)
        self.refused_masks.pop(fd, None)
        if fd in self.registered:
            self.registered.discard(fd)
            with contextlib.suppress(OSError):  # closing the descriptor removes it as well
                self.epoll.unregister(fd)

    def close(self) -> None:
        """Close all sockets and the epoll."""
        for one in list(self.watched.values()):
            one.close()
        self.epoll.close()

    async def wait(self) -> None:
        """Return when some socket is ready."""
        try:
            await anyio.wait_readable(self.epoll.fileno())
        except OSError:  # the event loop's own epoll has no room for a moment
            await anyio.sleep(WAIT_RETRY_S)

    def poll(self) -> int:
        """Handle what is urgent, and some of the sockets that wait; return how many there were."""
        return self.poll_urgent() + self.handle_waiting()

    def handle_waiting(self) -> int:
        """Handle some of the sockets that wait and are not preferred; return how many there were."""
        return self._handle_some(self.ready)

    def poll_urgent(self) -> int:
        """Find what is ready now, handle what is urgent and some preferred sockets; return how many there were."""
        since, self.polled_at = self.polled_at, time.monotonic()
        if self.refused_masks:
            self._retry_refused_masks()
        found = self.epoll.poll(0, max(self.max_sockets, len(self.watched)))
        # Sockets, not descriptors: a handler may close some of them, and their descriptors may be used again.
        ready = [(self.watched[fd], mask) for fd, mask in found if fd in self.watched]
        count = 0
        for one, mask in ready:
            if one.closed:
                continue
            if mask & one.urgent_mask:
                self._ready_like(one).pop(one, None)
                self._handle(one, mask, since)
                count += 1
            else:
                self._add_ready(one, mask, since)
        return count + self._handle_some(self.ready_preferred)

    def _ready_like(self, one: PolledSocket) -> dict[PolledSocket, ReadySocket]:
        return self.ready_preferred if one.is_preferred else self.ready

    def _add_ready(self, one: PolledSocket, mask: int, since: float) -> None:
        """Let a socket wait for its turn; one that waits already keeps its place."""
        row = self._ready_like(one)
        waiting = row.get(one)
        if waiting is None:
            row[one] = ReadySocket(mask, since)
        else:
            waiting.mask |= mask

    def _handle_some(self, row: dict[PolledSocket, ReadySocket]) -> int:
        """Handle the sockets that have waited longest; return how many there were."""
        count = 0
        while row and count < self.max_sockets:
            one = next(iter(row))
            waiting = row.pop(one)
            self._handle(one, waiting.mask, waiting.since)
            count += 1
        return count

    def _handle(self, one: PolledSocket, mask: int, since: float) -> None:
        self.events_since = since
        if not mask:  # what was found is not waited for any more
            return
        try:
            one.handle_events(mask)
        except Exception:  # a defect must cost only the connection that met it
            self.on_fault(traceback.format_exc(limit=-2))
            one.on_defect()

    def _retry_refused_masks(self) -> None:
        for fd, mask in list(self.refused_masks.items()):
            with contextlib.suppress(OSError):
                self._set_mask(fd, mask)
