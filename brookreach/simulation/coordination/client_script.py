"""The script of a drill's client: it counts, reads, and holds locks that one client may hold at a time.

It goes by the events of its `Client` alone, as any program would; a lock is held under the session that acquired it.
Reads are sent beside the `Client`, which has none.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

from brookreach.coordination.client import events
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command
from brookreach.simulation.coordination import sample_application
from brookreach.simulation.coordination.invariants import InvariantChecker
from brookreach.simulation.coordination.rules import Rule
from brookreach.simulation.engine.client_process import SimulatedClient

USE_INTERVAL_MS = 10.0  # how often a holder uses its locks
MIN_FIRST_REQUEST_MS = 5.0
RESOURCES = ("one", "two", "three", "four")
READ_TABLES = (sample_application.COUNTERS, sample_application.LOCKS)
ADD_FRACTION = 0.5
READ_FRACTION = 0.2


class Action(StrEnum):
    """What a timer of the script is for."""

    REQUEST = "request"
    USE_LOCKS = "use locks"


@dataclass(frozen=True, slots=True)
class HeldLock:
    """A lock that the client holds."""

    session: int
    fence: int


class SampleClientScript:
    """Implements `ClientScript`."""

    def __init__(self, rng: random.Random, checker: InvariantChecker, request_interval_ms: float):
        self._rng = rng
        self._checker = checker
        self._request_interval_ms = request_interval_ms
        self._requests = 0
        self._pending: dict[int, Command] = {}  # by sequence number
        self._locks: dict[str, HeldLock] = {}  # by resource

    def on_start(self, process: SimulatedClient) -> None:
        """Begin without any lock."""
        self._pending = {}
        self._locks = {}
        first_ms = self._rng.uniform(MIN_FIRST_REQUEST_MS, self._request_interval_ms)
        process.start_timer(first_ms, Action.REQUEST)
        process.start_timer(USE_INTERVAL_MS, Action.USE_LOCKS)

    def on_timer(self, process: SimulatedClient, action: str) -> None:
        """Use the locks that are held, or make a request."""
        if action == Action.USE_LOCKS:
            process.start_timer(USE_INTERVAL_MS, Action.USE_LOCKS)
            self._use_locks(process)
            return
        process.start_timer(self._rng.uniform(0.5, 1.5) * self._request_interval_ms, Action.REQUEST)
        self._requests += 1
        self._make_request(process)

    def _make_request(self, process: SimulatedClient) -> None:
        draw = self._rng.random()
        resource = self._rng.choice(RESOURCES)
        if draw < ADD_FRACTION:
            token = f"{process.name}.{process.incarnation}.{self._requests}"
            self._propose(process, sample_application.Add(token, process.name))
        elif draw < ADD_FRACTION + READ_FRACTION:
            self._read(process, self._rng.choice(READ_TABLES))
        elif resource in self._locks and process.client.connected:  # while cut off it uses a lock as long as it may
            lock = self._locks.pop(resource)  # it stops before it says so
            self._propose(process, sample_application.Release(resource, lock.fence))
        elif resource not in self._locks and sample_application.Acquire(resource) not in self._pending.values():
            self._propose(process, sample_application.Acquire(resource))

    def _propose(self, process: SimulatedClient, command: Command) -> None:
        try:
            seq = process.client.propose(process.now_ms(), sample_application.APPLICATION.name, command)
        except TooManyRequestsError:
            self._checker.record_check(Rule.FULL_QUEUE_IS_REPORTED)
            return
        self._pending[seq] = command

    def _read(self, process: SimulatedClient, table: str) -> None:
        if process.client.connected:
            seq = process.incarnation << 32 | self._requests
            process.send(process.client.replica, messages.ReadRequest(seq, table, ""))

    def _use_locks(self, process: SimulatedClient) -> None:
        for resource, lock in sorted(self._locks.items(), key=lambda item: item[0]):
            if process.client.fencing_token(process.now_ms()) == lock.session:
                self._checker.check_holder(
                    process.true_now_ms, process.name, sample_application.LOCKS, resource, lock.fence
                )

    def on_event(self, process: SimulatedClient, event: events.ClientEvent) -> None:
        """Take note of replies, and of a session that has ended."""
        match event:
            case events.SessionLost():
                self._locks = {}
            case events.OutcomeUnknown():
                self._pending.pop(event.seq, None)
            case events.ReplyReceived():
                command = self._pending.pop(event.seq, None)
                if event.ok and isinstance(command, sample_application.Acquire):
                    self._locks[command.resource] = HeldLock(process.client.session, event.index)
