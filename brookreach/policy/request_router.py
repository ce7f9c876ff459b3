"""Routes each RPC from its arrival to its final answer: retries, hedged picks, load shedding and deadlines.

`RequestRouter` is an actor that `brookreach.policy.balancer` drives.
"""

import math
from typing import Final

from brookreach.interface import (
    Abort,
    Action,
    BalancerSettings,
    DeadlineShortened,
    DedupScope,
    Idempotency,
    Outcome,
    PickEnded,
    PushBack,
    RpcCancelled,
    RpcReceived,
    SetTimer,
)
from brookreach.policy.actor import WorkQueue
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import is_candidate, slow_start_factor
from brookreach.policy.executed_ids import ExecutedIds
from brookreach.policy.node_registry import (
    LOCAL_ZONE,
    OTHER_ZONES,
    OVERLOAD_LATE_SHARE,
    RECEIVED,
    THROUGHPUT_WINDOW_MS,
)
from brookreach.policy.node_selection import AVERAGE_WEIGHT, NodeSelection
from brookreach.policy.retry_rules import dedup_window_left_ms, is_pick_allowed, possibly_executed_picks
from brookreach.policy.routed_rpc import PICK_ENTRY, PICK_OUTCOME, PICK_SENT_MS, RoutedRpc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import (
    DEADLINE_TIMER,
    RETRY_TIMER,
    TIMER_KINDS,
)

REPEATABLE: Final = {
    *((Idempotency.IDEMPOTENT, scope) for scope in DedupScope),
    (Idempotency.TOKENED, DedupScope.ALL),
}
"""(idempotency, dedup scope) of methods whose RPCs a client may send again although they may have run."""
DEADLINE_MARGIN_MS: Final = 6.0  # an RPC is given up so long before its deadline
MIN_RETRY_MS: Final = 10.0  # before the deadline: later, no further pick is sent
RETRY_DELAY_MS: Final = 50.0  # an RPC that no node can take is tried again after it
HOLD_MARGIN_SHARE: Final = 0.4  # of the soft deadline: an RPC with less time left is not held any longer
MAX_PUSH_BACK_MS: Final = 500.0
SHED_SLOPE: Final = 3.0  # probability of load shedding, by the share of late picks above `OVERLOAD_LATE_SHARE`
MAX_SHED_PROBABILITY: Final = 0.9
ANSWER_RATE_WINDOW_MS: Final = 2000.0
MIN_QUEUE_LIMIT: Final = 6  # RPCs
QUEUE_LIMIT_SHARE: Final = 0.6  # of a soft deadline: as many RPCs may wait as are answered in it
NEARLY_LATE_SHARE: Final = 0.6  # of the soft deadline: longer durations count as late
MAX_WORK_SHARE: Final = 0.5  # of the soft deadline: what is longer is time in queues
HEDGE_BUDGET_PER_RPC: Final = 0.1
MAX_HEDGE_BUDGET: Final = 3.0
SLOWDOWN_WEIGHT: Final = 0.07  # of a new pick in the average of `log_slowdowns`
SLOWDOWN_DECAY: Final = 0.93


