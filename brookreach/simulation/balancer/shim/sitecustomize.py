"""Faults inside a balancer's process: Python imports this module at its start where the drill put its folder first.

System calls fail in the ways that Linux documents, the wall clock is stepped, or a known defect is planted. It imports
nothing of the program unless a defect is planted, and does nothing without its variable in the environment.
"""

import errno
import json
import os
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NoReturn

Call = Callable[..., Any]  # a method of a socket, which comes first among its arguments
VARIABLE = "BROOKREACH_SHIM"
FAILING_ACCEPT = (
    errno.ECONNABORTED,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.EPERM,
)
FAILING_ACCEPT_IN_A_ROW = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EMFILE)
FAILING_SOCKET = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
FAILING_CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EAGAIN, errno.ECONNREFUSED, errno.ETIMEDOUT)
BROKEN = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
FOR_A_MOMENT = (errno.ENOBUFS, errno.ENOMEM)


def fail(number: int) -> NoReturn:
    """Raise the error as the system call does."""
    raise OSError(number, os.strerror(number))


class Faults:
    """Wraps the calls of Python's sockets; accepted ones never break, since that would be their client's doing."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.share: float = settings["failing_calls"]
        self.accepts_left = settings["failing_accepts"]
        self.chance = random.Random(settings["seed"])
        self.failing_call: tuple[str, int] = tuple(settings["failing_call"] or ("", 0))
        self.calls: Counter[str] = Counter()  # by kind

    def strikes(self, kind: str) -> bool:
        """Whether the next call of this kind fails, by chance or by its number."""
        self.calls[kind] += 1
        return self.chance.random() < self.share or (kind, self.calls[kind]) == self.failing_call

    def falls_short(self) -> bool:
        """Whether the next read or write is a short one, or finds its connection broken."""
        return self.chance.random() < self.share

    def install(self) -> None:
        """Put the wrappers in the place of the calls."""
        plain: Any = socket.socket
        for name in ("accept", "connect", "recv_into", "sendmsg"):
            setattr(plain, name, getattr(self, name)(getattr(plain, name)))
        plain.__init__ = self.create(plain.__init__)

    def create(self, call: Call) -> Call:
        """A socket that can't be made; one that wraps a descriptor makes none."""

        def wrapped(
            sock: socket.socket, family: int = -1, type: int = -1, proto: int = -1, fileno: int | None = None
        ) -> None:
            if fileno is None and self.strikes("socket"):
                fail(self.chance.choice(FAILING_SOCKET))
            call(sock, family, type, proto, fileno)

        return wrapped

    def accept(self, call: Call) -> Call:
        """Errors of the connection that waits, and of the machine."""

        def wrapped(sock: socket.socket) -> Any:
            if self.accepts_left > 0:
                self.accepts_left -= 1
                fail(self.chance.choice(FAILING_ACCEPT_IN_A_ROW))
            if self.strikes("accept"):
                fail(self.chance.choice(FAILING_ACCEPT))
            return call(sock)

        return wrapped

    def connect(self, call: Call) -> Call:
        """A connection that can't be begun."""

        def wrapped(sock: socket.socket, address: Any) -> Any:
            if self.strikes("connect"):
                fail(self.chance.choice(FAILING_CONNECT))
            return call(sock, address)

        return wrapped

    def recv_into(self, call: Call) -> Call:
        """Short reads, errors for a moment, connections to nodes that break."""

        def wrapped(sock: socket.socket, buffer: memoryview, nbytes: int = 0, flags: int = 0) -> Any:
            if self.strikes("recv_into"):
                fail(self.chance.choice(FOR_A_MOMENT))
            if self.falls_short() and self.is_outgoing(sock):
                fail(self.chance.choice(BROKEN))
            if self.falls_short():
                nbytes = self.chance.randint(1, 5)
            return call(sock, buffer, min(nbytes, len(buffer)) if nbytes else 0, flags)

        return wrapped

    def sendmsg(self, call: Call) -> Call:
        """Short writes, errors for a moment, connections to nodes that break."""

        def wrapped(sock: socket.socket, buffers: Sequence[Any], *rest: Any) -> Any:
            if self.strikes("sendmsg"):
                fail(self.chance.choice(FOR_A_MOMENT))
            if self.falls_short() and self.is_outgoing(sock):
                fail(self.chance.choice(BROKEN))
            if self.falls_short():
                buffers = [memoryview(buffers[0])[: self.chance.randint(1, 5)]]
            return call(sock, buffers, *rest)

        return wrapped

    def is_outgoing(self, sock: socket.socket) -> bool:
        """Whether we connected it: an accepted socket has its listener's port."""
        try:
            return bool(sock.getsockname()[1] != LISTEN_PORT)
        except OSError:
            return False


def step_wall_clock(steps: Sequence[tuple[float, float]]) -> None:
    """Step `time.time` by so many seconds, each so long after the start; the monotonic clock runs on."""
    plain, began = time.time, time.monotonic()

    def stepped() -> float:
        past = time.monotonic() - began
        return plain() + sum([by_s for after_s, by_s in steps if past >= after_s])

    vars(time)["time"] = stepped


def listen_port() -> int:
    """The port at which the process is to listen; 0 where its configuration can't be read."""
    try:
        with open(os.environ["PROXY_CONFIG"]) as file:
            return int(json.load(file)["listen"].rpartition(":")[2])
    except (OSError, KeyError, ValueError):
        return 0


LISTEN_PORT = 0
if VARIABLE in os.environ:
    told = json.loads(os.environ[VARIABLE])
    LISTEN_PORT = listen_port()
    if told["failing_calls"] or told["failing_accepts"] or told["failing_call"]:
        Faults(told).install()
    if told["clock_steps"]:
        step_wall_clock(told["clock_steps"])
    if told["defect"]:
        import planted_defects  # type: ignore[import-not-found]  # beside this file, which is no package

        planted_defects.plant(told["defect"])
