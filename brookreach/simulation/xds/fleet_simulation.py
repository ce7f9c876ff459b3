"""A fleet, the control plane and its proxies on one virtual clock."""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from brookreach import interface as ifc
from brookreach.model.case import CASES, start_of
from brookreach.simulation.xds import checks
from brookreach.simulation.xds.proxy import SimulatedProxy
from brookreach.xds.messages import StreamRejectedError
from brookreach.xds.records import BalancerView, NodeAddress, NodeView
from brookreach.xds.snapshot_cache import SnapshotCache

ReportViolation = Callable[[str, float, str], None]
"""Takes a rule, the virtual time in ms and what happened."""

STREAM_RULE = "the stream stands"

START_MS = 100_000.0
PUBLISH_INTERVAL_MS = 50.0
FIRST_ROLLOUT_MS = 5000.0
FIRST_NODE_CHANGE_MS = 1500.0
RESTART_MS = 17_000.0
FIRST_RPC_MS = 700.0
ROLLOUT_PAUSE_MS = 6000.0
NODE_REPLACEMENT_MS = 600.0

FIRST_BUILD = 1
FIRST_NODES = 8
MIN_READY_NODES = 3
NODES_PER_ROLLOUT = 2
LAST_STAGE = 3
ROLLBACK_PROBABILITY = 0.3
CAP_PER_STAGE_SHARE = 1.4
PROXY_RATES = (5.0, 20.0, 60.0)
"""RPCs a second."""

METHODS = ("posti", "scheda", "immatricola")
ZONES = ("palermo-1", "catania-1")


