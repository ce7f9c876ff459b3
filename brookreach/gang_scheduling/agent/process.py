"""A stand-in for nodes' agents that also plays the work of gangs' members, for trials and drills.

It connects a node's agent with its client of the replicas and with the work that is played on the node. What it says to
the replicas and when is decided in `agent`.
"""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.errors import SessionNotHeldError, TooManyRequestsError
from brookreach.coordination.client.events import (
    ClientEvent,
    LeaseRenewed,
    OutcomeUnknown,
    ReplyReceived,
    RowsChanged,
    SessionLost,
)
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import Command
from brookreach.disruption.node_agent import NodeAgent, NodeDescription, WriteLine
from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.agent.node_log import NodeLog
from brookreach.gang_scheduling.agent.workload_simulator import WorkloadSimulator
from brookreach.gang_scheduling.agent_tasks import tasks_for_node
from brookreach.gang_scheduling.application import APPLICATION
from brookreach.gang_scheduling.commands import RegisterAgent
from brookreach.gang_scheduling.tables import AGENTS, GANGS, MEMBERS, SLOTS, GangRow

WATCHED_TABLES = (GANGS, AGENTS, MEMBERS, SLOTS)
TICK_S = 0.01
REPEAT_INTERVAL_MS = 500.0  # between registrations, and between readings of tasks that still stand
REGISTRATION_DELAY_LEASES = 1.25  # after the process's start, before it registers


class GangAgentProcess(NodeAgent):
    """A node's agent that also carries out the tasks of gang scheduling."""

    def __init__(
        self,
        facts: NodeDescription,
        settings: configuration.ClusterConfiguration,
        key: bytes,
        say: WriteLine,
        log: NodeLog,
    ) -> None:
        """Starts without a session.

        Args:
            facts: Of the node.
            settings: Of the replicas.
            key: By which frames are sealed.
            say: Writes a log line.
            log: The node's, where the work that is played leaves its lines.
        """
        tables = {name: APPLICATION.tables[name] for name in WATCHED_TABLES}
        super().__init__(facts, settings, key, None, say, tables)
        registration_delay_ms = settings.timing.lease_ms * REGISTRATION_DELAY_LEASES
        self._agent = GangAgent(facts.name, self.incarnation, now_ms(), registration_delay_ms)
        self._simulator = WorkloadSimulator(self._agent, log, self._find_gang)
        self._proposed: dict[int, Command] = {}  # by sequence number, until they are answered
        self._registered_session = 0
        self._register_ms = 0.0
        self._read_tasks_ms = 0.0

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            while True:
                await anyio.sleep(TICK_S)
                self.tick()

    def tick(self) -> None:
        """Does what the clock says is due."""
        at_ms = now_ms()
        self._simulator.end_expired(at_ms)
        self._agent.check_lease(at_ms)
        self._flush()
        while self._simulator.run_next_timer(at_ms):
            self._flush()
        session = self.client.session
        if session and session != self._registered_session and at_ms >= self._register_ms:
            self._register(at_ms)
        if at_ms >= self._read_tasks_ms:
            self._read_tasks()

    def _register(self, at_ms: float) -> None:
        if self._agent.may_register(at_ms) and self._agent.session == self.client.session:
            self._register_ms = at_ms + REPEAT_INTERVAL_MS
            self._propose(self._agent.registration())

    # --- what the replicas say ---

    def on_event(self, event: ClientEvent) -> None:
        """Takes an event of the client."""
        if isinstance(event, ReplyReceived | OutcomeUnknown) and event.seq in self._proposed:
            self._on_outcome(event)
            return
        super().on_event(event)
        match event:
            case LeaseRenewed():
                self._agent.on_lease_renewed(now_ms(), event.session, event.until_ms)
            case SessionLost():
                self._registered_session = 0
                self._agent.on_session_lost()
            case RowsChanged():
                self._read_tasks()
        self._flush()

    def _on_outcome(self, event: ReplyReceived | OutcomeUnknown) -> None:
        command = self._proposed.pop(event.seq)
        if isinstance(event, OutcomeUnknown):
            return
        if event.ok and isinstance(command, RegisterAgent):
            self._registered_session = self.client.session
        elif not event.ok:
            self.write_line(f"{self.description.name} {wire_name(command)}, refused: {event.text}")

    def _read_tasks(self) -> None:
        at_ms = now_ms()
        self._read_tasks_ms = at_ms + REPEAT_INTERVAL_MS
        for task in tasks_for_node(self.client.cache, self.description.name):
            self._agent.handle_task(at_ms, task)
        self._flush()

    def _flush(self) -> None:
        """Carries out and proposes what the agent has decided; replies go nowhere, as tasks are read from rows."""
        for action in self._agent.outputs.drain_actions():
            self._simulator.execute(action)
        reports = self._agent.outputs.drain_reports()
        self._agent.outputs.replies.drain()
        for report in reports:
            self._propose(report)

    def _propose(self, command: Command) -> None:
        """Proposes a command; where it is refused, lost or late, the rows still name what it is about."""
        if self.client.session:
            with contextlib.suppress(TooManyRequestsError, SessionNotHeldError):
                self._proposed[self.client.propose(now_ms(), APPLICATION.name, command)] = command
            self.connection.wake()

    def _find_gang(self, name: str) -> GangRow | None:
        row: GangRow | None = self.client.cache.get(GANGS, name)
        return row


async def run_agents(path: Path, nodes: Sequence[NodeDescription], capacity: int, folder: Path, say: WriteLine) -> None:
    """Runs the agents of nodes until cancelled.

    Args:
        path: The configuration of the replicas.
        nodes: The nodes.
        capacity: Of each, for gangs' members.
        folder: For each node's log, NODE.jsonl.
        say: Writes a log line.

    Raises:
        InvalidFileError: if the configuration can't be read.
    """
    settings = configuration.read(path)
    key = configuration.read_key(path, settings)
    folder.mkdir(parents=True, exist_ok=True)
    with contextlib.ExitStack() as logs:
        async with anyio.create_task_group() as tasks:
            for facts in nodes:
                log = logs.enter_context(NodeLog(folder / f"{facts.name}.jsonl"))
                process = GangAgentProcess(replace(facts, capacity=capacity), settings, key, say, log)
                tasks.start_soon(process.run)
