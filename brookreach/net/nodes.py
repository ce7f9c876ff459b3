"""Connections to nodes: where picks and probes go out, and which connections are kept for the next.

It owns every connection to a node and which of them are idle. It must never choose a node.
"""

from __future__ import annotations

import math
import socket
import time

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.endpoint import Endpoint, ListedNode
from brookreach.net.in_flight import DriverCallbacks, InFlightQuery, Outcome, PickResult, WriteDeadline
from brookreach.net.limits import Limits
from brookreach.net.node_connection import ConnectionPoolState, NodeConnection
from brookreach.net.poller import Poller
from brookreach.net.report import Report
from brookreach.net.statement import Statement


class NodeConnectionPool:
    def __init__(self, limits: Limits, report: Report, poller: Poller, driver: DriverCallbacks) -> None:
        self.limits, self.report, self.driver = limits, report, driver
        self.pool_state = ConnectionPoolState(limits, report, poller)
        self.endpoints: dict[int, Endpoint] = {}
        self.picks_in_flight: dict[tuple[int, int], InFlightQuery] = {}

    @property
    def connection_count(self) -> int:
        """Connections that stand or are coming up."""
        return self.pool_state.connection_count

    @property
    def awaiting_ready(self) -> dict[NodeConnection, float]:
        """Connections that are answered, but not ready for the next query; since when."""
        return self.pool_state.awaiting_ready

    @property
    def buffer_pool(self) -> pgwire.BufferPool:
        """The memory for what is large on connections to nodes."""
        return self.pool_state.buffer_pool

    # --- what discovery and the platform say ---

    def apply_node_list(self, kind: ifc.ListKind, listed: list[ListedNode]) -> None:
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
        endpoint.pick_epoch += 1
        endpoint.connection_generation += 1
        while endpoint.idle_connections:
            endpoint.idle_connections.pop().discard()

    def invalidate_picks(self, build: int) -> None:
        """Picks at this build or a later one that are not written yet were decided under a higher cap."""
        for endpoint in self.endpoints.values():
            if endpoint.listed.entry.build >= build:
                endpoint.pick_epoch += 1

    # --- what the driver asks for ---

    def start_pick(self, pick: ifc.Pick, nth: int, statement: Statement) -> None:
        endpoint = self.endpoints.get(pick.node)
        if endpoint is None:
            self.driver.enqueue(PickResult(pick.rpc_id, nth, pick.node, Outcome.MOOT, 0.0, []))
            return
        flight = InFlightQuery(
            self.driver,
            self.picks_in_flight,
            endpoint,
            pick.rpc_id,
            nth,
            pick.timeout_ms,
            pick.write_within_ms,
            statement,
        )
        self.picks_in_flight[pick.rpc_id, nth] = flight
        self.driver.schedule_timeout(pick.timeout_ms, flight)
        if pick.write_within_ms < pick.timeout_ms:
            self.driver.schedule_timeout(pick.write_within_ms, WriteDeadline(flight))
        self._start(flight, pick.min_idle_ms)

    def cancel(self, rpc: int, nth: int) -> None:
        flight = self.picks_in_flight.get((rpc, nth))
        if flight is not None:
            flight.cancel(Outcome.CANCELLED)

    def on_client_gone(self, rpc: int, nth: int) -> None:
        """Its client has gone: a query that is not whole yet is never made so."""
        flight = self.picks_in_flight.get((rpc, nth))
        if flight is not None:
            flight.cancel_if_partly_written()

    def start_probe(self, node: int) -> None:
        endpoint = self.endpoints.get(node)
        if endpoint is not None:
            wait_ms = self.limits.connect_timeout_s * 1000.0
            flight = InFlightQuery(self.driver, self.picks_in_flight, endpoint, 0, 0, wait_ms, wait_ms, None)
            self.driver.schedule_timeout(wait_ms, flight)
            self._start(flight, wait_ms)

    def close_idle(self, node: int) -> None:
        endpoint = self.endpoints.get(node)
        while endpoint is not None and endpoint.idle_connections:
            endpoint.idle_connections.pop().discard()

    # --- connections ---

    def _take_idle(self, endpoint: Endpoint, rest_ms: float) -> NodeConnection | None:
        """An idle connection that still stands, on which no second copy of its last answer is to come."""
        silent_since = time.monotonic() - rest_ms / 1000.0
        for link in reversed(list(endpoint.idle_connections)):
            if link.idle_since <= silent_since:
                endpoint.idle_connections.remove(link)
                if link.is_quiet():
                    return link
                link.read_pending()  # notes what came, be it a second answer or the end
                link.discard()
        return None

    def _start(self, flight: InFlightQuery, rest_ms: float) -> None:
        """By an idle connection that is fit for it, or by a new one."""
        endpoint = flight.endpoint
        link = self._take_idle(endpoint, rest_ms)
        if link is not None:
            link.send_query(flight)
            return
        if self.connection_count >= self.limits.max_links and not self._close_longest_idle():
            self.report.log("nodes", f"all {self.limits.max_links} connections are taken: picks are not sent")
            flight.finish(Outcome.MOOT, [])
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors or buffers
            self.report.log("nodes", f"no socket: {error}")
            flight.finish(Outcome.MOOT, [])
            return
        self.pool_state.connection_count += 1
        link = NodeConnection(self.pool_state, endpoint, sock, flight)
        flight.transport = link
        try:
            sock.connect(endpoint.listed.address)
        except BlockingIOError:
            self.driver.schedule_timeout(self.limits.connect_timeout_s * 1000.0, link)
        except OSError:
            link.expire()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest."""
        idle = [endpoint.idle_connections[0] for endpoint in self.endpoints.values() if endpoint.idle_connections]
        if idle:
            min(idle, key=_idle_since).discard()
        return bool(idle)

    def sweep(self) -> None:
        """Close what has been idle for long, before the other side does, and what does not get ready."""
        now = time.monotonic()
        old = now - self.limits.idle_timeout_s
        for link in [one for one, since in self.awaiting_ready.items() if since < now - self.limits.connect_timeout_s]:
            link.expire_awaiting_ready()
        for endpoint in self.endpoints.values():
            while endpoint.idle_connections and endpoint.idle_connections[0].idle_since < old:
                endpoint.idle_connections[0].discard()


def _idle_since(link: NodeConnection) -> float:
    return link.idle_since
