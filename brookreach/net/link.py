"""One connection to a node, the pick that is under way on it, and how that ended.

It owns whether a pick's last byte was written. It must never write one query twice, or write to a node whose
listing or cap has changed since the pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import socket
import time

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint
from brookreach.net.fence import COUNT, FENCES, FenceReplies
from brookreach.net.in_flight import InFlight
from brookreach.net.limits import Limits
from brookreach.net.poller import IN, Poller
from brookreach.net.report import Report
from brookreach.net.result import Result
from brookreach.net.stream import Stream

Outcome = ifc.Outcome
HELLO = pgwire.hello("portal", "crm")
OUTCOMES = {b"": Outcome.OK, pgwire.PUSHED_BACK: Outcome.FULL}
PROBED = OUTCOMES | {pgwire.NOT_READY: Outcome.FULL}
DIALING, WELCOMING, IDLE, ASKING, SETTLING = 0, 1, 2, 3, 4  # what a connection is at


class LinkTable:
    """What all connections to nodes share: how many stand or are coming up, and which are not ready yet."""

    def __init__(self, limits: Limits, report: Report, poller: Poller) -> None:
        self.limits, self.report, self.poller = limits, report, poller
        self.pool = pgwire.Pool(limits.large)
        self.settling: dict[Link, float] = {}  # answered, but not ready for the next query; since when
        self.count = 0
        self.second_answers = 0  # that nodes were seen to give


class Link(Stream):
    """One connection to a node."""

    def __init__(self, table: LinkTable, endpoint: Endpoint, sock: socket.socket, flight: InFlight) -> None:
        super().__init__(table.poller, sock, pgwire.Inbound(table.limits.message, table.pool), dialing=True)
        self.table, self.endpoint = table, endpoint
        self.flight: InFlight | None = flight
        self.at, self.life, self.parked_at = DIALING, endpoint.life, 0.0
        self.result = Result()
        self.uses = 0  # queries written to it
        self.replies: FenceReplies | None = None  # to the fence behind its query, if that is not its first

    def written(self) -> bool:
        """Whether the kernel has taken the last byte of the query; its fence asks for nothing."""
        if self.at < ASKING:
            return False
        fence = len(self.replies.fence.query) if self.replies is not None else 0
        return not self.rest or sum([len(one) for one in self.rest]) <= fence

    def is_half_written(self) -> bool:
        """Whether the kernel has taken only a part of its query."""
        return self.at == ASKING and not self.written()

    def read_now(self) -> None:
        """Look at what has come since the last turn."""
        self.ready(IN)

    def opened(self) -> None:
        self.at = WELCOMING
        self.send([HELLO])

    def came(self) -> None:
        try:
            while not self.closed and len(self.inbound):
                if self.at == IDLE:  # be it only the first byte: the rest would be read as the next pick's answer
                    self._fail_unasked()
                message = self.inbound.message()
                if message is None:
                    return
                if self.at == WELCOMING:
                    self._welcome(message[0], message[1])
                else:
                    self._reply(message[0], message[1])
        except pgwire.SecondAnswerError:
            self.table.second_answers += 1
            self._distrust("answers twice")
            raise
        except pgwire.OutOfOrderError:
            self._distrust("does not answer in order")
            raise

    def _fail_unasked(self) -> None:
        """Raises SecondAnswerError for an answer that nothing asked for; BrokenStream for what else a node may tell,
        such as a notice or its end."""
        tag = bytes(self.inbound.data[self.inbound.head : self.inbound.head + 1])
        message = self.inbound.message() if tag == b"E" else None
        is_error = message is not None and not pgwire.ends_connection(message[1])
        if is_error or tag in (b"T", b"D", b"C", b"I", b"Z"):
            raise pgwire.SecondAnswerError("a second answer that nothing asked for")
        raise pgwire.BrokenStream("bytes that nothing asked for")

    def _distrust(self, why: str) -> None:
        """Nothing proves whose the answers of this node are: for a while each connection to it is used once."""
        endpoint, now, wait_s = self.endpoint, time.monotonic(), self.table.limits.single_use_s
        if endpoint.single_use_until <= now:
            self.table.report.say(
                "node", f"{endpoint.listed.address}: {why}: its connections are used once for {wait_s:g} s"
            )
        endpoint.single_use_until = now + wait_s
        for link in [one for one in endpoint.idle if one is not self]:
            link.drop()

    def _welcome(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Z":
            flight = self.flight
            if flight is None or flight.done:
                self.park()
            elif flight.too_late():
                self.park()
                flight.end(Outcome.MOOT, [])
            else:
                self.ask(flight)
        elif tag == b"E":
            full = pgwire.error_state(body) == pgwire.PUSHED_BACK
            self._fail(Outcome.FULL if full else Outcome.NO_CONNECT)
        elif tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT.pack(0)):
            raise pgwire.BrokenStream(f"message {tag!r} in the startup")

    def ask(self, flight: InFlight) -> None:
        """Write the query, once; behind a further one its fence."""
        self.flight, flight.link = flight, self
        self.at = ASKING
        self.result = Result(flight.statement is not None and flight.statement.write)
        query = flight.query()
        if self.uses:
            self.replies = FenceReplies(FENCES[self.uses - 1])
            query.append(self.replies.fence.query)
        self.uses += 1
        try:
            self.send(query)
        except OSError:
            self._fail(Outcome.RESET if self.written() else Outcome.NO_CONNECT)

    def _reply(self, tag: bytes, body: memoryview) -> None:
        """One message of the answer or of its fence's replies. A first answer counts once it is whole, whatever comes
        behind it; a further one is proven to be the query's own by the fence."""
        if not self.result.ready:
            self.result.message(tag, body)
            if self.result.verdict is not None and self not in self.table.settling:
                self.table.settling[self] = time.monotonic()
                if self.replies is None:
                    self._deliver()
        elif self.replies is not None:
            self.replies.message(tag, body)
        if self.result.ready and (self.replies is None or self.replies.whole):
            self._deliver()
            self.park()

    def _deliver(self) -> None:
        flight, self.flight, self.at = self.flight, None, SETTLING
        if flight is not None:
            table = OUTCOMES if flight.statement is not None else PROBED
            flight.end(table.get(self.result.verdict or b"", Outcome.ERROR), self.result.parts)

    def settle_no_more(self) -> None:
        """It is not ready in time: what its fence should have proven is not."""
        if self.flight is not None:
            self._distrust("does not answer a harmless query")
        self._fail(Outcome.RESET)

    def expire(self) -> None:
        """Never came up."""
        if not self.closed and self.at in (DIALING, WELCOMING):
            self.ready(IN)  # as above
        if not self.closed and self.at in (DIALING, WELCOMING):
            self._fail(Outcome.NO_CONNECT)

    def broke(self, why: str) -> None:
        written = self.written()
        if why.startswith("not the protocol"):
            self.table.report.say("node", f"{self.endpoint.listed.address}: {why}")
        elif self.flight is not None and self.replies is not None and self.result.verdict is not None:
            self._distrust("ends its connections behind an answer")
        self._fail(Outcome.RESET if written else Outcome.NO_CONNECT)

    def _fail(self, ending: ifc.Outcome) -> None:
        flight, self.flight = self.flight, None
        self.drop()
        if flight is not None:
            flight.end(ending, [])

    def park(self) -> None:
        """Keep the connection for the next pick, while its node may get one."""
        self.flight = None
        self.table.settling.pop(self, None)
        now = time.monotonic()
        if self.life != self.endpoint.life or self.uses > COUNT or now < self.endpoint.single_use_until:
            self.drop()
        else:
            self.at, self.parked_at = IDLE, now
            self.endpoint.idle.append(self)

    def drop(self) -> None:
        """Close it."""
        if not self.closed:
            if self.at == IDLE and self in self.endpoint.idle:
                self.endpoint.idle.remove(self)
            self.table.count -= 1
            self.table.settling.pop(self, None)
            self.close()
