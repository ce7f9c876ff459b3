"""The nodes this balancer knows, and which of them health, slow start and the exposure rule leave to an RPC."""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import Final

from brookreach.interface import (
    Action,
    BalancerSettings,
    Idempotency,
    ListKind,
    NodeEntry,
    NodeList,
    NodeState,
    RolloutStatus,
)
from brookreach.policy.actor import Actor, WorkQueue
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import (
    EVALUATION_INTERVAL_MS,
    ROLLBACK_PHASES,
    is_candidate,
    is_low_traffic,
    slow_start_factor,
)
from brookreach.policy.retry_rules import is_pick_allowed
from brookreach.policy.routed_rpc import PICK_ENTRY, RoutedRpc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.tracked_node import TrackedNode
from brookreach.policy.weighted_nodes import WeightedNodes

THROUGHPUT_WINDOW_MS: Final = 4000.0  # for what warm nodes carry; a node is warm if it was so at the window's begin
LATENCY_WINDOW_MS: Final = 4000.0
OVERLOAD_LATE_SHARE: Final = 0.35  # of the picks; from here on durations tell of the load and not of one node
SLOW_PICK_SOFT_SHARE: Final = 0.5  # a slow pick takes this share of the soft deadline at least,
SLOW_PICK_RATIO: Final = 4.0  # and so many times the typical duration
LOW_TRAFFIC_SLOW_PICK_RATIO: Final = 3.0
BASELINE_POOL: Final = 0  # the pool of all builds that are no candidates
RECEIVED: Final = 0  # in place of a build: RPCs received
LOCAL_ZONE: Final = -1  # beside pools: a key for the nodes of this balancer's zone
OTHER_ZONES: Final = -2


