"""Operators and other clients of a drill's group, in the drill's own process and behind the relay like all others.

They are the program's own `Client` and `ClientConnection`; they know only what replicas reply. The times of the group
stand here, as every client keeps to them.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.client.events import ClientEvent, OutcomeUnknown, ReplyReceived, RowsChanged
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row
from brookreach.coordination.timing import Timing
from brookreach.simulation.processes.cluster_configuration import GROUP_NAME, ClusterConfiguration
from brookreach.simulation.processes.ports import HOST

# So long that a replica which waits for a core still leads.
GROUP_TIMING = Timing(heartbeat_ms=100.0, election_timeout_ms=1000.0, lease_ms=3000.0)
LEASE_S = GROUP_TIMING.lease_ms / 1000.0
POLL_INTERVAL_S = 0.01
# Seconds of an idle machine, minutes of one that is busy with other work.
STARTUP_TIMEOUT_S = 300.0
PROGRESS_TIMEOUT_S = 180.0


@dataclass(frozen=True, slots=True)
class RepliedCommand:
    """A command of a client with its reply."""

    client: str
    command: Command
    reply: ReplyReceived


class Operator:
    """A client of the group.

    Attributes:
        name: Its name in the group.
        client: The program's object.
        connection: What runs the client; its `run` has to be started by the drill.
        on_rows_changed: Called when a table that it watches has changed.
        commands: All that it submitted, by sequence number.
        replies: The replies, by sequence number; None where the outcome is unknown.
        replied_commands: The commands that were replied to, in the order of their replies.
    """

    def __init__(
        self,
        name: str,
        configuration: ClusterConfiguration,
        tables: Mapping[str, type[Row]],
        seed: int,
        on_rows_changed: Callable[[RowsChanged], None] | None = None,
        kind: messages.ClientKind = "operator",
    ):
        addresses = {target: (HOST, port) for target, port in configuration.relay_ports_of(name).items()}
        rng = random.Random(f"{seed} {name}")
        self.name = name
        self.on_rows_changed = on_rows_changed
        self.client = Client(name, kind, tuple(addresses), GROUP_TIMING, rng, tables)
        self.connection = ClientConnection(self.client, GROUP_NAME, configuration.key, addresses, self.on_event)
        self.commands: dict[int, Command] = {}
        self.replies: dict[int, ReplyReceived | None] = {}
        self.replied_commands: list[RepliedCommand] = []

    def on_event(self, event: ClientEvent) -> None:
        """Take note of a reply, or pass on that rows have changed."""
        match event:
            case ReplyReceived():
                self.replies[event.seq] = event
                self.replied_commands.append(RepliedCommand(self.name, self.commands[event.seq], event))
            case OutcomeUnknown():
                self.replies[event.seq] = None
            case RowsChanged():
                if self.on_rows_changed is not None:
                    self.on_rows_changed(event)

    @property
    def is_settled(self) -> bool:
        """Whether nothing that it submitted is still under way."""
        return len(self.replies) == len(self.commands)

    @property
    def last_index(self) -> int:
        """The log index of its last committed command."""
        return max((replied.reply.index for replied in self.replied_commands), default=0)

    def submit(self, application: str, command: Command) -> int:
        """Send a command; return its sequence number.

        Raises:
            TooManyRequestsError: As many requests are open as a client may have.
        """
        seq = self.client.propose(now_ms(), application, command)
        self.commands[seq] = command
        self.connection.wake()
        return seq

    def try_submit(self, application: str, command: Command) -> int | None:
        """Send a command; return None where too many requests are open."""
        try:
            return self.submit(application, command)
        except TooManyRequestsError:
            return None

    async def request(
        self, application: str, command: Command, timeout_s: float = PROGRESS_TIMEOUT_S
    ) -> ReplyReceived | None:
        """Send a command and wait for its reply; with too many open requests it waits before it sends.

        Returns:
            The reply; None where the outcome is unknown, or there is none in time.
        """
        with anyio.move_on_after(timeout_s):
            while (seq := self.try_submit(application, command)) is None:
                await anyio.sleep(POLL_INTERVAL_S)
            while seq not in self.replies:
                await anyio.sleep(POLL_INTERVAL_S)
            return self.replies[seq]
        return None

    async def request_until_accepted(
        self, application: str, command: Command, timeout_s: float = PROGRESS_TIMEOUT_S
    ) -> ReplyReceived | None:
        """Send an idempotent command again until it is accepted; return that reply, None if there is none in time."""
        with anyio.move_on_after(timeout_s):
            while (reply := await self.request(application, command, timeout_s)) is None or not reply.ok:
                await anyio.sleep(POLL_INTERVAL_S)
            return reply
        return None
