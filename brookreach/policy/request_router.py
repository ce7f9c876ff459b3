"""`RequestRouter` places RPCs: an actor that `brookreach.policy.balancer` drives.

`NodeRegistry` knows the nodes.
"""

import math

from brookreach.interface import (
    Abort,
    Action,
    BalancerSettings,
    DeadlineShortened,
    DedupScope,
    Idempotency,
    NodeEntry,
    Outcome,
    Pick,
    PickEnded,
    PushBack,
    RpcCancelled,
    RpcReceived,
    SetTimer,
)
from brookreach.policy.actor import WorkQueue
from brookreach.policy.canary_analysis import CanaryAnalysis
from brookreach.policy.common import EVALUATION_INTERVAL_MS, is_candidate, slow_start_factor
from brookreach.policy.cusum import MIN_BASELINE_RATE
from brookreach.policy.node_registry import THROUGHPUT_WINDOW_MS, NodeRegistry
from brookreach.policy.retry_rules import dedup_window_left_ms, is_pick_allowed, possibly_executed_picks
from brookreach.policy.routed_rpc import RoutedRpc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import DEADLINE_TIMER, EVALUATION_TIMER, HEDGE_TIMER, RETRY_TIMER
from brookreach.policy.tracked_node import FAILING, UNRESPONSIVE

HARMLESS = {
    *((Idempotency.IDEMPOTENT, group) for group in DedupScope),
    (Idempotency.TOKENED, DedupScope.ALL),
}  # run twice
HOLD_MS, FEW, MORE = 50.0, 2, 12  # nodes drawn for an RPC at first, and when none of the few can take it
REST_MS, PACE_MS, LEAST, PRESSED = 30.0, 2000.0, 6, 0.6  # answers a second; RPCs, and of a soft deadline
NEAR, FAR = -1, -2  # as keys beside builds: the nodes of this zone, drawn twice while quick, and the others


