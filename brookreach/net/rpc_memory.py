"""The memory that all client connections together may use for open RPCs and for answers that can't be written yet.

This module owns both sums. It refuses no RPC and ends no connection.
"""

from __future__ import annotations

from typing import Final

from brookreach.net.limits import Limits

RPC_OVERHEAD_BYTES: Final = 2048  # of an open RPC besides its text: its objects here and in the decisions, its timers


class MemoryBudget:
    """A sum of bytes in use, with a limit.

    Args:
        limit: In bytes; `take` may pass it, and `has_room` is then False until enough is given back.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0

    def has_room(self, size: int, is_first: bool = True) -> bool:
        """Return whether `size` bytes more are within the limit.

        One half is kept for connections that use nothing yet (`is_first`): a few must not take all of it.
        """
        return self.used + size <= (self.limit if is_first else self.limit // 2)

    def is_exceeded(self) -> bool:
        """Return whether more is in use than the limit."""
        return self.used > self.limit

    def take(self, size: int) -> None:
        """Count `size` bytes as in use."""
        self.used += size

    def give_back(self, size: int) -> None:
        """Count `size` bytes as free again."""
        self.used -= size


class RpcMemory:
    """The budgets of all client connections."""

    def __init__(self, limits: Limits) -> None:
        self.requests = MemoryBudget(limits.open_rpc_bytes)
        self.answers = MemoryBudget(limits.held_answer_bytes)
