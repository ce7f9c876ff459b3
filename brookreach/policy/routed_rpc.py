"""What is held of an RPC."""

from __future__ import annotations

from typing import Any

from brookreach.interface import Method, NodeEntry, RpcReceived


class RoutedRpc:
    """What the desk holds of one RPC; `picks` are [node entry, sent at, ending or None]."""

    def __init__(self, now: float, event: RpcReceived, facts: Method):
        self.id, self.method, self.facts = event.rpc_id, event.method, facts
        self.cost, self.key = event.cost_ms, event.key
        self.end, soft = event.deadline_ms, facts.soft_ms + facts.soft_stretch * (event.cost_ms or 0.0)
        self.soft = min(now + min(soft, facts.hard_ms), self.end)
        self.picks: list[list[Any]] = []
        self.bids: list[tuple[NodeEntry, int, float]] = []  # node, how sick, expected wait
        self.asked, self.drawn, self.done = 0, 0, False

    def pending(self) -> bool:
        return any(pick[2] is None for pick in self.picks)
