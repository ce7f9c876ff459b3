"""Agreed drains between discovery and the driver: a marshal hears them as it hears discovery's.

It owns which nodes are shown as draining though discovery shows them as ready. It must never show a node as
better than discovery does, and never wait: without keepers what was agreed last stands.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace

from brookreach import interface as ifc
from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.disruption.tables import NODES, PERMITS, NodeRow, PermitRow
from brookreach.disruption.targets import OUT
from brookreach.net.link import Listed

DRAINING, GONE, READY = ifc.NodeState.DRAINING, ifc.NodeState.GONE, ifc.NodeState.READY
Told = Callable[[ifc.NodeList, list[Listed]], None]


class Agreed:
    """Nodes that are to be drained, kept from changes of a mirror.

    A drain holds from when its permit is given until that is over, or the node is seen in a later life: then
    it has gone and come back, and may have what discovery and its coldness allow. One that is taken back
    holds until its agent has said that it stays.
    """

    def __init__(self) -> None:
        self.permits: dict[str, PermitRow] = {}  # drains that are out, by name

    def take(self, view: View, changed: RowsChanged) -> frozenset[str]:
        if changed.is_snapshot:
            self.permits = {name: row for name, row in view.rows(PERMITS) if self._drains(row)}
        else:
            for put in changed.updates:
                if put.table == PERMITS:
                    self.permits.pop(put.key, None)
                    if isinstance(put.row, PermitRow) and self._drains(put.row):
                        self.permits[put.key] = put.row
        return frozenset(row.target for row in self.permits.values() if not self._came_back(view, row))

    @staticmethod
    def _drains(row: PermitRow) -> bool:
        return row.what == "drain" and row.state in OUT

    @staticmethod
    def _came_back(view: View, permit: PermitRow) -> bool:
        node: NodeRow | None = view.get(NODES, permit.target)
        return node is not None and node.life > permit.life


class Overlay:
    """Stands where the driver stood: `numbers` are discovery's, by nodes' ids, `forward` is the driver's."""

    def __init__(self, numbers: Callable[[], Mapping[str, int]], forward: Told):
        self.numbers, self.forward = numbers, forward
        self.stands: dict[int, Listed] = {}  # as discovery has it
        self.names: frozenset[str] = frozenset()
        self.version = 0

    def told(self, listing: ifc.NodeList, listed: list[Listed]) -> None:
        """By discovery."""
        if listing.kind != ifc.ListKind.DELTA:
            self.stands.clear()
        for one in listed:
            self.stands[one.entry.node] = one
            if one.entry.state == GONE:
                del self.stands[one.entry.node]
        self.version = listing.version
        away = self._away(self.names)
        shown = [self._shown(one, away) for one in listed]
        self.forward(replace(listing, entries=tuple(one.entry for one in shown)), shown)

    def agreed(self, names: frozenset[str]) -> list[str]:
        """What the fleet has agreed now; the nodes that are shown otherwise than before, in their order."""
        before, after = self._away(self.names), self._away(names)
        self.names = names
        moved = [self.stands[number] for number in sorted(before ^ after) if number in self.stands]
        shown = [self._shown(one, after) for one in moved if one.entry.state == READY]
        if shown:
            entries = tuple(one.entry for one in shown)
            self.forward(ifc.NodeList(ifc.ListKind.DELTA, self.version, entries), shown)
        by_number = {number: name for name, number in self.numbers().items()}
        return [by_number.get(one.entry.node, "") for one in shown]

    def _away(self, names: frozenset[str]) -> set[int]:
        numbers = self.numbers()
        return {numbers[name] for name in names if name in numbers}

    @staticmethod
    def _shown(one: Listed, away: set[int]) -> Listed:
        if one.entry.node not in away or one.entry.state != READY:
            return one
        return Listed(replace(one.entry, state=DRAINING), one.address)
