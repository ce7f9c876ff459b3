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
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side sends no more
WAIT_RETRY_S = 0.005


class Expirable:
    """Something with a timeout."""

    def expire(self) -> None:
        """The timeout has passed; also called if the matter was settled long before."""
        raise NotImplementedError


class PolledSocket(Expirable):
    """A socket that is registered with the poller."""

    def __init__(self, poller: Poller, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.poller = poller
        self.sock = sock
        self.fd = sock.fileno()
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


class Poller:
    """The epoll. Events that one poll finds occurred after `events_since` (seconds of the monotonic clock).

    The kernel may refuse a change of registration for a moment (ENOMEM, ENOSPC): it is repeated at a later poll, so
    that no connection fails because of it.

    Args:
        max_events: Events handled in one poll.
        on_fault: Called with the traceback of a defect in a handler.
    """

    def __init__(self, max_events: int, on_fault: Callable[[str], None]) -> None:
        self.epoll = select.epoll()
        self.max_events = max_events
        self.on_fault = on_fault
        self.watched: dict[int, PolledSocket] = {}
        self.registered: set[int] = set()
        self.refused_masks: dict[int, int] = {}  # that the kernel has not taken yet, by descriptor
        self.events_since = self.polled_at = time.monotonic()

    def register(self, one: PolledSocket, mask: int) -> None:
        """Wait for the events in `mask` on this socket, in place of those registered before."""
        self.watched[one.fd] = one
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
        self.watched.pop(fd, None)
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
        """Handle the sockets that are ready now; return how many there were."""
        self.events_since, self.polled_at = self.polled_at, time.monotonic()
        if self.refused_masks:
            for fd, mask in list(self.refused_masks.items()):
                with contextlib.suppress(OSError):
                    self._set_mask(fd, mask)
        found = self.epoll.poll(0, self.max_events)
        # A handler may close other sockets of this poll; a reused descriptor gets at worst a call for no event.
        for fd, mask in found:
            one = self.watched.get(fd)
            if one is not None:
                try:
                    one.handle_events(mask)
                except Exception:  # a defect must cost only the connection that met it
                    self.on_fault(traceback.format_exc(limit=-2))
                    one.on_defect()
        return len(found)
