"""Agreed drains between discovery and the driver: a balancer is notified of them as of discovery's changes.

This module owns which nodes are shown as draining though discovery lists them as ready. It must never show a node as
better than discovery does, and never wait: without replicas what was agreed last stands.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace

from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.disruption.states import ACTIVE_STATES, PermitAction
from brookreach.disruption.tables import NODES, PERMITS, NodeRow, PermitRow
from brookreach.enumerations import ListKind, NodeState
from brookreach.interface import NodeList
from brookreach.net.endpoint import ListedNode

EndpointListener = Callable[[NodeList, list[ListedNode]], None]


class AgreedDrains:
    """Nodes that are to be drained, kept from changes of a cached copy of the tables.

    A drain holds from its grant until its permit ends, or the node is seen in a later incarnation: then it was down
    and has come back, and may have what discovery and its warm-up allow. A withdrawn one holds until its agent has
    said that the node stays.
    """

    def __init__(self) -> None:
        self.permits: dict[str, PermitRow] = {}  # active drains, by name

    def take(self, view: View, changed: RowsChanged) -> frozenset[str]:
        """Takes in changed rows, which `view` has already; returns the nodes to be drained now."""
        if changed.is_snapshot:
            self.permits = {name: row for name, row in view.rows(PERMITS) if self._is_active_drain(row)}
        else:
            for update in changed.updates:
                if update.table != PERMITS:
                    continue
                self.permits.pop(update.key, None)
                if isinstance(update.row, PermitRow) and self._is_active_drain(update.row):
                    self.permits[update.key] = update.row
        return frozenset(row.target for row in self.permits.values() if not self._has_restarted(view, row))

    @staticmethod
    def _is_active_drain(row: PermitRow) -> bool:
        return row.action == PermitAction.DRAIN and row.state in ACTIVE_STATES

    @staticmethod
    def _has_restarted(view: View, permit: PermitRow) -> bool:
        node: NodeRow | None = view.get(NODES, permit.target)
        return node is not None and node.incarnation > permit.incarnation


class EndpointOverlay:
    """Stands between discovery and the driver.

    Args:
        endpoint_numbers: Returns discovery's number of each endpoint, by node.
        forward: The driver's listener.
    """

    def __init__(self, endpoint_numbers: Callable[[], Mapping[str, int]], forward: EndpointListener):
        self.endpoint_numbers = endpoint_numbers
        self.forward = forward
        self.endpoints: dict[int, ListedNode] = {}  # as discovery lists them
        self.drained: frozenset[str] = frozenset()  # nodes
        self.version = 0

    def on_listing(self, listing: NodeList, listed: Sequence[ListedNode]) -> None:
        """Discovery lists endpoints: all, or those that changed."""
        if listing.kind != ListKind.DELTA:
            self.endpoints.clear()
        for endpoint in listed:
            if endpoint.entry.state == NodeState.GONE:
                self.endpoints.pop(endpoint.entry.node, None)
            else:
                self.endpoints[endpoint.entry.node] = endpoint
        self.version = listing.version
        draining = self._numbers_of(self.drained)
        shown = [self._shown(endpoint, draining) for endpoint in listed]
        self.forward(replace(listing, entries=tuple(endpoint.entry for endpoint in shown)), shown)

    def set_drained(self, nodes: frozenset[str]) -> list[str]:
        """Replaces the drained nodes; returns those that are shown otherwise than before, in their order."""
        before = self._numbers_of(self.drained)
        after = self._numbers_of(nodes)
        self.drained = nodes
        changed = [self.endpoints[number] for number in sorted(before ^ after) if number in self.endpoints]
        shown = [self._shown(endpoint, after) for endpoint in changed if endpoint.entry.state == NodeState.READY]
        if shown:
            entries = tuple(endpoint.entry for endpoint in shown)
            self.forward(NodeList(ListKind.DELTA, self.version, entries), shown)
        names = {number: name for name, number in self.endpoint_numbers().items()}
        return [names.get(endpoint.entry.node, "") for endpoint in shown]

    def _numbers_of(self, nodes: frozenset[str]) -> set[int]:
        numbers = self.endpoint_numbers()
        return {numbers[name] for name in nodes if name in numbers}

    @staticmethod
    def _shown(endpoint: ListedNode, draining: set[int]) -> ListedNode:
        if endpoint.entry.node not in draining or endpoint.entry.state != NodeState.READY:
            return endpoint
        return ListedNode(replace(endpoint.entry, state=NodeState.DRAINING), endpoint.address)
