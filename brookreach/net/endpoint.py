"""What is known of one node: its listing, and which of its connections are idle.

It owns the marks by which picks and connections that an older listing made right are told apart. It must never
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
    """A node as discovery tells it."""

    def __init__(self, entry: ifc.NodeEntry, address: tuple[str, int]) -> None:
        self.entry, self.address = entry, address


class Endpoint:
    """One node. The connection that was used last is taken first."""

    def __init__(self, listed: ListedNode) -> None:
        self.listed = listed
        self.pick_epoch = 0  # moves when picks that are decided but not written must not be written any more
        self.connection_generation = (
            0  # moves when its connections lead to a process that has gone or wants nothing new
        )
        self.idle_connections: deque[NodeConnection] = deque()
        self.single_use_until = -math.inf  # its order of answers proves nothing: each connection is used once
