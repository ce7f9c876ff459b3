"""The pool of connections to nodes: sends picks and probes, and keeps idle connections for reuse.

This module owns every connection to a node, and which of them are idle. It must never choose a node.
"""

from __future__ import annotations

import math
import socket
import time

from brookreach import interface as ifc
from brookreach.net.endpoint import Endpoint, ListedNode
from brookreach.net.in_flight import MS_PER_S, DriverCallbacks, InFlightQuery, Outcome, PickResult, WriteDeadline
from brookreach.net.limits import Limits
from brookreach.net.message_buffer import BufferPool
from brookreach.net.node_connection import NodeConnection
from brookreach.net.poller import Poller
from brookreach.net.pool_state import ConnectionPoolState
from brookreach.net.report import Report
from brookreach.net.statement import Statement


class NodeConnectionPool:
    """All connections to nodes, and the picks in flight on them. The driver calls its methods.

    Args:
        limits: The most connections, and their time-outs.
        report: The log.
        poller: Watches their sockets.
        driver: Is told the outcomes of picks and probes.
    """

    def __init__(self, limits: Limits, report: Report, poller: Poller, driver: DriverCallbacks) -> None:
        self.limits = limits
        self.report = report
        self.driver = driver
        self.pool_state = ConnectionPoolState(limits, report, poller)
        self.endpoints: dict[int, Endpoint] = {}  # by the node's number
        self.picks_in_flight: dict[tuple[int, int], InFlightQuery] = {}  # by the RPC's number and the pick's index

    @property
    def connection_count(self) -> int:
        """Connections that are established or being established."""
        return self.pool_state.connection_count

    @property
    def awaiting_ready(self) -> dict[NodeConnection, float]:
        """Connections that have answered and are not ready for the next query, with the time of their answer."""
        return self.pool_state.awaiting_ready

    @property
    def buffer_pool(self) -> BufferPool:
        """The memory for large messages on connections to nodes."""
        return self.pool_state.buffer_pool

    # --- changes from discovery and the platform ---

    def apply_node_list(self, kind: ifc.ListKind, listed: list[ListedNode]) -> None:
        """Take over a list of nodes, or the nodes of it that changed; retire connections that are outdated by it."""
        listed_numbers = {node.entry.node for node in listed}
        if kind != ifc.ListKind.DELTA:
            for number, endpoint in self.endpoints.items():
                if number not in listed_numbers:
                    self._retire(endpoint)
        for node in listed:
            endpoint = self.endpoints.setdefault(node.entry.node, Endpoint(node))
            old = endpoint.listed.entry
            new = node.entry
            old_process = (old.started_ms, old.build, endpoint.listed.address)
            is_other_process = old_process != (new.started_ms, new.build, node.address)
            endpoint.listed = node
            if is_other_process or new.state != ifc.NodeState.READY:
                self._retire(endpoint)
            if is_other_process:
                endpoint.single_use_until = -math.inf  # it was about the process before
        removed = [
            number
            for number, endpoint in self.endpoints.items()
            if (number not in listed_numbers and kind != ifc.ListKind.DELTA)
            or endpoint.listed.entry.state == ifc.NodeState.GONE
        ]
        for number in removed:
            del self.endpoints[number]

    def _retire(self, endpoint: Endpoint) -> None:
        """Invalidate the picks that are not written yet and all connections; close the idle ones."""
        endpoint.pick_epoch += 1
        endpoint.connection_generation += 1
        while endpoint.idle_connections:
            endpoint.idle_connections.pop().discard()

    def invalidate_picks(self, build: int) -> None:
        """Invalidate picks of this build or a later one that are not written yet: their cap has been lowered."""
        for endpoint in self.endpoints.values():
            if endpoint.listed.entry.build >= build:
                endpoint.pick_epoch += 1

    # --- requests of the driver ---

    def start_pick(self, pick: ifc.Pick, pick_index: int, statement: Statement) -> None:
        """Send a pick to its node; its outcome is put into the driver's queue, at once if the node is unknown."""
        endpoint = self.endpoints.get(pick.node)
        if endpoint is None:
            self.driver.enqueue(PickResult(pick.rpc_id, pick_index, pick.node, Outcome.MOOT, 0.0, []))
            return
        query = InFlightQuery(
            self.driver,
            self.picks_in_flight,
            endpoint,
            pick.rpc_id,
            pick_index,
            pick.timeout_ms,
            pick.write_within_ms,
            statement,
        )
        self.picks_in_flight[pick.rpc_id, pick_index] = query
        self.driver.schedule_timeout(pick.timeout_ms, query)
        if pick.write_within_ms < pick.timeout_ms:
            self.driver.schedule_timeout(pick.write_within_ms, WriteDeadline(query))
        self._send(query, pick.min_idle_ms)

    def cancel(self, rpc_id: int, pick_index: int) -> None:
        """Cancel a pick, if it is still in flight."""
        query = self.picks_in_flight.get((rpc_id, pick_index))
        if query is not None:
            query.cancel(Outcome.CANCELLED)

    def on_client_gone(self, rpc_id: int, pick_index: int) -> None:
        """Cancel a pick that is only partly written, since its client has gone."""
        query = self.picks_in_flight.get((rpc_id, pick_index))
        if query is not None:
            query.cancel_if_partly_written()

    def start_probe(self, node: int) -> None:
        """Probe a node by a query of its own; the outcome is put into the driver's queue."""
        endpoint = self.endpoints.get(node)
        if endpoint is not None:
            timeout_ms = self.limits.connect_timeout_s * MS_PER_S
            query = InFlightQuery(self.driver, self.picks_in_flight, endpoint, 0, 0, timeout_ms, timeout_ms, None)
            self.driver.schedule_timeout(timeout_ms, query)
            self._send(query, timeout_ms)

    def close_idle(self, node: int) -> None:
        """Close the idle connections of a node."""
        endpoint = self.endpoints.get(node)
        while endpoint is not None and endpoint.idle_connections:
            endpoint.idle_connections.pop().discard()

    # --- connections ---

    def _take_idle(self, endpoint: Endpoint, min_idle_ms: float) -> NodeConnection | None:
        """Take a connection that is intact and was idle long enough for a second copy of its last answer to arrive."""
        idle_before = time.monotonic() - min_idle_ms / MS_PER_S
        for connection in reversed(list(endpoint.idle_connections)):
            if connection.idle_since <= idle_before:
                endpoint.idle_connections.remove(connection)
                if connection.is_quiet():
                    return connection
                connection.read_pending()  # notes what arrived, a second answer or the end
                connection.discard()
        return None

    def _send(self, query: InFlightQuery, min_idle_ms: float) -> None:
        """Send a query over an idle connection, or over a new one if there is none to reuse."""
        endpoint = query.endpoint
        connection = self._take_idle(endpoint, min_idle_ms)
        if connection is not None:
            connection.send_query(query)
            return
        if self.connection_count >= self.limits.max_links and not self._close_longest_idle():
            self.report.log("nodes", f"all {self.limits.max_links} connections are taken: picks are not sent")
            query.finish(Outcome.MOOT, [])
            return
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # out of descriptors or buffers
            self.report.log("nodes", f"no socket: {error}")
            query.finish(Outcome.MOOT, [])
            return
        self.pool_state.connection_count += 1
        connection = NodeConnection(self.pool_state, endpoint, sock, query)
        query.transport = connection
        try:
            sock.connect(endpoint.listed.address)
        except BlockingIOError:
            self.driver.schedule_timeout(self.limits.connect_timeout_s * MS_PER_S, connection)
        except OSError:
            connection.expire()

    def _close_longest_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        idle = [endpoint.idle_connections[0] for endpoint in self.endpoints.values() if endpoint.idle_connections]
        if idle:
            min(idle, key=_idle_since).discard()
        return bool(idle)

    def sweep(self) -> None:
        """Close connections that do not get ready, and those idle for so long that the node may close them."""
        now = time.monotonic()
        oldest_idle = now - self.limits.idle_timeout_s
        oldest_answer = now - self.limits.connect_timeout_s
        for connection in [one for one, answered_at in self.awaiting_ready.items() if answered_at < oldest_answer]:
            connection.expire_awaiting_ready()
        for endpoint in self.endpoints.values():
            while endpoint.idle_connections and endpoint.idle_connections[0].idle_since < oldest_idle:
                endpoint.idle_connections[0].discard()


def _idle_since(connection: NodeConnection) -> float:
    return connection.idle_since
