"""Non-blocking connections: bytes received into a buffer, gathered writes.

It owns file descriptors and how many bytes the kernel took. It must never know a protocol, nor try again.

The driver's task waits by anyio for the epoll's own descriptor; then the handler of every ready socket runs
to its end. A task and a wait for each socket cost several times an RPC's share of the core.
"""

from __future__ import annotations

import contextlib
import errno
import socket

from brookreach.net.pgwire import MessageBuffer, ProtocolViolationError
from brookreach.net.poller import ENDED, IN, OUT, RDHUP, PolledSocket, Poller

# Errors of a call, not of the connection: it is tried again when the socket is ready.
TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
SLICES = 64  # buffers given to the kernel in one call


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


class Stream(PolledSocket):
    """One connected socket, or one that is coming up. Handlers: `on_connected`, `on_data`, `on_closed`."""

    def __init__(self, poller: Poller, sock: socket.socket, inbound: MessageBuffer, connecting: bool = False) -> None:
        super().__init__(poller, sock)
        with contextlib.suppress(OSError):  # it is only quicker with it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.inbound = inbound
        self.unsent: list[bytes | memoryview] = []  # what the kernel has not taken yet
        self.connecting, self.reading = connecting, True
        self.update_interest()

    def update_interest(self) -> None:
        """What the epoll is to wake this for."""
        out = OUT if self.unsent or self.connecting else 0
        # Where nothing is read, bytes would hide the end behind them: the kernel tells it by itself.
        into = 0 if self.connecting else IN if self.reading else RDHUP
        self.poller.register(self, out | into)

    def close(self) -> None:
        if not self.closed:
            super().close()
            self.inbound.release()

    def detach(self) -> socket.socket:
        """Give its socket away as it stands, still open."""
        self.closed = True
        self.poller.unregister(self.fd)
        self.inbound.release()
        return self.sock

    def on_connected(self) -> None:
        """The connection has come up."""

    def on_data(self) -> None:
        """Bytes have come."""
        raise NotImplementedError

    def on_closed(self, why: str) -> None:
        """The other side has ended or broken the connection, or what came is not the protocol."""
        raise NotImplementedError

    def on_defect(self) -> None:
        self.on_closed("a defect of ours")

    def on_writable(self) -> None:
        """The kernel may have taken more of what had to wait, or the last of it."""

    def handle_events(self, mask: int) -> None:
        try:
            if self.connecting:
                self._dialed()
                return
            if mask & OUT and self.unsent:
                self._send_pending()
                if self.closed:
                    return
                if not self.unsent:
                    self.update_interest()
                self.on_writable()
            if not mask:
                self.on_data()  # to be looked at again
            elif mask & ENDED and not self.reading:
                self.on_closed("end of stream")
            elif mask & ~OUT and not self.closed:
                count = self.sock.recv_into(self.inbound.free_space())
                if count == 0:
                    self.on_closed("end of stream")
                else:
                    self.inbound.received(count)
                    self.on_data()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self.on_closed(str(error))
        except ProtocolViolationError as error:
            self.on_closed(f"not the protocol: {error}")

    def _dialed(self) -> None:
        failed = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            raise OSError(failed, "could not connect")
        self.sock.getpeername()  # raises while it is not up
        self.connecting = False
        self.update_interest()
        self.on_connected()

    def send(self, buffers: list[bytes | memoryview]) -> None:
        """At once as far as the kernel takes it, the rest when it takes more. OSError where it is broken."""
        if self.unsent:
            self.unsent.extend(buffers)
            return
        self.unsent = buffers
        self._send_pending()
        if self.unsent:
            self.update_interest()

    def _send_pending(self) -> None:
        try:
            while self.unsent:
                taken = self.sock.sendmsg(self.unsent[:SLICES])
                self.unsent = unsent_after(self.unsent, taken)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise

    def read_available(self, turns: int) -> None:
        """Look at what has come since the last turn, so many times at the most."""
        for _ in range(turns):
            if self.closed or not self.reading or self.is_quiet():
                return
            self.handle_events(IN)

    def is_quiet(self) -> bool:
        """Whether an idle connection still stands, with nothing unread on it."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def shutdown_write(self) -> None:
        with contextlib.suppress(OSError):  # the other side was quicker
            self.sock.shutdown(socket.SHUT_WR)


def unsent_after(buffers: list[bytes | memoryview], taken: int) -> list[bytes | memoryview]:
    """What is left of the buffers after so many bytes."""
    for at, one in enumerate(buffers):
        if taken < len(one):
            return [memoryview(one)[taken:], *buffers[at + 1 :]]
        taken -= len(one)
    return []
