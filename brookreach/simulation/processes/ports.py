"""Loopback ports for one drill, in a block that no other drill on this machine uses at the same time.

A block is claimed by a socket bound to its first port for as long as the drill goes on: several checkouts may run
their tests beside each other. A port of the block on which another program listens is passed over.
"""

from __future__ import annotations

import socket
from types import TracebackType

HOST = "127.0.0.1"
FIRST_PORT = 20000
LAST_PORT = 29999  # below the ports that Linux gives to outgoing connections
BLOCK_SIZE = 100


class NoFreePortError(ValueError):
    """The block, or the whole range, has no port left."""


class PortAllocator:
    """One block of ports, claimed until `close`."""

    def __init__(self, first: int = FIRST_PORT, last: int = LAST_PORT, block: int = BLOCK_SIZE):
        """Claim the first free block.

        Args:
            first: The first port of the range that is divided into blocks.
            last: The last port of that range.
            block: The number of ports in a block; its first one is the claim.

        Raises:
            NoFreePortError: All blocks are claimed.
        """
        for begin in range(first, last + 2 - block, block):
            claim = _claim(begin)
            if claim is not None:
                self._claim = claim
                self._next = begin + 1
                self._last = begin + block - 1
                return
        raise NoFreePortError(f"all blocks of {block} ports from {first} to {last} are in use by other drills")

    def allocate(self) -> int:
        """Return the next port on which nobody listens.

        Raises:
            NoFreePortError: The block is used up.
        """
        while self._next <= self._last:
            port = self._next
            self._next += 1
            if _is_free(port):
                return port
        raise NoFreePortError(f"more than the ports to {self._last} are needed: fewer processes are allowed")

    def close(self) -> None:
        """Release the block; safe to call again."""
        self._claim.close()

    def __enter__(self) -> PortAllocator:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        self.close()


def _claim(port: int) -> socket.socket | None:
    """Return a socket that alone holds `port`; None if somebody has it."""
    claim = socket.socket()
    try:
        claim.bind((HOST, port))
    except OSError:
        claim.close()
        return None
    return claim


def _is_free(port: int) -> bool:
    """Whether a server could listen there now, by the option that servers set."""
    with socket.socket() as trial:
        trial.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            trial.bind((HOST, port))
        except OSError:
            return False
    return True
