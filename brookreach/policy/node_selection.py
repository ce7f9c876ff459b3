"""Chooses the node of a pick: weighted random draws, offers of the drawn nodes, then the shortest expected wait."""

import math
from typing import Final

from brookreach.interface import (
    Action,
    BalancerSettings,
    Idempotency,
    NodeEntry,
    Pick,
    SetTimer,
)
from brookreach.policy.actor import WorkQueue
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import EVALUATION_INTERVAL_MS, is_candidate
from brookreach.policy.cusum import MIN_BASELINE_RATE
from brookreach.policy.node_registry import (
    LOCAL_ZONE,
    OTHER_ZONES,
    THROUGHPUT_WINDOW_MS,
    NodeRegistry,
)
from brookreach.policy.retry_rules import dedup_window_left_ms
from brookreach.policy.routed_rpc import OFFER_ENTRY, OFFER_HEALTH, OFFER_WAIT_MS, RoutedRpc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import EVALUATION_TIMER, HEDGE_TIMER, TIMER_KINDS
from brookreach.policy.tracked_node import FAILING, UNRESPONSIVE

INITIAL_DRAWS: Final = 2  # nodes drawn for an RPC at first, from each set of nodes (power of two choices)
WIDE_DRAWS: Final = 12  # nodes drawn when none of the first can take it
CROSS_ZONE_WEIGHT: Final = 8.0  # how strongly the price of crossing zones counts against the expected wait
PICK_MARGIN_MS: Final = 5.0  # a pick ends so long before its RPC's deadline
HEDGE_TYPICAL_MULTIPLE: Final = 3.0  # a hedged pick is sent after so many times the typical duration,
HEDGE_SOFT_SHARE: Final = 0.25  # and after this share of the soft deadline at least
CONNECTION_REST_MS: Final = 30.0  # a pick goes over no connection whose last answer is less old
TYPICAL_NODES_SHARE: Final = 0.75  # of the nodes: those that fail least tell the typical failure rate
AVERAGE_WEIGHT: Final = 0.02  # of a new value in a moving average
MIN_EXPECTED_MS: Final = 1e-6  # an RPC takes at least so long


