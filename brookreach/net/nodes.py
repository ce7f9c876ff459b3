"""Connections to nodes: picks and probes written, their outcomes told to the driver.

It owns every connection to a node, which of them are idle, and whether a pick's last byte was written. It
must never choose a node, write one query twice, or write to a node whose listing or cap has changed since the
pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import socket
import time
from collections import deque
from typing import Protocol

from brookreach import interface as ifc

from . import pgwire
from .limits import Limits
from .report import Report
from .stream import IN, Expiring, Poller, Stream

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

    def __init__(self, rpc: int, nth: int, node: int, ending: ifc.Ending, took_ms: float,
                 answer: list[bytes | memoryview]) -> None:
        self.rpc, self.nth, self.node, self.ending = rpc, nth, node, ending
        self.took_ms, self.answer = took_ms, answer


class Owner(Protocol):
    """Whom outcomes are told to: the driver."""

    def put(self, event: ifc.Event | PickOutcome) -> None: ...

    def wanted(self, rpc: int) -> bool: ...

    def alarm(self, delay_ms: float, what: Expiring) -> None: ...


class Spot:
    """What is known of one node, and its idle connections: the last used are taken first."""

    def __init__(self, listed: Listed) -> None:
        self.listed = listed
        self.epoch = 0  # moves when picks that are decided but not written must not be written any more
        self.life = 0  # moves when its connections lead to a process that has gone or wants nothing new
        self.idle: deque[Link] = deque()


class Going(Expiring):
    """A pick that has no outcome yet, or a probe (`rpc` 0)."""

    def __init__(self, home: Nodes, spot: Spot, rpc: int, nth: int, wait_ms: float,
                 statement: pgwire.Statement | None) -> None:
        self.home, self.spot, self.rpc, self.nth, self.statement = home, spot, rpc, nth, statement
        self.node, self.epoch = spot.listed.entry.node, spot.epoch
        self.began = time.monotonic()
        self.until = self.began + wait_ms / 1000.0
        self.link: Link | None = None
        self.done = False

    def query(self) -> list[bytes | memoryview]:
        if self.statement is None:
            return list(PROBE)
        return self.statement.passed_on((self.until - time.monotonic()) * 1000.0)

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

    def end(self, ending: ifc.Ending, answer: list[bytes | memoryview]) -> None:
        if self.done:
            return
        self.done, self.link = True, None
        took = (time.monotonic() - self.began) * 1000.0
        statement, self.statement = self.statement, None  # its alarm keeps this for long
        if statement is None:
            self.home.owner.put(ifc.ProbeEnded(self.node, ending, took, {}))
        else:
            self.home.going.pop((self.rpc, self.nth), None)
            self.home.owner.put(PickOutcome(self.rpc, self.nth, self.node, ending, took, answer))


class Link(Stream):
    """One connection to a node."""

    def __init__(self, home: Nodes, spot: Spot, sock: socket.socket, going: Going) -> None:
        super().__init__(home.poller, sock, pgwire.Inbound(home.limits.message, home.pool), dialing=True)
        self.home, self.spot = home, spot
        self.going: Going | None = going
        self.at, self.life, self.parked_at = DIALING, spot.life, 0.0
        self.result = pgwire.Result()

    def written(self) -> bool:
        return self.at >= ASKING and not self.rest

    def opened(self) -> None:
        self.at = WELCOMING
        self.send([HELLO])

    def came(self) -> None:
        while not self.closed and (message := self.inbound.message()) is not None:
            if self.at == WELCOMING:
                self._welcome(message[0], message[1])
            elif self.at == IDLE:
                raise pgwire.BrokenStream("a message that nothing asked for")
            else:
                self.result.message(message[0], message[1])
                if self.at == ASKING and self.result.verdict is not None:
                    self._verdict(self.result.verdict)  # whatever comes behind it, it is whole
                if self.result.ready:
                    self.park()  # drops it, should more have come than belongs to the answer

    def _welcome(self, tag: bytes, body: memoryview) -> None:
        if tag == b"Z":
            going = self.going
            if going is None or going.done:
                self.park()
            elif going.epoch != self.spot.epoch or not self.home.may_write(going):
                self.park()
                going.end(Ending.MOOT, [])
            else:
                self.ask(going)
        elif tag == b"E":
            full = pgwire.error_state(body) == pgwire.PUSHED_BACK
            self._fail(Ending.FULL if full else Ending.NO_CONNECT)
        elif tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT.pack(0)):
            raise pgwire.BrokenStream(f"message {tag!r} in the startup")

    def ask(self, going: Going) -> None:
        """Write the query, once."""
        self.going, going.link = going, self
        self.at = ASKING
        self.result = pgwire.Result(going.statement is not None and going.statement.write)
        try:
            self.send(going.query())
        except OSError:
            self._fail(Ending.NO_CONNECT)  # not all of it was taken

    def _verdict(self, verdict: bytes) -> None:
        going, self.going, self.at = self.going, None, SETTLING
        self.home.settling[self] = time.monotonic()
        if going is not None:
            table = OUTCOMES if going.statement is not None else PROBED
            going.end(table.get(verdict, Ending.ERROR), self.result.parts)

    def expire(self) -> None:
        """Never came up."""
        if not self.closed and self.at in (DIALING, WELCOMING):
            self.ready(IN)  # as above
        if not self.closed and self.at in (DIALING, WELCOMING):
            self._fail(Ending.NO_CONNECT)

    def broke(self, why: str) -> None:
        written = self.written()
        if why.startswith("not the protocol"):
            self.home.report.say("node", f"{self.spot.listed.address}: {why}")
        self._fail(Ending.RESET if written else Ending.NO_CONNECT)

    def _fail(self, ending: ifc.Ending) -> None:
        going, self.going = self.going, None
        self.drop()
        if going is not None:
            going.end(ending, [])

    def park(self) -> None:
        """Keep the connection for the next pick, while its node may get one."""
        self.going = None
        self.home.settling.pop(self, None)
        if self.life != self.spot.life or len(self.inbound):
            self.drop()
        else:
            self.at, self.parked_at = IDLE, time.monotonic()
            self.spot.idle.append(self)

    def drop(self) -> None:
        if not self.closed:
            if self.at == IDLE and self in self.spot.idle:
                self.spot.idle.remove(self)
            self.home.links -= 1
            self.home.settling.pop(self, None)
            self.close()


class Nodes:
    def __init__(self, limits: Limits, report: Report, poller: Poller, owner: Owner) -> None:
        self.limits, self.report, self.poller, self.owner = limits, report, poller, owner
        self.pool = pgwire.Pool(limits.large)
        self.spots: dict[int, Spot] = {}
        self.settling: dict[Link, float] = {}  # answered, but not ready for the next query; since when
        self.going: dict[tuple[int, int], Going] = {}
        self.links = 0  # connections that stand or are coming up

    # --- what discovery and the platform say ---

    def listing(self, kind: ifc.ListKind, listed: list[Listed]) -> None:
        named = {one.entry.node for one in listed}
        if kind != ifc.ListKind.DELTA:
            for number, spot in self.spots.items():
                if number not in named:
                    self._retire(spot)
        for one in listed:
            spot = self.spots.setdefault(one.entry.node, Spot(one))
            old, new = spot.listed.entry, one.entry
            other = (old.started_ms, old.build, spot.listed.address) != (
                new.started_ms, new.build, one.address)
            spot.listed = one
            if other or new.state != ifc.NodeState.READY:
                self._retire(spot)
        for number in [n for n, spot in self.spots.items() if n not in named and kind != ifc.ListKind.DELTA
                       or spot.listed.entry.state == ifc.NodeState.GONE]:
            del self.spots[number]

    def _retire(self, spot: Spot) -> None:
        spot.epoch += 1
        spot.life += 1
        while spot.idle:
            spot.idle.pop().drop()

    def cap_fell(self, build: int) -> None:
        """Picks at this build or a later one that are not written yet were decided under a higher cap."""
        for spot in self.spots.values():
            if spot.listed.entry.build >= build:
                spot.epoch += 1

    def may_write(self, going: Going) -> bool:
        return going.statement is None or self.owner.wanted(going.rpc)

    # --- what the driver asks for ---

    def pick(self, pick: ifc.Pick, nth: int, statement: pgwire.Statement) -> None:
        spot = self.spots.get(pick.node)
        if spot is None:
            self.owner.put(PickOutcome(pick.rpc, nth, pick.node, Ending.MOOT, 0.0, []))
            return
        going = Going(self, spot, pick.rpc, nth, pick.wait_ms, statement)
        self.going[pick.rpc, nth] = going
        self.owner.alarm(pick.wait_ms, going)
        self._start(going)

    def cancel(self, rpc: int, nth: int) -> None:
        going = self.going.get((rpc, nth))
        if going is not None:
            going.stop(Ending.CANCELLED)

    def probe(self, node: int) -> None:
        spot = self.spots.get(node)
        if spot is not None:
            going = Going(self, spot, 0, 0, self.limits.dial_s * 1000.0, None)
            self.owner.alarm(self.limits.dial_s * 1000.0, going)
            self._start(going)

    def close_idle(self, node: int) -> None:
        spot = self.spots.get(node)
        while spot is not None and spot.idle:
            spot.idle.pop().drop()

    # --- connections ---

    def _start(self, going: Going) -> None:
        """By an idle connection that still stands, or by a new one."""
        spot = going.spot
        while spot.idle:
            link = spot.idle.pop()
            if link.quiet():
                link.ask(going)
                return
            link.drop()
        if self.links >= self.limits.links and not self._spare_one():
            self.report.say("nodes", f"all {self.limits.links} connections are taken: picks are not sent")
            going.end(Ending.MOOT, [])
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors or buffers
            self.report.say("nodes", f"no socket: {error}")
            going.end(Ending.MOOT, [])
            return
        self.links += 1
        link = Link(self, spot, sock, going)
        going.link = link
        try:
            sock.connect(spot.listed.address)
        except BlockingIOError:
            self.owner.alarm(self.limits.dial_s * 1000.0, link)
        except OSError:
            link.expire()

    def _spare_one(self) -> bool:
        """Close the connection that has been idle for longest."""
        idle = [spot.idle[0] for spot in self.spots.values() if spot.idle]
        if idle:
            min(idle, key=_parked_at).drop()
        return bool(idle)

    def sweep(self) -> None:
        """Close what has been idle for long, before the other side does, and what does not get ready."""
        now = time.monotonic()
        old = now - self.limits.idle_s
        for link in [one for one, since in self.settling.items() if since < now - self.limits.dial_s]:
            link.drop()
        for spot in self.spots.values():
            while spot.idle and spot.idle[0].parked_at < old:
                spot.idle[0].drop()


def _parked_at(link: Link) -> float:
    return link.parked_at


