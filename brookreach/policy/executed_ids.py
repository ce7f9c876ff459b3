"""The ids of RPCs that may have been executed and must not be executed again, for as long as they may come again.

A client whose connection breaks may send an RPC once more, with its id, on a new connection. Nobody tells a balancer
whether the answer arrived: what may have had its effect once must not have it twice.
"""

from __future__ import annotations

from typing import Final

from brookreach.interface import Idempotency
from brookreach.policy.retry_rules import possibly_executed_picks
from brookreach.policy.routed_rpc import RoutedRpc

MAX_IDS: Final = 4096  # of RPCs whose client left, and as many of answered ones; beyond it the oldest is forgotten


class ExecutedIds:
    """Ids with the time until which they are remembered.

    The ids of RPCs whose client left before the answer are the likelier ones to come again: however many others are
    answered, none of these is forgotten for them.
    """

    def __init__(self) -> None:
        self.departed = dict[bytes, float]()  # in the order in which they were added, with the time (ms)
        self.answered = dict[bytes, float]()

    def is_remembered(self, now: float, client_id: bytes) -> bool:
        """Return whether an RPC with this id may have been executed, and may come again."""
        return now < max(self.departed.get(client_id, 0.0), self.answered.get(client_id, 0.0))

    def forbids(self, now: float, rpc: RoutedRpc) -> bool:
        """Return whether this RPC must not be executed: it has an effect, and may have had it under the same id."""
        return rpc.method_settings.repeat != Idempotency.IDEMPOTENT and self.is_remembered(now, rpc.client_id)

    def record_end(self, now: float, rpc: RoutedRpc, is_departed: bool) -> None:
        """Remember or forget an RPC that has ended, by what is known of its picks by now.

        It is called again when a pick that was pending then has ended.
        """
        if not rpc.client_id or rpc.method_settings.repeat == Idempotency.IDEMPOTENT:
            return
        if not possibly_executed_picks(rpc):
            self.departed.pop(rpc.client_id, None)
            self.answered.pop(rpc.client_id, None)
            return
        if not self.is_remembered(now, rpc.client_id):
            ids = self.departed if is_departed else self.answered
            # Its client waits until its deadline, and sends it again within its method's limit.
            ids[rpc.client_id] = max(rpc.deadline_ms, now) + rpc.method_settings.hard_ms
            if len(ids) > MAX_IDS:
                del ids[next(iter(ids))]

    def drop_expired(self, now: float) -> None:
        """Forget the oldest ids while their time is over."""
        for ids in (self.departed, self.answered):
            while ids and ids[oldest := next(iter(ids))] <= now:
                del ids[oldest]
