"""A client that reads from one replica and never moves to another.

It sends the messages itself, without the program's `Client`, so that a deposed leader always has somebody to answer.
"""

from __future__ import annotations

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.process import SimulatedProcess
from brookreach.simulation.engine.process_events import ConnectionLost, ProcessEvent, TimerFired

READ_INTERVAL_MS = 40.0
REOPEN_DELAY_MS = 200.0
OPEN_TIMEOUT_MS = 4.0 * REOPEN_DELAY_MS
READS_PER_KEEPALIVE = 6


class PinnedReader(SimulatedProcess):
    """Reads a table again and again."""

    def __init__(self, environment: Environment, name: str, timing: Timing, replica: str, table: str):
        super().__init__(environment, name, timing)
        self.server = replica
        self._table = table
        self._session = 0
        self._turns = 0
        self._open_at_ms = 0.0  # by its own clock: when it may open another session

    def _on_start(self) -> None:
        self.environment.observer.on_client_started(self.name)
        self._session = 0
        self._open_at_ms = self.now_ms()
        self.start_timer(READ_INTERVAL_MS)

    def _on_other_event(self, event: ProcessEvent) -> None:
        match event:
            case ConnectionLost() if (event.replica, event.connection) == (self.server, self.connection):
                self._leave_session()
            case TimerFired() if event.incarnation == self.incarnation:
                self.start_timer(READ_INTERVAL_MS)
                self._take_turn()

    def _take_turn(self) -> None:
        self._turns += 1
        if not self._session:
            if self.now_ms() >= self._open_at_ms:
                self._open_session()
            return
        self.send(self.server, messages.ReadRequest(self.incarnation << 32 | self._turns, self._table, ""))
        if self._turns % READS_PER_KEEPALIVE == 0:
            self.send(self.server, messages.KeepAlive(self._session, self._turns))

    def _open_session(self) -> None:
        self.environment.network.close_connection(self)
        self.connection += 1
        self._open_at_ms = self.now_ms() + OPEN_TIMEOUT_MS
        self.send(self.server, messages.OpenSession(self.name, "operator", 0, 1))

    def _leave_session(self) -> None:
        self._session = 0
        self._open_at_ms = self.now_ms() + REOPEN_DELAY_MS

    def _on_message(self, source: str, body: messages.Body) -> None:  # noqa: ARG002  it has one replica only
        if isinstance(body, messages.SessionOpened):
            self._session = body.session
        elif isinstance(body, messages.RequestRejected):
            self._leave_session()

    def _on_death(self) -> None:
        self.environment.network.close_connection(self)

    def _on_time_passed(self) -> None:
        """It sets no alarm."""

    def _next_wakeup_ms(self) -> float | None:
        return None

    def state(self) -> tuple[int, float]:
        """Return all that it knows, for a digest."""
        return self._session, self._open_at_ms

    def applied_index(self) -> int | None:
        """It holds no copy of the state."""
        return None
