"""The drill of control via xDS: scripted proxies on virtual time, every answer recorded as it is sent.

Proxies keep the protocol's side: they take answers after a delay, ACK, NACK now and then, stop answering,
drop the stream and come back with what they hold, and route by what they were told last. The fleet drains
nodes, offers builds, pulls them; the server restarts. Rules: nothing assigned that drains or is gone longer
than the grace; routes name only clusters told before; endpoints only after their cluster; the trial picks of
all proxies in any window; one content a version, over restarts too; non-idempotent methods never repeated.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from google.protobuf import any_pb2

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.simulation.defect import Defect, Defects, inject_defect
from brookreach.simulation.report import Report, Violation
from brookreach.xds import assign, messages, resources, stream
from brookreach.xds.messages import CDS, EDS, LDS, RDS, DiscoveryRequest, DiscoveryResponse, StreamRejectedError
from brookreach.xds.records import BalancerView, NodeAddress, NodeView
from brookreach.xds.snapshot_cache import SnapshotCache
from brookreach.xds.stream import AdsStream

Say = Callable[[str, float, str], None]
GRACE_MS, WINDOW_MS = 250.0, 4000.0


def message(kind: Any, payload: bytes) -> Any:
    """The message inside a resource's payload."""
    held = any_pb2.Any.FromString(payload)
    made = kind()
    held.Unpack(made)
    return made