class RequestRouter(NodeSelection):
    """Decides about each RPC: pick, further pick, push back or abort.

    Attributes:
        rpcs: RPCs without a final answer, and those with a pending pick.
        unanswered: The soft deadline (ms) of each RPC without a final answer, in the order of arrival.
        executed_ids: Of RPCs that may have been executed and must not be executed again.
        hedge_budget: How many hedged picks may be sent now; it grows with each RPC.
        received: RPCs of the last second.
        timely_answers: In low-traffic mode, answers before their soft deadline.
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
        self.methods = settings.methods
        self.rpcs = dict[int, RoutedRpc]()
        self.unanswered = dict[int, float]()
        self.executed_ids = ExecutedIds()
        self.hedge_budget = 1.0
        self.received = SlidingWindowSum(1000.0, 10)
        self.timely_answers = SlidingWindowSum(ANSWER_RATE_WINDOW_MS, 8)

    def receive_rpc(self, now: float, event: RpcReceived) -> None:
        """Takes an RPC in and looks for a node, or pushes it back at once where it can't be answered in time."""
        rpc = RoutedRpc(now, event, self.methods[event.method])
        self.rpcs[event.rpc_id] = rpc
        window = self.exposure_window(rpc.method, RECEIVED)
        # An RPC that was read late may belong to a window that is over: it does not count.
        window.add(now, event.unread_ms < 0.5 * window.bucket_ms)
        self.received.add(now)
        self.hedge_budget = min(MAX_HEDGE_BUDGET, self.hedge_budget + HEDGE_BUDGET_PER_RPC)
        if rpc.cost_ms:
            average = self.typical_cost_ms.get(rpc.method, rpc.cost_ms)
            self.typical_cost_ms[rpc.method] = average + AVERAGE_WEIGHT * (rpc.cost_ms - average)
        self.executed_ids.drop_expired(now)
        if self.executed_ids.forbids(now, rpc):
            self.actions.append(Abort(rpc.rpc_id))  # a push back would say that nothing ran
            del self.rpcs[rpc.rpc_id]
            return
        left_ms = max(0.0, rpc.deadline_ms - now - DEADLINE_MARGIN_MS)
        self.actions.append(SetTimer(left_ms, TIMER_KINDS * rpc.rpc_id + DEADLINE_TIMER))
        is_overload = (
            self.is_queue_full(now, rpc)
            if self.low_traffic
            else self.rng.random()
            < min(MAX_SHED_PROBABILITY, SHED_SLOPE * (self.late_share(now) - OVERLOAD_LATE_SHARE))
        )
        if is_overload or len(self.rpcs) > self.allowed_actions.max_open or rpc.deadline_ms <= now + DEADLINE_MARGIN_MS:
            # At once: an RPC that can't be answered in time only delays others.
            self.give_up(now, rpc)
            return
        self.unanswered[rpc.rpc_id] = rpc.soft_deadline_ms
        self.send("request_offers", now, rpc)

    def shorten_deadline(self, now: float, event: DeadlineShortened) -> None:
        """Handles a deadline that has become earlier."""
        rpc = self.rpcs.get(event.rpc_id)
        if rpc and event.deadline_ms < rpc.deadline_ms:
            rpc.deadline_ms = event.deadline_ms
            left_ms = max(0.0, rpc.deadline_ms - now - DEADLINE_MARGIN_MS)
            self.actions.append(SetTimer(left_ms, TIMER_KINDS * rpc.rpc_id + DEADLINE_TIMER))

    def is_queue_full(self, now: float, rpc: RoutedRpc) -> bool:
        """Whether as many RPCs wait as are answered in a share of the soft deadline; those past theirs do not count."""
        while self.unanswered and now >= self.unanswered[oldest := next(iter(self.unanswered))]:
            del self.unanswered[oldest]
        answerable = (
            QUEUE_LIMIT_SHARE * rpc.method_settings.soft_ms * self.timely_answers.total(now) / ANSWER_RATE_WINDOW_MS
        )
        return now > self.started_ms + 2.0 * ANSWER_RATE_WINDOW_MS and len(self.unanswered) >= max(
            MIN_QUEUE_LIMIT, answerable
        )

    def hold_rpc(self, now: float, rpc: RoutedRpc) -> None:
        """Tries an RPC that no node can take again later, or gives it up where an answer would come too late."""
        if (
            now + HOLD_MARGIN_SHARE * rpc.method_settings.soft_ms > rpc.soft_deadline_ms
            or len(rpc.picks) >= self.allowed_actions.max_picks
        ):
            self.give_up(now, rpc)
            return
        self.actions.append(SetTimer(RETRY_DELAY_MS, TIMER_KINDS * rpc.rpc_id + RETRY_TIMER))

    def give_up(self, now: float, rpc: RoutedRpc) -> None:
        """Answers an RPC without a node's answer: a push back where the client may send it again, else an abort."""
        method = rpc.method_settings
        retry_after_ms = min(self.allowed_actions.come_back_ms, MAX_PUSH_BACK_MS) * self.allowed_actions.come_back
        is_repeatable = not possibly_executed_picks(rpc) or (
            retry_after_ms < dedup_window_left_ms(rpc, now) and (method.repeat, method.group) in REPEATABLE
        )
        self.actions.append(PushBack(rpc.rpc_id, retry_after_ms) if is_repeatable else Abort(rpc.rpc_id))
        self.finish(now, rpc)

    def finish(self, now: float, rpc: RoutedRpc, is_departed: bool = False) -> None:
        """Marks an RPC as done, and forgets it once no pick is pending; its id, once it can't come again."""
        rpc.is_done = True
        self.executed_ids.record_end(now, rpc, is_departed)
        self.unanswered.pop(rpc.rpc_id, None)
        if not rpc.has_pending_pick():
            self.rpcs.pop(rpc.rpc_id, None)

    def is_open(self, rpc_id: int) -> bool:
        """Returns whether an RPC has no final answer yet."""
        return rpc_id in self.rpcs and not self.rpcs[rpc_id].is_done

    def handle_timer(self, now: float, rpc_id: int, kind: int) -> None:
        """Handles a timer of an RPC."""
        rpc = self.rpcs.get(rpc_id)
        if rpc is None or rpc.is_done:
            return
        if kind == DEADLINE_TIMER:
            self.give_up(now, rpc)
        elif kind == RETRY_TIMER and not rpc.has_pending_pick():
            self.send("request_offers", now, rpc)
        elif rpc.has_pending_pick() and len(rpc.picks) == 1 and self.hedge_budget >= 1.0:
            self.hedge_budget -= 1.0
            self.send("request_offers", now, rpc)

    def cancel_rpc(self, now: float, event: RpcCancelled) -> None:
        """Handles a client that has left."""
        if event.rpc_id in self.rpcs:
            self.finish(now, self.rpcs[event.rpc_id], is_departed=True)

    def record_outcome(self, now: float, event: PickEnded) -> None:
        """Learns from a pick's outcome, and ends its RPC, tries another node or gives up."""
        rpc = self.rpcs.get(event.rpc_id)
        if rpc is None or event.pick_index >= len(rpc.picks):
            return
        pick = rpc.picks[event.pick_index]
        entry = pick[PICK_ENTRY]
        outcome = event.outcome
        pick[PICK_OUTCOME] = outcome
        soft_ms = rpc.method_settings.soft_ms
        typical_ms = self.expected_ms(rpc)
        slow_ms = self.slow_pick_ms(now, typical_ms, soft_ms, entry.build)
        self.nodes[entry.node].send(
            "record_outcome", now, event, entry, pick[PICK_SENT_MS], typical_ms, slow_ms, self.typical_failure_rate
        )
        if outcome == Outcome.OK:
            if self.low_traffic and event.is_final and now < rpc.soft_deadline_ms:
                self.timely_answers.add(now)
            # Longer answers have waited in queues, which is no cost of the method.
            work_ms = min(event.duration_ms, MAX_WORK_SHARE * soft_ms)
            self.typical_ms[rpc.method] += AVERAGE_WEIGHT * (work_ms - self.typical_ms[rpc.method])
            if slow_start_factor(entry, now - THROUGHPUT_WINDOW_MS, self.safety_limits) >= 1.0:
                self.warm_cost.add(now, rpc.cost_ms or self.typical_ms[rpc.method])
            if self.exposure.one_way and rpc.key and is_candidate(self.status, entry.build):
                self.min_builds[rpc.key] = max(entry.build, self.min_builds.get(rpc.key, 0))
        if not self.low_traffic and outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            self.ended_picks.add(now)
            self.late_picks.add(now, outcome != Outcome.OK or event.duration_ms > NEARLY_LATE_SHARE * soft_ms)
        if self.low_traffic and outcome in (Outcome.OK, Outcome.TIMEOUT):
            slowdown = SLOWDOWN_WEIGHT * math.log(max(1.0, event.duration_ms / typical_ms))
            zone = LOCAL_ZONE if entry.zone == self.position.zone else OTHER_ZONES
            for key in (self.pool_of(entry.build), zone):
                self.log_slowdowns[key] = SLOWDOWN_DECAY * self.log_slowdowns.get(key, 0.0) + slowdown
        self.canary_analysis.send(
            "record_outcome",
            now,
            entry,
            rpc.method,
            pick[PICK_SENT_MS],
            outcome,
            event.duration_ms,
            rpc.cost_ms or 1.0,
            self.received.total(now),
        )
        if event.is_final or rpc.is_done:
            self.finish(now, rpc)
        elif not rpc.has_pending_pick():
            can_retry = (
                now < rpc.deadline_ms - MIN_RETRY_MS
                and len(rpc.picks) < self.allowed_actions.max_picks
                and is_pick_allowed(rpc, entry, now, self.allowed_actions.second_copies)
            )
            self.send("request_offers" if can_retry else "give_up", now, rpc)
