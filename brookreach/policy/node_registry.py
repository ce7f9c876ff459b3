"""The nodes: each as this marshal sees it, and what their health and the rules leave of them to an RPC."""

from __future__ import annotations

import math
import random
from dataclasses import replace

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
from brookreach.policy.routed_rpc import RoutedRpc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.tracked_node import TrackedNode
from brookreach.policy.weighted_nodes import WeightedNodes

LONG, THROUGHPUT_WINDOW_MS = 3.0, 4000.0  # LONG: of what picks take; the other of the cold rule


class NodeRegistry(Actor):
    """The nodes as listed; the ready ones by side: each build on trial is one, and all that are not."""

    def __init__(self, due: WorkQueue, out: list[Action], start: BalancerSettings, now: float, judge: CanaryAnalysis):
        super().__init__(due)
        self.acts, self.place, self.began, self.judge = out, start.place, now, judge
        self.permits, self.prices, self.guards = start.permits, start.prices, start.guards
        self.chance, self.exposure = random.Random(start.seed), start.exposure
        self.rings = dict[tuple[int, int], SlidingWindowSum]()  # by method and build; build 0: RPCs taken
        self.nodes, self.entries = dict[int, TrackedNode](), dict[int, NodeEntry]()
        self.news: RolloutStatus | None = None
        self.field = dict[
            int, tuple[WeightedNodes, WeightedNodes]
        ]()  # by side: the ready nodes, and the near ones again
        self.survey_at, self.warm_size, self.few = now, 0.0, is_low_traffic(start)
        self.drags, self.one_way = dict[int, float](), dict[int, int]()
        self.ends, self.lates = (
            SlidingWindowSum(4000.0, 8),
            SlidingWindowSum(4000.0, 8),
        )  # picks that ended; those late, or nearly

    def listing(self, now: float, event: NodeList) -> None:
        changed = {entry.node: entry for entry in event.entries}
        if event.kind in (ListKind.FULL, ListKind.CACHED):  # what a complete list leaves out has been removed
            changed = {k: replace(old, state=NodeState.GONE) for k, old in self.entries.items()} | changed
        self.entries |= changed
        for one in changed.values():
            if one.node not in self.nodes:
                self.nodes[one.node] = TrackedNode(self.due, self, one, self.guards, self.chance.random(), self.few)
            self.nodes[one.node].send("listed", one)
        for key in [k for k, e in self.entries.items() if e.state == NodeState.GONE]:
            if not self.nodes[key].sent:  # should it come back, it is a new node
                del self.entries[key], self.nodes[key]
        self.survey_at = now
        self.judge.send("update_nodes", [e for e in self.entries.values() if e.state == NodeState.READY])

    def told(self, now: float, news: RolloutStatus) -> None:
        low = math.inf if news.phase in ROLLBACK_PHASES else min([e.build for e in self.entries.values()] or [0])
        self.one_way = {k: build for k, build in self.one_way.items() if build > low}
        self.rings = {key: ring for key, ring in self.rings.items() if not key[1] or key[1] >= news.build}
        self.news, self.survey_at = news, now
        self.drags = {build: drag for build, drag in self.drags.items() if build in (-2, -1, 0, news.build)}

    def late(self, now: float) -> float:
        return self.lates.total(now) / (self.ends.total(now) + 1.0)

    def side(self, build: int) -> int:
        return build if is_candidate(self.news, build) else 0

    def long(self, now: float, typical: float, soft_ms: float, build: int) -> float:
        """A wait that tells of one node: far over what picks take beside it now. In a jam all wait."""
        if not self.few:
            return max(0.5 * soft_ms, 4.0 * typical) if self.late(now) < 0.35 else math.inf
        return max(0.5 * soft_ms, LONG * typical * math.exp(self.drags.get(self.side(build), 0.0)))

    def survey(self, now: float) -> None:
        """Sort the ready nodes by side and size; anew after changes and, while any are cold, each beat."""
        if now < self.survey_at or self.news is None:
            return
        able: dict[int, list[tuple[NodeEntry, float]]] = {}
        ready = [entry for entry in self.entries.values() if entry.state == NodeState.READY]
        well = [one for one in ready if not self.few or now >= self.nodes[one.node].shy_until] or ready
        warm = [one for one in well if slow_start_factor(one, now - THROUGHPUT_WINDOW_MS, self.guards) >= 1.0]
        self.survey_at = math.inf if len(warm) == len(ready) else now + EVALUATION_INTERVAL_MS
        self.warm_size = sum([one.size for one in warm])
        for entry in well:
            able.setdefault(self.side(entry.build), []).append(
                (entry, slow_start_factor(entry, now, self.guards) * entry.size)
            )
        here = self.place.zone if self.prices.cross_zone else None
        self.field = {
            build: (WeightedNodes(some), WeightedNodes([one for one in some if one[0].zone == here]))
            for build, some in sorted(able.items())
        }

    def sides(self, now: float, rpc: RoutedRpc) -> list[tuple[WeightedNodes, WeightedNodes]]:
        """What the rules leave to this RPC; further picks go to the earlier build while they can."""
        floor = self.one_way.get(rpc.key, 0) if rpc.key else 0
        sides = [both for build, both in self.field.items() if build == 0 or self.exposed(now, rpc, build)]
        if not rpc.picks and not floor:
            return sides
        copies, tried = self.permits.second_copies, {pick[0].node for pick in rpc.picks}
        fit = [
            [
                e
                for e in side.entries
                if e.build >= floor and e.node not in tried and is_pick_allowed(rpc, e, now, copies)
            ]
            for side, _ in sides
        ]
        narrow = [
            WeightedNodes([(e, e.size * slow_start_factor(e, now, self.guards)) for e in side]) for side in fit if side
        ]
        return [(side, WeightedNodes([])) for side in (narrow[:1] if rpc.picks else narrow)]

    def ring(self, method: int, build: int) -> SlidingWindowSum:
        key = method if self.exposure.by_method else 0, build
        return self.rings.setdefault(key, SlidingWindowSum(self.exposure.window_ms))

    def exposed(self, now: float, rpc: RoutedRpc, build: int) -> bool:
        news = self.news
        assert news is not None
        stage, cap = (news.stage, news.cap) if build == news.build else (0, self.exposure.caps[0])
        if stage < self.exposure.closed_stages and rpc.facts.repeat != Idempotency.IDEMPOTENT:
            return False
        free = self.exposure.free if now - self.began > self.exposure.window_ms else 0.0  # spent before
        taken = self.ring(rpc.method, 0).total(now, inner=True)
        return cap > 0.0 and self.ring(rpc.method, build).total(now) + 1.0 <= free + cap * taken
