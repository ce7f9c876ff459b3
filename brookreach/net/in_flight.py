"""A query that is in flight to a node, a pick or a probe, and its outcome.

This module owns the one outcome of a pick: a query that was not written completely never ran, one that was may have
run. It must never read or write a connection.
"""

from __future__ import annotations

import time
from typing import Final, Protocol

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint
from brookreach.net.poller import Expirable
from brookreach.net.statement import Statement

Outcome = ifc.Outcome
PROBE_QUERY = pgwire.query_message(b"SELECT 1")
MS_PER_S: Final = 1000.0


class PickResult:
    """How a pick ended, put into the driver's queue.

    Args:
        rpc_id: The number of its RPC.
        pick_index: Its number among the picks of that RPC, from 0.
        node: The number of its node.
        outcome: How it ended.
        duration_ms: The time from its start to its end.
        answer: The node's messages if it ended with `OK`, else empty.
    """

    def __init__(
        self,
        rpc_id: int,
        pick_index: int,
        node: int,
        outcome: ifc.Outcome,
        duration_ms: float,
        answer: list[bytes | memoryview],
    ) -> None:
        self.rpc_id = rpc_id
        self.pick_index = pick_index
        self.node = node
        self.outcome = outcome
        self.duration_ms = duration_ms
        self.answer = answer


class DriverCallbacks(Protocol):
    """What connections to nodes need of the driver."""

    def enqueue(self, event: ifc.Event | PickResult) -> None:
        """Queue an event."""
        ...

    def is_open(self, rpc: int) -> bool:
        """Whether the RPC still waits for an answer."""
        ...

    def schedule_timeout(self, delay_ms: float, what: Expirable) -> None:
        """Call `what.expire()` after `delay_ms` milliseconds."""
        ...


class QueryTransport(Protocol):
    """The connection that a query is sent over; see `NodeConnection`."""

    def is_partly_written(self) -> bool:
        """Whether the kernel has taken only a part of the query."""
        ...

    def is_written(self) -> bool:
        """Whether the kernel has taken the last byte of the query."""
        ...

    def read_pending(self) -> None:
        """Handle what has arrived since the last turn of the poller."""
        ...

    def discard(self) -> None:
        """Close the connection."""
        ...


class InFlightQuery(Expirable):
    """A pick, or a probe (`rpc_id` 0), that has no outcome yet.

    Args:
        driver: Is told the outcome.
        picks_in_flight: All picks in flight by RPC and index; a pick leaves it when it ends.
        endpoint: Its node.
        rpc_id: The number of its RPC.
        pick_index: Its number among the picks of that RPC, from 0.
        timeout_ms: The time until it ends with `TIMEOUT`.
        write_within_ms: The time within which its last byte must be written.
        statement: The RPC's statement, None for a probe.
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
        self.driver = driver
        self.picks_in_flight = picks_in_flight
        self.endpoint = endpoint
        self.rpc_id = rpc_id
        self.pick_index = pick_index
        self.statement = statement
        self.node = endpoint.listed.entry.node
        self.pick_epoch = endpoint.pick_epoch
        self.started_at = time.monotonic()  # in seconds, as the deadlines are
        self.deadline = self.started_at + timeout_ms / MS_PER_S
        self.write_deadline = self.started_at + write_within_ms / MS_PER_S
        self.transport: QueryTransport | None = None
        self.is_finished = False

    def encode_query(self) -> list[bytes | memoryview]:
        """Return the query as it is to be written now, with the time that is left of its timeout."""
        if self.statement is None:
            return list(PROBE_QUERY)
        return self.statement.encode_query((self.deadline - time.monotonic()) * MS_PER_S)

    def is_obsolete(self) -> bool:
        """Whether the reasons for this pick are gone: its listing, its cap, its time to be written or its client."""
        return (
            self.pick_epoch != self.endpoint.pick_epoch
            or time.monotonic() >= self.write_deadline
            or not self._is_wanted()
        )

    def _is_wanted(self) -> bool:
        return self.statement is None or self.driver.is_open(self.rpc_id)

    def expire(self) -> None:
        """End it by its timeout, unless its answer has arrived."""
        if self.transport is not None and not self.is_finished:
            self.transport.read_pending()  # in a long turn its answer may have arrived without being handled
        self.cancel(Outcome.TIMEOUT)

    def is_settled(self) -> bool:
        """Return whether it has its outcome."""
        return self.is_finished

    def cancel(self, outcome: ifc.Outcome) -> None:
        """End it with `outcome`, or as never run if its last byte was not written; by timeout or by a decision."""
        if self.is_finished:
            return
        transport = self.transport
        if transport is None or not transport.is_written():
            outcome = Outcome.NO_CONNECT if outcome == Outcome.TIMEOUT else Outcome.MOOT
        if transport is not None:
            transport.discard()  # before the outcome is reported: a further pick must not be a second copy
        self.finish(outcome, [])

    def cancel_if_partly_written(self) -> None:
        """End it if the kernel has taken only a part of the query: the rest is never written."""
        if self.transport is not None and self.transport.is_partly_written():
            self.cancel(Outcome.MOOT)

    def finish(self, outcome: ifc.Outcome, answer: list[bytes | memoryview]) -> None:
        """Report its outcome; only the first call does."""
        if self.is_finished:
            return
        self.is_finished = True
        self.transport = None
        duration_ms = (time.monotonic() - self.started_at) * MS_PER_S
        statement = self.statement
        self.statement = None  # freed now: the driver's timer keeps this object for long
        if statement is None:
            self.driver.enqueue(ifc.ProbeEnded(self.node, outcome, duration_ms, {}))
        else:
            self.picks_in_flight.pop((self.rpc_id, self.pick_index), None)
            self.driver.enqueue(PickResult(self.rpc_id, self.pick_index, self.node, outcome, duration_ms, answer))


class WriteDeadline(Expirable):
    """Expires when a query must have been written."""

    def __init__(self, query: InFlightQuery) -> None:
        self.query = query

    def expire(self) -> None:
        """End the query if it is only partly written."""
        self.query.cancel_if_partly_written()

    def is_settled(self) -> bool:
        """Return whether the query has its outcome."""
        return self.query.is_finished
