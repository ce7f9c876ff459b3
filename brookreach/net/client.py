"""One client connection: queries read as RPCs. Their answers are written by `client_writer`.

This module owns what has been read of a connection. It sends no answer that the
driver did not hand it, except to what can't be taken as an RPC; such an answer is never a push back.
"""

from __future__ import annotations

import contextlib
import math
import socket
import time
from typing import TYPE_CHECKING

from brookreach.net import pgwire
from brookreach.net.answers import NO_ROOM, PendingAnswer
from brookreach.net.arrival import DataArrival
from brookreach.net.client_writer import ClientWriter
from brookreach.net.handshake import startup_answer
from brookreach.net.message_buffer import SKIPPED_TAG
from brookreach.net.poller import ENDED, IN
from brookreach.net.statement import InvalidStatementError, harmless_response, parse_statement
from brookreach.net.unsupported_messages import UnsupportedMessages

if TYPE_CHECKING:
    from brookreach.net.clients import Clients

DEFECT = "a defect of ours"


class Client(ClientWriter):
    """One client connection."""

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
        super().__init__(sock, clients)
        self.unread_since = math.inf  # since when bytes may lie unread for which there was no room or no turn
        self.arrival = DataArrival(self)
        self.started = False  # the startup message has come
        self.unsupported = UnsupportedMessages()
        self.invalid_statements = 0
        self.heard_at = time.monotonic()
        clients.silent[self] = self.heard_at

    # --- reading ---

    def handle_events(self, mask: int) -> None:
        """Handle the epoll events in `mask`; the end of the stream before what is unread, which nobody waits for."""
        if mask & ENDED:
            return self.end("end of stream")
        if mask & IN:
            self.arrival.note_read()
        return super().handle_events(mask)

    def on_data(self) -> None:
        """Handle the messages that have arrived."""
        self.heard_at = time.monotonic()
        if self.leaving:
            return
        try:
            is_all_handled = self._handle_messages()
        finally:
            for answer in self.answers.advance_deadlines():
                self.clients.receiver.shorten_deadline(answer.rpc_id, answer.due)
        if is_all_handled:
            if min(self.unread_since, self.arrival.waiting_since) < math.inf and self.is_quiet():
                self.unread_since = self.arrival.waiting_since = math.inf
            self.close_if_idle()
        elif not self.closed and not self.leaving:
            self.clients.forget_partial(self)  # a message is partial now because we stopped reading
            self.reading = False  # enough is under way; `_on_all_written` resumes reading
            self.unread_since = min(self.unread_since, self.poller.events_since)
            self.update_interest()

    def _handle_messages(self) -> bool:
        """Handle what has arrived while there is room and this turn lasts; return whether that was all."""
        limits, count = self.clients.limits, 0
        while not (self.closed or self.leaving or self.unsent) and self.answers.has_room():
            if count == limits.messages_per_turn:
                self.clients.resumable.append(self)  # other connections have their turn
                return False
            count += 1
            if not self.started:
                body = self.inbound.next_startup_message()
                if body is None:
                    if len(self.inbound) > limits.max_startup_bytes:
                        raise pgwire.ProtocolViolationError("an endless startup message")
                    return True
                self._handle_startup(body)
            else:
                message = self.inbound.next_message()
                if message is None:
                    self._note_partial_message(count > 1)
                    return True
                self._handle_message(message[0], message[1])
        return False

    def _note_partial_message(self, is_new: bool) -> None:
        """All complete messages are handled; a partial one may remain, a new one or the one that was there before."""
        if is_new or not len(self.inbound):
            self.clients.forget_partial(self)
        if len(self.inbound):
            self.clients.partial.setdefault(self, time.monotonic())
        if self.inbound.bytes_to_skip:
            self.clients.discarding.setdefault(self, time.monotonic())

    def _handle_startup(self, body: memoryview) -> None:
        answer = startup_answer(body)
        if answer is None:
            self.end("a cancel request, which this protocol has no use for")
            return
        self.started = self.inbound.can_skip = answer == pgwire.STARTUP_RESPONSE
        self.send([answer])

    def _handle_message(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Q":
            self._handle_query(body)
        elif tag == SKIPPED_TAG and bytes(body) == b"Q":
            self.clients.report.log("client", "a query larger than the room that is left: refused")
            self.answer_in_order(NO_ROOM)
        elif tag == b"X":
            self.close_after_answers("terminated")
        elif (response := self.unsupported.answer(bytes(body) if tag == SKIPPED_TAG else tag)) is not None:
            self.answer_in_order(response)

    def _handle_query(self, body: memoryview) -> None:
        text = body[:-1] if len(body) and body[-1] == 0 else body
        response = harmless_response(text)
        if response is not None:
            self.answer_in_order(response)
            return
        if not self.answers.has_memory(len(text)):
            self.answer_in_order(NO_ROOM)
            return
        answer = PendingAnswer(self, size=len(text))
        arrived_at = min(self.unread_since, self.arrival.of_message())
        try:
            statement = parse_statement(text, self.clients.limits.max_comment_bytes)
            due = self.clients.drain.answer_due(arrived_at + statement.wait_ms / 1000.0)
            answer.rpc_id = self.clients.receiver.receive(statement, answer, arrived_at)
            if due > time.monotonic():  # else nothing is gained by ending the RPCs before it
                answer.due = due
        except InvalidStatementError as error:
            self.clients.report.log("client", f"statement not taken: {error}")
            self.invalid_statements += 1
            if self.invalid_statements >= self.clients.limits.max_invalid_statements:
                raise pgwire.ProtocolViolationError("statements that can't be taken") from None
            self.answer_in_order(pgwire.error_response(error.sqlstate, str(error)))
            return
        self.clients.mark_busy(self)
        self.answers.add(answer)

    def on_defect(self) -> None:
        """Answer what was asked before; what met the defect fails with an error that promises nothing."""
        if self.closed:
            return
        try:
            self.answer_in_order(pgwire.fatal_response(b"XX000", "internal error", ready=self.started))
            self.close_after_answers(DEFECT)
        except Exception:  # the defect is in what answers: it may end only this connection
            self.end(DEFECT)

    def on_closed(self, why: str) -> None:
        """End a closed connection at once; one that broke the protocol gets an error after its answers."""
        if not why.startswith("not the protocol"):
            self.end(why)
            return
        self.clients.report.log("client", why)
        error = pgwire.fatal_response(b"08P01", why, ready=self.started)
        if self.answers:  # the error has its place after the answers to what was asked before
            self.answer_in_order(error)
        else:
            with contextlib.suppress(OSError):
                self.send([error])
        self.close_after_answers(why)

    def close_after_answers(self, why: str) -> None:
        """Read nothing more, and close once what was asked before is answered."""
        if not self.answers and not self.unsent:
            self.end(why)
        elif not self.leaving:
            self.clients.report.log("client", f"{why}: closed behind the answers under way")
            self._stop_reading()

    def _stop_reading(self) -> None:
        # A request that crosses our end must stay unread, for then its client sends it again elsewhere.
        self.leaving, self.reading = True, False
        self.clients.mark_busy(self)
        self.clients.forget_partial(self)
        self.inbound.head = self.inbound.tail
        self.update_interest()
        self._end_our_side()

    def end(self, why: str) -> None:
        """Close the connection at once, and cancel its unanswered RPCs for this reason."""
        if self.closed:
            return
        self.close()
        for rpc_id in self.answers.clear():
            self.clients.receiver.cancel(rpc_id, why)
        self.clients.remove(self, why)

    # --- writing ---

    def answer_in_order(self, response: bytes) -> None:
        """Answer what is no RPC, after the answers to what was asked before."""
        answer = PendingAnswer(self)
        self.clients.mark_busy(self)
        self.answers.add(answer)
        answer.answer([response])

    def on_stalled(self) -> None:
        """The kernel has taken a part of the answers only."""
        self.clients.note_stalled(self)

    def on_all_written(self) -> None:
        """The kernel has taken all answers: between RPCs, the connection may be closed now."""
        self.clients.stalled.pop(self, None)
        if self.leaving:
            self._end_our_side()
            return
        if not self.answers and self not in self.clients.silent:
            self.clients.idle[self] = self.poller.polled_at
        if not self.reading or self.clients.is_stopping:
            self.clients.resumable.append(self)

    def _end_our_side(self) -> None:
        if not self.answers and not self.unsent:
            self.shutdown_write()
            if not self.clients.is_stopping:  # closes it in time if its client does not
                self.clients.silent.setdefault(self, time.monotonic())

    def close_if_idle(self) -> None:
        """While we stop, end our side between RPCs, once all that has arrived is answered.

        Until the drain's deadline, a connection is not ended before its first RPC, nor within one.
        """
        clients = self.clients
        if not clients.is_stopping or self.leaving or self.answers or self.unsent:
            return
        is_awaited = self in clients.silent or len(self.inbound) > 0
        if (clients.is_past_deadline or not is_awaited) and self.is_quiet():
            self._stop_reading()
