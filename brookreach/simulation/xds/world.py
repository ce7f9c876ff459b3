"""The world of the drill."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.simulation.xds import checks
from brookreach.simulation.xds.proxy import StandIn
from brookreach.xds.messages import StreamRejectedError
from brookreach.xds.records import BalancerView, NodeAddress, NodeView
from brookreach.xds.snapshot_cache import SnapshotCache

Say = Callable[[str, float, str], None]


class World:
    """The fleet, the server and its proxies on one virtual clock."""

    def __init__(self, seed: int, say: Say, look: Callable[[str], None], proxies: int = 6, span_ms: float = 40_000.0):
        self.chance, self.say, self.look, self.span = random.Random(seed), say, look, span_ms
        self.heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.now, self.count, self.lives = 100_000.0, 0, 0
        self.start = start_of(CASES["good"], 0, 1)
        self.states: dict[int, tuple[ifc.NodeEntry, float]] = {}
        self.news = ifc.RolloutStatus(False, ifc.Outcome.OK, 3, 1.0, ifc.RolloutPhase.RELEASED, 0.0, 1)
        self.news_at = self.now
        self.contents: dict[tuple[str, str, str], bytes] = {}
        self.told: dict[str, dict[str, set[str]]] = {}
        self.numbers = 0
        self.taken: deque[float] = deque()
        self.trial: deque[float] = deque()
        self.caps: deque[tuple[float, float]] = deque([(self.now, 1.0)])
        self.answers = self.rpcs = self.trial_picks = 0
        self.life()
        for _ in range(8):
            self.add(1)
        self.proxies = [
            StandIn(f"p{at}", self, at % 2 == 0, self.chance.choice((5.0, 20.0, 60.0))) for at in range(proxies)
        ]
        self.refresh()

    def at(self, delay: float, call: Callable[..., None], *args: Any) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + delay, self.count, call, args))

    def run(self) -> None:
        self.tick()
        for proxy in self.proxies:
            self.at(self.chance.uniform(0.0, 500.0), proxy.connect)
            self.at(700.0, self.rpc, proxy)
            self.at(self.chance.uniform(1000.0, 9000.0), self.trouble, proxy)
        for call, first in ((self.offer, 5000.0), (self.churn, 1500.0), (self.restart, 17_000.0)):
            self.at(first, call)
        end = self.now + self.span
        while self.heap and self.now < end:
            self.now, _, call, args = heapq.heappop(self.heap)
            try:
                call(*args)
            except StreamRejectedError as refused:
                self.say("the stream stands", self.now, f"{refused.code} {refused}")

    # --- the server ---

    def life(self) -> None:
        self.lives += 1
        self.cache = SnapshotCache(self.start, ("palermo-1", "catania-1"), f"life{self.lives}")

    def restart(self) -> None:
        """The server dies and comes back; all proxies reconnect with what they hold."""
        for proxy in self.proxies:
            proxy.drop()
        self.life()
        self.refresh()
        for proxy in self.proxies:
            self.cache.record_load(proxy.name, proxy.rate)
            self.at(self.chance.uniform(0.0, 300.0), self.back, proxy)

    def back(self, proxy: StandIn) -> None:
        if proxy.session is None:
            proxy.connect()
            self.cache.record_load(proxy.name, proxy.rate)

    def refresh(self) -> None:
        nodes = tuple(NodeView(entry, 0.0, 1.0) for entry, _ in self.states.values())
        seats = {node: NodeAddress(node, "127.0.0.1", 9000 + node) for node in self.states}
        self.cache.update(self.now, BalancerView(self.now, self.news, nodes), seats)
        self.publish()

    def publish(self) -> None:
        if self.cache.publish(self.now) is not None:
            for proxy in getattr(self, "proxies", []):
                proxy.flush()

    def tick(self) -> None:
        self.publish()
        self.at(50.0, self.tick)

    # --- the fleet ---

    def add(self, build: int) -> None:
        self.numbers += 1
        started = self.now if build > 1 else 0.0
        self.stands(ifc.NodeEntry(self.numbers, ifc.NodeState.READY, started, build, self.numbers % 2, 0, 0, 1.0))

    def stands(self, entry: ifc.NodeEntry) -> None:
        self.states[entry.node] = entry, self.now

    def churn(self) -> None:
        ready = [entry for entry, _ in self.states.values() if entry.state == ifc.NodeState.READY]
        if len(ready) > 3:
            one = self.chance.choice(ready)
            state = self.chance.choice((ifc.NodeState.DRAINING, ifc.NodeState.GONE))
            self.stands(ifc.NodeEntry(one.node, state, one.started_ms, one.build, one.zone, 0, 0, 1.0))
            self.at(600.0, self.replace, one.build)
        self.refresh()
        self.at(self.chance.uniform(800.0, 2500.0), self.churn)

    def replace(self, build: int) -> None:
        if build in (1, self.news.build):
            self.add(build)
            self.refresh()

    def offer(self) -> None:
        self.tell(self.news.build + 1, 0, ifc.RolloutPhase.ON_TRIAL)
        for _ in range(2):
            self.add(self.news.build)
        self.refresh()
        self.at(self.chance.uniform(3000.0, 6000.0), self.move, 1)

    def move(self, stage: int) -> None:
        if stage == 3 or self.chance.random() < 0.3:  # pulled, perhaps while updates are in flight
            build = self.news.build
            self.tell(build, stage, ifc.RolloutPhase.GOING_BACK)
            for entry, _ in list(self.states.values()):
                if entry.build == build:
                    self.stands(
                        ifc.NodeEntry(
                            entry.node, ifc.NodeState.DRAINING, entry.started_ms, build, entry.zone, 0, 0, 1.0
                        )
                    )
            self.refresh()
            self.at(6000.0, self.offer)
            return
        self.tell(self.news.build, stage, ifc.RolloutPhase.ON_TRIAL)
        self.add(self.news.build)
        self.refresh()
        self.at(self.chance.uniform(3000.0, 6000.0), self.move, stage + 1)

    def tell(self, build: int, stage: int, phase: ifc.RolloutPhase) -> None:
        cap = 0.0 if phase == ifc.RolloutPhase.GOING_BACK else min(1.0, 1.4 * self.start.rollout.stage_shares[stage])
        self.news = ifc.RolloutStatus(False, ifc.Outcome.OK, stage, cap, phase, 0.0, build)
        self.caps.append((self.now, cap))

    # --- proxies ---

    def trouble(self, proxy: StandIn) -> None:
        kind = self.chance.choice(("drop", "drop", "mute", "report"))
        if kind == "drop":
            proxy.drop()
            self.at(self.chance.uniform(10.0, 1500.0), self.back, proxy)
        elif kind == "mute":  # it ACKs nothing for a while, and routes on by what it was told last
            proxy.mute = True
            self.at(self.chance.uniform(200.0, 3000.0), self.unmute, proxy)
        else:
            self.cache.record_load(proxy.name, proxy.rate)
        self.at(self.chance.uniform(1500.0, 8000.0), self.trouble, proxy)

    def unmute(self, proxy: StandIn) -> None:
        proxy.mute = False
        proxy.drop()
        self.back(proxy)

    def rpc(self, proxy: StandIn) -> None:
        self.at(self.chance.expovariate(proxy.rate / 1000.0), self.rpc, proxy)
        build = proxy.draws(self.chance.choice(("posti", "scheda", "immatricola")))
        if not build:
            return
        self.rpcs += 1
        self.taken.append(self.now)
        if build == f"build-{self.news.build}":
            self.trial_picks += 1
            self.trial.append(self.now)
            checks.exposed(self)
