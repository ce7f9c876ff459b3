"""One connection to a node, the pick that is under way on it, and how that ended.

It owns whether a pick's last byte was written. It must never write one query twice, or write to a node whose
listing or cap has changed since the pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from typing import TYPE_CHECKING, Protocol

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.poller import IN, Expiring
from brookreach.net.result import Result
from brookreach.net.statement import Statement
from brookreach.net.stream import Stream

if TYPE_CHECKING:
    from brookreach.net.nodes import Nodes

Ending = ifc.Ending
HELLO = pgwire.hello("portal", "crm")
PROBE = pgwire.query(b"SELECT 1")
OUTCOMES = {b"": Ending.OK, pgwire.PUSHED_BACK: Ending.FULL}
PROBED = OUTCOMES | {pgwire.NOT_READY: Ending.FULL}
DIALING, WELCOMING, IDLE, ASKING, SETTLING = 0, 1, 2, 3, 4  # what a connection is at


class Listed:
    """A node as discovery tells it."""

    def __init__(self, entry: ifc.NodeEntry, address: tuple[str, int]) -> None:
        self.entry, self.address = entry, address


class PickOutcome:
    """How a pick ended; `answer` are the node's messages where it ended ok."""

    def __init__(
        self, rpc: int, nth: int, node: int, ending: ifc.Ending, took_ms: float, answer: list[bytes | memoryview]
    ) -> None:
        self.rpc, self.nth, self.node, self.ending = rpc, nth, node, ending
        self.took_ms, self.answer = took_ms, answer


class Owner(Protocol):
    """Whom outcomes are told to: the driver."""

    def put(self, event: ifc.Event | PickOutcome) -> None: ...

    def wanted(self, rpc: int) -> bool: ...

    def alarm(self, delay_ms: float, what: Expiring) -> None: ...


class Endpoint:
    """What is known of one node, and its idle connections: the last used are taken first."""

    def __init__(self, listed: Listed) -> None:
        self.listed = listed
        self.epoch = 0  # moves when picks that are decided but not written must not be written any more
        self.life = 0  # moves when its connections lead to a process that has gone or wants nothing new
        self.idle: deque[Link] = deque()


class InFlight(Expiring):
    """A pick that has no outcome yet, or a probe (`rpc` 0). Its last byte is written within `write_ms`."""

    def __init__(
        self,
        home: Nodes,
        endpoint: Endpoint,
        rpc: int,
        nth: int,
        wait_ms: float,
        write_ms: float,
        statement: Statement | None,
    ) -> None:
        self.home, self.endpoint, self.rpc, self.nth, self.statement = home, endpoint, rpc, nth, statement
        self.node, self.epoch = endpoint.listed.entry.node, endpoint.epoch
        self.began = time.monotonic()
        self.until, self.write_until = self.began + wait_ms / 1000.0, self.began + write_ms / 1000.0
        self.link: Link | None = None
        self.done = False

    def query(self) -> list[bytes | memoryview]:
        if self.statement is None:
            return list(PROBE)
        return self.statement.passed_on((self.until - time.monotonic()) * 1000.0)

    def too_late(self) -> bool:
        """Whether what made this pick right when it was decided has gone: listing, cap, window or client."""
        return (
            self.epoch != self.endpoint.epoch or time.monotonic() >= self.write_until or not self.home.may_write(self)
        )

    def expire(self) -> None:
        if self.link is not None and not self.done:
            self.link.ready(IN)  # in a long turn its answer may have come, and not been looked at
        self.stop(Ending.TIMEOUT)

    def stop(self, ending: ifc.Ending) -> None:
        """End it by time or by the module's wish. Before its last byte was written, it never ran."""
        if self.done:
            return
        link = self.link
        if link is None or not link.written():
            ending = Ending.NO_CONNECT if ending == Ending.TIMEOUT else Ending.MOOT
        if link is not None:
            link.drop()  # before the outcome is told: a further pick must be no second copy
        self.end(ending, [])

    def cut_half(self) -> None:
        """A query of which the kernel took only a part is never made whole."""
        if self.link is not None and self.link.at == ASKING and not self.link.written():
            self.stop(Ending.MOOT)

    def end(self, ending: ifc.Ending, answer: list[bytes | memoryview]) -> None:
        if self.done:
            return
        self.done, self.link = True, None
        took = (time.monotonic() - self.began) * 1000.0
        statement, self.statement = self.statement, None  # its alarm keeps this for long
        if statement is None:
            self.home.owner.put(ifc.ProbeEnded(self.node, ending, took, {}))
        else:
            self.home.in_flight.pop((self.rpc, self.nth), None)
            self.home.owner.put(PickOutcome(self.rpc, self.nth, self.node, ending, took, answer))


class HalfWritten(Expiring):
    """The alarm of when a query's time for being written is over."""

    def __init__(self, flight: InFlight) -> None:
        self.flight = flight

    def expire(self) -> None:
        self.flight.cut_half()


class Link(Stream):
    """One connection to a node."""

    def __init__(self, home: Nodes, endpoint: Endpoint, sock: socket.socket, flight: InFlight) -> None:
        super().__init__(home.poller, sock, pgwire.Inbound(home.limits.message, home.pool), dialing=True)
        self.home, self.endpoint = home, endpoint
        self.flight: InFlight | None = flight
        self.at, self.life, self.parked_at = DIALING, endpoint.life, 0.0
        self.result = Result()

    def written(self) -> bool:
        return self.at >= ASKING and not self.rest

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
        self.home.settling[self] = time.monotonic()
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
            self.home.report.say("node", f"{self.endpoint.listed.address}: {why}")
        self._fail(Ending.RESET if written else Ending.NO_CONNECT)

    def _fail(self, ending: ifc.Ending) -> None:
        flight, self.flight = self.flight, None
        self.drop()
        if flight is not None:
            flight.end(ending, [])

    def park(self) -> None:
        """Keep the connection for the next pick, while its node may get one."""
        self.flight = None
        self.home.settling.pop(self, None)
        if self.life != self.endpoint.life or len(self.inbound):
            self.drop()
        else:
            self.at, self.parked_at = IDLE, time.monotonic()
            self.endpoint.idle.append(self)

    def drop(self) -> None:
        if not self.closed:
            if self.at == IDLE and self in self.endpoint.idle:
                self.endpoint.idle.remove(self)
            self.home.links -= 1
            self.home.settling.pop(self, None)
            self.close()
