"""Non-blocking connections: bytes received into a buffer, gathered writes.

This module owns the file descriptors and how many bytes the kernel took. It knows no protocol and retries nothing.

The driver's task waits through anyio for the epoll's own descriptor; then the handler of every ready socket runs to
its end. A task and a wait for each socket cost several times an RPC's share of the core.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import socket
import struct
import termios

from brookreach.net.message_buffer import MessageBuffer
from brookreach.net.pgwire import ProtocolViolationError
from brookreach.net.poller import ENDED, IN, OUT, RDHUP, PolledSocket, Poller

# Errors of a call, not of the connection: it is repeated when the socket is ready.
TRANSIENT_ERRORS = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS, errno.ENOMEM})
MAX_BUFFERS_PER_WRITE = 64
UNREAD_COUNT = struct.Struct("i")  # what the kernel writes for FIONREAD


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of `host:port`. Raises ValueError for any other text."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


class Stream(PolledSocket):
    """One socket that is connected or connecting.

    Subclasses implement `on_data` and `on_closed`, and may implement `on_connected` and `on_writable`.
    """

    def __init__(
        self,
        poller: Poller,
        sock: socket.socket,
        inbound: MessageBuffer,
        connecting: bool = False,
        urgent_mask: int = 0,
        is_preferred: bool = False,
    ) -> None:
        super().__init__(poller, sock, urgent_mask, is_preferred)
        with contextlib.suppress(OSError):  # the connection works without it, only slower
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.inbound = inbound
        self.unsent: list[bytes | memoryview] = []  # what the kernel has not taken yet
        self.connecting = connecting
        self.reading = True
        self.update_interest()

    def update_interest(self) -> None:
        """Tell the poller which events this socket waits for now."""
        out = OUT if self.unsent or self.connecting else 0
        # Unread bytes would hide the end of the stream: RDHUP reports it independently of them.
        into = 0 if self.connecting else IN | RDHUP if self.reading else RDHUP
        self.poller.register(self, out | into)

    def close(self) -> None:
        """Close the socket and release the buffer."""
        if not self.closed:
            super().close()
            self.inbound.release()

    def detach(self) -> socket.socket:
        """Hand over the socket as it stands, still open."""
        self.closed = True
        self.poller.unregister(self.fd)
        self.inbound.release()
        return self.sock

    def on_connected(self) -> None:
        """The connection is established."""

    def on_data(self) -> None:
        """Bytes have been received into `inbound`."""
        raise NotImplementedError

    def on_closed(self, why: str) -> None:
        """The other side has ended or broken the connection, or the bytes received are not the protocol."""
        raise NotImplementedError

    def on_defect(self) -> None:
        """End the connection after an exception in one of its handlers."""
        self.on_closed("a defect of ours")

    def on_writable(self) -> None:
        """The kernel may have taken more of the unsent bytes, or the last of them."""

    def handle_events(self, mask: int) -> None:
        """Handle epoll events; a mask of 0 handles again what is in the buffer already."""
        try:
            if self.connecting:
                self._finish_connect()
                return
            if mask & OUT and self.unsent:
                self._send_pending()
                if self.closed:
                    return
                if not self.unsent:
                    self.update_interest()
                self.on_writable()
            if not mask:
                self.on_data()
            elif mask & ENDED and not self.reading:
                self.on_closed("end of stream")
            elif mask & ~OUT and not self.closed:
                count = self.sock.recv_into(self.inbound.free_space())
                if count == 0:
                    self.on_closed("end of stream")
                else:
                    self.inbound.received(count)
                    self.on_data()
                    self.inbound.shrink_if_empty()
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                self.on_closed(str(error))
        except ProtocolViolationError as error:
            self.on_closed(f"not the protocol: {error}")

    def _finish_connect(self) -> None:
        """Raises OSError if the connection has failed or is not established yet."""
        failure = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failure:
            raise OSError(failure, "could not connect")
        self.sock.getpeername()  # raises ENOTCONN while the connection is not established
        self.connecting = False
        self.update_interest()
        self.on_connected()

    def send(self, buffers: list[bytes | memoryview]) -> None:
        """Send what the kernel takes at once, and the rest when it takes more.

        Raises OSError if the connection is broken.
        """
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
                taken = self.sock.sendmsg(self.unsent[:MAX_BUFFERS_PER_WRITE])
                self.unsent = unsent_after(self.unsent, taken)
        except OSError as error:
            if error.errno not in TRANSIENT_ERRORS:
                raise

    def read_available(self, max_reads: int) -> None:
        """Read what has arrived since the last poll, in at most `max_reads` reads."""
        for _ in range(max_reads):
            if self.closed or not self.reading or self.is_quiet():
                return
            self.handle_events(IN)

    def is_quiet(self) -> bool:
        """Return whether the connection still stands, with nothing unread in the kernel."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def unread_bytes(self) -> int:
        """Return how many received bytes lie unread in the kernel, 0 if the connection is broken."""
        count = bytearray(UNREAD_COUNT.size)
        try:
            fcntl.ioctl(self.fd, termios.FIONREAD, count)
        except OSError:
            return 0
        unread: int = UNREAD_COUNT.unpack(count)[0]
        return unread

    def shutdown_write(self) -> None:
        """End our direction of the connection."""
        with contextlib.suppress(OSError):  # the other side has ended it already
            self.sock.shutdown(socket.SHUT_WR)


def unsent_after(buffers: list[bytes | memoryview], taken: int) -> list[bytes | memoryview]:
    """Return what remains of the buffers after their first `taken` bytes."""
    for index, buffer in enumerate(buffers):
        if taken < len(buffer):
            return [memoryview(buffer)[taken:], *buffers[index + 1 :]]
        taken -= len(buffer)
    return []
