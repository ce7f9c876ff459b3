"""The nodes and gangs of a drill between processes, as its operator sees them, and what was done to them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from brookreach.gang_scheduling.gang_state import FINAL_STATES, GangState
from brookreach.gang_scheduling.tables import AGENTS, GANGS, MEMBERS, GangRow
from brookreach.simulation.gang_scheduling.node_log_invariants import Pause
from brookreach.simulation.processes.application_drill import Town
from brookreach.simulation.processes.operators import Operator


@dataclass
class GangFleet:
    """The nodes and gangs of one seed.

    Attributes:
        cluster: The processes.
        operator: Who submits gangs and gives notices; the tables are read from its cache.
        nodes: Their names.
        may_wait: Whether a gang may stay waiting.
        member_counts: Of gangs that were submitted.
        cancelled: Gangs.
        kills_ms: When processes of nodes were killed.
        pauses: When processes of nodes were stopped.
        retired: Nodes, in the order of their notices.
        left_by_ms: When the last work of nodes that retired is over.
    """

    cluster: Town
    operator: Operator
    nodes: list[str]
    may_wait: Callable[[GangRow], bool]
    member_counts: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    kills_ms: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    pauses: dict[str, list[Pause]] = field(default_factory=lambda: defaultdict(list))
    retired: list[str] = field(default_factory=list)
    left_by_ms: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.cache = self.operator.client.cache

    def gangs(self) -> dict[str, GangRow]:
        """Returns the gangs' rows by name."""
        return dict(self.cache.rows(GANGS))

    def are_agents_registered(self) -> bool:
        """Returns whether each node's agent may carry out tasks."""
        agents = dict(self.cache.rows(AGENTS))
        return all(node in agents and agents[node].session for node in self.nodes)

    def are_running(self) -> bool:
        """Returns whether no gang waits or is on the way."""
        gangs = self.gangs()
        if any(name not in gangs for name in self.member_counts):
            return False
        return all(row.state in (GangState.RUNNING, GangState.DONE) or self.may_wait(row) for row in gangs.values())

    def are_done(self) -> bool:
        """Returns whether all gangs are done that were not cancelled."""
        gangs = self.gangs()
        expected = self.member_counts.keys() - self.cancelled
        return all(name in gangs and gangs[name].state == GangState.DONE for name in expected)

    def nodes_with_members(self) -> list[str]:
        """Returns the nodes where members of gangs run that have not ended, once for each."""
        active = [name for name, row in self.gangs().items() if row.state not in FINAL_STATES]
        return [row.node for key, row in self.cache.rows(MEMBERS) if key.split("/")[0] in active]

    def random_node(self) -> str:
        """Returns a node with members that has no notice; any, where there is none."""
        candidates = sorted(set(self.nodes_with_members()) - {"", *self.retired})
        return self.cluster.chance.choice(candidates or self.nodes)

    def describe(self) -> str:
        """Returns how it stands, for a violation."""
        agents = [(name, row.session) for name, row in self.cache.rows(AGENTS)]
        gangs = [
            f"{name} {row.state}: {row.reason}" for name, row in self.gangs().items() if row.state != GangState.DONE
        ]
        members = [f"{key} {row.state} on {row.node}" for key, row in self.cache.rows(MEMBERS)]
        return f"agents {agents}, {gangs}, {members}"
