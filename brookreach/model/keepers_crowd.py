"""Keepers and many clients on one virtual clock: real state, sessions and watches; bytes counted by frame.

It owns who is there, what is handed to the wire (`keepers_wire`) and the bound past which a keeper puts
nothing more on a client's line. It must never read a clock.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from functools import partial

from brookreach.applications import load_applications
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import SessionEstablished, SessionLost
from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.frames import seal_frame
from brookreach.coordination.protocol.limits import DEFAULT_LIMITS
from brookreach.coordination.protocol.stream import LENGTH_PREFIX_BYTES
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.raft.types import PendingSave, Ready, Snapshot
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import Command, Context
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.storage.memory import InMemoryStorage
from brookreach.coordination.timing import Timing
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.balancer_client import BALANCER_SERVICE, WATCHED_TABLES
from brookreach.disruption.commands import BudgetEntry, ReportBalancer, ReportNode, SetBudgets
from brookreach.disruption.states import TargetKind, TargetStatus
from brookreach.disruption.tables import PERMITS
from brookreach.model.keepers_wire import LEAST_MS, Uplink

NAMES = ("k1", "k2", "k3")
WALL = 1_800_000_000_000
ZONES = 4
KEY = b"k" * 32
BUCKET_MS = 10


def seen(name: str, status: TargetStatus = TargetStatus.READY, life: int = 1, heard: int = 1) -> ReportNode:
    zone = f"z{int(name[1:]) % ZONES}"
    return ReportNode(name, zone, 7, "nodes", 4, status, life, status == TargetStatus.READY, heard)


def budgets(nodes: int) -> SetBudgets:
    """A tenth of the fleet, and as much of each zone."""
    most = max(1, nodes // 10)
    lines = [BudgetEntry(TargetKind.NODE, "all", most, 0), BudgetEntry(TargetKind.BALANCER, "all", 10, 0)]
    lines += [BudgetEntry(TargetKind.NODE, f"zone:z{zone}", most, 0) for zone in range(ZONES)]
    return SetBudgets(tuple(lines))


def fleet(nodes: int) -> StateMachine:
    """A state with so many nodes, ready and warm, whose agents have no sessions: none ends meanwhile."""
    machine = StateMachine(load_applications())
    machine.apply(messages.Entry(1, 1, sessions.encode_command(sessions.TimePassed(), WALL)))
    orders: list[tuple[str, str, Command]] = [("op", "operator", budgets(nodes))]
    orders += [(f"n{nth}", "agent", seen(f"n{nth}")) for nth in range(nodes)]
    for by, kind, order in orders:
        machine.view.apply_updates(APPLICATION.apply(machine.view, order, Context(1, WALL, by, kind, 1)))
    fresh = StateMachine(load_applications())
    fresh.restore(machine.snapshot())
    return fresh


class Crowd:
    """`told`: when each client first was joined, held its lease and had all it watches, since `forget`."""

    def __init__(self, nodes: int, seed: int, timing: Timing, gbit: float):
        self.chance, self.timing, self.rate = random.Random(seed), timing, gbit * 125_000.0  # bytes a ms
        self.now, self.count, self.links = 0.0, 0, dict[str, Uplink]()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.alarms: dict[str, float] = {}
        self.says: Counter[str] = Counter()  # bytes from keepers to others, by both names
        self.heard: Counter[str] = Counter()  # bytes from others to keepers
        self.handed: Counter[str] = Counter()  # a keeper's bytes put on its lines, by it
        self.bursts: Counter[tuple[str, int]] = Counter()
        self.clients: dict[str, Client] = {}
        self.told: dict[str, float] = {}
        self.kinds: Counter[str] = Counter()  # keepers' bytes to clients, by kind of message
        self.silent: set[str] = set()
        self.talks: Counter[str] = Counter()  # connections of each, so that a frame of an older one is lost
        self.lost: list[str] = []  # whose session it was
        octets = fleet(nodes).snapshot()
        self.keepers, self.disks = {}, {}
        for name in NAMES:
            disk = self.disks[name] = InMemoryStorage(NAMES)
            disk.save(PendingSave(1, "", 0, [], Snapshot(1, 1, NAMES, octets)))
            self.keepers[name] = Replica(
                name, load_applications(), disk.load(), "g", timing, random.Random(f"{seed} {name}"), NAMES
            )
            self._keeper(name, lambda one: None)

    # --- the clock ---

    def at(self, ms: float, call: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (max(ms, self.now), self.count, call))

    def run(self, ms: float, until: Callable[[], bool] = lambda: False) -> bool:
        """False: `until` was not so in this time."""
        end = self.now + ms
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
            if until():
                return True
        self.now = end
        return False

    def _wake(self, name: str, ms: float | None, call: Callable[[], None]) -> None:
        if ms is None or ms >= self.alarms.get(name, float("inf")):
            return
        at = self.alarms[name] = max(ms, self.now)

        def rings() -> None:
            if self.alarms.get(name) == at:
                del self.alarms[name]
                call()

        self.at(at, rings)

    # --- keepers ---

    def _keeper(self, name: str, call: Callable[[Replica], None]) -> None:
        keeper = self.keepers.get(name)
        if keeper is None:
            return
        call(keeper)
        for _ in range(64):
            if keeper.watches.has_pending and name in self.links:
                keeper.slow_clients = self.links[name].full(DEFAULT_LIMITS.watch_pause_bytes)
            ready = keeper.ready()
            if ready == Ready():
                break
            if ready.save is not None:
                self.disks[name].save(ready.save)
            for target, body in ready.send:
                self._say(name, target, body)
            keeper.advance(self.now, ready)
        again = keeper.next_wakeup_ms()
        if again <= self.now:
            again = self.now + 1.0
        self._wake(name, again, lambda: self._keeper(name, lambda one: one.tick(self.now, self.wall())))

    def wall(self) -> int:
        return WALL + int(self.now)

    def leader(self) -> str:
        leads = (name for name, one in self.keepers.items() if one.leader is not None and one.leader.is_open)
        return next(leads, "")

    def end(self, name: str, silent: bool) -> None:
        """Its clients see their connections end; or `silent`, its machine is gone, and they see nothing."""
        del self.keepers[name]
        self.silent |= {name} if silent else set()
        for client in list(self.clients.values()):
            if client.replica == name:
                self.talks[client.name] += 1
                if not silent:
                    self._lost(client, name)

    def _lost(self, client: Client, keeper: str) -> None:
        client.connection_lost(self.now, keeper)
        self._client(client)

    # --- the wire ---

    def _say(self, source: str, target: str, body: messages.Body) -> None:
        octets = LENGTH_PREFIX_BYTES + len(seal_frame(KEY, "g", source, target, body))
        if source in self.keepers:
            self.handed[source] += octets
            self.bursts[source, int(self.now) // BUCKET_MS] += octets
        else:
            self.heard[source] += octets
        if target in NAMES:
            arrives = partial(self._to_keeper, source, target, body)
        else:
            self.says[target] += octets
            self.kinds[wire_name(body)] += octets
            arrives = partial(self._to_client, source, target, body, self.talks[target])
        if source not in self.links:
            self.links[source] = Uplink(self.rate, self.chance, self.at)
        self.links[source].put(self.now, target, octets, arrives)

    def _to_keeper(self, source: str, target: str, body: messages.Body) -> None:
        self._keeper(target, lambda one: one.handle_message(self.now, self.wall(), source, body))

    def _to_client(self, source: str, target: str, body: messages.Body, talk: int) -> None:
        client = self.clients[target]
        if self.talks[target] == talk and source in self.keepers:
            client.handle_message(self.now, source, body)
            self._client(client)

    # --- clients ---

    def add(self, name: str, kind: messages.ClientKind = "marshal") -> Client:
        watched = WATCHED_TABLES if kind == "marshal" else (PERMITS,)
        tables = {one: APPLICATION.tables[one] for one in watched}
        client = self.clients[name] = Client(
            name, kind, NAMES, self.timing, random.Random(f"{name} {self.chance.random()}"), tables
        )
        self._client(client)
        return client

    def ask(self, name: str, order: Command) -> None:
        client = self.clients[name]
        client.propose(self.now, APPLICATION.name, order)
        self._client(client)

    def _client(self, client: Client) -> None:
        name = client.name
        for event in client.take_events():
            if client.kind == "marshal" and isinstance(event, SessionEstablished) and not event.resumed:
                place = client.cache.index
                report = ReportBalancer(name, "z0", 0, BALANCER_SERVICE, TargetStatus.READY, True, place)
                client.propose(self.now, APPLICATION.name, report)
            elif isinstance(event, SessionLost):
                self.lost.append(name)
        for keeper, body in client.take_outgoing():
            if keeper in self.keepers:
                self._say(name, keeper, body)
            elif keeper not in self.silent:
                self.at(self.now + LEAST_MS, partial(self._lost, client, keeper))  # refused
        here = client.connected and client.replica in self.keepers
        if here and client.holds_lease(self.now) and client.cache.up_to_date:
            self.told.setdefault(name, self.now)
        self._wake(name, client.next_wakeup_ms(), lambda: self._passed(client))

    def _passed(self, client: Client) -> None:
        client.advance_time(self.now)
        self._client(client)

    # --- what was counted ---

    def forget(self) -> None:
        self.lost.clear()
        for counted in (self.says, self.heard, self.handed, self.bursts, self.kinds, self.told):
            counted.clear()

    def burst(self, keeper: str) -> int:
        """The most bytes that it put on its lines in 100 ms."""
        steps = 100 // BUCKET_MS
        mine = {at: octets for (name, at), octets in self.bursts.items() if name == keeper}
        return max((sum(mine.get(at + step, 0) for step in range(steps)) for at in mine), default=0)