class NodeSelection(NodeRegistry):
    """Asks nodes for offers and sends picks, by what picks typically take and cost.

    Attributes:
        typical_ms: By method: average duration of answers.
        typical_cost_ms: By method: average cost of RPCs that state one.
        warm_throughput: Cost that warm nodes carry, by ms and by unit of size.
        warm_cost: Cost of picks answered by warm nodes, over the last seconds.
        typical_failure_rate: The share of failures at most nodes.
        is_candidate_suspect: Whether at least half of the candidate nodes are ejected for errors.
    """

    def __init__(
        self,
        work_queue: WorkQueue,
        actions: list[Action],
        settings: BalancerSettings,
        now: float,
        canary_analysis: CanaryAnalysis,
    ):
        super().__init__(work_queue, actions, settings, now, canary_analysis)
        self.typical_ms = [method.soft_ms / 5.0 for method in settings.methods]
        self.typical_cost_ms = dict[int, float]()
        self.warm_throughput = 0.0
        self.warm_cost = SlidingWindowSum(THROUGHPUT_WINDOW_MS, 16)
        self.typical_failure_rate = MIN_BASELINE_RATE
        self.is_candidate_suspect = True

    def expected_ms(self, rpc: RoutedRpc) -> float:
        """Returns how long such an RPC typically takes: by its method, and by its cost where it states one.

        Never 0, whatever clients state: durations are divided by it.
        """
        typical_cost_ms = self.typical_cost_ms.get(rpc.method)
        cost_ratio = rpc.cost_ms / typical_cost_ms if rpc.cost_ms and typical_cost_ms else 1.0
        return max(MIN_EXPECTED_MS, self.typical_ms[rpc.method] * cost_ratio)

    def request_offers(self, now: float, rpc: RoutedRpc, draws: int = INITIAL_DRAWS) -> None:
        """Draws nodes that may take the RPC and asks each of them for an offer."""
        self.refresh_pools(now)
        pools = self.eligible_pools(now, rpc)
        if draws == INITIAL_DRAWS and pools:
            # One pool is drawn, by its capacity and by how much slower its picks are.
            pools = self.rng.choices(
                pools,
                weights=[
                    nodes.cumulative_weights[-1]
                    * math.exp(-self.log_slowdowns.get(self.pool_of(nodes.entries[0].build), 0.0))
                    for nodes, _ in pools
                ],
            )
        # Nodes of this zone are drawn twice, with all and by themselves, unless picks there take so much longer that
        # crossing zones is worth its price.
        local_slowdown = self.log_slowdowns.get(LOCAL_ZONE, 0.0) - self.log_slowdowns.get(OTHER_ZONES, 0.0)
        prefers_local = local_slowdown <= CROSS_ZONE_WEIGHT * self.prices.cross_zone
        drawn = dict.fromkeys(
            entry.node
            for pool in pools
            for nodes in (pool if prefers_local else 2 * pool[:1])
            for entry in nodes.draw(self.rng, draws)
        )
        rpc.offers = []
        rpc.offers_awaited = len(drawn)
        rpc.draws = draws
        typical_ms = self.expected_ms(rpc)
        cost_ms = rpc.cost_ms or self.typical_ms[rpc.method]
        for node in drawn:
            self.nodes[node].send("request_offer", now, rpc, cost_ms, typical_ms, self.warm_throughput)
        if not drawn:
            self.send("choose_node", now, rpc)

    def add_offer(self, now: float, rpc: RoutedRpc, *offer: tuple[NodeEntry, int, float]) -> None:
        """Takes a node's offer, or none from a node that can't take the RPC; the last one completes the round."""
        rpc.offers_awaited -= 1
        rpc.offers.extend(offer)
        if not rpc.offers_awaited:
            self.send("choose_node", now, rpc)

    def choose_node(self, now: float, rpc: RoutedRpc) -> None:
        """Sends the pick to the node with the shortest expected wait; unhealthy ones only where all drawn are.

        Where half of the candidate nodes fail it is the build: they keep getting picks, so that it is found out.
        """
        healthy = [
            offer
            for offer in rpc.offers
            if offer[OFFER_HEALTH]
            < (
                UNRESPONSIVE
                if self.is_candidate_suspect
                and is_candidate(self.status, offer[OFFER_ENTRY].build)
                and not self.low_traffic
                else FAILING
            )
        ]
        if not healthy and rpc.draws == INITIAL_DRAWS and self.pools:
            self.send("request_offers", now, rpc, WIDE_DRAWS)
        elif rpc.offers:
            other_zone_factor = 1.0 + CROSS_ZONE_WEIGHT * self.prices.cross_zone
            local_zone = self.position.zone
            best = min(
                (healthy or rpc.offers)[: 2 * INITIAL_DRAWS],
                key=lambda offer: (
                    offer[OFFER_WAIT_MS] * (1.0 if offer[OFFER_ENTRY].zone == local_zone else other_zone_factor)
                ),
            )
            self.start_pick(now, rpc, best[OFFER_ENTRY])
        elif not rpc.has_pending_pick():
            self.hold_rpc(now, rpc)

    def start_pick(self, now: float, rpc: RoutedRpc, entry: NodeEntry) -> None:
        """Sends a pick of the RPC to a node, and sets the timer of a hedged pick behind the first one."""
        write_ms = dedup_window_left_ms(rpc, now)
        rpc.picks.append([entry, now, None])
        if is_candidate(self.status, entry.build):
            window = self.exposure_window(rpc.method, entry.build)
            window.add(now)
            # Written later, it would fall into a window that later picks fill.
            write_ms = min(write_ms, window.bucket_ms)
        self.nodes[entry.node].send("record_pick", now, rpc.cost_ms or self.typical_ms[rpc.method])
        self.actions.append(
            Pick(rpc.rpc_id, entry.node, rpc.deadline_ms - now - PICK_MARGIN_MS, write_ms, CONNECTION_REST_MS)
        )
        method = rpc.method_settings
        if len(rpc.picks) == 1 and self.allowed_actions.second_copies and method.repeat == Idempotency.IDEMPOTENT:
            after_ms = max(HEDGE_TYPICAL_MULTIPLE * self.expected_ms(rpc), HEDGE_SOFT_SHARE * method.soft_ms)
            self.actions.append(SetTimer(after_ms, TIMER_KINDS * rpc.rpc_id + HEDGE_TIMER))

    def hold_rpc(self, now: float, rpc: RoutedRpc) -> None:
        """Keeps an RPC that no node can take now."""
        raise NotImplementedError

    def evaluate(self, now: float, *_: int) -> None:
        """Evaluates the candidate build, and what is typical of nodes; periodic, by its own timer."""
        self.canary_analysis.send("evaluate", now)
        self.actions.append(SetTimer(EVALUATION_INTERVAL_MS, EVALUATION_TIMER))
        by_failures = sorted(self.nodes.values(), key=lambda node: node.recent_failures / (node.recent_picks + 1.0))
        # The few nodes that fail most do not tell what is typical.
        most = by_failures[: math.ceil(TYPICAL_NODES_SHARE * len(by_failures))]
        candidates = [node for node in self.nodes.values() if is_candidate(self.status, node.entry.build)]
        ejected = sum([node.ejection_ms > 0.0 and node.ejection_health == FAILING for node in candidates])
        self.is_candidate_suspect = 2 * ejected >= len(candidates)
        failures = sum([node.recent_failures for node in most])
        self.typical_failure_rate = max(MIN_BASELINE_RATE, failures / (sum([node.recent_picks for node in most]) + 1.0))
        if self.warm_size > 0.0:
            throughput = self.warm_cost.total(now, without_oldest=True) / THROUGHPUT_WINDOW_MS / self.warm_size
            self.warm_throughput += (
                AVERAGE_WEIGHT * (throughput - self.warm_throughput) if self.warm_throughput else throughput
            )
