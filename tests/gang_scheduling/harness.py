"""Nodes with agents' sessions and records one after the other: what the tests of gang scheduling play by hand."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import Context, RowUpdate
from brookreach.disruption.tables import NODES, NodeRow
from brookreach.gang_scheduling.agent_tasks import TaskKind, tasks_for_node
from brookreach.gang_scheduling.application import GangSchedulingApplication
from brookreach.gang_scheduling.commands import (
    Commands,
    ConfirmCheckpoint,
    ReconcileNode,
    RegisterAgent,
    ReportStarted,
    ReportStopped,
    SubmitGang,
)
from brookreach.gang_scheduling.gang_state import GangState, check_transition
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, RESERVED_CAPACITY, SLOTS, GangRow, MemberRow
from brookreach.simulation.engine.ordered_tables import Ordered
from brookreach.simulation.gang_scheduling.permit_budget import PermitBudget

START_MS = 1_700_000_000_000
MINUTE_MS = 60_000
HOUR_MS = 3_600_000


class Harness:
    """The state of gang scheduling, changed by one record after another.

    Every change of a gang's state is checked by its transition table.
    """

    def __init__(self, nodes: dict[str, int], max_migrations: int = 8):
        self.view = Ordered()
        self.application = GangSchedulingApplication(PermitBudget(max_migrations))
        self.log_index = 100
        self.now_ms = START_MS
        self.sessions: dict[str, int] = {}
        for name, capacity in nodes.items():
            self.set_node(name, NodeRow("a", 1, "s", capacity, "ready", START_MS, 1))
            self.register_agent(name)

    def take(self, updates: list[RowUpdate]) -> None:
        before = {update.key: self.view.get(GANGS, update.key) for update in updates if update.table == GANGS}
        self.view.apply_updates(updates)
        for name, old in before.items():
            new = self.view.get(GANGS, name)
            check_transition(name, old.state if old else None, new.state if new else None)

    def set_node(self, name: str, row: NodeRow | None = None, **fields: Any) -> None:
        made = row if row is not None else replace(self.view.get(NODES, name), **fields)
        self.view.apply_updates([RowUpdate(NODES, name, made)])
        if row is None:
            self.propose("ops", "operator", ReconcileNode(name))
            if made.retires_ms > self.now_ms + MINUTE_MS:
                self.advance(1000)

    def announce_retirement(self, retires_ms: int, *names: str) -> None:
        """All in one second."""
        for name in names:
            self.view.apply_updates(
                [RowUpdate(NODES, name, replace(self.view.get(NODES, name), retires_ms=retires_ms))]
            )
            self.propose("ops", "operator", ReconcileNode(name))
        self.advance(1000)

    def next_context(self, client: str = "", client_kind: str = "", session: int = 0) -> Context:
        self.log_index += 1
        return Context(self.log_index, self.now_ms, client, client_kind, session)

    def propose(self, client: str, client_kind: str, command: Commands) -> None:
        session = self.sessions.get(client, 0) if client_kind == "agent" else 0
        self.take(self.application.apply(self.view, command, self.next_context(client, client_kind, session)))
        self.run_expired_timers()

    def run_expired_timers(self) -> None:
        for _ in range(100):
            due_ms = self.application.next_timer_ms(self.view)
            if due_ms is None or due_ms > self.now_ms:
                return
            self.take(self.application.advance_time(self.view, self.next_context()))
        raise AssertionError("time alone never comes to rest")

    def advance(self, duration_ms: int) -> None:
        """Through every moment that the application asks for."""
        end_ms = self.now_ms + duration_ms
        while (due_ms := self.application.next_timer_ms(self.view)) is not None and due_ms <= end_ms:
            self.now_ms = max(self.now_ms, due_ms)
            self.run_expired_timers()
        self.now_ms = end_ms

    def register_agent(self, node: str) -> None:
        self.sessions[node] = self.log_index + 1
        self.log_index += 1
        self.propose(node, "agent", RegisterAgent(self.view.get(NODES, node).incarnation))

    def end_session(self, node: str) -> None:
        context = self.next_context(node, "agent", self.sessions.pop(node))
        self.take(self.application.end_session(self.view, context))
        self.run_expired_timers()

    def submit(self, gang: str = "g", members: int = 2, capacity: int = 1, work: int = HOUR_MS, **more: Any) -> GangRow:
        self.propose("ops", "operator", SubmitGang(gang, members, capacity, work, 10_000, 20_000, **more))
        return self.gang(gang)

    def gang(self, name: str = "g") -> GangRow:
        return self.view.get(GANGS, name)

    def member(self, number: int, name: str = "g") -> MemberRow:
        return self.view.get(MEMBERS, MemberKey(name, number).text)

    def nodes(self, name: str = "g") -> list[str]:
        return [self.member(number, name).node for number in range(self.gang(name).member_count)]

    def run_tasks(self, name: str = "g") -> None:
        """Each agent does what it is told: stops, then starts."""
        for _ in range(2):
            for node in list(self.sessions):
                for task in tasks_for_node(self.view, node):
                    if task.gang == name and task.kind in (TaskKind.START, TaskKind.STOP):
                        report = ReportStarted if task.kind == TaskKind.START else ReportStopped
                        self.propose(node, "agent", report(name, task.member, task.fencing_token))

    def confirm(self, number: int, work: int, name: str = "g", **but: Any) -> None:
        member = self.member(number, name)
        fields = {
            "epoch": self.gang(name).requested_epoch,
            "node": member.node,
            "node_incarnation": member.node_incarnation,
            "fencing_token": member.fencing_token,
        } | but
        command = ConfirmCheckpoint(name, number, work_ms=work, **fields)
        self.propose(but.get("node", member.node), "agent", command)

    def confirm_all(self, work: int, name: str = "g") -> None:
        for number in range(self.gang(name).member_count):
            self.confirm(number, work, name)

    def advance_until(self, state: GangState, within_ms: int, name: str = "g") -> None:
        end_ms = self.now_ms + within_ms
        while self.gang(name).state != state and self.now_ms < end_ms:
            due_ms = self.application.next_timer_ms(self.view)
            self.advance(max(1, min(due_ms or end_ms, end_ms) - self.now_ms))
        assert self.gang(name).state == state, (self.gang(name), state)

    def assert_sums(self) -> None:
        reserved: dict[str, int] = {}
        for key, row in self.view.rows(SLOTS):
            node = key.split("/")[0]
            reserved[node] = reserved.get(node, 0) + row.capacity
        assert reserved == {node: row.reserved for node, row in self.view.rows(RESERVED_CAPACITY)}
