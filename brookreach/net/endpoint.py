"""The network side's record of one node: its entry in discovery's list and its idle connections.

This module owns the counters that tell picks and connections of an outdated listing from current ones. It must never
open or close a connection.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from brookreach import interface as ifc

if TYPE_CHECKING:
    from brookreach.net.node_connection import NodeConnection


class ListedNode:
    """A node as discovery lists it.

    Args:
        entry: What the decisions need to know of it.
        address: Its host and port.
    """

    def __init__(self, entry: ifc.NodeEntry, address: tuple[str, int]) -> None:
        self.entry = entry
        self.address = address


class Endpoint:
    """One node's listing and connections. The connection that was used last is reused first."""

    def __init__(self, listed: ListedNode) -> None:
        self.listed = listed
        self.pick_epoch = 0  # advances when picks that are decided but not yet written must not be written any more
        # Advances when existing connections lead to a process that has gone, or to a node that takes nothing new.
        self.connection_generation = 0
        self.idle_connections: deque[NodeConnection] = deque()  # in the order in which they became idle
        # In monotonic seconds. Until then each connection carries one query: the order of its answers proves nothing.
        self.single_use_until = -math.inf
