"""The order in which the balancer hears of events; no I/O, no clock.

What changes the decisions is handled before what only asks for one. A list of nodes, a rollout status or the departure
of a client must not wait behind thousands of RPCs: those would be routed by what is already known to be outdated.

This module owns the order of events. It never handles one.
"""

from __future__ import annotations

from collections import deque

from brookreach import interface as ifc
from brookreach.net.in_flight import PickResult

# What is known of nodes, builds and clients, and applies to each decision after it.
STATE_CHANGES = (ifc.NodeList, ifc.RolloutStatus, ifc.OutcomeCounts, ifc.RpcCancelled, ifc.DeadlineShortened)


class EventQueue:
    """Events that are to be handled, in three classes; within a class, in the order of their arrival.

    1. State changes: few, and bounded by the connections of discovery and the platform and by the open RPCs.
    2. Outcomes of picks and probes: bounded by the connections to nodes.
    3. New RPCs, by their ids. Timers that are due come before them, after the other two classes.

    The first two classes are bounded by RPCs that were handled earlier, so that new RPCs are never starved.
    """

    def __init__(self) -> None:
        self.state_changes: deque[ifc.Event] = deque()
        self.outcomes: deque[ifc.Event | PickResult] = deque()
        self.new_rpcs: deque[int] = deque()

    def __len__(self) -> int:
        return len(self.state_changes) + len(self.outcomes) + len(self.new_rpcs)

    def add(self, event: ifc.Event | PickResult) -> None:
        """Append an event to its class; a new RPC is added by `add_rpc`."""
        if isinstance(event, STATE_CHANGES):
            self.state_changes.append(event)
        else:
            self.outcomes.append(event)

    def add_rpc(self, rpc_id: int) -> None:
        """Append a new RPC."""
        self.new_rpcs.append(rpc_id)

    def next_event(self) -> ifc.Event | PickResult | None:
        """Remove and return the next state change or, if there is none, the next outcome; None without either."""
        if self.state_changes:
            return self.state_changes.popleft()
        if self.outcomes:
            return self.outcomes.popleft()
        return None

    def next_rpc(self) -> int | None:
        """Remove and return the next new RPC's id; None if there is none."""
        return self.new_rpcs.popleft() if self.new_rpcs else None
