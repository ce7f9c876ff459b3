"""What receives RPCs from client connections: the driver, or what stands for it in a test."""

from __future__ import annotations

from typing import Protocol

from brookreach.net.answers import PendingAnswer
from brookreach.net.poller import Expirable
from brookreach.net.statement import Statement


class RpcReceiver(Protocol):
    """What client connections need of the driver."""

    def receive(self, statement: Statement, answer: PendingAnswer, arrived_at: float) -> int:
        """Take an RPC and return its id; see `Driver.receive`."""
        ...

    def shorten_deadline(self, rpc_id: int, due: float) -> None:
        """An open RPC is due sooner, at `due` by the monotonic clock in seconds."""
        ...

    def cancel(self, rpc_id: int, why: str) -> None:
        """The connection of an RPC has ended, for this reason."""
        ...

    def available_links(self) -> int:
        """Return how many connections to nodes may still be made."""
        ...

    def schedule_timeout(self, delay_ms: float, target: Expirable) -> None:
        """Expire `target` after a delay."""
        ...
