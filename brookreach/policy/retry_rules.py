"""Which nodes the methods' kinds leave to a further pick."""

from __future__ import annotations

import math
from typing import Any

from brookreach.interface import DedupScope, Idempotency, NodeEntry
from brookreach.policy.common import NEVER_EXECUTED
from brookreach.policy.routed_rpc import RoutedRpc


def possibly_executed_picks(rpc: RoutedRpc) -> list[list[Any]]:
    return [pick for pick in rpc.picks if pick[2] not in NEVER_EXECUTED]


def dedup_window_left_ms(rpc: RoutedRpc, now: float) -> float:
    """How much longer a further pick of a tokened RPC may be written."""
    tokened = rpc.facts.repeat == Idempotency.TOKENED
    return min(
        [sent + rpc.facts.token_ms - now for _, sent, _ in possibly_executed_picks(rpc) if tokened] or [math.inf]
    )


def is_pick_allowed(rpc: RoutedRpc, entry: NodeEntry, now: float, copies: bool) -> bool:
    """Whether the method's kind lets this RPC have a pick at this node now."""
    ran, group = possibly_executed_picks(rpc), rpc.facts.group
    if ran and (rpc.facts.repeat == Idempotency.NON_IDEMPOTENT or (rpc.pending() and not copies)):
        return False
    return rpc.facts.repeat == Idempotency.IDEMPOTENT or (
        dedup_window_left_ms(rpc, now) > 0.0
        and all(
            group == DedupScope.ALL or (entry.zone == old.zone and (group == DedupScope.ZONE or entry.cell == old.cell))
            for old, _, _ in ran
        )
    )
