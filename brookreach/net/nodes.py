"""Connections to nodes: picks and probes written, their outcomes told to the driver.

It owns every connection to a node, which of them are idle, and whether a pick's last byte was written. It
must never choose a node, write one query twice, or write to a node whose listing or cap has changed since the
pick was decided: such a pick ends as one that never ran.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from brookreach import interface as ifc

from . import pgwire
from .limits import Limits
from .report import Report
from .stream import Ended, Stream

Ending = ifc.Ending
HELLO = pgwire.hello("portal", "crm")
OUTCOMES = {b"": Ending.OK, pgwire.PUSHED_BACK: Ending.FULL}
PROBED = OUTCOMES | {pgwire.NOT_READY: Ending.FULL}


class Unreached(Exception):
    """Nothing was written; holds how that ends."""

    def __init__(self, ending: Ending):
        super().__init__(ending.name)
        self.ending = ending


@dataclass(frozen=True, slots=True)
class Listed:
    """A node as discovery tells it."""

    entry: ifc.NodeEntry
    address: tuple[str, int]


@dataclass(frozen=True, slots=True)
class PickOutcome:
    rpc: int
    nth: int
    node: int
    ending: Ending
    took_ms: float
    answer: list[bytes]


class Link:
    """One connection to a node."""

    def __init__(self, stream: Stream, limit: int):
        self.stream, self.inbound = stream, pgwire.Inbound(limit)
        self.written, self.parked_at = False, 0.0

    async def welcome(self) -> None:
        """The startup, until the node is ready for a query."""
        await self.stream.send([HELLO])
        while True:
            while (message := self.inbound.message()) is not None:
                tag, body = message
                if tag == b"Z":
                    return
                if tag == b"E":
                    refused = pgwire.error_state(body) == pgwire.PUSHED_BACK
                    raise Unreached(Ending.FULL if refused else Ending.NO_CONNECT)
                if tag not in (b"R", b"S", b"K", b"N") or (tag == b"R" and body != pgwire.INT.pack(0)):
                    raise pgwire.BrokenStream(f"message {tag!r} in the startup")
            await self.stream.fill(self.inbound)

    async def ask(self, query: list[bytes]) -> pgwire.Result:
        self.written = False
        await self.stream.send(query)
        self.written = True
        result = pgwire.Result()
        await self.read(result, lambda: result.verdict is not None)
        return result

    async def read(self, result: pgwire.Result, enough: Callable[[], bool]) -> None:
        """All that has come is looked at, so that what breaks the rules shows before the result counts."""
        while True:
            while (message := self.inbound.message()) is not None:
                result.message(*message)
            if enough():
                return
            await self.stream.fill(self.inbound)


@dataclass(slots=True)
class Spot:
    """What is known of one node, and its idle connections: the last used are taken first."""

    listed: Listed
    epoch: int = 0  # moves when picks that are decided but not written must not be written any more
    idle: deque[Link] = field(default_factory=deque)


@dataclass(slots=True)
class Going:
    """A pick that has no outcome yet."""

    scope: anyio.CancelScope
    cancelled: bool = False


class Nodes:
    def __init__(self, limits: Limits, report: Report, tell: Callable[[PickOutcome | ifc.ProbeEnded], None],
                 wanted: Callable[[int], bool]):
        self.limits, self.report, self.tell, self.wanted = limits, report, tell, wanted
        self.spots: dict[int, Spot] = {}
        self.going: dict[tuple[int, int], Going] = {}
        self.links = 0  # connections that stand or are coming up
        self.tasks: TaskGroup | None = None

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
            spot_is_new = (old.started_ms, old.build, spot.listed.address) != (
                new.started_ms, new.build, one.address)
            spot.listed = one
            if spot_is_new or new.state != ifc.NodeState.READY:
                self._retire(spot)  # its connections lead to a process that has gone or wants nothing new

    def _retire(self, spot: Spot) -> None:
        spot.epoch += 1
        while spot.idle:
            self._close(spot.idle.pop())

    def cap_fell(self, build: int) -> None:
        """Picks at this build or a later one that are not written yet were decided under a higher cap."""
        for spot in self.spots.values():
            if spot.listed.entry.build >= build:
                spot.epoch += 1

    # --- what the driver asks for ---

    def pick(self, pick: ifc.Pick, nth: int, statement: pgwire.Statement) -> None:
        assert self.tasks is not None
        spot = self.spots.get(pick.node)
        if spot is None:
            self.tell(PickOutcome(pick.rpc, nth, pick.node, Ending.MOOT, 0.0, []))
            return
        going = self.going[pick.rpc, nth] = Going(anyio.CancelScope())
        self.tasks.start_soon(self._pick, pick, nth, statement, spot, spot.epoch, going, time.monotonic())

    def cancel(self, rpc: int, nth: int) -> None:
        going = self.going.get((rpc, nth))
        if going is not None:
            going.cancelled = True
            going.scope.cancel()

    def probe(self, node: int) -> None:
        assert self.tasks is not None
        spot = self.spots.get(node)
        if spot is not None:
            self.tasks.start_soon(self._probe, node, spot, time.monotonic())

    def close_idle(self, node: int) -> None:
        spot = self.spots.get(node)
        while spot is not None and spot.idle:
            self._close(spot.idle.pop())

    # --- tasks ---

    async def _pick(self, pick: ifc.Pick, nth: int, statement: pgwire.Statement, spot: Spot, epoch: int,
                    going: Going, began: float) -> None:
        until = began + pick.wait_ms / 1000.0
        link, result, ending = None, None, Ending.TIMEOUT
        going.scope.deadline = anyio.current_time() + until - time.monotonic()
        with going.scope:
            try:
                link = await self._link(spot)
                if spot.epoch != epoch or not self.wanted(pick.rpc):
                    ending = Ending.MOOT
                else:
                    result = await link.ask(statement.passed_on((until - time.monotonic()) * 1000.0))
                    ending = OUTCOMES.get(result.verdict or b"", Ending.ERROR)
            except Unreached as error:
                ending = error.ending
            except Ended:
                ending = Ending.RESET if link is not None and link.written else Ending.NO_CONNECT
            except pgwire.BrokenStream as error:
                ending = Ending.RESET
                self.report.say("node", f"{spot.listed.address}: {error}")
        if going.scope.cancelled_caught:
            # Stopped by time or by the module before its last byte was written, it never ran.
            written = link is not None and link.written
            stopped = Ending.CANCELLED if going.cancelled else Ending.TIMEOUT
            ending = stopped if written else Ending.MOOT if going.cancelled else Ending.NO_CONNECT
        del self.going[pick.rpc, nth]
        clean = link is not None and (result is not None or ending == Ending.MOOT)
        if link is not None and not clean:
            self._close(link)  # before the outcome is told: a further pick must be no second copy
        took = (time.monotonic() - began) * 1000.0
        self.tell(PickOutcome(pick.rpc, nth, pick.node, ending, took, result.parts if result else []))
        if link is not None and clean:
            await self._settle(spot, link, result)

    async def _probe(self, node: int, spot: Spot, began: float) -> None:
        link, result, ending = None, None, Ending.TIMEOUT
        with anyio.move_on_after(self.limits.dial_s):
            try:
                link = await self._link(spot)
                result = await link.ask(pgwire.query(b"SELECT 1"))
                ending = PROBED.get(result.verdict or b"", Ending.ERROR)
            except Unreached as error:
                ending = error.ending
            except (Ended, pgwire.BrokenStream):
                ending = Ending.RESET
        self.tell(ifc.ProbeEnded(node, ending, (time.monotonic() - began) * 1000.0, {}))
        if link is not None and result is not None:
            await self._settle(spot, link, result)
        elif link is not None:
            self._close(link)

    async def _link(self, spot: Spot) -> Link:
        """An idle connection that still stands, or a new one."""
        while spot.idle:
            link = spot.idle.pop()
            if link.stream.quiet():
                link.written = False
                return link
            self._close(link)
        if self.links >= self.limits.links and not self._spare_one():
            self.report.say("nodes", f"all {self.limits.links} connections are taken: picks are not sent")
            raise Unreached(Ending.MOOT)
        self.links += 1
        stream: Stream | None = None
        try:
            with anyio.move_on_after(self.limits.dial_s):
                stream = await Stream.connect(spot.listed.address)
                link = Link(stream, self.limits.message)
                await link.welcome()
                return link
            raise Unreached(Ending.NO_CONNECT)  # in that time it never came up
        except BaseException as error:
            self.links -= 1
            if stream is not None:
                stream.close()
            if isinstance(error, (OSError, Ended, pgwire.BrokenStream)):
                raise Unreached(Ending.NO_CONNECT) from None
            raise

    def _spare_one(self) -> bool:
        """Close the connection that has been idle for longest."""
        idle = [spot.idle for spot in self.spots.values() if spot.idle]
        if idle:
            self._close(min(idle, key=lambda links: links[0].parked_at).popleft())
        return bool(idle)

    async def _settle(self, spot: Spot, link: Link, result: pgwire.Result | None) -> None:
        """Read on until the node is ready again, then keep the connection."""
        epoch, ready = spot.epoch, result is None or result.ready
        if not ready and result is not None:
            with anyio.move_on_after(self.limits.dial_s):
                try:
                    await link.read(result, lambda: result.ready)
                    ready = True
                except (Ended, pgwire.BrokenStream):
                    pass
        serves = spot.listed.entry.state == ifc.NodeState.READY and epoch == spot.epoch
        if ready and serves and not len(link.inbound):
            link.parked_at = time.monotonic()
            spot.idle.append(link)
        else:
            self._close(link)

    def _close(self, link: Link) -> None:
        link.stream.close()
        self.links -= 1

    async def sweep(self) -> None:
        """Close what has been idle for long, before the other side does."""
        while True:
            await anyio.sleep(self.limits.idle_s / 20.0)
            old = time.monotonic() - self.limits.idle_s
            for spot in self.spots.values():
                while spot.idle and spot.idle[0].parked_at < old:
                    self._close(spot.idle.popleft())
