"""What takes RPCs from clients' connections: the driver, or what stands for it in a test."""

from __future__ import annotations

from typing import Protocol

from brookreach.net.answers import PendingAnswer
from brookreach.net.poller import Expirable
from brookreach.net.statement import Statement


class RpcReceiver(Protocol):
    """What takes RPCs: the driver."""

    def receive(self, statement: Statement, slot: PendingAnswer, came_at: float) -> int: ...

    def shorten_deadline(self, rpc: int, due: float) -> None: ...

    def cancel(self, rpc: int, why: str) -> None: ...

    def available_links(self) -> int: ...

    def schedule_timeout(self, delay_ms: float, what: Expirable) -> None: ...
