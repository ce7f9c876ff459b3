"""Non-blocking sockets: connecting, receiving into a buffer, gathered writes; waiting is anyio's.

It owns file descriptors and how many bytes the kernel took. It must never know a protocol, nor try again.
"""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterable, Sequence

import anyio

from .pgwire import Inbound

SLICES = min(os.sysconf("SC_IOV_MAX"), 64)  # buffers that the kernel takes in one call, and no more than help


class Ended(Exception):
    """The other side has ended or broken the connection."""


def address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address with a port: {text!r}")
    return host, int(port)


def listen(text: str) -> socket.socket:
    """A listening socket; a restart takes the same address at once."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address(text))
        sock.listen(1024)
    except BaseException:
        sock.close()
        raise
    return sock


def rest_of(buffers: Sequence[bytes | memoryview], taken: int) -> list[bytes | memoryview]:
    """What is left of the buffers after so many bytes."""
    for at, one in enumerate(buffers):
        if taken < len(one):
            return [memoryview(one)[taken:], *buffers[at + 1:]]
        taken -= len(one)
    return []


class Stream:
    """One connected socket."""

    def __init__(self, sock: socket.socket):
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock = sock
        self.closed = False

    @classmethod
    async def connect(cls, to: tuple[str, int]) -> Stream:
        """OSError where nobody listens; the caller sets the time."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            try:
                sock.connect(to)
            except BlockingIOError:
                await anyio.wait_writable(sock)
                failed = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if failed:
                    raise OSError(failed, os.strerror(failed)) from None
            return cls(sock)
        except BaseException:
            sock.close()
            raise

    async def receive(self, space: memoryview) -> int:
        """At least one byte, or Ended."""
        while True:
            try:
                count = self.sock.recv_into(space)
            except BlockingIOError:
                await self._wait(anyio.wait_readable)
                continue
            except OSError as error:
                raise Ended(str(error)) from None
            if count == 0:
                raise Ended("end of stream")
            return count

    async def fill(self, inbound: Inbound) -> None:
        inbound.came(await self.receive(inbound.space()))

    def push(self, buffers: Sequence[bytes | memoryview]) -> list[bytes | memoryview]:
        """Give the kernel what it takes now; what is left comes back."""
        rest: list[bytes | memoryview] = list(buffers)
        while rest:
            try:
                taken = self.sock.sendmsg(rest[:SLICES])
            except BlockingIOError:
                break
            except OSError as error:
                raise Ended(str(error)) from None
            rest = rest_of(rest, taken)
        return rest

    async def send(self, buffers: Iterable[bytes | memoryview]) -> None:
        """Returns once the kernel has taken the last byte."""
        rest = self.push(list(buffers))
        while rest:
            await self._wait(anyio.wait_writable)
            rest = self.push(rest)

    async def _wait(self, ready) -> None:  # type: ignore[no-untyped-def]
        try:
            await ready(self.sock)
        except (anyio.ClosedResourceError, ValueError, OSError) as error:
            raise Ended(f"closed here: {error}") from None

    def quiet(self) -> bool:
        """Whether an idle connection still stands, with nothing unread on it."""
        if self.closed:
            return False
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

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            anyio.notify_closing(self.sock)  # whoever waits on it is woken
            self.sock.close()
