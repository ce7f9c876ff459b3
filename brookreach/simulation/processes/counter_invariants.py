"""What agents were told of the figure that each counts up for its own node, and the rules on it.

Only what a client may know is used: answers, rows read, its mirror. The figure is the node's `room`, one
more with each question, so an answer to a later question covers all before it.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.disruption import commands, tables
from brookreach.disruption.states import TargetStatus
from brookreach.simulation.processes.client import Talker, now_ms
from brookreach.simulation.processes.program import Group

ASK_S, READ_EVERY = 0.04, 4
TABLES: dict[str, Any] = {tables.NODES: tables.NodeRow}
TIMING = Timing(heartbeat_ms=50.0, election_timeout_ms=300.0, lease_ms=1500.0)
Say = Callable[[str, str], None]


class Facts:
    """Rules over all agents together."""

    def __init__(self, say: Say, look: Callable[[str], None]):
        self.say, self.look = say, look
        self.digests: dict[int, tuple[str, str]] = {}  # by place: the first mirror's digest, whose

    def mirrored(self, who: str, index: int, mirror: Any) -> None:
        held = [(key, msgspec.msgpack.encode(row)) for key, row in mirror.rows(tables.NODES)]
        digest = hashlib.sha256(msgspec.msgpack.encode(held)).hexdigest()[:16]
        self.look("mirrors of one place are alike")
        first, whose = self.digests.setdefault(index, (digest, who))
        if first != digest:
            self.say("mirrors of one place are alike", f"at {index}: {whose} holds {first}, {who} {digest}")

    def at_end(self, nodes: Sequence[Node]) -> None:
        for node in nodes:
            self.look("no acknowledged record lost")
            if not node.acknowledged <= node.seen <= node.asked:
                self.say(
                    "no acknowledged record lost",
                    f"{node.name} sees {node.seen}, {node.acknowledged} of {node.asked} were acknowledged",
                )


class Node:
    """One agent: its client, its script."""

    def __init__(self, name: str, group: Group, facts: Facts, chance: random.Random):
        self.name, self.facts, self.chance = name, facts, chance
        self.asked = self.acknowledged = self.seen = self.count = 0
        self.figures: dict[int, int] = {}  # by number of the question
        self.reads: dict[int, int] = {}  # by number of the read: what had been acknowledged
        ports = {target: port for (source, target), port in group.relayed.items() if source == name}
        self.client = Client(name, "agent", group.keepers, TIMING, chance, TABLES)
        self.talker = Talker(self.client, "drill", group.key, ports, self.heard, self.news)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.talker.run)
            while True:
                await anyio.sleep(self.chance.uniform(0.5, 1.5) * ASK_S)
                self.turn()
                self.talker.came.set()

    def turn(self) -> None:
        self.count += 1
        client = self.client
        if not client.connected:
            return
        if self.count % READ_EVERY == 0:
            self.reads[self.count] = self.acknowledged
            self.talker.beside.append(messages.ReadRequest(self.count, tables.NODES, self.name))
        elif len(self.figures) < 4:
            order = commands.ReportNode(
                self.name, "z1", 1, "drill", self.asked + 1, TargetStatus.READY, 1, True, client.cache.index
            )
            try:
                self.figures[client.propose(now_ms(), "outages", order)] = self.asked + 1
                self.asked += 1
            except TooManyRequestsError:
                return

    def news(self, event: events.ClientEvent) -> None:
        match event:
            case events.ReplyReceived() | events.OutcomeUnknown():
                self.facts.look("one answer a question")
                figure = self.figures.pop(event.seq, None)
                if figure is None:
                    self.facts.say("one answer a question", f"{self.name}: question {event.seq} is answered twice")
                elif isinstance(event, events.ReplyReceived) and event.ok:
                    self.acknowledged = max(self.acknowledged, figure)
            case events.RowsChanged():
                self.facts.mirrored(self.name, event.index, self.client.cache)
                self.saw(self.client.cache.get(tables.NODES, self.name))

    def saw(self, row: Any) -> None:
        self.facts.look("nothing goes back")
        if row is not None and row.capacity < self.seen:
            self.facts.say("nothing goes back", f"{self.name} sees {row.capacity} after {self.seen}")
        if row is not None:
            self.seen = row.capacity

    def heard(self, body: messages.Body) -> None:
        if not isinstance(body, messages.ReadReply) or body.seq not in self.reads:
            return
        least = self.reads.pop(body.seq)
        self.facts.look("reads are fresh")
        found = [
            msgspec.msgpack.decode(one.octets, type=tables.NodeRow).capacity
            for one in body.rows
            if one.key == self.name and one.octets is not None
        ]
        if least and (not found or found[0] < least):
            self.facts.say("reads are fresh", f"{self.name} read {found} where {least} had been acknowledged")
