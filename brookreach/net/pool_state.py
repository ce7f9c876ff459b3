"""What all connections to nodes share: limits, log, poller, buffer memory, and the counts of connections.

This module owns which connections are answered but not ready yet. It must never open or close a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from brookreach.net.limits import Limits
from brookreach.net.message_buffer import BufferPool
from brookreach.net.poller import Poller
from brookreach.net.report import Report

if TYPE_CHECKING:
    from brookreach.net.node_connection import NodeConnection


class ConnectionPoolState:
    """The state that a pool of connections to nodes shares with each of them."""

    def __init__(self, limits: Limits, report: Report, poller: Poller) -> None:
        self.limits = limits
        self.report = report
        self.poller = poller
        self.buffer_pool = BufferPool(limits.large_answer_bytes)
        # Connections that have answered and are not ready for the next query, with the monotonic time, in seconds,
        # of their answer.
        self.awaiting_ready: dict[NodeConnection, float] = {}
        self.connection_count = 0  # established or being established
        self.second_answers = 0  # seen so far
