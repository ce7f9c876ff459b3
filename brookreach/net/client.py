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
from brookreach.net.answers import AnswerQueue, Slot
from brookreach.net.handshake import startup_answer
from brookreach.net.statement import BadStatement, harmless, statement
from brookreach.net.stream import Stream

if TYPE_CHECKING:
    from brookreach.net.clients import Clients

EXTENDED = (b"P", b"B", b"D", b"E", b"C", b"H")  # of the extended protocol, all but Sync

DEFECT = "a defect of ours"


class Client(Stream):
    """One client connection."""

    def __init__(self, sock: socket.socket, home: Clients) -> None:
        super().__init__(home.poller, sock, pgwire.Inbound(home.limits.message, home.pool))
        self.home = home
        self.slots = AnswerQueue(home.limits)
        self.unread_since = math.inf  # since when bytes may lie unread that we had no room or no turn for
        self.started = False  # the startup message has come
        self.skipping = False  # after an error in the extended protocol, until Sync
        self.leaving = False  # we take no more of it, and end our side once all is answered
        self.faults, self.heard = 0, time.monotonic()
        home.silent[self] = self.heard

    # --- reading ---

    def came(self) -> None:
        self.heard = time.monotonic()
        if self.leaving:
            return
        try:
            read_up = self._handle_messages()
        finally:
            for slot in self.slots.make_due():
                self.home.taker.shorten(slot.rpc, slot.due)
        if read_up:
            if self.unread_since < math.inf and self.quiet():
                self.unread_since = math.inf
            self.leave()
        elif not self.closed and not self.leaving:
            self.home.half.pop(self, None)  # what is half now is so since we stopped reading
            self.reading = False  # enough under way; `_written` goes on reading
            self.unread_since = min(self.unread_since, self.poller.since)
            self.interest()

    def _handle_messages(self) -> bool:
        """Handle what has come, as far as there is room and turn for it; whether that was all."""
        limits, count = self.home.limits, 0
        while not (self.closed or self.leaving or self.rest) and self.slots.has_room():
            if count == limits.messages:
                self.home.resumable.append(self)  # others have their turn
                return False
            count += 1
            if not self.started:
                body = self.inbound.startup()
                if body is None:
                    if len(self.inbound) > limits.head:
                        raise pgwire.BrokenStream("an endless startup message")
                    return True
                self._startup(body)
            else:
                message = self.inbound.message()
                if message is None:
                    self._half(count > 1)
                    return True
                self._message(message[0], message[1])
        return False

    def _half(self, new: bool) -> None:
        """All whole messages are handled; half of one may be left, `new` or the one that was there before."""
        if new or not len(self.inbound):
            self.home.half.pop(self, None)
        if len(self.inbound):
            self.home.half.setdefault(self, time.monotonic())

    def _startup(self, body: memoryview) -> None:
        answer = startup_answer(body)
        if answer is None:
            self.end("a cancel request, which this protocol has no use for")
            return
        self.started = answer == pgwire.WELCOME
        self.send([answer])

    def _message(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Q":
            self._query(body)
        elif tag == b"X":
            self.give_up("terminated")
        elif tag == b"S":
            self.skipping = False
            self._in_order(pgwire.READY)
        elif tag == b"F":
            self._in_order(pgwire.error(b"0A000", "no function calls"))
        elif tag not in EXTENDED:
            raise pgwire.BrokenStream(f"unknown message {tag!r}")
        elif not self.skipping:
            self.skipping = True
            self._in_order(pgwire.error(b"0A000", "simple queries only", ready=False))

    def _query(self, body: memoryview) -> None:
        text = body[:-1] if len(body) and body[-1] == 0 else body
        done = harmless(text)
        if done is not None:
            self._in_order(done)
            return
        slot = Slot(self, size=len(text))
        came_at = min(self.unread_since, self.poller.since)
        try:
            one = statement(text, self.home.limits.comment)
            due = self.home.drain.due(came_at + one.wait_ms / 1000.0)
            slot.rpc = self.home.taker.take(one, slot, came_at)
            if due > time.monotonic():  # else nothing is won by ending those before it
                slot.due = due
        except BadStatement as error:
            self.home.report.say("client", f"statement not taken: {error}")
            self.faults += 1
            if self.faults >= self.home.limits.faults:
                raise pgwire.BrokenStream("statements that can't be taken") from None
            self._in_order(pgwire.error(error.state, str(error)))
            return
        self.home.busy(self)
        self.slots.add(slot)

    def failed(self) -> None:
        """What was asked before is answered; what met the defect fails, which promises nothing."""
        if self.closed:
            return
        try:
            self._in_order(pgwire.fatal(b"XX000", "internal error", ready=self.started))
            self.give_up(DEFECT)
        except Exception:  # the defect is in what answers: only this connection may end by it
            self.end(DEFECT)

    def broke(self, why: str) -> None:
        if not why.startswith("not the protocol"):
            self.end(why)
            return
        self.home.report.say("client", why)
        error = pgwire.fatal(b"08P01", why, ready=self.started)
        if self.slots:  # it comes in its order, behind the answers of what was asked before
            self._in_order(error)
        else:
            with contextlib.suppress(OSError):
                self.send([error])
        self.give_up(why)

    def give_up(self, why: str) -> None:
        """Take no more of what comes; what was asked before is answered first."""
        if not self.slots and not self.rest:
            self.end(why)
        elif not self.leaving:
            self.home.report.say("client", f"{why}: closed behind the answers under way")
            self._take_no_more()

    def _take_no_more(self) -> None:
        # Not read on: a request that crosses our end must stay unread, for then its client sends it again elsewhere.
        self.leaving, self.reading = True, False
        self.home.busy(self)
        self.home.half.pop(self, None)
        self.inbound.head = self.inbound.tail
        self.interest()
        self._end_side()

    def _end_side(self) -> None:
        if not self.slots and not self.rest:
            self.end_sending()
            if not self.home.stopping:  # then it is closed in time, should its client not do it
                self.home.silent.setdefault(self, time.monotonic())

    def end(self, why: str) -> None:
        """Close it at once; RPCs that have no answer are given up for this reason."""
        if self.closed:
            return
        self.close()
        for rpc in self.slots.clear():
            self.home.taker.gone(rpc, why)
        self.home.left(self, why)

    # --- writing ---

    def _in_order(self, answer: bytes) -> None:
        slot = Slot(self)
        self.home.busy(self)
        self.slots.add(slot)
        slot.answer([answer])

    def flush(self) -> None:
        """Write what is answered, up to the first RPC that is not."""
        ready = self.slots.take_ready()
        if not ready or self.closed:
            return
        try:
            self.send(ready)
        except OSError as error:
            self.end(f"its answer can't be written: {error}")
            return
        if self.rest:
            self.home.stalled.setdefault(self, time.monotonic())
        else:
            self._written()

    def _written(self) -> None:
        """The kernel has taken all that is answered: between RPCs, it may be closed now."""
        if self.leaving:
            self._end_side()
            return
        if not self.slots and self not in self.home.silent:
            self.home.idle[self] = self.poller.polled
        if not self.reading or self.home.stopping:
            self.home.resumable.append(self)

    def pushed(self) -> None:
        self.home.stalled.pop(self, None)
        if self.rest:
            self.home.stalled[self] = time.monotonic()
        else:
            self._written()

    def leave(self) -> None:
        """While we stop, end our side between RPCs, once all that has come is answered; until the drain's deadline not
        before its first RPC, nor in the midst of one."""
        home = self.home
        if not home.stopping or self.leaving or self.slots or self.rest:
            return
        is_awaited = self in home.silent or len(self.inbound) > 0
        if (home.is_final or not is_awaited) and self.quiet():
            self._take_no_more()
