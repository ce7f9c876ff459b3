"""One client's connection: queries read as RPCs, each answered once and in order.

It owns what has been read of a connection and the order of the answers on it. It must never word an answer
that the driver did not hand it, save for what can't be taken as an RPC; that is never worded as a pushback.
"""

from __future__ import annotations

import contextlib
import math
import socket
import time
from typing import TYPE_CHECKING

from brookreach.net import pgwire
from brookreach.net.answers import AnswerQueue, PendingAnswer
from brookreach.net.handshake import startup_answer
from brookreach.net.statement import InvalidStatementError, harmless_response, parse_statement
from brookreach.net.stream import Stream

if TYPE_CHECKING:
    from brookreach.net.clients import Clients

EXTENDED = (b"P", b"B", b"D", b"E", b"C", b"H")  # of the extended protocol, all but Sync

DEFECT = "a defect of ours"


class Client(Stream):
    """One client connection."""

    def __init__(self, sock: socket.socket, clients: Clients) -> None:
        super().__init__(clients.poller, sock, pgwire.MessageBuffer(clients.limits.max_message_bytes, clients.pool))
        self.clients = clients
        self.answers = AnswerQueue(clients.limits)
        self.unread_since = math.inf  # since when bytes may lie unread that we had no room or no turn for
        self.started = False  # the startup message has come
        self.skipping = False  # after an error in the extended protocol, until Sync
        self.leaving = False  # we take no more of it, and end our side once all is answered
        self.faults, self.heard_at = 0, time.monotonic()
        clients.silent[self] = self.heard_at

    # --- reading ---

    def on_data(self) -> None:
        self.heard_at = time.monotonic()
        if self.leaving:
            return
        try:
            read_up = self._handle_messages()
        finally:
            for slot in self.answers.advance_deadlines():
                self.clients.receiver.shorten_deadline(slot.rpc_id, slot.due)
        if read_up:
            if self.unread_since < math.inf and self.is_quiet():
                self.unread_since = math.inf
            self.close_if_idle()
        elif not self.closed and not self.leaving:
            self.clients.partial.pop(self, None)  # what is half now is so since we stopped reading
            self.reading = False  # enough under way; `_written` goes on reading
            self.unread_since = min(self.unread_since, self.poller.events_since)
            self.update_interest()

    def _handle_messages(self) -> bool:
        """Handle what has come, as far as there is room and turn for it; whether that was all."""
        limits, count = self.clients.limits, 0
        while not (self.closed or self.leaving or self.unsent) and self.answers.has_room():
            if count == limits.messages_per_turn:
                self.clients.resumable.append(self)  # others have their turn
                return False
            count += 1
            if not self.started:
                body = self.inbound.next_startup_message()
                if body is None:
                    if len(self.inbound) > limits.max_startup_bytes:
                        raise pgwire.ProtocolViolationError("an endless startup message")
                    return True
                self._startup(body)
            else:
                message = self.inbound.next_message()
                if message is None:
                    self._half(count > 1)
                    return True
                self._message(message[0], message[1])
        return False

    def _half(self, new: bool) -> None:
        """All whole messages are handled; half of one may be left, `new` or the one that was there before."""
        if new or not len(self.inbound):
            self.clients.partial.pop(self, None)
        if len(self.inbound):
            self.clients.partial.setdefault(self, time.monotonic())

    def _startup(self, body: memoryview) -> None:
        answer = startup_answer(body)
        if answer is None:
            self.end("a cancel request, which this protocol has no use for")
            return
        self.started = answer == pgwire.STARTUP_RESPONSE
        self.send([answer])

    def _message(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Q":
            self._query(body)
        elif tag == b"X":
            self.close_after_answers("terminated")
        elif tag == b"S":
            self.skipping = False
            self._in_order(pgwire.READY_FOR_QUERY)
        elif tag == b"F":
            self._in_order(pgwire.error_response(b"0A000", "no function calls"))
        elif tag not in EXTENDED:
            raise pgwire.ProtocolViolationError(f"unknown message {tag!r}")
        elif not self.skipping:
            self.skipping = True
            self._in_order(pgwire.error_response(b"0A000", "simple queries only", ready=False))

    def _query(self, body: memoryview) -> None:
        text = body[:-1] if len(body) and body[-1] == 0 else body
        done = harmless_response(text)
        if done is not None:
            self._in_order(done)
            return
        slot = PendingAnswer(self, size=len(text))
        came_at = min(self.unread_since, self.poller.events_since)
        try:
            one = parse_statement(text, self.clients.limits.max_comment_bytes)
            due = self.clients.drain.answer_due(came_at + one.wait_ms / 1000.0)
            slot.rpc_id = self.clients.receiver.receive(one, slot, came_at)
            if due > time.monotonic():  # else nothing is won by ending those before it
                slot.due = due
        except InvalidStatementError as error:
            self.clients.report.log("client", f"statement not taken: {error}")
            self.faults += 1
            if self.faults >= self.clients.limits.max_invalid_statements:
                raise pgwire.ProtocolViolationError("statements that can't be taken") from None
            self._in_order(pgwire.error_response(error.state, str(error)))
            return
        self.clients.mark_busy(self)
        self.answers.add(slot)

    def on_defect(self) -> None:
        """What was asked before is answered; what met the defect fails, which promises nothing."""
        if self.closed:
            return
        try:
            self._in_order(pgwire.fatal_response(b"XX000", "internal error", ready=self.started))
            self.close_after_answers(DEFECT)
        except Exception:  # the defect is in what answers: only this connection may end by it
            self.end(DEFECT)

    def on_closed(self, why: str) -> None:
        if not why.startswith("not the protocol"):
            self.end(why)
            return
        self.clients.report.log("client", why)
        error = pgwire.fatal_response(b"08P01", why, ready=self.started)
        if self.answers:  # it comes in its order, behind the answers of what was asked before
            self._in_order(error)
        else:
            with contextlib.suppress(OSError):
                self.send([error])
        self.close_after_answers(why)

    def close_after_answers(self, why: str) -> None:
        """Take no more of what comes; what was asked before is answered first."""
        if not self.answers and not self.unsent:
            self.end(why)
        elif not self.leaving:
            self.clients.report.log("client", f"{why}: closed behind the answers under way")
            self._take_no_more()

    def _take_no_more(self) -> None:
        # Not read on: a request that crosses our end must stay unread, for then its client sends it again elsewhere.
        self.leaving, self.reading = True, False
        self.clients.mark_busy(self)
        self.clients.partial.pop(self, None)
        self.inbound.head = self.inbound.tail
        self.update_interest()
        self._end_side()

    def _end_side(self) -> None:
        if not self.answers and not self.unsent:
            self.shutdown_write()
            if not self.clients.is_stopping:  # then it is closed in time, should its client not do it
                self.clients.silent.setdefault(self, time.monotonic())

    def end(self, why: str) -> None:
        """Close it at once; RPCs that have no answer are given up for this reason."""
        if self.closed:
            return
        self.close()
        for rpc in self.answers.clear():
            self.clients.receiver.cancel(rpc, why)
        self.clients.remove(self, why)

    # --- writing ---

    def _in_order(self, answer: bytes) -> None:
        slot = PendingAnswer(self)
        self.clients.mark_busy(self)
        self.answers.add(slot)
        slot.answer([answer])

    def flush(self) -> None:
        """Write what is answered, up to the first RPC that is not."""
        ready = self.answers.take_ready()
        if not ready or self.closed:
            return
        try:
            self.send(ready)
        except OSError as error:
            self.end(f"its answer can't be written: {error}")
            return
        if self.unsent:
            self.clients.stalled.setdefault(self, time.monotonic())
        else:
            self._written()

    def _written(self) -> None:
        """The kernel has taken all that is answered: between RPCs, it may be closed now."""
        if self.leaving:
            self._end_side()
            return
        if not self.answers and self not in self.clients.silent:
            self.clients.idle[self] = self.poller.polled_at
        if not self.reading or self.clients.is_stopping:
            self.clients.resumable.append(self)

    def on_writable(self) -> None:
        self.clients.stalled.pop(self, None)
        if self.unsent:
            self.clients.stalled[self] = time.monotonic()
        else:
            self._written()

    def close_if_idle(self) -> None:
        """While we stop, end our side between RPCs, once all that has come is answered; until the drain's deadline not
        before its first RPC, nor in the midst of one."""
        clients = self.clients
        if not clients.is_stopping or self.leaving or self.answers or self.unsent:
            return
        is_awaited = self in clients.silent or len(self.inbound) > 0
        if (clients.is_past_deadline or not is_awaited) and self.is_quiet():
            self._take_no_more()
