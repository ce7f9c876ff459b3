"""One node as this balancer sees it: pending picks, latency, failures, ejection and slow start."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from brookreach.interface import LogLine, NodeEntry, NodeState, Outcome, PickEnded, SafetyLimits
from brookreach.policy.actor import Actor, WorkQueue
from brookreach.policy.common import slow_start_factor
from brookreach.policy.cusum import failure_step
from brookreach.policy.routed_rpc import RoutedRpc

if TYPE_CHECKING:
    from brookreach.policy.node_registry import NodeRegistry

NODE_FAILURES: Final = (Outcome.NO_CONNECT, Outcome.ERROR, Outcome.RESET)
HEALTHY: Final = 0
FAILING: Final = 1  # it answers with errors
UNRESPONSIVE: Final = 2  # it does not answer, or not in time
SLOW_START_SHARE: Final = 0.4  # of the load that the rules allow a cold node
BUDGET_WINDOW_SHARE: Final = 0.2  # of the rule's window: so much of a slow-start budget may be saved up
FAILURE_EFFECT: Final = 0.5  # effect size of the failure score: so much above the typical failure rate
OUTCOME_DECAY: Final = 0.95  # of earlier outcomes, with each pick
LATENCY_WEIGHT: Final = 0.1  # of a new duration in the average
MAX_LATENCY_RATIO: Final = 20.0  # of one pick
MAX_EJECTION_MULTIPLE: Final = 16.0  # of the shortest ejection
RECOVERED_SHARE: Final = 0.3  # of the ejection score: below it the ejection of a returning node is halved


class TrackedNode(Actor):
    """One node's state, and its offers to take an RPC.

    Attributes:
        slow_start_phase: Random, 0 to 1: how much of its first budget is spent already, in RPCs.
        pending_since_ms: When each pick that has not ended was sent.
        latency_ratio: Average of a pick's duration over the method's typical one; more than 1 for a slow node.
        failure_score: Log odds that the node fails more often than others; at `ejection_score` it is ejected.
        ejected_until_ms: Until when it gets no picks while others are healthy; then one at a time, while
            `ejection_ms` is above 0.
        ejection_ms: The length of the last ejection: doubled with each, halved while the node recovers.
        ejection_health: Its health at the last ejection.
        slow_start_budget: What it may still take while cold (cost in ms).
        recent_picks: Decayed number of picks, of the last 20 or so.
        recent_failures: Decayed number of failures among them.
    """

    def __init__(
        self,
        work_queue: WorkQueue,
        registry: NodeRegistry,
        entry: NodeEntry,
        safety_limits: SafetyLimits,
        slow_start_phase: float,
        low_traffic: bool,
    ):
        super().__init__(work_queue)
        self.registry = registry
        self.safety_limits = safety_limits
        self.slow_start_phase = slow_start_phase
        self.low_traffic = low_traffic
        self.min_ejection_ms = 4000.0 if low_traffic else 500.0
        # In low-traffic mode one failure is enough where failures are rare; else it takes two or more.
        self.ejection_score = 3.2 if low_traffic else 5.0
        self.pending_since_ms: list[float] = []
        self.reset(entry)

    def reset(self, entry: NodeEntry) -> None:
        """Begins anew with another process or build at the node."""
        self.entry = entry
        self.latency_ratio = 2.0 if entry.started_ms else 1.0  # a new process's build may take longer
        self.ejected_until_ms = 0.0
        self.ejection_ms = 0.0
        self.failure_score = 0.0
        self.ejection_health = HEALTHY
        self.slow_start_budget = 0.0
        self.budget_updated_ms = 0.0
        self.recent_picks = 0.0
        self.recent_failures = 0.0

    def update_entry(self, entry: NodeEntry) -> None:
        """Takes over the node's entry of a changed list."""
        if (entry.started_ms, entry.build) != (self.entry.started_ms, self.entry.build):
            self.reset(entry)
        self.entry = entry

    def request_offer(
        self, now: float, rpc: RoutedRpc, cost_ms: float, typical_ms: float, warm_throughput: float
    ) -> None:
        """Replies with an offer to take the RPC: the node's health and the expected wait; an empty one if it can't.

        Args:
            now: The time (ms).
            rpc: The RPC to place.
            cost_ms: The RPC's cost.
            typical_ms: How long such an RPC typically takes.
            warm_throughput: Cost that warm nodes carry, by ms and by unit of size.
        """
        entry = self.entry
        factor = slow_start_factor(entry, now, self.safety_limits)
        can_take = entry.state == NodeState.READY
        if can_take and factor < 1.0:
            budget_per_ms = SLOW_START_SHARE * self.safety_limits.fall_multiple * factor * warm_throughput * entry.size
            max_budget = BUDGET_WINDOW_SHARE * budget_per_ms * self.safety_limits.fall_ms
            # The first budget is reduced by chance: hundreds of balancers must not start at once.
            added = (
                budget_per_ms * (now - self.budget_updated_ms)
                if self.budget_updated_ms
                else max_budget - self.slow_start_phase * cost_ms * self.latency_ratio
            )
            self.slow_start_budget = min(self.slow_start_budget + added, max_budget)
            self.budget_updated_ms = now
            can_take = self.slow_start_budget > 0.0
        if not can_take:
            self.registry.send("add_offer", now, rpc)
            return
        pending = len(self.pending_since_ms)
        oldest_ms = now - self.pending_since_ms[0] if self.low_traffic and self.pending_since_ms else 0.0
        is_ejected = now < self.ejected_until_ms or (self.ejection_ms > 0.0 and pending > 0)
        is_hanging = oldest_ms > 0.0 and oldest_ms > self.registry.slow_pick_ms(
            now, typical_ms, rpc.method_settings.soft_ms, entry.build
        )
        # In low-traffic mode a cold node is limited by its weight and budget; by the expected wait it would never win.
        wait_ms = typical_ms * (
            pending if self.low_traffic and factor < 1.0 else self.latency_ratio * (1 + pending) / factor
        )
        health = self.ejection_health if is_ejected else UNRESPONSIVE if is_hanging else HEALTHY
        self.registry.send("add_offer", now, rpc, (entry, health, wait_ms))

    def record_pick(self, now: float, cost_ms: float) -> None:
        """Notes a pick that is sent to the node."""
        self.pending_since_ms.append(now)
        self.slow_start_budget -= cost_ms * max(1.0, self.latency_ratio)

    def record_outcome(
        self,
        now: float,
        event: PickEnded,
        picked_entry: NodeEntry,
        sent_ms: float,
        typical_ms: float,
        slow_ms: float,
        typical_failure_rate: float,
    ) -> None:
        """Updates the latency and the failure score with a pick's outcome; ejects the node or lets it return.

        Args:
            now: The time (ms).
            event: The pick's outcome.
            picked_entry: The node's entry when the pick was sent.
            sent_ms: When it was sent.
            typical_ms: How long such an RPC typically takes.
            slow_ms: A longer pick speaks against the node.
            typical_failure_rate: The share of failures at most nodes.
        """
        entry = self.entry
        outcome = event.outcome
        is_slow = event.duration_ms > slow_ms
        self.pending_since_ms.remove(sent_ms)
        if (picked_entry.started_ms, picked_entry.build) != (entry.started_ms, entry.build):
            return  # the outcome is that of an earlier process or build
        is_failure = outcome in NODE_FAILURES or (
            is_slow and (outcome == Outcome.TIMEOUT or (outcome == Outcome.OK and self.low_traffic))
        )
        self.recent_picks = OUTCOME_DECAY * self.recent_picks + 1.0
        self.recent_failures = OUTCOME_DECAY * self.recent_failures + is_failure
        # A failure speaks against this node only as far as failures are rare at most nodes.
        self.failure_score = max(
            0.0, self.failure_score + failure_step(is_failure, typical_failure_rate, FAILURE_EFFECT)
        )
        if outcome == Outcome.OK:
            ratio = min(
                MAX_LATENCY_RATIO, event.duration_ms / typical_ms * slow_start_factor(entry, now, self.safety_limits)
            )
            self.latency_ratio += LATENCY_WEIGHT * (ratio - self.latency_ratio)
            if (
                self.ejection_ms
                and now >= self.ejected_until_ms
                and self.failure_score < RECOVERED_SHARE * self.ejection_score
            ):
                self.ejection_ms = 0.5 * self.ejection_ms if self.ejection_ms > self.min_ejection_ms else 0.0
                if not self.ejection_ms:
                    self.registry.actions.append(LogLine(f"node {entry.node} back"))
        if is_failure and now >= self.ejected_until_ms and self.failure_score >= self.ejection_score:
            self.failure_score = 0.5 * self.ejection_score
            self.ejection_ms = min(
                MAX_EJECTION_MULTIPLE * self.min_ejection_ms, max(self.min_ejection_ms, 2.0 * self.ejection_ms)
            )
            self.ejected_until_ms = now + self.ejection_ms
            self.ejection_health = FAILING if outcome == Outcome.ERROR else UNRESPONSIVE
            self.registry.actions.append(
                LogLine(f"node {entry.node} shunned {self.ejection_ms:.0f} ms, {outcome.name}")
            )
