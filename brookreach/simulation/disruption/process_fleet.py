"""The fleet of a drill between processes: replicas, balancers, an agent for each node, two operators, an observer.

Nodes, discovery, the platform and callers are played here. Faults and the drill's course are in modules of their own.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any  # a balancer's configuration is plain JSON here

import anyio
import anyio.abc

from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.disruption import commands
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.halt import current_halt
from brookreach.disruption.states import ACTIVE_STATES, PermitState, TargetKind, TargetStatus
from brookreach.disruption.tables import BALANCERS, HALT, NODES, PERMITS, PermitRow
from brookreach.simulation import stand_ins
from brookreach.simulation.disruption.observer_invariants import Call, DisruptionObserver, NodeBudgets
from brookreach.simulation.processes.application_drill import Town
from brookreach.simulation.processes.operators import Operator
from brookreach.simulation.processes.program import Children
from brookreach.simulation.report import Report

EXAMPLE_CONFIGURATION = Path(__file__).parents[3] / "deploy" / "marshal.json"
OUTAGE_MS = 1000
MAX_BALANCERS = 8  # a query's number names the balancer
RESUME_ATTEMPTS = 20
RETRY_DELAY_S = 0.1
QUERY_NUMBERS = 65536
WATCHED_TABLES = (PERMITS, NODES, BALANCERS, HALT)
MAX_UNAVAILABLE_NODES = {"all": 2, "zone:a": 1, "zone:b": 1}
BUDGETS = commands.SetBudgets(
    (
        *(
            commands.BudgetEntry(TargetKind.NODE, scope, max_unavailable, 1)
            for scope, max_unavailable in MAX_UNAVAILABLE_NODES.items()
        ),
        commands.BudgetEntry(TargetKind.BALANCER, "all", 1, 1),
    )
)


def query_text(count: int, balancer_index: int) -> str:
    """A query whose number names the balancer; `count` of the queries before it."""
    number = (count * MAX_BALANCERS + balancer_index) % QUERY_NUMBERS
    return f"SELECT data FROM facts WHERE code = 'row' /* id={number:04x},c=look,d=1000 */"


def balancer_of_query(text: str) -> str:
    """The balancer that a query's number names; "" where it has none."""
    number = text.partition("/* id=")[2][:4]
    return f"m{int(number, 16) % MAX_BALANCERS + 1}" if number else ""


class RecordedQueries(list[str]):
    """A node's queries as they come, each recorded as a call of the balancer that it names."""

    def __init__(self, node: str, calls: list[Call]):
        super().__init__()
        self.node = node
        self.calls = calls

    def append(self, text: str) -> None:
        """Records the query."""
        super().append(text)
        balancer = balancer_of_query(text)
        if balancer:
            self.calls.append(Call(anyio.current_time(), self.node, balancer))


