"""Which nodes an RPC may still have a pick at, after picks that may have executed it already."""

from __future__ import annotations

import math
from typing import Any

from brookreach.interface import DedupScope, Idempotency, NodeEntry
from brookreach.policy.common import NEVER_EXECUTED
from brookreach.policy.routed_rpc import PICK_OUTCOME, RoutedRpc


def possibly_executed_picks(rpc: RoutedRpc) -> list[list[Any]]:
    """Returns the picks whose node may have executed the RPC; a pending one counts."""
    return [pick for pick in rpc.picks if pick[PICK_OUTCOME] not in NEVER_EXECUTED]


def dedup_window_left_ms(rpc: RoutedRpc, now: float) -> float:
    """Returns how long a further pick of a tokened RPC may still be written: until its nodes forget the first token."""
    is_tokened = rpc.method_settings.repeat == Idempotency.TOKENED
    left_ms: list[float] = [
        sent_ms + rpc.method_settings.token_ms - now for _, sent_ms, _ in possibly_executed_picks(rpc) if is_tokened
    ]
    return min(left_ms or [math.inf])


def is_pick_allowed(rpc: RoutedRpc, entry: NodeEntry, now: float, hedging_allowed: bool) -> bool:
    """Whether the method's idempotency lets this RPC have a pick at this node now."""
    executed = possibly_executed_picks(rpc)
    method = rpc.method_settings
    scope = method.group
    if executed and (method.repeat == Idempotency.NON_IDEMPOTENT or (rpc.has_pending_pick() and not hedging_allowed)):
        return False
    return method.repeat == Idempotency.IDEMPOTENT or (
        dedup_window_left_ms(rpc, now) > 0.0
        and all(
            scope == DedupScope.ALL or (entry.zone == old.zone and (scope == DedupScope.ZONE or entry.cell == old.cell))
            for old, _, _ in executed
        )
    )
