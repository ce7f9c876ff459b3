"""The capacity of all nodes at one moment, and which nodes may be targets. Reads rows, changes none.

A target is ready and warm, its agent's session stands, and it does not retire before the gang could be done, or
within `HORIZON_MS`; `node_search` takes one that retires later only where there is nothing else. Builds on trial take
no more than their stage's cap of all capacity that gangs hold. No capacity must ever be offered twice.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from brookreach.coordination.state_machine.application import View
from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import NODES, RELEASES, NodeRow
from brookreach.gang_scheduling.tables import AGENTS, RESERVED_CAPACITY, AgentRow, GangRow, ReservedCapacityRow

HORIZON_MS = 6 * 3_600_000
THOUSANDTHS = 1000
TRIAL_STATES = ("waiting", "on", "halted", "going back", "sent back")


@dataclass(slots=True)
class NodeCapacity:
    """One node that may be a target. Defects and baselines make it by position."""

    node: str
    node_incarnation: int
    zone: str
    build: int
    free: int
    retires_ms: int  # 0: no notice


@dataclass(frozen=True, slots=True)
class EmptyClusterCapacity:
    """What the nodes of a gang's zones and builds would hold if nothing else ran."""

    members: int
    nodes: int  # that have capacity for any member


def is_schedulable(row: NodeRow | None, now_ms: int, end_ms: int) -> bool:
    """Returns whether a node is fit for work that ends at `end_ms`; capacity and agents are not looked at."""
    if row is None or row.status != TargetStatus.READY or row.warm_since_ms > now_ms:
        return False
    return not row.retires_ms or row.retires_ms > min(end_ms, now_ms + HORIZON_MS)


def is_allowed(row: GangRow, zone: str, build: int) -> bool:
    """Returns whether the operator allows the gang to run on nodes of this zone and build."""
    return (not row.zones or zone in row.zones) and (not row.builds or build in row.builds)


def trial_caps(view: View) -> dict[int, int]:
    """Returns for each build on trial how many thousandths of all reserved capacity may stand on it.

    It is none where the release waits, is halted or was sent back.
    """
    caps = {}
    for _, row in view.rows(RELEASES):
        if row.state in TRIAL_STATES:
            is_open = row.state == "on" and 0 < row.stage <= len(row.traffic_caps)
            caps[row.build] = row.traffic_caps[row.stage - 1] if is_open else 0
    return caps


def empty_cluster_capacity(view: View, row: GangRow) -> EmptyClusterCapacity:
    """Returns how many of the gang's members would fit if nothing else ran."""
    members = nodes = 0
    for _, node in view.rows(NODES):
        if node.status != TargetStatus.DECOMMISSIONED and is_allowed(row, node.zone, node.build):
            members += node.capacity // row.member_capacity
            nodes += node.capacity >= row.member_capacity
    return EmptyClusterCapacity(members, nodes)


class NodeGroup:
    """The nodes of one zone and build that have no notice, by their free capacity."""

    def __init__(self, zone: str, build: int) -> None:
        self.zone = zone
        self.build = build
        self._nodes: SortedKeyList[NodeCapacity] = SortedKeyList(key=lambda node: (node.free, node.node))

    def add(self, node: NodeCapacity) -> None:
        """Adds a node; its free capacity must not change before `remove`."""
        self._nodes.add(node)

    def remove(self, node: NodeCapacity) -> None:
        """Removes a node."""
        self._nodes.remove(node)

    def ascending_from(self, free: int) -> Iterator[NodeCapacity]:
        """Returns the nodes with at least so much free, the tightest first."""
        return iter(self._nodes.islice(self._index_of(free)))

    def descending_below(self, free: int) -> Iterator[NodeCapacity]:
        """Returns the nodes with less free, the largest first."""
        return iter(self._nodes.islice(0, self._index_of(free), reverse=True))

    def _index_of(self, free: int) -> int:
        return int(self._nodes.bisect_key_left((free, "")))


class CapacityIndex:
    """All targets of one moment, from one reading of the nodes; what is taken from it is gone from it.

    Attributes:
        total_reserved: Capacity that gangs hold on all nodes.
        nodes: Targets by name.
        groups: Targets without a notice, by zone and build.
        retiring: Targets with a notice, the latest first.
    """

    def __init__(self, view: View, now_ms: int) -> None:
        self.now_ms = now_ms
        self.total_reserved = 0
        self.nodes: dict[str, NodeCapacity] = {}
        self.groups: dict[tuple[str, int], NodeGroup] = {}
        self.retiring: list[NodeCapacity] = []
        self._trial_caps = trial_caps(view)
        self._reserved_on_trial = dict.fromkeys(self._trial_caps, 0)
        for name, row in view.rows(NODES):
            self._add_node(view, name, row)
        self.retiring.sort(key=lambda node: (-node.retires_ms, node.node))

    def _add_node(self, view: View, name: str, row: NodeRow) -> None:
        held: ReservedCapacityRow | None = view.get(RESERVED_CAPACITY, name)
        reserved = held.reserved if held else 0
        self.total_reserved += reserved
        if row.build in self._reserved_on_trial:
            self._reserved_on_trial[row.build] += reserved
        agent: AgentRow | None = view.get(AGENTS, name)
        if agent is None or not agent.session or agent.node_incarnation != row.incarnation:
            return
        if not is_schedulable(row, self.now_ms, self.now_ms):
            return
        node = NodeCapacity(name, row.incarnation, row.zone, row.build, row.capacity - reserved, row.retires_ms)
        self.nodes[name] = node
        if node.retires_ms:
            self.retiring.append(node)
            return
        key = node.zone, node.build
        if key not in self.groups:
            self.groups[key] = NodeGroup(node.zone, node.build)
        self.groups[key].add(node)

    def allocate(self, name: str, capacity: int) -> None:
        """Reserves capacity on a node, which may be no target; a negative one is given back."""
        self.total_reserved += capacity
        node = self.nodes.get(name)
        if node is None:
            return
        if node.build in self._reserved_on_trial:
            self._reserved_on_trial[node.build] += capacity
        if node.retires_ms:
            node.free -= capacity
            return
        group = self.groups[node.zone, node.build]
        group.remove(node)
        node.free -= capacity
        group.add(node)

    def is_under_trial_cap(self, build: int, added_to_build: int, added_in_all: int) -> bool:
        """Returns whether a build keeps to its cap with so much more on it, and so much more in all."""
        if build not in self._trial_caps:
            return True
        on_build = self._reserved_on_trial[build] + added_to_build
        return on_build * THOUSANDTHS <= self._trial_caps[build] * (self.total_reserved + added_in_all)
