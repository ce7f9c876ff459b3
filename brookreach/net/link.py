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
from brookreach.net.in_flight import InFlight
from brookreach.net.limits import Limits
from brookreach.net.poller import IN, Poller
from brookreach.net.report import Report
from brookreach.net.result import Result
from brookreach.net.stream import Stream

Ending = ifc.Ending
HELLO = pgwire.hello("portal", "crm")
OUTCOMES = {b"": Ending.OK, pgwire.PUSHED_BACK: Ending.FULL}
PROBED = OUTCOMES | {pgwire.NOT_READY: Ending.FULL}
DIALING, WELCOMING, IDLE, ASKING, SETTLING = 0, 1, 2, 3, 4  # what a connection is at


class LinkTable:
    """What all connections to nodes share: how many stand or are coming up, and which are not ready yet."""

    def __init__(self, limits: Limits, report: Report, poller: Poller) -> None:
        self.limits, self.report, self.poller = limits, report, poller
        self.pool = pgwire.Pool(limits.large)
        self.settling: dict[Link, float] = {}  # answered, but not ready for the next query; since when
        self.count = 0


class Link(Stream):
    """One connection to a node."""

    def __init__(self, table: LinkTable, endpoint: Endpoint, sock: socket.socket, flight: InFlight) -> None:
        super().__init__(table.poller, sock, pgwire.Inbound(table.limits.message, table.pool), dialing=True)
        self.table, self.endpoint = table, endpoint
        self.flight: InFlight | None = flight
        self.at, self.life, self.parked_at = DIALING, endpoint.life, 0.0
        self.result = Result()

    def written(self) -> bool:
        return self.at >= ASKING and not self.rest

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
        if self.at == IDLE:  # be it only the first byte: the rest would be read as the next pick's answer
            raise pgwire.BrokenStream("bytes that nothing asked for")
        while not self.closed and (message := self.inbound.message()) is not None:
            if self.at == WELCOMING:
                self._welcome(message[0], message[1])
            else:
                self.result.message(message[0], message[1])
                if self.at == ASKING and self.result.verdict is not None:
                    self._verdict(self.result.verdict)  # whatever comes behind it, it is whole
                if self.result.ready:
                    self.park()  # drops it, should more have come than belongs to the answer

    def _welcome(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Z":
            flight = self.flight
            if flight is None or flight.done:
                self.park()
            elif flight.too_late():
                self.park()
                flight.end(Ending.MOOT, [])
            else:
                self.ask(flight)
        elif tag == b"E":
            full = pgwire.error_state(body) == pgwire.PUSHED_BACK
            self._fail(Ending.FULL if full else Ending.NO_CONNECT)
        elif tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT.pack(0)):
            raise pgwire.BrokenStream(f"message {tag!r} in the startup")

    def ask(self, flight: InFlight) -> None:
        """Write the query, once."""
        self.flight, flight.link = flight, self
        self.at = ASKING
        self.result = Result(flight.statement is not None and flight.statement.write)
        try:
            self.send(flight.query())
        except OSError:
            self._fail(Ending.NO_CONNECT)  # not all of it was taken

    def _verdict(self, verdict: bytes) -> None:
        flight, self.flight, self.at = self.flight, None, SETTLING
        self.table.settling[self] = time.monotonic()
        if flight is not None:
            table = OUTCOMES if flight.statement is not None else PROBED
            flight.end(table.get(verdict, Ending.ERROR), self.result.parts)

    def expire(self) -> None:
        """Never came up."""
        if not self.closed and self.at in (DIALING, WELCOMING):
            self.ready(IN)  # as above
        if not self.closed and self.at in (DIALING, WELCOMING):
            self._fail(Ending.NO_CONNECT)

    def broke(self, why: str) -> None:
        written = self.written()
        if why.startswith("not the protocol"):
            self.table.report.say("node", f"{self.endpoint.listed.address}: {why}")
        self._fail(Ending.RESET if written else Ending.NO_CONNECT)

    def _fail(self, ending: ifc.Ending) -> None:
        flight, self.flight = self.flight, None
        self.drop()
        if flight is not None:
            flight.end(ending, [])

    def park(self) -> None:
        """Keep the connection for the next pick, while its node may get one."""
        self.flight = None
        self.table.settling.pop(self, None)
        if self.life != self.endpoint.life or len(self.inbound):
            self.drop()
        else:
            self.at, self.parked_at = IDLE, time.monotonic()
            self.endpoint.idle.append(self)

    def drop(self) -> None:
        if not self.closed:
            if self.at == IDLE and self in self.endpoint.idle:
                self.endpoint.idle.remove(self)
            self.table.count -= 1
            self.table.settling.pop(self, None)
            self.close()
