"""The search for nodes with capacity for some members of one gang: all of them or none. It reserves nothing itself."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.gang_scheduling.placement import HORIZON_MS, CapacityIndex, NodeCapacity, NodeGroup, is_allowed
from brookreach.gang_scheduling.tables import GangRow


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What is to be placed, and where it may go.

    Attributes:
        row: The gang.
        count: How many of its members.
        end_ms: When the work on the nodes is expected to end.
        zones: Narrows the gang's own zones; none: no further.
        excluded: Nodes that are no targets.
    """

    row: GangRow
    count: int
    end_ms: int
    zones: Sequence[str] = ()
    excluded: Sequence[str] = ()


def find_nodes(index: CapacityIndex, request: PlacementRequest) -> list[NodeCapacity] | None:
    """Returns a node for each member, few nodes and the tightest; None where there is no capacity for all."""
    return _NodeSearch(index, request).run()


class _NodeSearch:
    """One search. Capacity that it counts on is held apart from the index, which stays as it is."""

    def __init__(self, index: CapacityIndex, request: PlacementRequest) -> None:
        self._index = index
        self._request = request
        self._member_capacity = request.row.member_capacity
        self._found: list[NodeCapacity] = []
        self._used_nodes: set[str] = set()
        self._used_by_build: dict[int, int] = {}
        self._groups = [group for _, group in sorted(index.groups.items()) if self._allows(group.zone, group.build)]

    def run(self) -> list[NodeCapacity] | None:
        while len(self._found) < self._request.count:
            node = self._best_without_notice() or self._latest_retiring()
            if node is None:
                return None
            self._fill(node)
        return self._found

    def _fill(self, node: NodeCapacity) -> None:
        """Puts as many members on the node as fit there and its build's cap allows."""
        count = min(self._missing(), node.free // self._member_capacity)
        while count > 1 and not self._is_under_trial_cap(node, count):
            count -= 1
        self._found += [node] * count
        self._used_nodes.add(node.node)
        self._used_by_build[node.build] = self._used_by_build.get(node.build, 0) + count * self._member_capacity

    def _best_without_notice(self) -> NodeCapacity | None:
        """Returns the tightest node that takes all members still missing; else the largest there is."""
        wanted = self._missing() * self._member_capacity
        takes_all: list[NodeCapacity] = []
        largest: list[NodeCapacity] = []
        for group in self._groups:
            node = self._find_tightest(group, wanted)
            if node is not None and self._takes_one(node):
                takes_all.append(node)
            elif node is None:
                node = self._find_largest_below(group, wanted)
                if node is not None and self._takes_one(node):
                    largest.append(node)
        if takes_all:
            return min(takes_all, key=lambda node: (node.free, node.node))
        return min(largest, key=lambda node: (-node.free, node.node), default=None)

    def _find_tightest(self, group: NodeGroup, free: int) -> NodeCapacity | None:
        return next((node for node in group.ascending_from(free) if self._is_open(node)), None)

    def _find_largest_below(self, group: NodeGroup, free: int) -> NodeCapacity | None:
        return next((node for node in group.descending_below(free) if self._is_open(node)), None)

    def _latest_retiring(self) -> NodeCapacity | None:
        """Returns the node whose notice lies farthest off, still past the work's end or the horizon."""
        earliest_ms = min(self._request.end_ms, self._index.now_ms + HORIZON_MS)
        for node in self._index.retiring:
            if node.retires_ms <= earliest_ms:
                return None
            if self._is_open(node) and self._allows(node.zone, node.build) and self._takes_one(node):
                return node
        return None

    def _missing(self) -> int:
        return self._request.count - len(self._found)

    def _allows(self, zone: str, build: int) -> bool:
        zones = self._request.zones
        return is_allowed(self._request.row, zone, build) and (not zones or zone in zones)

    def _is_open(self, node: NodeCapacity) -> bool:
        return node.node not in self._used_nodes and node.node not in self._request.excluded

    def _takes_one(self, node: NodeCapacity) -> bool:
        return node.free >= self._member_capacity and self._is_under_trial_cap(node, 1)

    def _is_under_trial_cap(self, node: NodeCapacity, count: int) -> bool:
        on_build = self._used_by_build.get(node.build, 0) + count * self._member_capacity
        in_all = (len(self._found) + count) * self._member_capacity
        return self._index.is_under_trial_cap(node.build, on_build, in_all)