class FleetSimulation:
    """The fleet, the control plane and its proxies.

    Attributes:
        random: All that happens by chance is drawn from it.
        report_violation: Called with each violated rule.
        record_check: Called with each rule that is checked.
        now: The virtual time in ms.
        start: The balancer's settings.
        entries: By node: its entry, and since when it holds.
        rollout: The rollout's status.
        cache: The control plane's state; a restart replaces it.
        proxies: All proxies.
        payload_by_version: Every payload sent, by type URL, name and version.
        sent_names: Names sent on each stream, by type URL.
        rpc_times: When RPCs were routed, within the last window.
        trial_pick_times: When RPCs were routed to the build on trial, within the last window.
        caps: The caps of the last seconds, and since when they hold.
        response_count: Responses sent.
        rpc_count: RPCs routed.
        trial_pick_count: RPCs routed to a build on trial.
    """

    def __init__(
        self,
        seed: int,
        report_violation: ReportViolation,
        record_check: Callable[[str], None],
        proxies: int = 6,
        duration_ms: float = 40_000.0,
    ):
        self.random = random.Random(seed)
        self.report_violation = report_violation
        self.record_check = record_check
        self.now = START_MS
        self.start = start_of(CASES["good"], 0, 1)
        self.entries: dict[int, tuple[ifc.NodeEntry, float]] = {}
        released = ifc.RolloutPhase.RELEASED
        self.rollout = ifc.RolloutStatus(False, ifc.Outcome.OK, LAST_STAGE, 1.0, released, 0.0, FIRST_BUILD)
        self.payload_by_version: dict[tuple[str, str, str], bytes] = {}
        self.sent_names: dict[str, dict[str, set[str]]] = {}
        self.rpc_times: deque[float] = deque()
        self.trial_pick_times: deque[float] = deque()
        self.caps: deque[tuple[float, float]] = deque([(self.now, 1.0)])
        self.response_count = 0
        self.rpc_count = 0
        self.trial_pick_count = 0
        self._duration_ms = duration_ms
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []  # any: each call has its own
        self._event_count = 0
        self._instance_count = 0
        self._node_count = 0
        self._start_server()
        for _ in range(FIRST_NODES):
            self._add_node(FIRST_BUILD)
        self.proxies = [
            SimulatedProxy(f"p{index}", self, index % 2 == 0, self.random.choice(PROXY_RATES))
            for index in range(proxies)
        ]
        self._update_view()

    def schedule(self, delay_ms: float, call: Callable[..., None], *args: Any) -> None:
        """Schedule a call; calls of one time are made in the order of their scheduling."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_ms, self._event_count, call, args))

    def run(self) -> None:
        """Run the simulation to its end."""
        self._publish_periodically()
        for proxy in self.proxies:
            self.schedule(self.random.uniform(0.0, 500.0), proxy.connect)
            self.schedule(FIRST_RPC_MS, self._route_rpc, proxy)
            self.schedule(self.random.uniform(1000.0, 9000.0), self._disturb_proxy, proxy)
        self.schedule(FIRST_ROLLOUT_MS, self._start_rollout)
        self.schedule(FIRST_NODE_CHANGE_MS, self._remove_random_node)
        self.schedule(RESTART_MS, self._restart_server)
        end = self.now + self._duration_ms
        while self._events and self.now < end:
            self.now, _, call, args = heapq.heappop(self._events)
            try:
                call(*args)
            except StreamRejectedError as error:
                self.report_violation(STREAM_RULE, self.now, f"{error.code} {error}")

    def _start_server(self) -> None:
        self._instance_count += 1
        self.cache = SnapshotCache(self.start, ZONES, f"life{self._instance_count}")

    def _restart_server(self) -> None:
        """Restart the control plane without its state; all proxies reconnect with what they hold."""
        for proxy in self.proxies:
            proxy.disconnect()
        self._start_server()
        self._update_view()
        for proxy in self.proxies:
            self.cache.record_load(proxy.name, proxy.rate)
            self.schedule(self.random.uniform(0.0, 300.0), self._reconnect, proxy)

    def _update_view(self) -> None:
        nodes = tuple(NodeView(entry, 0.0, 1.0) for entry, _ in self.entries.values())
        addresses = {node: NodeAddress(node, "127.0.0.1", checks.FIRST_NODE_PORT + node) for node in self.entries}
        self.cache.update(self.now, BalancerView(self.now, self.rollout, nodes), addresses)
        self._publish()

    def _publish(self) -> None:
        if self.cache.publish(self.now) is not None:
            for proxy in self.proxies:
                proxy.flush()

    def _publish_periodically(self) -> None:
        self._publish()
        self.schedule(PUBLISH_INTERVAL_MS, self._publish_periodically)

    def _add_node(self, build: int) -> None:
        self._node_count += 1
        node = self._node_count
        started_ms = self.now if build > FIRST_BUILD else 0.0
        self._set_entry(ifc.NodeEntry(node, ifc.NodeState.READY, started_ms, build, node % 2, 0, 0, 1.0))

    def _set_entry(self, entry: ifc.NodeEntry) -> None:
        self.entries[entry.node] = entry, self.now

    def _remove_random_node(self) -> None:
        """Drain or lose a node, and replace it later."""
        ready = [entry for entry, _ in self.entries.values() if entry.state == ifc.NodeState.READY]
        if len(ready) > MIN_READY_NODES:
            entry = self.random.choice(ready)
            state = self.random.choice((ifc.NodeState.DRAINING, ifc.NodeState.GONE))
            self._set_entry(ifc.NodeEntry(entry.node, state, entry.started_ms, entry.build, entry.zone, 0, 0, 1.0))
            self.schedule(NODE_REPLACEMENT_MS, self._replace_node, entry.build)
        self._update_view()
        self.schedule(self.random.uniform(800.0, 2500.0), self._remove_random_node)

    def _replace_node(self, build: int) -> None:
        if build in (FIRST_BUILD, self.rollout.build):
            self._add_node(build)
            self._update_view()

    def _start_rollout(self) -> None:
        self._set_rollout(self.rollout.build + 1, 0, ifc.RolloutPhase.ON_TRIAL)
        for _ in range(NODES_PER_ROLLOUT):
            self._add_node(self.rollout.build)
        self._update_view()
        self.schedule(self.random.uniform(3000.0, 6000.0), self._advance_rollout, 1)

    def _advance_rollout(self, stage: int) -> None:
        """Go to a stage, or roll the build back, perhaps while updates are in flight."""
        if stage == LAST_STAGE or self.random.random() < ROLLBACK_PROBABILITY:
            self._roll_back(stage)
            return
        self._set_rollout(self.rollout.build, stage, ifc.RolloutPhase.ON_TRIAL)
        self._add_node(self.rollout.build)
        self._update_view()
        self.schedule(self.random.uniform(3000.0, 6000.0), self._advance_rollout, stage + 1)

    def _roll_back(self, stage: int) -> None:
        build = self.rollout.build
        self._set_rollout(build, stage, ifc.RolloutPhase.GOING_BACK)
        for entry, _ in list(self.entries.values()):
            if entry.build == build:
                state = ifc.NodeState.DRAINING
                self._set_entry(ifc.NodeEntry(entry.node, state, entry.started_ms, build, entry.zone, 0, 0, 1.0))
        self._update_view()
        self.schedule(ROLLOUT_PAUSE_MS, self._start_rollout)

    def _set_rollout(self, build: int, stage: int, phase: ifc.RolloutPhase) -> None:
        goes_back = phase == ifc.RolloutPhase.GOING_BACK
        cap = 0.0 if goes_back else min(1.0, CAP_PER_STAGE_SHARE * self.start.rollout.stage_shares[stage])
        self.rollout = ifc.RolloutStatus(False, ifc.Outcome.OK, stage, cap, phase, 0.0, build)
        self.caps.append((self.now, cap))

    def _disturb_proxy(self, proxy: SimulatedProxy) -> None:
        kind = self.random.choice(("drop", "drop", "mute", "report"))
        if kind == "drop":
            proxy.disconnect()
            self.schedule(self.random.uniform(10.0, 1500.0), self._reconnect, proxy)
        elif kind == "mute":  # it ACKs nothing for a while, and routes on by what it was sent last
            proxy.muted = True
            self.schedule(self.random.uniform(200.0, 3000.0), self._unmute, proxy)
        else:
            self.cache.record_load(proxy.name, proxy.rate)
        self.schedule(self.random.uniform(1500.0, 8000.0), self._disturb_proxy, proxy)

    def _reconnect(self, proxy: SimulatedProxy) -> None:
        if proxy.stream is None:
            proxy.connect()
            self.cache.record_load(proxy.name, proxy.rate)

    def _unmute(self, proxy: SimulatedProxy) -> None:
        proxy.muted = False
        proxy.disconnect()
        self._reconnect(proxy)

    def _route_rpc(self, proxy: SimulatedProxy) -> None:
        self.schedule(self.random.expovariate(proxy.rate / 1000.0), self._route_rpc, proxy)
        cluster = proxy.draw_cluster(self.random.choice(METHODS))
        if not cluster:
            return
        self.rpc_count += 1
        self.rpc_times.append(self.now)
        if cluster == f"build-{self.rollout.build}":
            self.trial_pick_count += 1
            self.trial_pick_times.append(self.now)
            checks.check_exposure(self)
