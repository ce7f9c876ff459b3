"""Operators and other clients of the group in a drill's own process, behind the relay like all others.

They are the program's own `Client` and `ClientConnection`; they only hear what replicas answer. The times of a
drill's group stand here, as every client keeps to them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from typing import NamedTuple

import anyio

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.client.events import ClientEvent, OutcomeUnknown, ReplyReceived, RowsChanged
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row
from brookreach.coordination.timing import Timing
from brookreach.simulation.processes.program import Group

TIMES = Timing(
    heartbeat_ms=100.0, election_timeout_ms=1000.0, lease_ms=3000.0
)  # a keeper that waits for a core still leads
LEASE_S, LOOK_S = TIMES.lease_ms / 1000.0, 0.01
START_S, GOES_ON_S = 300.0, 180.0  # seconds of an idle machine, minutes of one that is busy with other work


class Asked(NamedTuple):
    """An operator's order with its answer."""

    who: str
    order: Command
    answer: ReplyReceived


class Operator:
    """A client in the drill's process, behind the relay like all others. `all`: orders with answers."""

    def __init__(
        self,
        name: str,
        group: Group,
        tables: Mapping[str, type[Row]],
        seed: int,
        changed: Callable[[RowsChanged], None] | None = None,
        kind: messages.ClientKind = "operator",
    ):
        ports = {target: ("127.0.0.1", port) for (source, target), port in group.relayed.items() if source == name}
        self.name, self.changed = name, changed
        self.client = Client(name, kind, tuple(ports), TIMES, random.Random(f"{seed} {name}"), tables)
        self.dial = ClientConnection(self.client, "drill", group.key, ports, self.hear)
        self.asked: dict[int, Command] = {}
        self.answers: dict[int, ReplyReceived | None] = {}
        self.all: list[Asked] = []

    def hear(self, event: ClientEvent) -> None:
        if isinstance(event, ReplyReceived):
            self.answers[event.seq] = event
            self.all.append(Asked(self.name, self.asked[event.seq], event))
        elif isinstance(event, OutcomeUnknown):
            self.answers[event.seq] = None
        elif isinstance(event, RowsChanged) and self.changed is not None:
            self.changed(event)

    @property
    def settled(self) -> bool:
        """Nothing that it asked is still on its way."""
        return len(self.answers) == len(self.asked)

    @property
    def place(self) -> int:
        """Where in the log its last agreed order stands."""
        return max((one.answer.index for one in self.all), default=0)

    def say(self, piece: str, order: Command) -> int:
        seq = self.client.propose(now_ms(), piece, order)
        self.asked[seq] = order
        self.dial.wake()
        return seq

    def try_to_say(self, piece: str, order: Command) -> int | None:
        """As `say`; None where as many questions are open as a client may have."""
        try:
            return self.say(piece, order)
        except TooManyRequestsError:
            return None

    async def ask(self, piece: str, order: Command, within_s: float = GOES_ON_S) -> ReplyReceived | None:
        """None: what became of it is not known, or not yet. With too many open questions it waits for a place."""
        with anyio.move_on_after(within_s):
            while (seq := self.try_to_say(piece, order)) is None:
                await anyio.sleep(LOOK_S)
            while seq not in self.answers:
                await anyio.sleep(LOOK_S)
            return self.answers[seq]
        return None

    async def agreed(self, piece: str, order: Command, within_s: float = GOES_ON_S) -> ReplyReceived | None:
        """The answer that takes an order which may be said twice: it is asked again until there is one."""
        with anyio.move_on_after(within_s):
            while (answer := await self.ask(piece, order, within_s)) is None or not answer.ok:
                await anyio.sleep(LOOK_S)
            return answer
        return None
