"""One connection to a node, the query in flight on it, and the query's outcome.

This module owns whether a query's last byte was written. It must never write a query twice, nor write to a node whose
listing or cap has changed since the pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import socket
import time
from typing import Final

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.barrier import BARRIER_COUNT, BARRIERS, BarrierReplies
from brookreach.net.endpoint import Endpoint
from brookreach.net.in_flight import InFlightQuery
from brookreach.net.message_buffer import MessageBuffer
from brookreach.net.poller import IN
from brookreach.net.pool_state import ConnectionPoolState
from brookreach.net.result import QueryResult
from brookreach.net.stream import Stream

Outcome = ifc.Outcome
STARTUP_MESSAGE = pgwire.startup_message("portal", "crm")
# Outcomes by the verdict of a query's result: empty for a row, else the SQLSTATE. Any other one is an ERROR.
PICK_OUTCOMES = {b"": Outcome.OK, pgwire.PUSH_BACK_SQLSTATE: Outcome.FULL}
PROBE_OUTCOMES = PICK_OUTCOMES | {pgwire.NOT_READY_SQLSTATE: Outcome.FULL}
# The states of a connection, in their order.
CONNECTING: Final = 0
STARTING_UP: Final = 1  # the startup message is sent
IDLE: Final = 2
AWAITING_ANSWER: Final = 3  # a query is being written, or written
AWAITING_READY: Final = 4  # the outcome is reported, the connection not ready for the next query


class NodeConnection(Stream):
    """One connection to a node, made for a first query.

    Raises the errors of `pgwire` to `Stream`, which ends the connection by `on_closed`.
    """

    def __init__(
        self, pool_state: ConnectionPoolState, endpoint: Endpoint, sock: socket.socket, in_flight: InFlightQuery
    ) -> None:
        inbound = MessageBuffer(pool_state.limits.max_message_bytes, pool_state.buffer_pool)
        # Answers must not wait behind the requests of a crowd.
        super().__init__(pool_state.poller, sock, inbound, connecting=True, is_preferred=True)
        self.pool_state = pool_state
        self.endpoint = endpoint
        self.in_flight: InFlightQuery | None = in_flight
        self.state = CONNECTING
        self.connection_generation = endpoint.connection_generation
        self.idle_since = 0.0  # in monotonic seconds
        self.result = QueryResult()
        self.query_count = 0  # queries written to it
        self.barrier_replies: BarrierReplies | None = None  # to the barrier behind its query, if not its first

    def is_written(self) -> bool:
        """Whether the kernel has taken the last byte of the query; its barrier has no effect and may be unwritten."""
        if self.state < AWAITING_ANSWER:
            return False
        barrier_bytes = len(self.barrier_replies.barrier.queries) if self.barrier_replies is not None else 0
        return not self.unsent or sum([len(buffer) for buffer in self.unsent]) <= barrier_bytes

    def is_partly_written(self) -> bool:
        """Whether the kernel has taken only a part of the query."""
        return self.state == AWAITING_ANSWER and not self.is_written()

    def read_pending(self) -> None:
        """Handle what has arrived since the last turn of the poller."""
        self.handle_events(IN)

    def on_connected(self) -> None:
        """Start the session."""
        self.state = STARTING_UP
        self.send([STARTUP_MESSAGE])

    def on_data(self) -> None:
        """Handle the messages that have arrived."""
        try:
            while not self.closed and len(self.inbound):
                # Even a single byte counts: what follows it would be read as the next pick's answer.
                if self.state == IDLE:
                    self._raise_unsolicited()
                message = self.inbound.next_message()
                if message is None:
                    return
                if self.state == STARTING_UP:
                    self._on_startup_message(message[0], message[1])
                else:
                    self._on_answer_message(message[0], message[1])
        except pgwire.SecondAnswerError:
            self.pool_state.second_answers += 1
            self._require_single_use("answers twice")
            raise
        except pgwire.OutOfOrderError:
            self._require_single_use("does not answer in order")
            raise

    def _raise_unsolicited(self) -> None:
        """Raise SecondAnswerError for an answer that no query asked for, ProtocolViolationError for anything else.

        Anything else is what a node may send by itself, such as a notice or its end.
        """
        tag = bytes(self.inbound.data[self.inbound.head : self.inbound.head + 1])
        message = self.inbound.next_message() if tag == b"E" else None
        is_error = message is not None and not pgwire.ends_connection(message[1])
        if is_error or tag in (b"T", b"D", b"C", b"I", b"Z"):
            raise pgwire.SecondAnswerError("a second answer that nothing asked for")
        raise pgwire.ProtocolViolationError("bytes that nothing asked for")

    def _require_single_use(self, why: str) -> None:
        """Use each connection to this node once for a while: nothing proves which query its answers belong to."""
        endpoint = self.endpoint
        now = time.monotonic()
        single_use_s = self.pool_state.limits.single_use_period_s
        if endpoint.single_use_until <= now:
            self.pool_state.report.log(
                "node", f"{endpoint.listed.address}: {why}: its connections are used once for {single_use_s:g} s"
            )
        endpoint.single_use_until = now + single_use_s
        for connection in [other for other in endpoint.idle_connections if other is not self]:
            connection.discard()

    def _on_startup_message(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Z":
            in_flight = self.in_flight
            if in_flight is None or in_flight.is_finished:
                self.release()
            elif in_flight.is_obsolete():
                self.release()
                in_flight.finish(Outcome.MOOT, [])
            else:
                self.send_query(in_flight)
        elif tag == b"E":
            is_full = pgwire.error_sqlstate(body) == pgwire.PUSH_BACK_SQLSTATE
            self._fail(Outcome.FULL if is_full else Outcome.NO_CONNECT)
        elif tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT32.pack(0)):
            raise pgwire.ProtocolViolationError(f"message {tag!r} in the startup")

    def send_query(self, in_flight: InFlightQuery) -> None:
        """Write the query, once, and a barrier behind it if it is not the connection's first."""
        self.in_flight = in_flight
        in_flight.transport = self
        self.state = AWAITING_ANSWER
        self.result = QueryResult(in_flight.statement is not None and in_flight.statement.is_write)
        buffers = in_flight.encode_query()
        if self.query_count:
            self.barrier_replies = BarrierReplies(BARRIERS[self.query_count - 1])
            buffers.append(self.barrier_replies.barrier.queries)
        self.query_count += 1
        try:
            self.send(buffers)
        except OSError:
            self._fail(Outcome.RESET if self.is_written() else Outcome.NO_CONNECT)

    def _on_answer_message(self, tag: bytes, body: memoryview) -> None:
        """Take one message of the answer or of the replies to its barrier.

        The answer to a first query counts once it is complete, whatever comes behind it. That to a further one
        counts once its barrier has proven that it is the query's own.
        """
        if not self.result.is_ready:
            self.result.add_message(tag, body)
            if self.result.sqlstate is not None and self not in self.pool_state.awaiting_ready:
                self.pool_state.awaiting_ready[self] = time.monotonic()
                if self.barrier_replies is None:
                    self._report_result()
        elif self.barrier_replies is not None:
            self.barrier_replies.on_message(tag, body)
        if self.result.is_ready and (self.barrier_replies is None or self.barrier_replies.is_complete):
            self._report_result()
            self.release()

    def _report_result(self) -> None:
        in_flight = self.in_flight
        self.in_flight = None
        self.state = AWAITING_READY
        if in_flight is not None:
            outcomes = PICK_OUTCOMES if in_flight.statement is not None else PROBE_OUTCOMES
            in_flight.finish(outcomes.get(self.result.sqlstate or b"", Outcome.ERROR), self.result.messages)

    def expire_awaiting_ready(self) -> None:
        """End the connection, which is not ready in time: its barrier has proven nothing."""
        if self.in_flight is not None:
            self._require_single_use("does not answer a harmless query")
        self._fail(Outcome.RESET)

    def expire(self) -> None:
        """End the connection if it is not established by now."""
        if not self.closed and self.state in (CONNECTING, STARTING_UP):
            self.handle_events(IN)  # in a long turn the node's messages may have arrived without being handled
        if not self.closed and self.state in (CONNECTING, STARTING_UP):
            self._fail(Outcome.NO_CONNECT)

    def is_settled(self) -> bool:
        """Return whether it is established, or closed."""
        return self.closed or self.state > STARTING_UP

    def on_closed(self, why: str) -> None:
        """End the connection, which the node has ended or broken, or on which it has broken the protocol."""
        is_written = self.is_written()
        if why.startswith("not the protocol"):
            self.pool_state.report.log("node", f"{self.endpoint.listed.address}: {why}")
        elif self.in_flight is not None and self.barrier_replies is not None and self.result.sqlstate is not None:
            self._require_single_use("ends its connections behind an answer")
        self._fail(Outcome.RESET if is_written else Outcome.NO_CONNECT)

    def _fail(self, outcome: ifc.Outcome) -> None:
        in_flight = self.in_flight
        self.in_flight = None
        self.discard()
        if in_flight is not None:
            in_flight.finish(outcome, [])

    def release(self) -> None:
        """Make the connection idle, for the next query, or close it if its node may get none over it."""
        self.in_flight = None
        self.pool_state.awaiting_ready.pop(self, None)
        now = time.monotonic()
        endpoint = self.endpoint
        if (
            self.connection_generation != endpoint.connection_generation
            or self.query_count > BARRIER_COUNT
            or now < endpoint.single_use_until
        ):
            self.discard()
        else:
            self.state = IDLE
            self.result = QueryResult()  # the last answer may be large, and the connection idle for long
            self.idle_since = now
            endpoint.idle_connections.append(self)

    def discard(self) -> None:
        """Close the connection and forget it."""
        if not self.closed:
            if self.state == IDLE and self in self.endpoint.idle_connections:
                self.endpoint.idle_connections.remove(self)
            self.pool_state.connection_count -= 1
            self.pool_state.awaiting_ready.pop(self, None)
            self.close()