class NodeRegistry(Actor):
    """The nodes as listed, with the ready ones in pools: one of the baseline, one of each candidate build.

    Attributes:
        actions: Where the balancer's actions are put.
        exposure_windows: By method and build: RPCs received (build 0), or picks at a candidate build.
        pools: By pool: all ready nodes, and those of this balancer's zone.
        pools_valid_until_ms: When the pools have to be built anew.
        warm_size: The size of all warm nodes together.
        log_slowdowns: By pool and by `LOCAL_ZONE` and `OTHER_ZONES`: average log of duration over the typical one.
        min_builds: By key: the build that has answered it, where a key must not return to an earlier one.
    """

    def __init__(
        self,
        work_queue: WorkQueue,
        actions: list[Action],
        settings: BalancerSettings,
        now: float,
        canary_analysis: CanaryAnalysis,
    ):
        super().__init__(work_queue)
        self.actions = actions
        self.position = settings.place
        self.started_ms = now
        self.canary_analysis = canary_analysis
        self.allowed_actions = settings.permits
        self.prices = settings.prices
        self.safety_limits = settings.guards
        self.exposure = settings.exposure
        self.rng = random.Random(settings.seed)
        self.low_traffic = is_low_traffic(settings)
        self.exposure_windows = dict[tuple[int, int], SlidingWindowSum]()
        self.nodes = dict[int, TrackedNode]()
        self.entries = dict[int, NodeEntry]()
        self.status: RolloutStatus | None = None
        self.pools = dict[int, tuple[WeightedNodes, WeightedNodes]]()
        self.pools_valid_until_ms = now
        self.warm_size = 0.0
        self.log_slowdowns = dict[int, float]()
        self.min_builds = dict[int, int]()
        self.ended_picks = SlidingWindowSum(LATENCY_WINDOW_MS, 8)
        self.late_picks = SlidingWindowSum(LATENCY_WINDOW_MS, 8)  # late, or nearly so

    def update_node_list(self, now: float, event: NodeList) -> None:
        """Takes over a changed or complete list of nodes."""
        changed = {entry.node: entry for entry in event.entries}
        if event.kind in (ListKind.FULL, ListKind.CACHED):  # what a complete list leaves out has been removed
            changed = {k: replace(old, state=NodeState.GONE) for k, old in self.entries.items()} | changed
        self.entries |= changed
        for entry in changed.values():
            if entry.node not in self.nodes:
                self.nodes[entry.node] = TrackedNode(
                    self.work_queue, self, entry, self.safety_limits, self.rng.random(), self.low_traffic
                )
            self.nodes[entry.node].send("update_entry", entry)
        for node in [k for k, e in self.entries.items() if e.state == NodeState.GONE]:
            if not self.nodes[node].pending_since_ms:  # should it come back, it is a new node
                del self.entries[node]
                del self.nodes[node]
        self.pools_valid_until_ms = now
        self.canary_analysis.send("update_nodes", [e for e in self.entries.values() if e.state == NodeState.READY])

    def update_rollout(self, now: float, status: RolloutStatus) -> None:
        """Takes over the platform's rollout status and forgets what was kept of builds that are over."""
        oldest = math.inf if status.phase in ROLLBACK_PHASES else min([e.build for e in self.entries.values()] or [0])
        self.min_builds = {key: build for key, build in self.min_builds.items() if build > oldest}
        self.exposure_windows = {
            key: window for key, window in self.exposure_windows.items() if not key[1] or key[1] >= status.build
        }
        self.status = status
        self.pools_valid_until_ms = now
        kept = (OTHER_ZONES, LOCAL_ZONE, BASELINE_POOL, status.build)
        self.log_slowdowns = {key: slowdown for key, slowdown in self.log_slowdowns.items() if key in kept}

    def late_share(self, now: float) -> float:
        """Returns the share of late picks, or nearly late ones, of the last seconds."""
        return self.late_picks.total(now) / (self.ended_picks.total(now) + 1.0)

    def pool_of(self, build: int) -> int:
        """Returns the pool of a build: its own while it is a candidate."""
        return build if is_candidate(self.status, build) else BASELINE_POOL

    def slow_pick_ms(self, now: float, typical_ms: float, soft_ms: float, build: int) -> float:
        """Returns from what duration on a pick speaks against its node: far over what other picks take now.

        Under overload all picks wait, and none speaks against its node.
        """
        if not self.low_traffic:
            return (
                max(SLOW_PICK_SOFT_SHARE * soft_ms, SLOW_PICK_RATIO * typical_ms)
                if self.late_share(now) < OVERLOAD_LATE_SHARE
                else math.inf
            )
        slowdown = math.exp(self.log_slowdowns.get(self.pool_of(build), 0.0))
        return max(SLOW_PICK_SOFT_SHARE * soft_ms, LOW_TRAFFIC_SLOW_PICK_RATIO * typical_ms * slowdown)

    def refresh_pools(self, now: float) -> None:
        """Builds the pools anew after changes of the list or the rollout and, while nodes are cold, periodically."""
        if now < self.pools_valid_until_ms or self.status is None:
            return
        weighted: dict[int, list[tuple[NodeEntry, float]]] = {}
        ready = [entry for entry in self.entries.values() if entry.state == NodeState.READY]
        usable = [e for e in ready if not self.low_traffic or now >= self.nodes[e.node].ejected_until_ms] or ready
        warm = [e for e in usable if slow_start_factor(e, now - THROUGHPUT_WINDOW_MS, self.safety_limits) >= 1.0]
        self.pools_valid_until_ms = math.inf if len(warm) == len(ready) else now + EVALUATION_INTERVAL_MS
        self.warm_size = sum([entry.size for entry in warm])
        for entry in usable:
            weight = slow_start_factor(entry, now, self.safety_limits) * entry.size
            weighted.setdefault(self.pool_of(entry.build), []).append((entry, weight))
        local_zone = self.position.zone if self.prices.cross_zone else None
        self.pools = {
            pool: (WeightedNodes(nodes), WeightedNodes([one for one in nodes if one[0].zone == local_zone]))
            for pool, nodes in sorted(weighted.items())
        }

    def eligible_pools(self, now: float, rpc: RoutedRpc) -> list[tuple[WeightedNodes, WeightedNodes]]:
        """Returns the pools that the rules leave to this RPC; further picks prefer the baseline while they can."""
        min_build = self.min_builds.get(rpc.key, 0) if rpc.key else 0
        pools = [
            pool for build, pool in self.pools.items() if build == BASELINE_POOL or self.is_exposable(now, rpc, build)
        ]
        if not rpc.picks and not min_build:
            return pools
        hedging_allowed = self.allowed_actions.second_copies
        tried = {pick[PICK_ENTRY].node for pick in rpc.picks}
        allowed = [
            [
                entry
                for entry in nodes.entries
                if entry.build >= min_build
                and entry.node not in tried
                and is_pick_allowed(rpc, entry, now, hedging_allowed)
            ]
            for nodes, _ in pools
        ]
        narrowed = [
            WeightedNodes([(e, e.size * slow_start_factor(e, now, self.safety_limits)) for e in entries])
            for entries in allowed
            if entries
        ]
        return [(nodes, WeightedNodes([])) for nodes in (narrowed[:1] if rpc.picks else narrowed)]

    def exposure_window(self, method: int, build: int) -> SlidingWindowSum:
        """Returns the count of picks at a candidate build, or with `RECEIVED` of RPCs, as the exposure rule counts."""
        key = method if self.exposure.by_method else 0, build
        return self.exposure_windows.setdefault(key, SlidingWindowSum(self.exposure.window_ms))

    def is_exposable(self, now: float, rpc: RoutedRpc, build: int) -> bool:
        """Whether the exposure rule allows a pick of this RPC at a candidate build."""
        status = self.status
        assert status is not None
        stage, cap = (status.stage, status.cap) if build == status.build else (0, self.exposure.caps[0])
        if stage < self.exposure.closed_stages and rpc.method_settings.repeat != Idempotency.IDEMPOTENT:
            return False
        # An earlier process of this balancer may have spent the free picks of the first window.
        free_picks = self.exposure.free if now - self.started_ms > self.exposure.window_ms else 0.0
        received = self.exposure_window(rpc.method, RECEIVED).total(now, without_oldest=True)
        return cap > 0.0 and self.exposure_window(rpc.method, build).total(now) + 1.0 <= free_picks + cap * received
