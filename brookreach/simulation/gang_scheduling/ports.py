"""What the models of a cluster, a node and its members ask of each other, so that none imports the one around it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Protocol

from brookreach.gang_scheduling.commands import Commands
from brookreach.simulation.gang_scheduling.ground_truth import GroundTruth


class Cluster(Protocol):
    """Virtual time, links and replicas, as a node sees them.

    Attributes:
        random: All chance of the run, in the order of its events.
        lease_ms: Of sessions.
        has_faults: Whether links delay, double and lose messages.
        truth: What nodes record of themselves.
    """

    random: random.Random
    lease_ms: float
    has_faults: bool
    truth: GroundTruth

    @property
    def now_ms(self) -> float:
        """The cluster's clock, which no node sees."""
        ...

    def schedule(self, delay_ms: float, callback: Callable[..., object], *arguments: object) -> None:
        """Calls back after a delay."""
        ...

    def link_delay_ms(self) -> float:
        """Returns the delay of the next message."""
        ...

    def propose(self, client: str, client_kind: str, session: int, command: Commands) -> str | None:
        """Proposes a command now; returns why it was rejected, None where it wasn't."""
        ...

    def renew_session(self, node: str, session: int) -> int | None:
        """Renews a session now, or opens one for 0 and ends the older of its name.

        Returns:
            The session; None where it has ended.
        """
        ...


class NodePort(Protocol):
    """A node, as what works on it sees it."""

    @property
    def name(self) -> str:
        """Of the node."""
        ...

    @property
    def clock_rate(self) -> float:
        """Of its clock beside the cluster's."""
        ...

    @property
    def process(self) -> int:
        """The number of the agent's present process."""
        ...

    def clock_ms(self) -> float:
        """Returns the time of the node's clock."""
        ...

    def notify_agent(self, callback: Callable[..., object], *arguments: object) -> None:
        """Tells the agent's present process of an event."""
        ...