class ProcessFleet:
    """One seed's processes and clients, and what is asked of them by the drill and by its faults."""

    def __init__(self, seed: int, balancer_count: int, folder: Path, children: Children, report: Report):
        configuration = json.loads(EXAMPLE_CONFIGURATION.read_text())
        zones = {member["id"]: member["locality"] for member in configuration["known"]["members"]}
        self.nodes = list(zones)
        self.balancers = [f"m{number + 1}" for number in range(balancer_count)]
        self.agents = {node: f"a.{node}" for node in self.nodes}
        clients = [*self.balancers, *self.agents.values(), "ann", "bob", "eye"]
        self.town = Town(seed, folder, children, report, "outages", clients)
        tables = {name: APPLICATION.tables[name] for name in WATCHED_TABLES}
        self.watcher = Operator("eye", self.town.group, tables, seed)
        self.ann = Operator("ann", self.town.group, tables, seed)
        self.bob = Operator("bob", self.town.group, tables, seed)
        budgets = NodeBudgets(MAX_UNAVAILABLE_NODES, zones)
        self.observer = DisruptionObserver(self.town, budgets, self.cache)
        self.watcher.changed = self._on_rows_changed
        self.drain_count = 0  # drains requested by the drill; faults name their permits by it
        self.addresses: dict[str, str] = {}  # of balancers
        self.site = self._write_configurations(configuration)

    @property
    def cache(self) -> View:
        """The tables as the observer's client has them."""
        return self.watcher.client.cache

    def _on_rows_changed(self, event: RowsChanged) -> None:
        self.observer.on_rows_changed(event)

    def _free_address(self) -> str:
        return f"127.0.0.1:{self.town.ports.take()}"

    def _write_configurations(self, configuration: dict[str, Any]) -> stand_ins.Site:
        """Addresses for nodes and balancers, and a file for each process; returns what is played here."""
        configuration["discovery"] = self._free_address()
        configuration["deployer"]["address"] = self._free_address()
        members = configuration["known"]["members"]
        for member in members:
            member["host_port"] = self._free_address()
        site = stand_ins.Site(configuration)
        for name, node in zip(self.nodes, site.nodes.values(), strict=True):
            node.heard = RecordedQueries(name, self.observer.calls)
            own_members = [member for member in members if member["id"] == name]
            known = configuration["known"] | {"members": own_members}
            self.configuration_path(name).write_text(json.dumps(configuration | {"known": known}))
        for name in self.balancers:
            self.addresses[name] = self._free_address()
            own = configuration | {"name": name, "listen": self.addresses[name]}
            self.configuration_path(name).write_text(json.dumps(own))
        return site

    def configuration_path(self, name: str) -> Path:
        """The configuration file of a node's agent or of a balancer."""
        return self.town.folder / f"{name}.json"

    def start_processes(self) -> None:
        """Starts balancers and agents; the replicas run already."""
        town = self.town
        for name in self.balancers:
            town.add(name, "run", str(self.configuration_path(name)), "--fleet", town.file[name])
        for node, agent in self.agents.items():
            path = str(self.configuration_path(node))
            town.add(agent, "fleet", "agent", town.file[agent], path, "--away-ms", str(OUTAGE_MS))

    def is_settled(self) -> bool:
        """All nodes and balancers are ready, and no permit is open."""
        return not self.unsettled()

    def unsettled(self) -> str:
        """What is not ready or not over yet, for people."""
        return ", ".join([*self._unready(), *self._open_permits()])

    def _unready(self) -> list[str]:
        texts: list[str] = []
        for table, names in ((NODES, self.nodes), (BALANCERS, self.balancers)):
            rows = dict(self.cache.rows(table))
            unready = [name for name in names if name not in rows or rows[name].status != TargetStatus.READY]
            texts += [f"{name} is not ready" for name in unready]
        return texts

    def _open_permits(self) -> list[str]:
        open_states = (*ACTIVE_STATES, PermitState.WAITING)
        return [f"{name} is not over" for name, permit in self.cache.rows(PERMITS) if permit.state in open_states]

    def balancers_are_ready(self) -> bool:
        """As their rows say."""
        rows = dict(self.cache.rows(BALANCERS))
        return all(name in rows and rows[name].status == TargetStatus.READY for name in self.balancers)

    def permit_is_active(self, name: str) -> bool:
        """Its target counts as unavailable by it."""
        permit: PermitRow | None = self.cache.get(PERMITS, name)
        return permit is not None and permit.state in ACTIVE_STATES

    async def wait_until_observed(self, index: int) -> None:
        """Until the observer has come to this log index."""
        await self.town.until(lambda: self.observer.index >= index, "the onlooker comes along")

    async def resume(self) -> None:
        """Resumes whatever halt stands, by its own fence."""
        answer = None
        for _ in range(RESUME_ATTEMPTS):
            halt = current_halt(self.cache)
            if halt is None:
                return
            answer = await self.ann.ask(APPLICATION.name, commands.Resume(halt.fence, "drill"))
            if answer is not None and answer.ok:
                await self.wait_until_observed(answer.index)
            await anyio.sleep(RETRY_DELAY_S)
        self.town.look("a halt's own fence lifts it", current_halt(self.cache) is None, lambda: f"{answer}")

    def start_clients(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the operators' and the observer's connections."""
        for client in (self.watcher, self.ann, self.bob):
            tasks.start_soon(client.dial.run)