class StandIn:
    """One proxy. `held` is what it would route by: resources by type and name."""

    def __init__(self, name: str, world: World, delta: bool, rate: float):
        self.name, self.world, self.delta, self.rate = name, world, delta, rate
        self.session: AdsStream | None = None
        self.held: dict[str, dict[str, tuple[str, bytes]]] = {}
        self.mute = False
        self.reach_cache: dict[str, tuple[str, bool]] = {}
        self.route_cache: tuple[str, dict[str, list[tuple[str, int]]]] = ("", {})

    def connect(self) -> None:
        self.session = self.world.cache.open_stream(self.world.now, self.name, self.delta)
        assert self.session is not None
        for url in messages.UPDATE_ORDER:
            initial = {name: version for name, (version, _) in self.held.get(url, {}).items()} if self.delta else {}
            names = () if url in messages.WILDCARD_TYPES else tuple(self.names_of(url))
            if self.delta:
                self.session.handle_request(DiscoveryRequest(url, subscribe=names, initial_resource_versions=initial))
            else:
                self.session.handle_request(DiscoveryRequest(url, resource_names=names))
        self.flush()

    def names_of(self, url: str) -> list[str]:
        return (
            [resources.ROUTE_CONFIGURATION_NAME]
            if url == RDS
            else sorted({assign.EARLIER_CLUSTER, *self.held.get(EDS, {}), *self.wanted})
        )

    @property
    def wanted(self) -> set[str]:
        return {name.split("/")[0] for name in self.held.get(CDS, {})}

    def drop(self) -> None:
        if self.session is not None:
            self.world.cache.close_stream(self.world.now, self.name, self.session)
            self.session = None

    def flush(self) -> None:
        """Answers that are due go out now, and arrive later."""
        if self.session is None:
            return
        for answer in self.world.cache.pending_responses(self.session):
            self.world.sent(self, answer)
            self.world.at(self.world.chance.uniform(1.0, 80.0), self.arrive, self.session, answer)

    def arrive(self, session: AdsStream, answer: DiscoveryResponse) -> None:
        if session is not self.session or self.mute:
            return
        if self.world.chance.random() < 0.02:
            session.handle_request(
                DiscoveryRequest(
                    answer.type_url,
                    answer.nonce,
                    resource_names=self.asked(answer.type_url),
                    error_detail="13 can't use it",
                )
            )
            return self.flush()
        held = self.held.setdefault(answer.type_url, {})
        if not self.delta and answer.type_url in messages.WILDCARD_TYPES:
            held.clear()
        for name in answer.removed_resources:
            held.pop(name, None)
        held.update({one.name: (one.version, one.payload) for one in answer.resources})
        session.handle_request(
            DiscoveryRequest(
                answer.type_url, answer.nonce, answer.version_info, resource_names=self.asked(answer.type_url)
            )
        )
        if answer.type_url == CDS:
            self.follow_endpoints(session)
        self.world.cache.handle_ack(self.world.now, self.name)
        self.flush()

    def asked(self, url: str) -> tuple[str, ...]:
        return () if self.delta or url in messages.WILDCARD_TYPES else tuple(self.names_of(url))

    def follow_endpoints(self, session: AdsStream) -> None:
        kind = session.subscriptions[EDS]
        names = self.wanted
        if self.delta:
            new, old = tuple(sorted(names - kind.names)), tuple(sorted(kind.names - names))
            if new or old:
                session.handle_request(DiscoveryRequest(EDS, subscribe=new, unsubscribe=old))
            for name in old:
                self.held.get(EDS, {}).pop(name, None)
        else:
            session.handle_request(DiscoveryRequest(EDS, kind.last_nonce, resource_names=tuple(self.names_of(EDS))))

    def draws(self, method: str) -> str:
        """The build that an RPC of the method goes to, by what was told last."""
        version, payload = self.held.get(RDS, {}).get(resources.ROUTE_CONFIGURATION_NAME, ("", b""))
        if not version:
            return ""
        if self.route_cache[0] != version:
            table = {}
            for route in message(route_pb2.RouteConfiguration, payload).virtual_hosts[0].routes:
                table[route.name] = [(one.name, one.weight.value) for one in route.route.weighted_clusters.clusters]
            self.route_cache = version, table
        parts = self.route_cache[1].get(method, [])
        drawn = self.world.chance.random() * sum(share for _, share in parts)
        for name, share in parts:
            drawn -= share
            if drawn < 0.0:
                build = name.split("/")[0]
                return build if self.reaches(build) else ""
        return ""

    def reaches(self, build: str) -> bool:
        """Whether it holds an endpoint of the build: what it NACKed may name a cluster that stands empty."""
        version, payload = self.held.get(EDS, {}).get(build, ("", b""))
        if self.reach_cache.get(build, ("", False))[0] != version:
            made = message(endpoint_pb2.ClusterLoadAssignment, payload) if payload else None
            self.reach_cache[build] = version, bool(made and made.endpoints)
        return self.reach_cache.get(build, ("", False))[1]


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
            self.exposed()

    def exposed(self) -> None:
        """A lower cap binds those who can be told; the window looks at the highest of the last seconds."""
        self.look("exposure over all proxies")
        for times in (self.taken, self.trial):
            while times and times[0] <= self.now - WINDOW_MS:
                times.popleft()
        while len(self.caps) > 1 and self.caps[1][0] < self.now - WINDOW_MS - 4000.0:
            self.caps.popleft()
        cap = max(cap for _, cap in self.caps)
        free = self.start.exposure.free
        if len(self.trial) > free + cap * len(self.taken):
            self.say(
                "exposure over all proxies",
                self.now,
                f"{len(self.trial)} picks, cap {cap:g} of {len(self.taken)} RPCs",
            )

    # --- what was sent ---

    def sent(self, proxy: StandIn, answer: DiscoveryResponse) -> None:
        self.answers += 1
        for one in answer.resources:
            self.look("one content a version")
            key = answer.type_url, one.name, one.version
            if self.contents.setdefault(key, one.payload) != one.payload:
                self.say("one content a version", self.now, f"{one.name} {one.version} has two")
        told = self.told.setdefault(f"{proxy.name}.{id(proxy.session)}", {CDS: set(), EDS: set(), LDS: set()})
        names = {one.name for one in answer.resources}
        held = set(proxy.held.get(CDS, {})) if proxy.delta else set()
        if answer.type_url == CDS:
            told[CDS] |= names
        elif answer.type_url == EDS:
            self.endpoints(answer)
            self.look("endpoints after their cluster")
            known = {name.split("/")[0] for name in told[CDS] | held}
            if not names <= known:
                self.say("endpoints after their cluster", self.now, f"{proxy.name}: {sorted(names - known)}")
        elif answer.type_url == RDS:
            self.routes(proxy, answer, told[CDS] | held)

    def endpoints(self, answer: DiscoveryResponse) -> None:
        self.look("nothing to a gone node")
        for one in answer.resources:
            for place in message(endpoint_pb2.ClusterLoadAssignment, one.payload).endpoints:
                for end in place.lb_endpoints:
                    node = end.endpoint.address.socket_address.port_value - 9000
                    entry, since = self.states[node]
                    if entry.state != ifc.NodeState.READY and self.now > since + GRACE_MS:
                        self.say(
                            "nothing to a gone node",
                            self.now,
                            f"node {node}, {entry.state.name} for {self.now - since:.0f} ms, is assigned",
                        )

    def routes(self, proxy: StandIn, answer: DiscoveryResponse, told: set[str]) -> None:
        for one in answer.resources:
            for route in message(route_pb2.RouteConfiguration, one.payload).virtual_hosts[0].routes:
                self.look("routes after their clusters")
                named = {part.name for part in route.route.weighted_clusters.clusters}
                if not named <= told:
                    self.say("routes after their clusters", self.now, f"{proxy.name}: {sorted(named - told)}")
                self.look("no repeats of what must not run twice")
                if route.name == "immatricola" and route.route.retry_policy.retry_on:
                    self.say("no repeats of what must not run twice", self.now, "immatricola has a retry policy")


