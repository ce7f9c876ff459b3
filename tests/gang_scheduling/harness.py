"""Nodes with agents' sessions and records one after the other: what the tests of gangs play by hand."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import Context, RowUpdate
from brookreach.disruption.tables import NODES, NodeRow
from brookreach.gang_scheduling.agent_tasks import errands
from brookreach.gang_scheduling.application import Gangs
from brookreach.gang_scheduling.commands import Confirmed, Here, Noticed, Started, Stopped, Submit
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, PLACES, ROOMS, GangRow, MemberRow
from brookreach.simulation.engine.ordered_tables import OrderedTables
from brookreach.simulation.gang_scheduling.ground_truth import Budget

T = 1_700_000_000_000
MINUTE, HOUR = 60_000, 3_600_000


class Rig:
    """Nodes with their agents' sessions, and records one after the other."""

    def __init__(self, nodes: dict[str, int], most: int = 8):
        self.view, self.piece, self.index, self.now = OrderedTables(), Gangs(Budget(most)), 100, T
        self.sessions: dict[str, int] = {}
        for name, room in nodes.items():
            self.node(name, NodeRow("a", 1, "s", room, "ready", T, 1))
            self.join(name)

    def node(self, name: str, row: NodeRow | None = None, **fields: Any) -> None:
        made = row if row is not None else replace(self.view.get(NODES, name), **fields)
        self.view.apply_updates([RowUpdate(NODES, name, made)])
        if row is None:
            self.say("ops", "operator", Noticed(name))
            if made.retires_ms > self.now + MINUTE:
                self.wait(1000)

    def notice(self, retires_ms: int, *names: str) -> None:
        """All in one second."""
        for name in names:
            self.view.apply_updates(
                [RowUpdate(NODES, name, replace(self.view.get(NODES, name), retires_ms=retires_ms))]
            )
            self.say("ops", "operator", Noticed(name))
        self.wait(1000)

    def context(self, by: str = "", kind: str = "", session: int = 0) -> Context:
        self.index += 1
        return Context(self.index, self.now, by, kind, session)

    def say(self, by: str, kind: str, order: Any) -> None:
        session = self.sessions.get(by, 0) if kind == "agent" else 0
        self.view.apply_updates(self.piece.apply(self.view, order, self.context(by, kind, session)))
        self.settle()

    def settle(self) -> None:
        for _ in range(100):
            due = self.piece.next_timer_ms(self.view)
            if due is None or due > self.now:
                return
            self.view.apply_updates(self.piece.advance_time(self.view, self.context()))
        raise AssertionError("time alone never comes to rest")

    def wait(self, ms: int) -> None:
        """Through every moment that the piece asks for."""
        end = self.now + ms
        while (due := self.piece.next_timer_ms(self.view)) is not None and due <= end:
            self.now = max(self.now, due)
            self.settle()
        self.now = end

    def join(self, name: str) -> None:
        self.sessions[name] = self.index + 1
        self.index += 1
        self.say(name, "agent", Here(self.view.get(NODES, name).life))

    def end(self, name: str) -> None:
        context = self.context(name, "agent", self.sessions.pop(name))
        self.view.apply_updates(self.piece.end_session(self.view, context))
        self.settle()

    def submit(self, gang: str = "g", members: int = 2, room: int = 1, work: int = HOUR, **more: Any) -> GangRow:
        order = Submit(gang, members, room, work, 10_000, 20_000, **more)
        self.say("ops", "operator", order)
        return self.gang(gang)

    def gang(self, name: str = "g") -> GangRow:
        return self.view.get(GANGS, name)

    def member(self, number: int, name: str = "g") -> MemberRow:
        return self.view.get(MEMBERS, f"{name}/{number:04d}")

    def nodes(self, name: str = "g") -> list[str]:
        return [self.member(n, name).node for n in range(self.gang(name).members)]

    def start(self, name: str = "g") -> None:
        """Each agent does what it is told: stops, then starts."""
        for _ in range(2):
            for node in list(self.sessions):
                for one in errands(self.view, node):
                    if one.gang == name and one.kind in ("start", "stop"):
                        told = Started if one.kind == "start" else Stopped
                        self.say(node, "agent", told(name, one.member, one.fence))

    def confirm(self, number: int, work: int, name: str = "g", **but: Any) -> None:
        row, one = self.gang(name), self.member(number, name)
        told = {"epoch": row.asked_epoch, "node": one.node, "life": one.life, "fence": one.fence} | but
        self.say(but.get("node", one.node), "agent", Confirmed(name, number, work_ms=work, **told))

    def confirm_all(self, work: int, name: str = "g") -> None:
        for number in range(self.gang(name).members):
            self.confirm(number, work, name)

    def until(self, state: str, within: int, name: str = "g") -> None:
        end = self.now + within
        while self.gang(name).state != state and self.now < end:
            due = self.piece.next_timer_ms(self.view)
            self.wait(max(1, min(due or end, end) - self.now))
        assert self.gang(name).state == state, (self.gang(name), state)

    def sums(self) -> None:
        taken: dict[str, int] = {}
        for key, row in self.view.rows(PLACES):
            taken[key.split("/")[0]] = taken.get(key.split("/")[0], 0) + row.room
        assert taken == {node: row.taken for node, row in self.view.rows(ROOMS)}
