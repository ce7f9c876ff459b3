"""The listening socket, and what an error of accept says about the connections that wait.

This module owns the socket. It does not decide which connections are admitted.
"""

from __future__ import annotations

import errno
import math
import socket
import time
from collections.abc import Callable

from brookreach.net.poller import IN, PolledSocket, Poller
from brookreach.net.stream import parse_address

# The machine or the process has no room for one more socket; waiting connections stay in the kernel's queue.
EXHAUSTED = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class NoRoomError(Exception):
    """No descriptor or no memory for one more connection; the next ones wait in the kernel.

    `is_own_limit` tells that this process has used up its own descriptors.
    """

    def __init__(self, error: OSError) -> None:
        super().__init__(str(error))
        self.is_own_limit = error.errno == errno.EMFILE


class Listener(PolledSocket):
    """A listening socket, whose address a restarted process can take at once.

    Args:
        poller: Calls it when connections wait.
        text: The address as `host:port`.
        backlog: Connections that the kernel accepts ahead.
        on_connection: Called when connections wait to be accepted.

    Raises:
        OSError: The address can't be listened on.
    """

    def __init__(self, poller: Poller, text: str, backlog: int, on_connection: Callable[[], object]) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(parse_address(text))
            sock.listen(backlog)
        except BaseException:
            sock.close()
            raise
        super().__init__(poller, sock)
        self.on_connection = on_connection
        self._found_waiting_since = math.inf  # since when some may wait, until none is seen to wait
        self._watched_since = math.inf  # what waits since then is found by the next poll
        self.set_accepting(True)

    def set_accepting(self, on: bool) -> None:
        """Set whether `on_connection` is called for waiting connections."""
        self._watched_since = time.monotonic() if on else math.inf
        self.poller.register(self, IN if on else 0)

    def handle_events(self, mask: int) -> None:
        """Connections wait to be accepted."""
        if self.poller.events_since >= self._watched_since:  # the poll then found none waiting
            self._found_waiting_since = math.inf
        self._found_waiting_since = self.waiting_since
        self._watched_since = time.monotonic()
        self.on_connection()

    @property
    def waiting_since(self) -> float:
        """Return the earliest time at which a connection that waits now may have come, by the monotonic clock."""
        return min(self._found_waiting_since, self.poller.events_since)

    def accept(self, max_tries: int) -> socket.socket | None:
        """Return the next connection, None if none waits. Raises NoRoomError.

        Any other error belongs to one connection, which has gone (accept(2)): the next one is tried, `max_tries`
        connections at most.
        """
        for _ in range(max_tries):
            try:
                return self.sock.accept()[0]
            except BlockingIOError:
                self._found_waiting_since = math.inf
                return None
            except OSError as error:
                if error.errno in EXHAUSTED:
                    raise NoRoomError(error) from None
        return None
