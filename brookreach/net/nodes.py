"""Connections to nodes: where picks and probes go out, and which connections are kept for the next.

It owns every connection to a node and which of them are idle. It must never choose a node.
"""

from __future__ import annotations

import math
import socket
import time

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint, Listed
from brookreach.net.in_flight import HalfWritten, InFlight, Outcome, Owner, PickOutcome
from brookreach.net.limits import Limits
from brookreach.net.link import Link, LinkTable
from brookreach.net.poller import Poller
from brookreach.net.report import Report
from brookreach.net.statement import Statement


class Nodes:
    def __init__(self, limits: Limits, report: Report, poller: Poller, owner: Owner) -> None:
        self.limits, self.report, self.owner = limits, report, owner
        self.table = LinkTable(limits, report, poller)
        self.endpoints: dict[int, Endpoint] = {}
        self.in_flight: dict[tuple[int, int], InFlight] = {}

    @property
    def links(self) -> int:
        """Connections that stand or are coming up."""
        return self.table.count

    @property
    def settling(self) -> dict[Link, float]:
        """Connections that are answered, but not ready for the next query; since when."""
        return self.table.settling

    @property
    def pool(self) -> pgwire.Pool:
        """The memory for what is large on connections to nodes."""
        return self.table.pool

    # --- what discovery and the platform say ---

    def listing(self, kind: ifc.ListKind, listed: list[Listed]) -> None:
        named = {one.entry.node for one in listed}
        if kind != ifc.ListKind.DELTA:
            for number, endpoint in self.endpoints.items():
                if number not in named:
                    self._retire(endpoint)
        for one in listed:
            endpoint = self.endpoints.setdefault(one.entry.node, Endpoint(one))
            old, new = endpoint.listed.entry, one.entry
            other = (old.started_ms, old.build, endpoint.listed.address) != (new.started_ms, new.build, one.address)
            endpoint.listed = one
            if other or new.state != ifc.NodeState.READY:
                self._retire(endpoint)
            if other:
                endpoint.single_use_until = -math.inf  # it tells of the process before
        for number in [
            n
            for n, one in self.endpoints.items()
            if n not in named and kind != ifc.ListKind.DELTA or one.listed.entry.state == ifc.NodeState.GONE
        ]:
            del self.endpoints[number]

    def _retire(self, endpoint: Endpoint) -> None:
        endpoint.epoch += 1
        endpoint.life += 1
        while endpoint.idle:
            endpoint.idle.pop().drop()

    def cap_fell(self, build: int) -> None:
        """Picks at this build or a later one that are not written yet were decided under a higher cap."""
        for endpoint in self.endpoints.values():
            if endpoint.listed.entry.build >= build:
                endpoint.epoch += 1

    # --- what the driver asks for ---

    def pick(self, pick: ifc.Pick, nth: int, statement: Statement) -> None:
        endpoint = self.endpoints.get(pick.node)
        if endpoint is None:
            self.owner.put(PickOutcome(pick.rpc_id, nth, pick.node, Outcome.MOOT, 0.0, []))
            return
        flight = InFlight(
            self.owner, self.in_flight, endpoint, pick.rpc_id, nth, pick.timeout_ms, pick.write_within_ms, statement
        )
        self.in_flight[pick.rpc_id, nth] = flight
        self.owner.alarm(pick.timeout_ms, flight)
        if pick.write_within_ms < pick.timeout_ms:
            self.owner.alarm(pick.write_within_ms, HalfWritten(flight))
        self._start(flight, pick.min_idle_ms)

    def cancel(self, rpc: int, nth: int) -> None:
        flight = self.in_flight.get((rpc, nth))
        if flight is not None:
            flight.stop(Outcome.CANCELLED)

    def unwanted(self, rpc: int, nth: int) -> None:
        """Its client has gone: a query that is not whole yet is never made so."""
        flight = self.in_flight.get((rpc, nth))
        if flight is not None:
            flight.cut_half()

    def probe(self, node: int) -> None:
        endpoint = self.endpoints.get(node)
        if endpoint is not None:
            wait_ms = self.limits.dial_s * 1000.0
            flight = InFlight(self.owner, self.in_flight, endpoint, 0, 0, wait_ms, wait_ms, None)
            self.owner.alarm(wait_ms, flight)
            self._start(flight, wait_ms)

    def close_idle(self, node: int) -> None:
        endpoint = self.endpoints.get(node)
        while endpoint is not None and endpoint.idle:
            endpoint.idle.pop().drop()

    # --- connections ---

    def _rested(self, endpoint: Endpoint, rest_ms: float) -> Link | None:
        """An idle connection that still stands, on which no second copy of its last answer is to come."""
        silent_since = time.monotonic() - rest_ms / 1000.0
        for link in reversed(list(endpoint.idle)):
            if link.parked_at <= silent_since:
                endpoint.idle.remove(link)
                if link.quiet():
                    return link
                link.read_now()  # notes what came, be it a second answer or the end
                link.drop()
        return None

    def _start(self, flight: InFlight, rest_ms: float) -> None:
        """By an idle connection that is fit for it, or by a new one."""
        endpoint = flight.endpoint
        link = self._rested(endpoint, rest_ms)
        if link is not None:
            link.ask(flight)
            return
        if self.links >= self.limits.links and not self._spare_one():
            self.report.say("nodes", f"all {self.limits.links} connections are taken: picks are not sent")
            flight.end(Outcome.MOOT, [])
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors or buffers
            self.report.say("nodes", f"no socket: {error}")
            flight.end(Outcome.MOOT, [])
            return
        self.table.count += 1
        link = Link(self.table, endpoint, sock, flight)
        flight.link = link
        try:
            sock.connect(endpoint.listed.address)
        except BlockingIOError:
            self.owner.alarm(self.limits.dial_s * 1000.0, link)
        except OSError:
            link.expire()

    def _spare_one(self) -> bool:
        """Close the connection that has been idle for longest."""
        idle = [endpoint.idle[0] for endpoint in self.endpoints.values() if endpoint.idle]
        if idle:
            min(idle, key=_parked_at).drop()
        return bool(idle)

    def sweep(self) -> None:
        """Close what has been idle for long, before the other side does, and what does not get ready."""
        now = time.monotonic()
        old = now - self.limits.idle_s
        for link in [one for one, since in self.settling.items() if since < now - self.limits.dial_s]:
            link.settle_no_more()
        for endpoint in self.endpoints.values():
            while endpoint.idle and endpoint.idle[0].parked_at < old:
                endpoint.idle[0].drop()


def _parked_at(link: Link) -> float:
    return link.parked_at
