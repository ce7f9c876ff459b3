"""One node of the simulated cluster: its machine, its clock, and its agent's process and session.

The clock runs a little fast or slow. What works on the node is `member_runtime`'s.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.agent_tasks import AgentTask
from brookreach.gang_scheduling.commands import RegisterAgent
from brookreach.simulation.gang_scheduling.ground_truth import CLOCK_DRIFT
from brookreach.simulation.gang_scheduling.member_runtime import MemberRuntime
from brookreach.simulation.gang_scheduling.ports import Cluster

AGENT_RESTART_MS = 500.0
LOST_REPORT_PROBABILITY = 0.02
NEW_SESSION_PROBABILITY = 0.5  # of an agent whose lease ended by its own clock; else it goes on with the old one
RENEWALS_PER_LEASE = 3.0


class NodeModel:
    """A node. Faults are played by its public methods.

    Attributes:
        name: Of the node.
        clock_rate: Of its clock beside the cluster's.
        process: The number of the agent's present process.
    """

    def __init__(self, cluster: Cluster, name: str, clock_rate: float) -> None:
        self._cluster = cluster
        self.name = name
        self.clock_rate = clock_rate
        self._is_up = False
        self._incarnation = 0  # of the node
        self._agent: GangAgent | None = None
        self.process = 0  # counts the agent's processes
        self._stalled_until_ms = 0.0
        self._session = 0
        self._is_registered = False
        self._runtime = MemberRuntime(cluster, self)

    def clock_ms(self) -> float:
        """Returns the time of the node's clock."""
        return self._cluster.now_ms * self.clock_rate

    # --- machine and process ---

    def boot(self, registration_delay_ms: float) -> None:
        """Starts the machine, and its agent."""
        self._is_up = True
        self._incarnation += 1
        self._start_agent(registration_delay_ms)

    def _start_agent(self, registration_delay_ms: float) -> None:
        if not self._is_up:
            return
        self._agent = GangAgent(self.name, self._incarnation, self.clock_ms(), registration_delay_ms)
        self.process += 1
        self._session = 0
        self._is_registered = False
        self._stalled_until_ms = 0.0
        self._beat(self.process)

    def crash(self, reason: str) -> bool:
        """Ends the machine and all on it; returns whether it was up."""
        was_up = self._is_up
        self._is_up = False
        self._agent = None
        self.process += 1
        self._runtime.end_all(reason)
        return was_up

    def kill_agent(self) -> None:
        """Kills the agent's process alone: what it had started works on to the end of its grant."""
        if self._is_up and self._agent is not None:
            self._agent = None
            self.process += 1
            registration_delay_ms = self._cluster.lease_ms * (1 + CLOCK_DRIFT)
            self._cluster.schedule(AGENT_RESTART_MS, self._start_agent, registration_delay_ms)

    def stall_agent(self, span_ms: float) -> None:
        """Stops the agent's process for a while."""
        self._stalled_until_ms = max(self._stalled_until_ms, self._cluster.now_ms + span_ms)

    def hang_loads(self, span_ms: float) -> None:
        """Lets no restore end for a while."""
        self._runtime.hang_loads(span_ms)

    def notify_agent(self, callback: Callable[..., object], *arguments: object) -> None:
        """Tells the agent's present process of an event of the node; it may know nothing of what it is about."""
        self._call_agent(self.process, callback, *arguments)

    def _call_agent(self, process: int, callback: Callable[..., object], *arguments: object) -> None:
        """Calls when the process runs: a stopped one finds the call when it wakes, one that is gone never."""
        if process != self.process or self._agent is None:
            return
        now_ms = self._cluster.now_ms
        if now_ms < self._stalled_until_ms:
            delay_ms = self._stalled_until_ms - now_ms
            self._cluster.schedule(delay_ms, self._call_agent, process, callback, *arguments)
            return
        self._agent.check_lease(self.clock_ms())
        callback(self._agent, *arguments)
        self._flush()

    # --- the session ---

    def _beat(self, process: int) -> None:
        if process == self.process:
            self._call_agent(process, self._renew)
            self._cluster.schedule(self._cluster.lease_ms / RENEWALS_PER_LEASE, self._beat, process)

    def _renew(self, agent: GangAgent) -> None:
        cluster = self._cluster
        if self._session and not agent.has_lease and cluster.random.random() < NEW_SESSION_PROBABILITY:
            self._session = 0
            self._is_registered = False
        delay_ms = cluster.link_delay_ms()
        cluster.schedule(delay_ms, self._renewal_received, self.process, self._session, self.clock_ms())
        if agent.may_register(self.clock_ms()) and not self._is_registered:
            delay_ms = cluster.link_delay_ms()
            cluster.schedule(delay_ms, self._registration_received, self.process, self._session, agent.registration())

    def _renewal_received(self, process: int, session: int, sent_ms: float) -> None:
        """Renews the session at the replicas, which answer."""
        renewed = self._cluster.renew_session(self.name, session)
        delay_ms = self._cluster.link_delay_ms()
        if renewed is None:
            self._cluster.schedule(delay_ms, self._call_agent, process, self._on_session_lost, session)
        else:
            self._cluster.schedule(delay_ms, self._call_agent, process, self._on_renewed, renewed, sent_ms)

    def _registration_received(self, process: int, session: int, command: RegisterAgent) -> None:
        if process == self.process and self._cluster.propose(self.name, "agent", session, command) is None:
            self._is_registered = True

    def _on_renewed(self, agent: GangAgent, session: int, sent_ms: float) -> None:
        until_ms = sent_ms + self._cluster.lease_ms * (1 - CLOCK_DRIFT)
        if self._session in (0, session) and until_ms > self.clock_ms():
            self._session = session
            agent.on_lease_renewed(self.clock_ms(), session, until_ms)

    def _on_session_lost(self, agent: GangAgent, session: int) -> None:
        if session == self._session:
            self._session = 0
            self._is_registered = False
            agent.on_session_lost()

    # --- tasks and actions ---

    def receive_task(self, task: AgentTask) -> None:
        """Hands a task to the agent, if there is one."""
        self.notify_agent(self._on_task, task)

    def _on_task(self, agent: GangAgent, task: AgentTask) -> None:
        agent.handle_task(self.clock_ms(), task)

    def _flush(self) -> None:
        """Carries out and sends what the agent has decided."""
        agent, cluster = self._agent, self._cluster
        if agent is None:
            return
        for action in agent.outputs.drain_actions():
            self._runtime.execute(action)
        reports = agent.outputs.drain_reports()
        agent.outputs.replies.drain()
        for report in reports:
            is_lost = cluster.has_faults and cluster.random.random() < LOST_REPORT_PROBABILITY
            if not is_lost:
                cluster.schedule(cluster.link_delay_ms(), cluster.propose, self.name, "agent", agent.session, report)
