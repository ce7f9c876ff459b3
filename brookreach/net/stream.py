"""Non-blocking connections: bytes received into a buffer, gathered writes.

It owns file descriptors and how many bytes the kernel took. It must never know a protocol, nor try again.

The driver's task waits by anyio for the epoll's own descriptor; then the handler of every ready socket runs
to its end. A task and a wait for each socket cost several times an RPC's share of the core.
"""

from __future__ import annotations

import contextlib
import errno
import socket

from brookreach.net.pgwire import BrokenStream, Inbound
from brookreach.net.poller import ENDED, IN, OUT, RDHUP, Poller, Watched

# Errors of a call, not of the connection: it is tried again when the socket is ready.
FOR_A_MOMENT = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
SLICES = 64  # buffers given to the kernel in one call


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


class Stream(Watched):
    """One connected socket, or one that is coming up. Handlers: `open_frame`, `came`, `broke`."""

    def __init__(self, poller: Poller, sock: socket.socket, inbound: Inbound, dialing: bool = False) -> None:
        super().__init__(poller, sock)
        with contextlib.suppress(OSError):  # it is only quicker with it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.inbound = inbound
        self.rest: list[bytes | memoryview] = []  # what the kernel has not taken yet
        self.dialing, self.reading = dialing, True
        self.interest()

    def interest(self) -> None:
        """What the epoll is to wake this for."""
        out = OUT if self.rest or self.dialing else 0
        # Where nothing is read, bytes would hide the end behind them: the kernel tells it by itself.
        into = 0 if self.dialing else IN if self.reading else RDHUP
        self.poller.watch(self, out | into)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self.inbound.release()

    def detach(self) -> socket.socket:
        """Give its socket away as it stands, still open."""
        self.closed = True
        self.poller.forget(self.fd)
        self.inbound.release()
        return self.sock

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
        except OSError as error:
            if error.errno not in FOR_A_MOMENT:
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
        except OSError as error:
            if error.errno not in FOR_A_MOMENT:
                raise

    def read_up(self, turns: int) -> None:
        """Look at what has come since the last turn, so many times at the most."""
        for _ in range(turns):
            if self.closed or not self.reading or self.quiet():
                return
            self.ready(IN)

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
