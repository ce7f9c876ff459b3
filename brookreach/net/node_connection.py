"""One connection to a node, the pick that is under way on it, and how that ended.

It owns whether a pick's last byte was written. It must never write one query twice, or write to a node whose
listing or cap has changed since the pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import socket
import time

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.barrier import BARRIER_COUNT, BARRIERS, BarrierReplies
from brookreach.net.endpoint import Endpoint
from brookreach.net.in_flight import InFlightQuery
from brookreach.net.limits import Limits
from brookreach.net.poller import IN, Poller
from brookreach.net.report import Report
from brookreach.net.result import QueryResult
from brookreach.net.stream import Stream

Outcome = ifc.Outcome
STARTUP_MESSAGE = pgwire.startup_message("portal", "crm")
PICK_OUTCOMES = {b"": Outcome.OK, pgwire.PUSH_BACK_SQLSTATE: Outcome.FULL}
PROBE_OUTCOMES = PICK_OUTCOMES | {pgwire.NOT_READY_SQLSTATE: Outcome.FULL}
CONNECTING, STARTING_UP, IDLE, AWAITING_ANSWER, AWAITING_READY = 0, 1, 2, 3, 4  # what a connection is at


class ConnectionPoolState:
    """What all connections to nodes share: how many stand or are coming up, and which are not ready yet."""

    def __init__(self, limits: Limits, report: Report, poller: Poller) -> None:
        self.limits, self.report, self.poller = limits, report, poller
        self.buffer_pool = pgwire.BufferPool(limits.large_message_bytes)
        self.awaiting_ready: dict[NodeConnection, float] = {}  # answered, but not ready for the next query; since when
        self.connection_count = 0
        self.second_answers = 0  # that nodes were seen to give


class NodeConnection(Stream):
    """One connection to a node."""

    def __init__(
        self, pool_state: ConnectionPoolState, endpoint: Endpoint, sock: socket.socket, flight: InFlightQuery
    ) -> None:
        super().__init__(
            pool_state.poller,
            sock,
            pgwire.MessageBuffer(pool_state.limits.max_message_bytes, pool_state.buffer_pool),
            connecting=True,
        )
        self.pool_state, self.endpoint = pool_state, endpoint
        self.flight: InFlightQuery | None = flight
        self.state, self.connection_generation, self.idle_since = CONNECTING, endpoint.connection_generation, 0.0
        self.result = QueryResult()
        self.query_count = 0  # queries written to it
        self.barrier_replies: BarrierReplies | None = None  # to the fence behind its query, if that is not its first

    def is_written(self) -> bool:
        """Whether the kernel has taken the last byte of the query; its fence asks for nothing."""
        if self.state < AWAITING_ANSWER:
            return False
        barrier_size = len(self.barrier_replies.barrier.queries) if self.barrier_replies is not None else 0
        return not self.unsent or sum([len(one) for one in self.unsent]) <= barrier_size

    def is_partly_written(self) -> bool:
        """Whether the kernel has taken only a part of its query."""
        return self.state == AWAITING_ANSWER and not self.is_written()

    def read_pending(self) -> None:
        """Look at what has come since the last turn."""
        self.handle_events(IN)

    def on_connected(self) -> None:
        self.state = STARTING_UP
        self.send([STARTUP_MESSAGE])

    def on_data(self) -> None:
        try:
            while not self.closed and len(self.inbound):
                if self.state == IDLE:  # be it only the first byte: the rest would be read as the next pick's answer
                    self._fail_unasked()
                message = self.inbound.next_message()
                if message is None:
                    return
                if self.state == STARTING_UP:
                    self._welcome(message[0], message[1])
                else:
                    self._reply(message[0], message[1])
        except pgwire.SecondAnswerError:
            self.pool_state.second_answers += 1
            self._require_single_use("answers twice")
            raise
        except pgwire.OutOfOrderError:
            self._require_single_use("does not answer in order")
            raise

    def _fail_unasked(self) -> None:
        """Raises SecondAnswerError for an answer that nothing asked for; ProtocolViolationError for what else a node
        may tell, such as a notice or its end."""
        tag = bytes(self.inbound.data[self.inbound.head : self.inbound.head + 1])
        message = self.inbound.next_message() if tag == b"E" else None
        is_error = message is not None and not pgwire.ends_connection(message[1])
        if is_error or tag in (b"T", b"D", b"C", b"I", b"Z"):
            raise pgwire.SecondAnswerError("a second answer that nothing asked for")
        raise pgwire.ProtocolViolationError("bytes that nothing asked for")

    def _require_single_use(self, why: str) -> None:
        """Nothing proves whose the answers of this node are: for a while each connection to it is used once."""
        endpoint, now, wait_s = self.endpoint, time.monotonic(), self.pool_state.limits.single_use_period_s
        if endpoint.single_use_until <= now:
            self.pool_state.report.log(
                "node", f"{endpoint.listed.address}: {why}: its connections are used once for {wait_s:g} s"
            )
        endpoint.single_use_until = now + wait_s
        for link in [one for one in endpoint.idle_connections if one is not self]:
            link.discard()

    def _welcome(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Z":
            flight = self.flight
            if flight is None or flight.is_finished:
                self.release()
            elif flight.is_obsolete():
                self.release()
                flight.finish(Outcome.MOOT, [])
            else:
                self.send_query(flight)
        elif tag == b"E":
            full = pgwire.error_sqlstate(body) == pgwire.PUSH_BACK_SQLSTATE
            self._fail(Outcome.FULL if full else Outcome.NO_CONNECT)
        elif tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT32.pack(0)):
            raise pgwire.ProtocolViolationError(f"message {tag!r} in the startup")

    def send_query(self, flight: InFlightQuery) -> None:
        """Write the query, once; behind a further one its fence."""
        self.flight, flight.transport = flight, self
        self.state = AWAITING_ANSWER
        self.result = QueryResult(flight.statement is not None and flight.statement.is_write)
        query = flight.encode_query()
        if self.query_count:
            self.barrier_replies = BarrierReplies(BARRIERS[self.query_count - 1])
            query.append(self.barrier_replies.barrier.queries)
        self.query_count += 1
        try:
            self.send(query)
        except OSError:
            self._fail(Outcome.RESET if self.is_written() else Outcome.NO_CONNECT)

    def _reply(self, tag: bytes, body: memoryview) -> None:
        """One message of the answer or of its fence's replies. A first answer counts once it is whole, whatever comes
        behind it; a further one is proven to be the query's own by the fence."""
        if not self.result.is_ready:
            self.result.add_message(tag, body)
            if self.result.sqlstate is not None and self not in self.pool_state.awaiting_ready:
                self.pool_state.awaiting_ready[self] = time.monotonic()
                if self.barrier_replies is None:
                    self._deliver()
        elif self.barrier_replies is not None:
            self.barrier_replies.on_message(tag, body)
        if self.result.is_ready and (self.barrier_replies is None or self.barrier_replies.is_complete):
            self._deliver()
            self.release()

    def _deliver(self) -> None:
        flight, self.flight, self.state = self.flight, None, AWAITING_READY
        if flight is not None:
            table = PICK_OUTCOMES if flight.statement is not None else PROBE_OUTCOMES
            flight.finish(table.get(self.result.sqlstate or b"", Outcome.ERROR), self.result.messages)

    def expire_awaiting_ready(self) -> None:
        """It is not ready in time: what its fence should have proven is not."""
        if self.flight is not None:
            self._require_single_use("does not answer a harmless query")
        self._fail(Outcome.RESET)

    def expire(self) -> None:
        """Never came up."""
        if not self.closed and self.state in (CONNECTING, STARTING_UP):
            self.handle_events(IN)  # as above
        if not self.closed and self.state in (CONNECTING, STARTING_UP):
            self._fail(Outcome.NO_CONNECT)

    def on_closed(self, why: str) -> None:
        written = self.is_written()
        if why.startswith("not the protocol"):
            self.pool_state.report.log("node", f"{self.endpoint.listed.address}: {why}")
        elif self.flight is not None and self.barrier_replies is not None and self.result.sqlstate is not None:
            self._require_single_use("ends its connections behind an answer")
        self._fail(Outcome.RESET if written else Outcome.NO_CONNECT)

    def _fail(self, ending: ifc.Outcome) -> None:
        flight, self.flight = self.flight, None
        self.discard()
        if flight is not None:
            flight.finish(ending, [])

    def release(self) -> None:
        """Keep the connection for the next pick, while its node may get one."""
        self.flight = None
        self.pool_state.awaiting_ready.pop(self, None)
        now = time.monotonic()
        if (
            self.connection_generation != self.endpoint.connection_generation
            or self.query_count > BARRIER_COUNT
            or now < self.endpoint.single_use_until
        ):
            self.discard()
        else:
            self.state, self.idle_since = IDLE, now
            self.endpoint.idle_connections.append(self)

    def discard(self) -> None:
        """Close it."""
        if not self.closed:
            if self.state == IDLE and self in self.endpoint.idle_connections:
                self.endpoint.idle_connections.remove(self)
            self.pool_state.connection_count -= 1
            self.pool_state.awaiting_ready.pop(self, None)
            self.close()
