"""What the router keeps of one RPC until its last pick has ended."""

from __future__ import annotations

from typing import Any, Final

from brookreach.interface import Method, NodeEntry, RpcReceived

PICK_ENTRY: Final = 0
PICK_SENT_MS: Final = 1
PICK_OUTCOME: Final = 2
OFFER_ENTRY: Final = 0
OFFER_HEALTH: Final = 1
OFFER_WAIT_MS: Final = 2
MIN_COST_MS: Final = 1e-6  # of what an RPC states: durations are divided by it


class RoutedRpc:
    """One RPC, its picks and the offers of nodes to take the next one.

    Attributes:
        picks: A list for each pick: the node's entry, when it was sent (ms), its outcome or None while it is pending.
        offers: A tuple for each offer: the node's entry, its health, the expected wait (ms).
        offers_awaited: How many nodes have been asked for an offer and have not replied.
        draws: How many nodes were drawn from each set of nodes for the next pick.
        is_done: Whether the client has its final answer or has left; picks may still be pending.
    """

    def __init__(self, now: float, event: RpcReceived, method_settings: Method):
        self.rpc_id = event.rpc_id
        self.method = event.method
        self.method_settings = method_settings
        self.cost_ms = max(event.cost_ms, MIN_COST_MS) if event.cost_ms else event.cost_ms
        self.key = event.key
        self.client_id = event.client_id
        self.deadline_ms = event.deadline_ms
        soft_ms = method_settings.soft_ms + method_settings.soft_stretch * (self.cost_ms or 0.0)
        self.soft_deadline_ms = min(now + min(soft_ms, method_settings.hard_ms), self.deadline_ms)
        self.picks: list[list[Any]] = []
        self.offers: list[tuple[NodeEntry, int, float]] = []
        self.offers_awaited = 0
        self.draws = 0
        self.is_done = False

    def has_pending_pick(self) -> bool:
        """Whether any pick has no outcome yet."""
        return any(pick[PICK_OUTCOME] is None for pick in self.picks)
