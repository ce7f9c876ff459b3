"""A client of the group as a simulated process, and the interface of the script that uses it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from brookreach.coordination.client.client import Client
from brookreach.coordination.client.events import ClientEvent
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine import process_timing
from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.faults import Fault, FaultKind
from brookreach.simulation.engine.process import SimulatedProcess
from brookreach.simulation.engine.process_events import ConnectionLost, ProcessEvent, TimerFired


class ClientScript(Protocol):
    """What a client does by itself. It learns only what the client's events tell."""

    def on_start(self, process: SimulatedClient) -> None:
        """A new incarnation has started."""
        ...

    def on_timer(self, process: SimulatedClient, action: str) -> None:
        """A timer of this incarnation has fired."""
        ...

    def on_event(self, process: SimulatedClient, event: ClientEvent) -> None:
        """The client reports an event."""
        ...


class SimulatedClient(SimulatedProcess):
    """A client with its script.

    Attributes:
        tables: The tables that it watches, with the types of their rows.
        client: The program's object; of an earlier incarnation while the process is down.
    """

    def __init__(
        self,
        environment: Environment,
        name: str,
        timing: Timing,
        members: tuple[str, ...],
        tables: Mapping[str, type[Row]],
        script: ClientScript,
        kind: messages.ClientKind = "marshal",
    ):
        super().__init__(environment, name, timing)
        self.tables = tables
        self.client: Client
        self._members = members
        self._script = script
        self._kind = kind

    def _on_start(self) -> None:
        self.environment.observer.on_client_started(self.name)
        timing = process_timing.timing_of_process(self.timing)
        self.client = Client(self.name, self._kind, self._members, timing, self.make_rng(), self.tables)
        self._script.on_start(self)
        self._handle_output()

    def _on_death(self) -> None:
        self.environment.network.close_connection(self)

    def state(self) -> Client:
        """Return the client, for a digest."""
        return self.client

    def applied_index(self) -> int:
        """Return the index that its copy of the tables has reached."""
        return self.client.cache.index

    def _next_wakeup_ms(self) -> float | None:
        return self.client.next_wakeup_ms()

    def _on_time_passed(self) -> None:
        self.client.advance_time(self.now_ms())
        self._handle_output()

    def _on_message(self, source: str, body: messages.Body) -> None:
        self.client.handle_message(self.now_ms(), source, body)
        self._handle_output()

    def _on_other_event(self, event: ProcessEvent) -> None:
        match event:
            case ConnectionLost() if (event.replica, event.connection) == (self.server, self.connection):
                self.client.connection_lost(self.now_ms())
            case TimerFired() if event.incarnation == self.incarnation:
                self._script.on_timer(self, event.action)
        self._handle_output()

    def _handle_output(self) -> None:
        for target, body in self.client.take_outgoing():
            if isinstance(body, messages.OpenSession):
                self.environment.network.close_connection(self)
                self.server = target
                self.connection += 1
            self.send(target, body)
        for event in self.client.take_events():
            self._script.on_event(self, event)

    # --- faults ---

    def begin_fault(self, fault: Fault) -> None:
        """Carry out a fault; a client that is terminated closes its session first."""
        if fault.kind is FaultKind.TERMINATE and self.is_running:
            self.client.close(self.now_ms())
            self._run_guarded(self._handle_output)
        else:
            super().begin_fault(fault)

    def end_fault(self, fault: Fault) -> None:
        """Undo a fault, and start the client again if that ended it."""
        if fault.kind is FaultKind.TERMINATE and self.is_running:
            self.die("ended")
        super().end_fault(fault)