# --- planted defects ---


def _late_drain(weight: Any) -> Any:
    def late(view: NodeView, now: float, guards: ifc.SafetyLimits) -> float:
        entry = view.entry
        ready = ifc.NodeEntry(
            entry.node,
            ifc.NodeState.READY,
            entry.started_ms,
            entry.build,
            entry.zone,
            entry.cell,
            entry.kind,
            entry.size,
        )
        return float(weight(NodeView(ready, view.doubt, view.slow), now, guards))

    return late


def _reused(right: Any) -> Any:
    """Versions counted from 1 in each life, as a server would that keeps no state."""
    counts: dict[str, tuple[str, int]] = {}

    def resource(name: str, made: Any) -> messages.Resource:
        one = right(name, made)
        last, count = counts.get(name, ("", 0))
        if last != one.version:
            count = count % 5 + 1
        counts[name] = one.version, count
        return messages.Resource(name, str(count), one.payload)

    return resource


def _undivided(right: Any) -> Any:
    return lambda cap, free, least: min(1.0, 1.6 * cap)


DEFECTS: Defects = {
    "late-drain": Defect(assign, "endpoint_weight", _late_drain),
    "version-reused": Defect(resources, "make_resource", _reused),
    "cap-not-divided": Defect(assign, "safe_trial_share", _undivided),
    "routes-first": Defect(stream, "UPDATE_ORDER", lambda right: (RDS, EDS, LDS, CDS)),
}


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
    proxies: int = 6,
    span_ms: float = 40_000.0,
) -> Report:
    """So many worlds, one a seed; with a planted defect it ends at the first that shows it."""
    report = Report("xds", seed, seeds, plant)
    answers = rpcs = trial = 0
    with inject_defect(DEFECTS, plant):
        for one in report.iterate_seeds(progress):

            def say(rule: str, now: float, text: str, one: int = one) -> None:
                report.add_violation(Violation(rule, "fleet", one, now, text))

            world = World(one, say, report.record_check, proxies, span_ms)
            world.run()
            answers, rpcs, trial = answers + world.answers, rpcs + world.rpcs, trial + world.trial_picks
    report.figures = {"answers": answers, "RPCs": rpcs, "picks at trial builds": trial}
    return report
