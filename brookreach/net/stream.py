"""Non-blocking sockets: one epoll for all, bytes received into a buffer, gathered writes.

It owns file descriptors and how many bytes the kernel took. It must never know a protocol, nor try again.

The driver's task waits by anyio for the epoll's own descriptor; then the handler of every ready socket runs
to its end. A task and a wait for each socket cost several times an RPC's share of the core.
"""

from __future__ import annotations

import contextlib
import select
import socket
import time
import traceback
from collections.abc import Callable

import anyio

from brookreach.net.pgwire import BrokenStream, Inbound

IN, OUT = select.EPOLLIN, select.EPOLLOUT
ENDED = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR  # the other side sends no more
SLICES = 64  # buffers given to the kernel in one call


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


class Expiring:
    """What has a time-out; called for also when it has long been settled."""

    def expire(self) -> None:
        raise NotImplementedError


class Watched(Expiring):
    """What has a socket in the epoll."""

    def __init__(self, poller: Poller, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.poller, self.sock, self.fd = poller, sock, sock.fileno()
        self.closed = False

    def ready(self, mask: int) -> None:
        raise NotImplementedError

    def failed(self) -> None:
        """A handler raised what it should not."""

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.poller.forget(self.fd)
            self.sock.close()


class Poller:
    """The epoll. What a turn finds has come since `since`."""

    def __init__(self, most: int, fault: Callable[[str], None]) -> None:
        self.epoll, self.most, self.fault = select.epoll(), most, fault
        self.watched: dict[int, Watched] = {}
        self.since = self.polled = time.monotonic()

    def watch(self, one: Watched, mask: int) -> None:
        if one.fd in self.watched:
            self.epoll.modify(one.fd, mask)
        else:
            self.epoll.register(one.fd, mask)
            self.watched[one.fd] = one

    def forget(self, fd: int) -> None:
        if self.watched.pop(fd, None) is not None:
            self.epoll.unregister(fd)

    def close(self) -> None:
        for one in list(self.watched.values()):
            one.close()
        self.epoll.close()

    async def wait(self) -> None:
        await anyio.wait_readable(self.epoll.fileno())

    def turn(self) -> int:
        """Handle what is ready now; how many sockets that were."""
        self.since, self.polled = self.polled, time.monotonic()
        found = self.epoll.poll(0, self.most)
        # A handler may close others of this turn; a number used again meets at worst a call for nothing.
        for fd, mask in found:
            one = self.watched.get(fd)
            if one is not None:
                try:
                    one.ready(mask)
                except Exception:  # a defect that one connection met stays with it
                    self.fault(traceback.format_exc(limit=-2))
                    one.failed()
        return len(found)


class Listener(Watched):
    """A listening socket; a restart takes the same address at once. Handler: `arrived`."""

    def __init__(self, poller: Poller, text: str, backlog: int, arrived: Callable[[], object]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address(text))
            sock.listen(backlog)
        except BaseException:
            sock.close()
            raise
        super().__init__(poller, sock)
        self.arrived = arrived
        poller.watch(self, IN)

    def ready(self, mask: int) -> None:
        self.arrived()

    def accept(self) -> socket.socket | None:
        try:
            return self.sock.accept()[0]
        except (BlockingIOError, ConnectionAbortedError):
            return None


class Stream(Watched):
    """One connected socket, or one that is coming up. Handlers: `open_frame`, `came`, `broke`."""

    def __init__(self, poller: Poller, sock: socket.socket, inbound: Inbound, dialing: bool = False) -> None:
        super().__init__(poller, sock)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.inbound = inbound
        self.rest: list[bytes | memoryview] = []  # what the kernel has not taken yet
        self.dialing, self.reading = dialing, True
        self.interest()

    def interest(self) -> None:
        """What the epoll is to wake this for."""
        out = OUT if self.rest or self.dialing else 0
        # Where nothing is read, bytes would hide the end behind them: the kernel tells it by itself.
        into = 0 if self.dialing else IN if self.reading else select.EPOLLRDHUP
        self.poller.watch(self, out | into)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self.inbound.release()

    def opened(self) -> None:
        """The connection has come up."""

    def came(self) -> None:
        """Bytes have come."""
        raise NotImplementedError

    def broke(self, why: str) -> None:
        """The other side has ended or broken the connection, or what came is not the protocol."""
        raise NotImplementedError

    def failed(self) -> None:
        self.broke("a defect of ours")

    def pushed(self) -> None:
        """The kernel may have taken more of what had to wait, or the last of it."""

    def ready(self, mask: int) -> None:
        try:
            if self.dialing:
                self._dialed()
                return
            if mask & OUT and self.rest:
                self._push()
                if self.closed:
                    return
                if not self.rest:
                    self.interest()
                self.pushed()
            if not mask:
                self.came()  # to be looked at again
            elif mask & ENDED and not self.reading:
                self.broke("end of stream")
            elif mask & ~OUT and not self.closed:
                count = self.sock.recv_into(self.inbound.space())
                if count == 0:
                    self.broke("end of stream")
                else:
                    self.inbound.came(count)
                    self.came()
        except BlockingIOError:
            return
        except OSError as error:
            self.broke(str(error))
        except BrokenStream as error:
            self.broke(f"not the protocol: {error}")

    def _dialed(self) -> None:
        failed = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            raise OSError(failed, "could not connect")
        self.sock.getpeername()  # raises while it is not up
        self.dialing = False
        self.interest()
        self.opened()

    def send(self, buffers: list[bytes | memoryview]) -> None:
        """At once as far as the kernel takes it, the rest when it takes more. OSError where it is broken."""
        if self.rest:
            self.rest.extend(buffers)
            return
        self.rest = buffers
        self._push()
        if self.rest:
            self.interest()

    def _push(self) -> None:
        try:
            while self.rest:
                taken = self.sock.sendmsg(self.rest[:SLICES])
                self.rest = rest_of(self.rest, taken)
        except BlockingIOError:
            return

    def quiet(self) -> bool:
        """Whether an idle connection still stands, with nothing unread on it."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def end_sending(self) -> None:
        with contextlib.suppress(OSError):  # the other side was quicker
            self.sock.shutdown(socket.SHUT_WR)


def rest_of(buffers: list[bytes | memoryview], taken: int) -> list[bytes | memoryview]:
    """What is left of the buffers after so many bytes."""
    for at, one in enumerate(buffers):
        if taken < len(one):
            return [memoryview(one)[taken:], *buffers[at + 1 :]]
        taken -= len(one)
    return []
