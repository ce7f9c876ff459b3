"""What clients and nodes saw of one run. Times are `time.monotonic()` of the drill's own process, in seconds."""

from __future__ import annotations

import signal
import time
from dataclasses import dataclass, field
from enum import StrEnum


class Outcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"  # 53300 or 57P03: nothing ran
    FAILED = "failed"  # any other error
    CLOSED = "closed with no answer"
    LEFT = "left by its client"
    OPEN = "open at the end of the run"


@dataclass(slots=True)
class Request:
    """One request of a client.

    Attributes:
        name: The id in its statement.
        is_safe: Whether it may run twice.
        wait_s: How long its client waits, from `written_at`.
        is_first: Whether it is the first one of its connection.
        behind: How many requests of its connection had no answer when it was written.
        batch: Names the requests that were written in one piece with it.
        previous: The request that its answer has to follow: the last one before it that had no answer.
        written_at: When the kernel took its last byte; infinite until then.
        ended_at: When its last byte of answer was read, its connection was seen to end or its client left.
        value: The value that was served.
        unbound_reason: Why no rule binds it; empty where rules bind it.
    """

    name: str
    is_safe: bool
    wait_s: float
    is_first: bool
    behind: int
    batch: str = ""
    previous: Request | None = field(default=None, repr=False)
    written_at: float = float("inf")
    ended_at: float = float("inf")
    outcome: Outcome = Outcome.OPEN
    value: bytes = b""
    unbound_reason: str = ""

    def end(self, outcome: Outcome, value: bytes = b"") -> None:
        """Note how it ended."""
        self.outcome, self.value, self.ended_at = outcome, value, time.monotonic()


class AttemptEnd(StrEnum):
    """What a node did with an attempt."""

    OPEN = "no answer"
    SERVED = "served"
    REFUSED = "refused"
    ERROR = "error"
    RESET = "reset"


@dataclass(slots=True)
class Attempt:
    """One request as a node got it.

    Attributes:
        name: The id in its statement.
        node: The node's number.
        build: The build that the node runs.
        began_at: When its first byte was read.
        whole_at: When its last byte was read.
        told_ms: The time that the statement tells the node.
        abandoned_at: When the balancer ended the connection under it.
    """

    name: str
    node: int
    build: int
    began_at: float
    whole_at: float
    told_ms: float
    end: AttemptEnd = AttemptEnd.OPEN
    abandoned_at: float = float("inf")


@dataclass(frozen=True, slots=True)
class SentSignal:
    """A signal as it was sent, before the system call."""

    at: float
    number: signal.Signals


@dataclass(slots=True)
class Record:
    """All that was seen in one run.

    Attributes:
        surplus_messages: What came on a connection without a request that it could answer, one text each.
        draining_told_at: By node: when its drain was written to the balancer.
        service_gaps: What did not serve in time after a fault, one text each.
        exit_code: Of the process that was told to stop; None where it had to be killed.
        ready_s: How long each start took until an empty query was answered.
        held_up_s: The most that the machine held the process up, beside the pauses of the scenario.
        loop_delay_s: The most by which the drill itself was late.
    """

    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    signals: list[SentSignal] = field(default_factory=list)
    surplus_messages: list[str] = field(default_factory=list)
    draining_told_at: dict[int, float] = field(default_factory=dict)
    service_gaps: list[str] = field(default_factory=list)
    refused_connections: int = 0
    exit_code: int | None = None
    ended_by_itself_s: float = float("inf")
    ready_s: list[float] = field(default_factory=list)
    held_up_s: float = 0.0
    loop_delay_s: float = 0.0

    @property
    def measured_delay_s(self) -> float:
        """Return by how much what was seen may be late because the machine was busy."""
        return self.held_up_s + self.loop_delay_s

    def sent_at(self, number: signal.Signals) -> float:
        """Return when a signal was first sent; infinite if it never was."""
        return min((sent.at for sent in self.signals if sent.number == number), default=float("inf"))
