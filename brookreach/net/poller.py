"""One epoll for all sockets of the balancer, and what has a time-out.

It owns which descriptors are watched for what. It must never read from or write to a socket.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
import traceback
from collections.abc import Callable

import anyio

IN, OUT = select.EPOLLIN, select.EPOLLOUT
RDHUP = select.EPOLLRDHUP
WAIT_AGAIN_S = 0.005
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side sends no more


class Expirable:
    """What has a time-out; called for also when it has long been settled."""

    def expire(self) -> None:
        raise NotImplementedError


class PolledSocket(Expirable):
    """What has a socket in the epoll."""

    def __init__(self, poller: Poller, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.poller, self.sock, self.fd = poller, sock, sock.fileno()
        self.closed = False

    def handle_events(self, mask: int) -> None:
        raise NotImplementedError

    def on_defect(self) -> None:
        """A handler raised what it should not."""

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.poller.unregister(self.fd)
            self.sock.close()


class Poller:
    """The epoll. What a turn finds has come since `since`.

    The kernel may refuse a change for a moment (ENOMEM, ENOSPC): it is then made in a later turn, so that no
    connection pays for it.
    """

    def __init__(self, most: int, fault: Callable[[str], None]) -> None:
        self.epoll, self.most, self.fault = select.epoll(), most, fault
        self.watched: dict[int, PolledSocket] = {}
        self.registered: set[int] = set()
        self.refused: dict[int, int] = {}  # masks that the kernel has not taken yet, by descriptor
        self.events_since = self.polled_at = time.monotonic()

    def register(self, one: PolledSocket, mask: int) -> None:
        self.watched[one.fd] = one
        try:
            self._tell(one.fd, mask)
        except OSError:
            self.refused[one.fd] = mask

    def _tell(self, fd: int, mask: int) -> None:
        """Raises OSError where the kernel does not take it."""
        if fd in self.registered:
            self.epoll.modify(fd, mask)
        else:
            self.epoll.register(fd, mask)
            self.registered.add(fd)
        self.refused.pop(fd, None)

    def unregister(self, fd: int) -> None:
        self.watched.pop(fd, None)
        self.refused.pop(fd, None)
        if fd in self.registered:
            self.registered.discard(fd)
            with contextlib.suppress(OSError):  # closing it takes it out as well
                self.epoll.unregister(fd)

    def close(self) -> None:
        for one in list(self.watched.values()):
            one.close()
        self.epoll.close()

    async def wait(self) -> None:
        try:
            await anyio.wait_readable(self.epoll.fileno())
        except OSError:  # the loop's own epoll has no room for a moment
            await anyio.sleep(WAIT_AGAIN_S)

    def poll(self) -> int:
        """Handle what is ready now; how many sockets that were."""
        self.events_since, self.polled_at = self.polled_at, time.monotonic()
        if self.refused:
            for fd, mask in list(self.refused.items()):
                with contextlib.suppress(OSError):
                    self._tell(fd, mask)
        found = self.epoll.poll(0, self.most)
        # A handler may close others of this turn; a number used again meets at worst a call for nothing.
        for fd, mask in found:
            one = self.watched.get(fd)
            if one is not None:
                try:
                    one.handle_events(mask)
                except Exception:  # a defect that one connection met stays with it
                    self.fault(traceback.format_exc(limit=-2))
                    one.on_defect()
        return len(found)
