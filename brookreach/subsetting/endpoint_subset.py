"""Which nodes of a large service each of its marshals holds: a pure function of the two lists and the settings.

Each node goes to the best of the service's marshals by rendezvous score that are not full, `subset.holders` of them.
Full is a quarter over the mean, so the fullest marshal has at most 5/4 of it, rounded up, before two amendments: a node
that meets too few which are not full goes to the emptiest, up to `subset.nodes`; and a marshal with fewer than
`subset.zone_nodes` of a zone takes more of it, as long as none of them has over `subset.most_holders`.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from brookreach.subsetting import rendezvous
from brookreach.subsetting.demand import ROOM_DOWN, ROOM_UP, ceiling
from brookreach.subsetting.settings import Subset


class Node(msgspec.Struct, frozen=True):
    """One endpoint of the service."""

    name: str
    region: str
    zone: str


class Subsets(msgspec.Struct, frozen=True):
    """Nodes by marshal, in order, and nodes with fewer marshals than `subset.holders`."""

    held: dict[str, tuple[str, ...]]
    thin: tuple[str, ...]


def subsets(service: str, marshals: Sequence[str], nodes: Sequence[Node], settings: Subset) -> Subsets:
    """All of them to all where the service is no large one."""
    if len(nodes) <= settings.nodes:
        everything = tuple(sorted(node.name for node in nodes))
        thin = everything if len(marshals) < settings.holders else ()
        return Subsets(dict.fromkeys(sorted(marshals), everything), thin)
    deal = _Deal(service, marshals, nodes, settings)
    deal.first()
    deal.fill_zones()
    held = {name: tuple(sorted(deal.held[name])) for name in sorted(deal.held)}
    thin = tuple(sorted(name for name, holders in deal.holders.items() if len(holders) < settings.holders))
    return Subsets(held, thin)


class _Deal:
    def __init__(self, service: str, marshals: Sequence[str], nodes: Sequence[Node], settings: Subset):
        self.settings = settings
        self.key = rendezvous.key_of("node", service)
        self.octets = [(name, name.encode(), 1) for name in sorted(marshals)]
        order_key = rendezvous.key_of("nodes", service)
        scored = [(rendezvous.score(order_key, node.name.encode(), 1), node.name, node) for node in nodes]
        self.nodes = [node for _, _, node in sorted(scored, key=lambda one: one[:2])]
        self.held: dict[str, set[str]] = {name: set() for name in sorted(marshals)}
        self.holders: dict[str, set[str]] = {node.name: set() for node in self.nodes}

    def first(self) -> None:
        settings = self.settings
        copies = len(self.nodes) * settings.holders
        full = min(settings.nodes, ceiling(copies * ROOM_UP, max(1, len(self.held)) * ROOM_DOWN))
        for node in self.nodes:
            ranked = [name for _, name in rendezvous.ranked(self.key + self._octets(node), self.octets)]
            for name in ranked:
                if len(self.holders[node.name]) < settings.holders and len(self.held[name]) < full:
                    self._give(node, name)
            if len(self.holders[node.name]) < settings.holders:
                self._overflow(node, ranked)

    def _overflow(self, node: Node, ranked: list[str]) -> None:
        for name in sorted(ranked, key=lambda one: len(self.held[one])):
            missing = len(self.holders[node.name]) < self.settings.holders
            if missing and len(self.held[name]) < self.settings.nodes:
                self._give(node, name)

    def fill_zones(self) -> None:
        zones: dict[tuple[str, str], list[Node]] = {}
        for node in self.nodes:
            zones.setdefault((node.region, node.zone), []).append(node)
        for name, held in self.held.items():
            for zone in sorted(zones):
                self._fill(name, held, zones[zone])

    def _fill(self, name: str, held: set[str], nodes: list[Node]) -> None:
        settings = self.settings
        missing = settings.zone_nodes - sum(1 for node in nodes if node.name in held)
        if missing <= 0:
            return
        others = [node for node in nodes if node.name not in held]
        others.sort(key=lambda node: (len(self.holders[node.name]), self._score(node, name), node.name))
        for node in others[:missing]:
            if len(held) < settings.nodes and len(self.holders[node.name]) < settings.most_holders:
                self._give(node, name)

    def _give(self, node: Node, name: str) -> None:
        self.held[name].add(node.name)
        self.holders[node.name].add(name)

    def _octets(self, node: Node) -> bytes:
        return node.name.encode() + rendezvous.SEPARATOR

    def _score(self, node: Node, name: str) -> int:
        return rendezvous.score(self.key + self._octets(node), name.encode(), 1)
