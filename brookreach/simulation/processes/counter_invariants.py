"""Agents that each count up a number of their own node, and the rules on what they are told of it.

Only what a client may know is used: replies, rows that it read, its cache. The number is the node's capacity, one more
with each command, so that a reply to a later command covers all before it.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from enum import StrEnum

import anyio
import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row, View
from brookreach.coordination.timing import Timing
from brookreach.disruption import commands, tables
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.states import TargetStatus
from brookreach.simulation.processes.cluster_configuration import GROUP_NAME, ClusterConfiguration
from brookreach.simulation.processes.socket_client import SocketClient

REQUEST_INTERVAL_S = 0.04
REQUESTS_PER_READ = 4
MAX_PENDING = 4
DIGEST_CHARACTERS = 16
TABLES: dict[str, type[Row]] = {tables.NODES: tables.NodeRow}
TIMING = Timing(heartbeat_ms=50.0, election_timeout_ms=300.0, lease_ms=1500.0)


class Rule(StrEnum):
    """A rule by the text that reports print."""

    CACHES_AGREE = "mirrors of one place are alike"
    ACKNOWLEDGED_IS_DURABLE = "no acknowledged record lost"
    ONE_REPLY_PER_REQUEST = "one answer a question"
    NEVER_GOES_BACK = "nothing goes back"
    READS_ARE_FRESH = "reads are fresh"


class CounterInvariants:
    """The rules over all agents together."""

    def __init__(self, report_violation: Callable[[str, str], None], record_check: Callable[[str], None]):
        self.report_violation = report_violation
        self.record_check = record_check
        self._digests: dict[int, tuple[str, str]] = {}  # by index: the first cache's digest, and whose it was

    def check_cache(self, agent: str, index: int, cache: View) -> None:
        """All caches hold the same rows at one index."""
        rows = [(key, msgspec.msgpack.encode(row)) for key, row in cache.rows(tables.NODES)]
        digest = hashlib.sha256(msgspec.msgpack.encode(rows)).hexdigest()[:DIGEST_CHARACTERS]
        self.record_check(Rule.CACHES_AGREE)
        first_digest, first_agent = self._digests.setdefault(index, (digest, agent))
        if first_digest != digest:
            text = f"at {index}: {first_agent} holds {first_digest}, {agent} {digest}"
            self.report_violation(Rule.CACHES_AGREE, text)

    def check_at_end(self, agents: Sequence[CountingAgent]) -> None:
        """What was acknowledged is seen, and nothing is seen that was not asked for."""
        for agent in agents:
            self.record_check(Rule.ACKNOWLEDGED_IS_DURABLE)
            if not agent.acknowledged <= agent.seen <= agent.requested:
                text = f"{agent.name} sees {agent.seen}, {agent.acknowledged} of {agent.requested} were acknowledged"
                self.report_violation(Rule.ACKNOWLEDGED_IS_DURABLE, text)


class CountingAgent:
    """One agent: its client and its script.

    Attributes:
        name: Its name, and that of its node.
        requested: The last number that it asked for.
        acknowledged: The last number that it was told is agreed.
        seen: The number in its cache.
    """

    def __init__(
        self, name: str, configuration: ClusterConfiguration, invariants: CounterInvariants, rng: random.Random
    ):
        self.name = name
        self.requested = 0
        self.acknowledged = 0
        self.seen = 0
        self._invariants = invariants
        self._rng = rng
        self._turns = 0
        self._pending: dict[int, int] = {}  # the numbers asked for, by sequence number
        self._reads: dict[int, int] = {}  # by sequence number: what had been acknowledged as the read was sent
        self._client = Client(name, "agent", configuration.replicas, TIMING, rng, TABLES)
        ports = configuration.relay_ports_of(name)
        self._connection = SocketClient(
            self._client, GROUP_NAME, configuration.key, ports, self._on_message, self._on_event
        )

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._connection.run)
            while True:
                await anyio.sleep(self._rng.uniform(0.5, 1.5) * REQUEST_INTERVAL_S)
                self._take_turn()
                self._connection.wake()

    def _take_turn(self) -> None:
        self._turns += 1
        if not self._client.connected:
            return
        if self._turns % REQUESTS_PER_READ == 0:
            self._reads[self._turns] = self.acknowledged
            self._connection.extra_messages.append(messages.ReadRequest(self._turns, tables.NODES, self.name))
        elif len(self._pending) < MAX_PENDING:
            self._count_up()

    def _count_up(self) -> None:
        number = self.requested + 1
        index = self._client.cache.index
        command = commands.ReportNode(self.name, "z1", 1, "drill", number, TargetStatus.READY, 1, True, index)
        try:
            seq = self._client.propose(now_ms(), APPLICATION.name, command)
        except TooManyRequestsError:
            return
        self._pending[seq] = number
        self.requested = number

    def _on_event(self, event: events.ClientEvent) -> None:
        match event:
            case events.ReplyReceived() | events.OutcomeUnknown():
                self._on_reply(event)
            case events.RowsChanged():
                self._invariants.check_cache(self.name, self._client.cache.index, self._client.cache)
                self._on_row(self._client.cache.get(tables.NODES, self.name))

    def _on_reply(self, event: events.ReplyReceived | events.OutcomeUnknown) -> None:
        self._invariants.record_check(Rule.ONE_REPLY_PER_REQUEST)
        number = self._pending.pop(event.seq, None)
        if number is None:
            text = f"{self.name}: question {event.seq} is answered twice"
            self._invariants.report_violation(Rule.ONE_REPLY_PER_REQUEST, text)
        elif isinstance(event, events.ReplyReceived) and event.ok:
            self.acknowledged = max(self.acknowledged, number)

    def _on_row(self, row: tables.NodeRow | None) -> None:
        self._invariants.record_check(Rule.NEVER_GOES_BACK)
        if row is None:
            return
        if row.capacity < self.seen:
            text = f"{self.name} sees {row.capacity} after {self.seen}"
            self._invariants.report_violation(Rule.NEVER_GOES_BACK, text)
        self.seen = row.capacity

    def _on_message(self, body: messages.Body) -> None:
        if not isinstance(body, messages.ReadReply) or body.seq not in self._reads:
            return
        minimum = self._reads.pop(body.seq)
        self._invariants.record_check(Rule.READS_ARE_FRESH)
        found = [
            msgspec.msgpack.decode(change.octets, type=tables.NodeRow).capacity
            for change in body.rows
            if change.key == self.name and change.octets is not None
        ]
        if minimum and (not found or found[0] < minimum):
            text = f"{self.name} read {found} where {minimum} had been acknowledged"
            self._invariants.report_violation(Rule.READS_ARE_FRESH, text)