class RequestRouter(NodeRegistry):
    """Calls for bids, picks by two random choices, sends again, pushes back, aborts."""

    def __init__(self, due: WorkQueue, out: list[Action], start: BalancerSettings, now: float, judge: CanaryAnalysis):
        super().__init__(due, out, start, now, judge)
        self.methods, self.rpcs, self.waiting = start.methods, dict[int, RoutedRpc](), dict[int, float]()
        self.usual_ms, self.usual_cost = [m.soft_ms / 5.0 for m in start.methods], dict[int, float]()
        self.rate, self.carried = (
            0.0,
            SlidingWindowSum(THROUGHPUT_WINDOW_MS, 16),
        )  # cost a ms and unit of size, of warm nodes
        self.spare, self.usual, self.suspect = 1.0, MIN_BASELINE_RATE, True  # spare: second copies
        self.flow, self.good = SlidingWindowSum(1000.0, 10), SlidingWindowSum(PACE_MS, 8)  # taken; answered in time

    def taken_in(self, now: float, event: RpcReceived) -> None:
        rpc = self.rpcs[event.rpc_id] = RoutedRpc(now, event, self.methods[event.method])
        taken = self.ring(rpc.method, 0)
        taken.add(now, event.unread_ms < 0.5 * taken.width)  # read late, its window may be over
        self.flow.add(now)
        self.spare = min(3.0, self.spare + 0.1)
        if rpc.cost:
            usual = self.usual_cost.get(rpc.method, rpc.cost)
            self.usual_cost[rpc.method] = usual + 0.02 * (rpc.cost - usual)
        self.acts.append(SetTimer(max(0.0, rpc.end - now - 6.0), 4 * rpc.id + DEADLINE_TIMER))
        jam = self.crowded(now, rpc) if self.few else self.chance.random() < min(0.9, 3.0 * (self.late(now) - 0.35))
        if jam or len(self.rpcs) > self.permits.max_open or rpc.end <= now + 6.0:
            return self.give_up(now, rpc)  # at once: what can't be answered in time only makes others late
        self.waiting[rpc.id] = rpc.soft
        self.send("ask", now, rpc)

    def shortened(self, now: float, event: DeadlineShortened) -> None:
        if (rpc := self.rpcs.get(event.rpc_id)) and event.deadline_ms < rpc.end:
            rpc.end = event.deadline_ms
            self.acts.append(SetTimer(max(0.0, rpc.end - now - 6.0), 4 * rpc.id + DEADLINE_TIMER))

    def crowded(self, now: float, rpc: RoutedRpc) -> bool:
        """Whether more wait, those past it left out, than are answered in PRESSED of the soft deadline."""
        while self.waiting and now >= self.waiting[old := next(iter(self.waiting))]:
            del self.waiting[old]
        can = PRESSED * rpc.facts.soft_ms * self.good.total(now) / PACE_MS
        return now > self.began + 2.0 * PACE_MS and len(self.waiting) >= max(LEAST, can)

    def typical(self, rpc: RoutedRpc) -> float:
        usual = self.usual_cost.get(rpc.method)
        return self.usual_ms[rpc.method] * (rpc.cost / usual if rpc.cost and usual else 1.0)

    def ask(self, now: float, rpc: RoutedRpc, most: int = FEW) -> None:
        self.survey(now)
        sides = self.sides(now, rpc)
        if most == FEW and sides:
            sides = self.chance.choices(
                sides,
                weights=[
                    side.sums[-1] * math.exp(-self.drags.get(self.side(side.entries[0].build), 0.0))
                    for side, _ in sides
                ],
            )
        near = self.drags.get(NEAR, 0.0) - self.drags.get(FAR, 0.0) <= 8.0 * self.prices.cross_zone
        few = dict.fromkeys(
            entry.node
            for both in sides
            for side in (both if near else 2 * both[:1])
            for entry in side.draw(self.chance, most)
        )
        rpc.bids, rpc.asked, rpc.drawn = [], len(few), most
        typical, cost = self.typical(rpc), rpc.cost or self.usual_ms[rpc.method]
        for number in few:
            self.nodes[number].send("call", now, rpc, cost, typical, self.rate)
        if not few:
            self.send("chosen", now, rpc)

    def bid(self, now: float, rpc: RoutedRpc, *offer: tuple[NodeEntry, int, float]) -> None:
        rpc.asked -= 1
        rpc.bids.extend(offer)
        if not rpc.asked:
            self.send("chosen", now, rpc)

    def chosen(self, now: float, rpc: RoutedRpc) -> None:
        """The shortest wait; sick ones where all are. Where half of the trial nodes err they keep picks."""
        well = [
            b
            for b in rpc.bids
            if b[1]
            < (UNRESPONSIVE if self.suspect and is_candidate(self.news, b[0].build) and not self.few else FAILING)
        ]
        if not well and rpc.drawn == FEW and self.field:
            self.send("ask", now, rpc, MORE)
        elif rpc.bids:
            far, some = 1.0 + 8.0 * self.prices.cross_zone, (well or rpc.bids)[: 2 * FEW]
            self.start_pick(now, rpc, min(some, key=lambda b: b[2] * (1.0 if b[0].zone == self.place.zone else far))[0])
        elif not rpc.pending():
            self.hold(now, rpc)

    def start_pick(self, now: float, rpc: RoutedRpc, entry: NodeEntry) -> None:
        write_ms = dedup_window_left_ms(rpc, now)
        rpc.picks.append([entry, now, None])
        if is_candidate(self.news, entry.build):  # written late, it falls into a window that later ones fill
            ring = self.ring(rpc.method, entry.build)
            ring.add(now)
            write_ms = min(write_ms, ring.width)
        self.nodes[entry.node].send("took", now, rpc.cost or self.usual_ms[rpc.method])
        self.acts.append(Pick(rpc.id, entry.node, rpc.end - now - 5.0, write_ms, REST_MS))
        if len(rpc.picks) == 1 and self.permits.second_copies and rpc.facts.repeat == Idempotency.IDEMPOTENT:
            after = max(3.0 * self.typical(rpc), 0.25 * rpc.facts.soft_ms)
            self.acts.append(SetTimer(after, 4 * rpc.id + HEDGE_TIMER))

    def hold(self, now: float, rpc: RoutedRpc) -> None:
        if now + 0.4 * rpc.facts.soft_ms > rpc.soft or len(rpc.picks) >= self.permits.max_picks:
            return self.give_up(now, rpc)
        self.acts.append(SetTimer(HOLD_MS, 4 * rpc.id + RETRY_TIMER))

    def give_up(self, now: float, rpc: RoutedRpc) -> None:
        its, later = rpc.facts, min(self.permits.come_back_ms, 500.0) * self.permits.come_back
        again = not possibly_executed_picks(rpc) or (
            later < dedup_window_left_ms(rpc, now) and (its.repeat, its.group) in HARMLESS
        )
        self.acts.append(PushBack(rpc.id, later) if again else Abort(rpc.id))
        self.finish(rpc)

    def finish(self, rpc: RoutedRpc) -> None:
        rpc.done = True
        self.waiting.pop(rpc.id, None)
        if not rpc.pending():
            self.rpcs.pop(rpc.id, None)

    def rang(self, now: float, rpc_id: int, what: int) -> None:
        rpc = self.rpcs.get(rpc_id)
        if rpc is None or rpc.done:
            return
        if what == DEADLINE_TIMER:
            self.give_up(now, rpc)
        elif what == RETRY_TIMER and not rpc.pending():
            self.send("ask", now, rpc)
        elif rpc.pending() and len(rpc.picks) == 1 and self.spare >= 1.0:
            self.spare -= 1.0
            self.send("ask", now, rpc)

    def gone(self, now: float, event: RpcCancelled) -> None:
        if event.rpc_id in self.rpcs:
            self.finish(self.rpcs[event.rpc_id])

    def ended(self, now: float, event: PickEnded) -> None:
        rpc = self.rpcs.get(event.rpc_id)
        if rpc is None or event.pick_index >= len(rpc.picks):
            return
        pick, typical = rpc.picks[event.pick_index], self.typical(rpc)
        entry, pick[2] = pick[0], event.outcome
        long = self.long(now, typical, rpc.facts.soft_ms, entry.build)
        self.nodes[entry.node].send("ended", now, event, entry, pick[1], typical, long, self.usual)
        if event.outcome == Outcome.OK:
            if self.few and event.is_final and now < rpc.soft:
                self.good.add(now)
            work = min(event.duration_ms, 0.5 * rpc.facts.soft_ms)  # queues are no work
            self.usual_ms[rpc.method] += 0.02 * (work - self.usual_ms[rpc.method])
            if slow_start_factor(entry, now - THROUGHPUT_WINDOW_MS, self.guards) >= 1.0:
                self.carried.add(now, rpc.cost or self.usual_ms[rpc.method])
            if self.exposure.one_way and rpc.key and is_candidate(self.news, entry.build):
                self.one_way[rpc.key] = max(entry.build, self.one_way.get(rpc.key, 0))
        if not self.few and event.outcome in (Outcome.OK, Outcome.FULL, Outcome.TIMEOUT):
            self.ends.add(now)
            self.lates.add(now, event.outcome != Outcome.OK or event.duration_ms > 0.6 * rpc.facts.soft_ms)
        if self.few and event.outcome in (Outcome.OK, Outcome.TIMEOUT):
            drag = 0.07 * math.log(max(1.0, event.duration_ms / typical))
            for key in (self.side(entry.build), NEAR if entry.zone == self.place.zone else FAR):
                self.drags[key] = 0.93 * self.drags.get(key, 0.0) + drag
        self.judge.send(
            "record_outcome",
            now,
            entry,
            rpc.method,
            pick[1],
            event.outcome,
            event.duration_ms,
            rpc.cost or 1.0,
            self.flow.total(now),
        )
        if event.is_final or rpc.done:
            self.finish(rpc)
        elif not rpc.pending():
            again = (
                now < rpc.end - 10.0
                and len(rpc.picks) < self.permits.max_picks
                and is_pick_allowed(rpc, entry, now, self.permits.second_copies)
            )
            self.send("ask" if again else "give_up", now, rpc)

    def beat(self, now: float, *_: int) -> None:
        self.judge.send("evaluate", now)
        self.acts.append(SetTimer(EVALUATION_INTERVAL_MS, EVALUATION_TIMER))
        most = sorted(self.nodes.values(), key=lambda node: node.failed / (node.tried + 1.0))
        most = most[: math.ceil(0.75 * len(most))]  # the few that are sick don't say what is usual
        trial = [n for n in self.nodes.values() if is_candidate(self.news, n.entry.build)]
        self.suspect = 2 * sum([n.shy_ms > 0.0 and n.ails == FAILING for n in trial]) >= len(trial)
        self.usual = max(MIN_BASELINE_RATE, sum([n.failed for n in most]) / (sum([n.tried for n in most]) + 1.0))
        if self.warm_size > 0.0:
            rate = self.carried.total(now, inner=True) / THROUGHPUT_WINDOW_MS / self.warm_size
            self.rate += 0.02 * (rate - self.rate) if self.rate else rate
