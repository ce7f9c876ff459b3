"""What a list of nodes and a start cost one marshal of the program, all of its parts, without a socket."""

from __future__ import annotations

import json
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from brookreach import interface as ifc
from brookreach.net.in_flight import PickResult
from brookreach.net.runtime import BalancerRuntime
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.marshal_load import WAIT_MS
from brookreach.scale.marshal_sizes import Size

TIMES = 7  # each list is taken; the median counts
NOWHERE = "127.0.0.1:9"  # no part is started, so that nothing is ever asked there
NS_PER_MS = 1e6


@dataclass(frozen=True, slots=True)
class ListCost:
    """Of one list, processor milliseconds: reading its bytes into the tables of the network side, the decisions
    on it, and the next RPC, on which the nodes are sorted anew."""

    body_bytes: int
    read_ms: float
    decide_ms: float
    next_rpc_ms: float


@dataclass(frozen=True, slots=True)
class ListCosts:
    size: Size
    configuration_bytes: int
    start_ms: float  # processor time of building all parts from the configuration
    whole: ListCost  # the whole list again, nothing changed
    change: ListCost  # one node begins to drain, or is ready again


class Lists:
    """One marshal's parts, built and never run."""

    def __init__(self, size: Size) -> None:
        told = configured.configuration(size, NOWHERE, NOWHERE, NOWHERE, [NOWHERE])
        self.bytes, self.members = len(json.dumps(told)), told["known"]["members"]
        self.version, self.rpcs = configured.VERSION, 0
        before = time.thread_time_ns()
        self.runtime = BalancerRuntime(told)
        self.start_ms = (time.thread_time_ns() - before) / NS_PER_MS
        self.now = self.runtime.driver.clock.now_ms()
        self.events()

    def events(self) -> None:
        queue = self.runtime.driver.queue
        while (event := queue.next_event()) is not None:
            assert not isinstance(event, PickResult)  # no pick was carried out
            self.runtime.driver.balancer.handle(self.now, event)

    def take(self, complete: bool, members: list[dict[str, Any]]) -> ListCost:
        self.version += 1
        body = json.dumps({"revision": self.version, "complete": complete, "members": members}).encode()
        read_ms = _spent_ms(lambda: self.runtime.discovery.apply_listing(json.loads(body)))
        decide_ms = _spent_ms(self.events)
        return ListCost(len(body), read_ms, decide_ms, _spent_ms(self.next_rpc))

    def next_rpc(self) -> None:
        self.rpcs += 1
        taken = ifc.RpcReceived(self.rpcs, 0, 0, 0, self.now + WAIT_MS, None, False, False)
        self.runtime.driver.balancer.handle(self.now, taken)

    def whole(self) -> ListCost:
        return _median([self.take(True, self.members) for _ in range(TIMES)])

    def change(self) -> ListCost:
        phases = ["leaving", "active"] * (TIMES // 2 + 1)
        return _median([self.take(False, [self.members[0] | {"phase": phase}]) for phase in phases[:TIMES]])


def measure(size: Size) -> ListCosts:
    lists = Lists(size)
    try:
        return ListCosts(size, lists.bytes, lists.start_ms, lists.whole(), lists.change())
    finally:
        lists.runtime.poller.close()


def _spent_ms(call: Callable[[], object]) -> float:
    before = time.thread_time_ns()
    call()
    return (time.thread_time_ns() - before) / NS_PER_MS


def _median(costs: list[ListCost]) -> ListCost:
    return ListCost(
        costs[0].body_bytes,
        statistics.median(cost.read_ms for cost in costs),
        statistics.median(cost.decide_ms for cost in costs),
        statistics.median(cost.next_rpc_ms for cost in costs),
    )
