"""A world of gangs on virtual time: nodes with agents, lossy links, leases, an agreed state that takes
records.

It owns what truly happened: when each incarnation lived and where, what each kept, when each session ended,
which permits stood. Agents and the piece are the real ones; the group of keepers is one orderly table here.
It must never tell the piece or an agent anything that a process could not have heard.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, RowUpdate
from brookreach.disruption.tables import NODES, PERMITS, NodeRow
from brookreach.gang_scheduling import members
from brookreach.gang_scheduling.agent_tasks import errands
from brookreach.gang_scheduling.application import Gangs
from brookreach.gang_scheduling.commands import Noticed, Orders
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, GangRow
from brookreach.simulation.engine.ordered_tables import OrderedTables
from brookreach.simulation.gang_scheduling.ground_truth import DRIFT, Budget, Truth
from brookreach.simulation.gang_scheduling.node_model import Node

BASE = 1_700_000_000_000  # the agreed time when the world begins


def _steps(row: GangRow | None) -> tuple[str, int, int] | None:
    """What nodes' orders depend on."""
    return None if row is None else (row.state, row.asked_epoch, row.order)


class World:
    def __init__(self, seed: int, most: int = 8, lease: float = 3000.0, poll: float = 4000.0, rough: bool = True):
        self.chance, self.now, self.index = random.Random(seed), 0.0, 0
        self.piece, self.view, self.truth = Gangs(Budget(most)), OrderedTables(), Truth()
        self.lease, self.poll, self.rough = lease, poll, rough
        self.nodes: dict[str, Node] = {}
        self.sessions: dict[str, tuple[int, float]] = {}  # by node: session, when the group may end it
        self.given: dict[str, tuple[str, str, float]] = {}
        self.events: list[tuple[float, int, Callable[..., object], tuple[Any, ...]]] = []
        self.count, self.polls, self.next_due = 0, 0, float("inf")
        self.at(poll, self._poll)

    # --- time ---

    def at(self, delay: float, call: Callable[..., object], *told: Any) -> None:
        self.count += 1
        heapq.heappush(self.events, (self.now + max(0.0, delay), self.count, call, told))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, call, told = heapq.heappop(self.events)
            call(*told)
        self.now = until

    def link(self) -> float:
        """One way of one message; now and then much later than others."""
        if self.rough and self.chance.random() < 0.02:
            return self.chance.uniform(200.0, 4000.0)
        return self.chance.uniform(1.0, 30.0)

    # --- the agreed state ---

    def record(self, by: str, kind: str, session: int, order: Orders) -> str:
        """ "" or why it was refused."""
        if kind == "agent" and self.sessions.get(by, (0, 0.0))[0] != session:
            return "no session"
        self.index += 1
        context = Context(self.index, BASE + int(self.now), by, kind, session)
        try:
            self.take(self.piece.apply(self.view, order, context))
        except CommandRejectedError as refusal:
            name = wire_name(order)
            self.truth.refused[name] = self.truth.refused.get(name, 0) + 1
            return str(refusal)
        return ""

    def take(self, puts: list[RowUpdate]) -> None:
        self.view.apply_updates(puts)
        touched: dict[str, None] = {}
        for one in puts:
            if one.table == PERMITS:
                self._permit(one)
            elif one.table in (GANGS, MEMBERS):
                row: Any = one.row
                if one.table == MEMBERS or _steps(self.truth.gangs.get(one.key)) != _steps(row):
                    touched[one.key.partition("/")[0]] = None
                if isinstance(row, GangRow):
                    self.truth.gangs[one.key] = row
        for gang in touched:
            self.spread(gang)
        self._due()

    def _permit(self, put: RowUpdate) -> None:
        row: Any = put.row
        if row is not None and row.state == "given":
            self.given.setdefault(put.key, (row.by, row.target, self.now))
        elif put.key in self.given:
            gang, node, since = self.given.pop(put.key)
            self.truth.permits.append((gang, node, since, self.now))

    def _due(self) -> None:
        due = self.piece.next_timer_ms(self.view)
        if due is not None and due - BASE < self.next_due:
            self.next_due = max(self.now, float(due - BASE))
            self.at(self.next_due - self.now, self._passed, self.next_due)

    def _passed(self, due: float) -> None:
        if due != self.next_due:
            return
        self.next_due = float("inf")
        self.index += 1
        self.take(self.piece.advance_time(self.view, Context(self.index, BASE + int(self.now), "", "", 0)))

    def end_session(self, node: str) -> None:
        session, _ = self.sessions.pop(node)
        self.truth.sessions_ended.append((node, self.now))
        self.index += 1
        context = Context(self.index, BASE + int(self.now), node, "agent", session)
        self.take(self.piece.end_session(self.view, context))

    def expire(self, node: str, session: int) -> None:
        held = self.sessions.get(node)
        if held is not None and held[0] == session:
            if held[1] <= self.now:
                self.end_session(node)
            else:
                self.at(held[1] - self.now, self.expire, node, session)

    # --- orders to nodes ---

    def spread(self, gang: str) -> None:
        """What the gang's nodes are to do, as it stands now; it may come late, twice or not at all."""
        row = self.view.get(GANGS, gang)
        if row is None:
            return
        if row.state == "done":
            self.truth.done.setdefault(gang, self.now)
        spots = [members.live(member) for _, member in self.view.rows(MEMBERS, f"{gang}/")]
        for node in sorted({spot.node for spot in spots if spot is not None}):
            for errand in errands(self.view, node):
                if errand.gang != gang:
                    continue
                if not (self.rough and self.chance.random() < 0.03):
                    self.at(self.link(), self.nodes[node].hear, errand)
                if self.rough and self.chance.random() < 0.05:
                    self.at(self.chance.uniform(100.0, 40_000.0), self.nodes[node].hear, errand)

    def _poll(self) -> None:
        """Agents go through their orders again: those that stand open often, the others now and then."""
        self.polls += 1
        for gang, row in list(self.view.rows(GANGS)):
            if row.state == "running" and self.polls % 5:
                continue
            if row.state in ("placing", "moving", "checkpointing", "running") or any(
                member.state == "fencing" for _, member in self.view.rows(MEMBERS, f"{gang}/")
            ):
                self.spread(gang)
        self.at(self.poll, self._poll)

    # --- nodes ---

    def add(self, name: str, zone: str, room: int, build: int = 1) -> Node:
        node = self.nodes[name] = Node(self, name, 1.0 + self.chance.uniform(-DRIFT, DRIFT) / 2.0)
        self.set_node(name, NodeRow(zone, build, "s", room, "ready", BASE, 1))
        self.at(self.chance.uniform(0.0, 500.0), node.boot, 0.0)
        return node

    def set_node(self, name: str, row: NodeRow) -> None:
        self.view.apply_updates([RowUpdate(NODES, name, row)])

    def notice(self, name: str, retires: float) -> None:
        """Told now: the node goes at `retires` of the world's time; 0 withdraws it."""
        row, at = self.view.get(NODES, name), BASE + int(retires) if retires else 0
        if row.standing == "gone":
            return
        self.set_node(name, replace(row, retires_ms=at))
        self.truth.notices.setdefault(name, []).append((self.now, at))
        self.at(self.link(), self.record, "ops", "operator", 0, Noticed(name))
        if retires:
            self.at(retires - self.now, self._retire, name, at)

    def _retire(self, name: str, at: int) -> None:
        row = self.view.get(NODES, name)
        if row.retires_ms == at and row.standing != "gone":
            self.nodes[name].crash("retired")
            self.set_node(name, replace(row, standing="gone"))
            self.at(self.link(), self.record, "ops", "operator", 0, Noticed(name))

    def fail(self, name: str, back: float) -> None:
        """The machine falls without a word, and starts anew later."""
        if self.nodes[name].crash("failed"):
            self.at(back, self._again, name)

    def _again(self, name: str) -> None:
        row = self.view.get(NODES, name)
        if row.standing != "gone":
            self.set_node(name, replace(row, life=row.life + 1))
            self.nodes[name].boot(0.0)
