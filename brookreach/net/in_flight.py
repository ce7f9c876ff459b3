"""A pick that is under way at a node, and how it ended.

It owns the one outcome of a pick: what was not written whole never ran, what was may have. It must never read or
write a connection.
"""

from __future__ import annotations

import time
from typing import Protocol

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint
from brookreach.net.poller import Expiring
from brookreach.net.statement import Statement

Outcome = ifc.Outcome
PROBE = pgwire.query(b"SELECT 1")


class PickOutcome:
    """How a pick ended; `answer` are the node's messages where it ended ok."""

    def __init__(
        self, rpc: int, nth: int, node: int, ending: ifc.Outcome, took_ms: float, answer: list[bytes | memoryview]
    ) -> None:
        self.rpc, self.nth, self.node, self.ending = rpc, nth, node, ending
        self.took_ms, self.answer = took_ms, answer


class Owner(Protocol):
    """Whom outcomes are told to: the driver."""

    def put(self, event: ifc.Event | PickOutcome) -> None: ...

    def wanted(self, rpc: int) -> bool: ...

    def alarm(self, delay_ms: float, what: Expiring) -> None: ...


class Carrier(Protocol):
    """The connection that a pick goes over."""

    def is_half_written(self) -> bool: ...

    def written(self) -> bool: ...

    def read_now(self) -> None: ...

    def drop(self) -> None: ...


class InFlight(Expiring):
    """A pick that has no outcome yet, or a probe (`rpc` 0). Its last byte is written within `write_ms`.

    `table` holds the picks in flight by RPC and number; it leaves this one as it ends.
    """

    def __init__(
        self,
        owner: Owner,
        table: dict[tuple[int, int], InFlight],
        endpoint: Endpoint,
        rpc: int,
        nth: int,
        wait_ms: float,
        write_ms: float,
        statement: Statement | None,
    ) -> None:
        self.owner, self.table = owner, table
        self.endpoint, self.rpc, self.nth, self.statement = endpoint, rpc, nth, statement
        self.node, self.epoch = endpoint.listed.entry.node, endpoint.epoch
        self.began = time.monotonic()
        self.until, self.write_until = self.began + wait_ms / 1000.0, self.began + write_ms / 1000.0
        self.link: Carrier | None = None
        self.done = False

    def query(self) -> list[bytes | memoryview]:
        """The query as it is written now, with the wait that is left."""
        if self.statement is None:
            return list(PROBE)
        return self.statement.passed_on((self.until - time.monotonic()) * 1000.0)

    def too_late(self) -> bool:
        """Whether what made this pick right when it was decided has gone: listing, cap, window or client."""
        return self.epoch != self.endpoint.epoch or time.monotonic() >= self.write_until or not self._is_wanted()

    def _is_wanted(self) -> bool:
        return self.statement is None or self.owner.wanted(self.rpc)

    def expire(self) -> None:
        """Its time is over."""
        if self.link is not None and not self.done:
            self.link.read_now()  # in a long turn its answer may have come, and not been looked at
        self.stop(Outcome.TIMEOUT)

    def stop(self, ending: ifc.Outcome) -> None:
        """End it by time or by the module's wish. Before its last byte was written, it never ran."""
        if self.done:
            return
        link = self.link
        if link is None or not link.written():
            ending = Outcome.NO_CONNECT if ending == Outcome.TIMEOUT else Outcome.MOOT
        if link is not None:
            link.drop()  # before the outcome is told: a further pick must be no second copy
        self.end(ending, [])

    def cut_half(self) -> None:
        """A query of which the kernel took only a part is never made whole."""
        if self.link is not None and self.link.is_half_written():
            self.stop(Outcome.MOOT)

    def end(self, ending: ifc.Outcome, answer: list[bytes | memoryview]) -> None:
        """Tell its outcome, once."""
        if self.done:
            return
        self.done, self.link = True, None
        took = (time.monotonic() - self.began) * 1000.0
        statement, self.statement = self.statement, None  # its alarm keeps this for long
        if statement is None:
            self.owner.put(ifc.ProbeEnded(self.node, ending, took, {}))
        else:
            self.table.pop((self.rpc, self.nth), None)
            self.owner.put(PickOutcome(self.rpc, self.nth, self.node, ending, took, answer))


class HalfWritten(Expiring):
    """The alarm of when a query's time for being written is over."""

    def __init__(self, flight: InFlight) -> None:
        self.flight = flight

    def expire(self) -> None:
        self.flight.cut_half()
