"""A pick that is under way at a node, and how it ended.

It owns the one outcome of a pick: what was not written whole never ran, what was may have. It must never read or
write a connection.
"""

from __future__ import annotations

import time
from typing import Protocol

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint
from brookreach.net.poller import Expirable
from brookreach.net.statement import Statement

Outcome = ifc.Outcome
PROBE_QUERY = pgwire.query_message(b"SELECT 1")


class PickResult:
    """How a pick ended; `answer` are the node's messages where it ended ok."""

    def __init__(
        self,
        rpc_id: int,
        pick_index: int,
        node: int,
        outcome: ifc.Outcome,
        duration_ms: float,
        answer: list[bytes | memoryview],
    ) -> None:
        self.rpc_id, self.pick_index, self.node, self.outcome = rpc_id, pick_index, node, outcome
        self.duration_ms, self.answer = duration_ms, answer


class DriverCallbacks(Protocol):
    """Whom outcomes are told to: the driver."""

    def enqueue(self, event: ifc.Event | PickResult) -> None: ...

    def is_open(self, rpc: int) -> bool: ...

    def schedule_timeout(self, delay_ms: float, what: Expirable) -> None: ...


class QueryTransport(Protocol):
    """The connection that a pick goes over."""

    def is_partly_written(self) -> bool: ...

    def is_written(self) -> bool: ...

    def read_pending(self) -> None: ...

    def discard(self) -> None: ...


class InFlightQuery(Expirable):
    """A pick that has no outcome yet, or a probe (`rpc_id` 0). Its last byte is written within `write_within_ms`.

    `picks_in_flight` holds the picks in flight by RPC and number; it leaves this one as it ends.
    """

    def __init__(
        self,
        driver: DriverCallbacks,
        picks_in_flight: dict[tuple[int, int], InFlightQuery],
        endpoint: Endpoint,
        rpc_id: int,
        pick_index: int,
        timeout_ms: float,
        write_within_ms: float,
        statement: Statement | None,
    ) -> None:
        self.driver, self.picks_in_flight = driver, picks_in_flight
        self.endpoint, self.rpc_id, self.pick_index, self.statement = endpoint, rpc_id, pick_index, statement
        self.node, self.pick_epoch = endpoint.listed.entry.node, endpoint.pick_epoch
        self.started_at = time.monotonic()
        self.deadline, self.write_deadline = (
            self.started_at + timeout_ms / 1000.0,
            self.started_at + write_within_ms / 1000.0,
        )
        self.transport: QueryTransport | None = None
        self.is_finished = False

    def encode_query(self) -> list[bytes | memoryview]:
        """The query as it is written now, with the wait that is left."""
        if self.statement is None:
            return list(PROBE_QUERY)
        return self.statement.encode_query((self.deadline - time.monotonic()) * 1000.0)

    def is_obsolete(self) -> bool:
        """Whether what made this pick right when it was decided has gone: listing, cap, window or client."""
        return (
            self.pick_epoch != self.endpoint.pick_epoch
            or time.monotonic() >= self.write_deadline
            or not self._is_wanted()
        )

    def _is_wanted(self) -> bool:
        return self.statement is None or self.driver.is_open(self.rpc_id)

    def expire(self) -> None:
        """Its time is over."""
        if self.transport is not None and not self.is_finished:
            self.transport.read_pending()  # in a long turn its answer may have come, and not been looked at
        self.cancel(Outcome.TIMEOUT)

    def cancel(self, outcome: ifc.Outcome) -> None:
        """End it by time or by the module's wish. Before its last byte was written, it never ran."""
        if self.is_finished:
            return
        link = self.transport
        if link is None or not link.is_written():
            outcome = Outcome.NO_CONNECT if outcome == Outcome.TIMEOUT else Outcome.MOOT
        if link is not None:
            link.discard()  # before the outcome is told: a further pick must be no second copy
        self.finish(outcome, [])

    def cancel_if_partly_written(self) -> None:
        """A query of which the kernel took only a part is never made whole."""
        if self.transport is not None and self.transport.is_partly_written():
            self.cancel(Outcome.MOOT)

    def finish(self, outcome: ifc.Outcome, answer: list[bytes | memoryview]) -> None:
        """Tell its outcome, once."""
        if self.is_finished:
            return
        self.is_finished, self.transport = True, None
        took = (time.monotonic() - self.started_at) * 1000.0
        statement, self.statement = self.statement, None  # its alarm keeps this for long
        if statement is None:
            self.driver.enqueue(ifc.ProbeEnded(self.node, outcome, took, {}))
        else:
            self.picks_in_flight.pop((self.rpc_id, self.pick_index), None)
            self.driver.enqueue(PickResult(self.rpc_id, self.pick_index, self.node, outcome, took, answer))


class WriteDeadline(Expirable):
    """The alarm of when a query's time for being written is over."""

    def __init__(self, flight: InFlightQuery) -> None:
        self.flight = flight

    def expire(self) -> None:
        self.flight.cancel_if_partly_written()
