"""A simulated cluster on virtual time: nodes with agents, lossy links, leases, and replicas that take records.

Agents and the application are the real ones. What truly happens is recorded in `truth`. It must never tell the
application or an agent anything that a process could not have heard.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import RowUpdate
from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import NODES, NodeRow
from brookreach.gang_scheduling.agent_tasks import tasks_for_node
from brookreach.gang_scheduling.application import GangSchedulingApplication
from brookreach.gang_scheduling.commands import Commands, ReconcileNode
from brookreach.gang_scheduling.gang_state import GangState, MemberState
from brookreach.gang_scheduling.members import active_incarnation
from brookreach.gang_scheduling.tables import GANGS, MEMBERS
from brookreach.simulation.gang_scheduling.event_queue import EventQueue
from brookreach.simulation.gang_scheduling.ground_truth import CLOCK_DRIFT, GroundTruth, Notice
from brookreach.simulation.gang_scheduling.node_model import NodeModel
from brookreach.simulation.gang_scheduling.permit_budget import PermitBudget
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS, ReplicatedState

MAX_BOOT_DELAY_MS = 500.0
SLOW_MESSAGE_PROBABILITY = 0.02
LOST_TASK_PROBABILITY = 0.03
REPEATED_TASK_PROBABILITY = 0.05
POLLS_PER_RUNNING_TASK = 5  # tasks of gangs that run are handed out again once in so many polls
POLLED_STATES = (GangState.PLACING, GangState.MOVING, GangState.CHECKPOINTING, GangState.RUNNING)


@dataclass(frozen=True, slots=True)
class ClusterSettings:
    """How a cluster is set up.

    Attributes:
        max_migrations: Permits granted at once.
        lease_ms: Of agents' sessions.
        poll_ms: Between two rounds in which agents read their tasks again.
        has_faults: Whether links delay, double and lose messages.
    """

    max_migrations: int = 8
    lease_ms: float = 3000.0
    poll_ms: float = 4000.0
    has_faults: bool = True


class ClusterModel:
    """A cluster; a `ports.Cluster` for its nodes.

    Attributes:
        random: All chance of the run.
        truth: What truly happened.
        lease_ms: Of agents' sessions.
        has_faults: Whether links delay, double and lose messages.
        nodes: By name.
        state: What the replicas agreed on.
    """

    def __init__(self, seed: int, settings: ClusterSettings | None = None) -> None:
        settings = settings or ClusterSettings()
        self.random = random.Random(seed)
        self.truth = GroundTruth()
        self.lease_ms = settings.lease_ms
        self.has_faults = settings.has_faults
        self.nodes: dict[str, NodeModel] = {}
        self._events = EventQueue()
        application = GangSchedulingApplication(PermitBudget(settings.max_migrations))
        self.state = ReplicatedState(application, self._events, self.truth, self.lease_ms, self._send_tasks)
        self._poll_ms = settings.poll_ms
        self._polls = 0
        self.schedule(self._poll_ms, self._poll)

    # --- time and links ---

    @property
    def now_ms(self) -> float:
        """The cluster's clock."""
        return self._events.now_ms

    def schedule(self, delay_ms: float, callback: Callable[..., object], *arguments: object) -> None:
        """Calls back after a delay."""
        self._events.schedule(delay_ms, callback, *arguments)

    def run(self, until_ms: float) -> None:
        """Runs up to a moment."""
        self._events.run(until_ms)

    def link_delay_ms(self) -> float:
        """Returns the delay of the next message one way; now and then it is much later than others."""
        if self.has_faults and self.random.random() < SLOW_MESSAGE_PROBABILITY:
            return self.random.uniform(200.0, 4000.0)
        return self.random.uniform(1.0, 30.0)

    # --- commands and sessions ---

    def propose(self, client: str, client_kind: str, session: int, command: Commands) -> str | None:
        """Proposes a command now; returns why it was rejected, None where it wasn't."""
        return self.state.propose(client, client_kind, session, command)

    def propose_as_operator(self, command: Commands) -> str | None:
        """Proposes a command as an operator."""
        return self.state.propose("ops", "operator", 0, command)

    def renew_session(self, node: str, session: int) -> int | None:
        """Renews a session, or opens one for 0 and ends the older of its name; None where it has ended."""
        return self.state.renew_session(node, session)

    # --- tasks of nodes ---

    def _send_tasks(self, gang: str) -> None:
        """Hands out what the gang's nodes are to do as it stands now; it may come late, twice or not at all."""
        row = self.state.view.get(GANGS, gang)
        if row is None:
            return
        if row.state == GangState.DONE:
            self.truth.done_ms.setdefault(gang, self.now_ms)
        incarnations = [active_incarnation(member) for _, member in self.state.view.rows(MEMBERS, f"{gang}/")]
        for name in sorted({one.node for one in incarnations if one is not None}):
            node = self.nodes[name]
            for task in tasks_for_node(self.state.view, name):
                if task.gang != gang:
                    continue
                if not (self.has_faults and self.random.random() < LOST_TASK_PROBABILITY):
                    self.schedule(self.link_delay_ms(), node.receive_task, task)
                if self.has_faults and self.random.random() < REPEATED_TASK_PROBABILITY:
                    self.schedule(self.random.uniform(100.0, 40_000.0), node.receive_task, task)

    def _poll(self) -> None:
        """Lets agents read their tasks again: those that stand open often, the others now and then."""
        self._polls += 1
        for gang, row in list(self.state.view.rows(GANGS)):
            if row.state == GangState.RUNNING and self._polls % POLLS_PER_RUNNING_TASK:
                continue
            if row.state in POLLED_STATES or self._is_fencing(gang):
                self._send_tasks(gang)
        self.schedule(self._poll_ms, self._poll)

    def _is_fencing(self, gang: str) -> bool:
        return any(member.state == MemberState.FENCING for _, member in self.state.view.rows(MEMBERS, f"{gang}/"))

    # --- nodes ---

    def add_node(self, name: str, zone: str, capacity: int, build: int = 1) -> NodeModel:
        """Adds a node, which boots a little later."""
        clock_rate = 1.0 + self.random.uniform(-CLOCK_DRIFT, CLOCK_DRIFT) / 2.0
        node = self.nodes[name] = NodeModel(self, name, clock_rate)
        self._put_node(name, NodeRow(zone, build, "s", capacity, TargetStatus.READY, EPOCH_MS, 1))
        self.schedule(self.random.uniform(0.0, MAX_BOOT_DELAY_MS), node.boot, 0.0)
        return node

    def _put_node(self, name: str, row: NodeRow) -> None:
        self.state.view.apply_updates([RowUpdate(NODES, name, row)])

    def _notify_of_node(self, name: str) -> None:
        self.schedule(self.link_delay_ms(), self.propose_as_operator, ReconcileNode(name))

    def announce_retirement(self, name: str, retires_ms: float) -> None:
        """Gives a notice now: the node goes at that moment of the cluster's clock; 0 withdraws it."""
        row = self.state.view.get(NODES, name)
        if row.status == TargetStatus.DECOMMISSIONED:
            return
        agreed_ms = EPOCH_MS + int(retires_ms) if retires_ms else 0
        self._put_node(name, replace(row, retires_ms=agreed_ms))
        self.truth.notices.setdefault(name, []).append(Notice(self.now_ms, agreed_ms))
        self._notify_of_node(name)
        if retires_ms:
            self.schedule(retires_ms - self.now_ms, self._retire, name, agreed_ms)

    def _retire(self, name: str, agreed_ms: int) -> None:
        row = self.state.view.get(NODES, name)
        if row.retires_ms == agreed_ms and row.status != TargetStatus.DECOMMISSIONED:
            self.nodes[name].crash("retired")
            self._put_node(name, replace(row, status="gone"))
            self._notify_of_node(name)

    def fail_node(self, name: str, down_ms: float) -> None:
        """Crashes a machine without notice; it starts anew later."""
        if self.nodes[name].crash("failed"):
            self.schedule(down_ms, self._restart_node, name)

    def _restart_node(self, name: str) -> None:
        row = self.state.view.get(NODES, name)
        if row.status != TargetStatus.DECOMMISSIONED:
            self._put_node(name, replace(row, incarnation=row.incarnation + 1))
            self.nodes[name].boot(0.0)
