"""Which endpoints of a large service each of its balancers holds.

The result is a pure function of the balancers, the endpoints and the settings. Each endpoint is assigned to
`subset.holders` of the service's balancers: those with the highest rendezvous scores that are not full (rendezvous
hashing with bounded loads). A balancer is full at 5/4 of the mean, rounded up, with two exceptions:

- An endpoint that finds too few balancers below that bound goes to the balancers with the fewest endpoints, each up to
  `subset.nodes`.
- A balancer with fewer than `subset.zone_nodes` endpoints of a zone gets more of that zone, as long as no endpoint
  exceeds `subset.most_holders` holders.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from brookreach.subsetting import rendezvous
from brookreach.subsetting.demand import HEADROOM_DENOMINATOR, HEADROOM_NUMERATOR, ceil_divide
from brookreach.subsetting.fleet_view import Locality
from brookreach.subsetting.settings import Subset


class Endpoint(msgspec.Struct, frozen=True):
    """One endpoint of the service, and its failure domain."""

    name: str
    region: str
    zone: str


class EndpointSubsets(msgspec.Struct, frozen=True):
    """The endpoints of each balancer, and the endpoints with fewer holders than `subset.holders`; names are sorted."""

    endpoints_by_balancer: dict[str, tuple[str, ...]]
    under_replicated: tuple[str, ...]


def assign_subsets(
    service: str, balancers: Sequence[str], endpoints: Sequence[Endpoint], settings: Subset
) -> EndpointSubsets:
    """Returns the subsets; if the service is not large, each balancer holds all of its endpoints."""
    if len(endpoints) <= settings.nodes:
        all_names = tuple(sorted(endpoint.name for endpoint in endpoints))
        under_replicated = all_names if len(balancers) < settings.holders else ()
        return EndpointSubsets(dict.fromkeys(sorted(balancers), all_names), under_replicated)
    assignment = _SubsetAssignment(service, balancers, endpoints, settings)
    assignment.assign_copies()
    assignment.fill_zones()
    return assignment.subsets()


class _SubsetAssignment:
    """An assignment in progress of one large service's endpoints to its balancers."""

    def __init__(self, service: str, balancers: Sequence[str], endpoints: Sequence[Endpoint], settings: Subset) -> None:
        self._settings = settings
        self._key = rendezvous.make_key("node", service)
        self._members = [rendezvous.Member(name, name.encode(), 1) for name in sorted(balancers)]
        self._endpoints = _hash_order(service, endpoints)
        self._endpoints_of: dict[str, set[str]] = {name: set() for name in sorted(balancers)}
        self._holders: dict[str, set[str]] = {endpoint.name: set() for endpoint in self._endpoints}

    def assign_copies(self) -> None:
        """Assigns each endpoint to its highest-ranked balancers that are not full."""
        max_size = self._max_size()
        for endpoint in self._endpoints:
            ranking = rendezvous.rank(self._endpoint_key(endpoint), self._members)
            names = [name for _, name in ranking]
            for name in names:
                if self._lacks_holders(endpoint) and len(self._endpoints_of[name]) < max_size:
                    self._assign(endpoint, name)
            if self._lacks_holders(endpoint):
                self._assign_to_least_loaded(endpoint, names)

    def fill_zones(self) -> None:
        """Assigns each balancer the minimum number of endpoints of each zone, as far as the zone has them."""
        zones: dict[Locality, list[Endpoint]] = {}
        for endpoint in self._endpoints:
            zones.setdefault(Locality(endpoint.region, endpoint.zone), []).append(endpoint)
        for name in self._endpoints_of:
            for zone in sorted(zones):
                self._fill_zone(name, zones[zone])

    def subsets(self) -> EndpointSubsets:
        """Returns the assignment as subsets, with the under-replicated endpoints."""
        by_balancer = {name: tuple(sorted(self._endpoints_of[name])) for name in sorted(self._endpoints_of)}
        under_replicated = sorted(
            name for name, holders in self._holders.items() if len(holders) < self._settings.holders
        )
        return EndpointSubsets(by_balancer, tuple(under_replicated))

    def _max_size(self) -> int:
        """Returns the number of endpoints at which a balancer is full."""
        copies = len(self._endpoints) * self._settings.holders
        balancers = max(1, len(self._endpoints_of))
        with_headroom = ceil_divide(copies * HEADROOM_NUMERATOR, balancers * HEADROOM_DENOMINATOR)
        return min(self._settings.nodes, with_headroom)

    def _lacks_holders(self, endpoint: Endpoint) -> bool:
        return len(self._holders[endpoint.name]) < self._settings.holders

    def _assign_to_least_loaded(self, endpoint: Endpoint, names: list[str]) -> None:
        for name in sorted(names, key=lambda name: len(self._endpoints_of[name])):
            if self._lacks_holders(endpoint) and len(self._endpoints_of[name]) < self._settings.nodes:
                self._assign(endpoint, name)

    def _fill_zone(self, name: str, endpoints: list[Endpoint]) -> None:
        own = self._endpoints_of[name]
        missing = self._settings.zone_nodes - sum(1 for endpoint in endpoints if endpoint.name in own)
        if missing <= 0:
            return
        others = [endpoint for endpoint in endpoints if endpoint.name not in own]
        others.sort(key=lambda endpoint: self._fill_order(endpoint, name))
        for endpoint in others[:missing]:
            has_capacity = len(own) < self._settings.nodes
            if has_capacity and len(self._holders[endpoint.name]) < self._settings.max_holders:
                self._assign(endpoint, name)

    def _fill_order(self, endpoint: Endpoint, name: str) -> tuple[int, int, str]:
        """Returns the sort key for filling a zone: endpoints with the fewest holders come first."""
        score = rendezvous.score(self._endpoint_key(endpoint), name.encode(), 1)
        return len(self._holders[endpoint.name]), score, endpoint.name

    def _assign(self, endpoint: Endpoint, name: str) -> None:
        self._endpoints_of[name].add(endpoint.name)
        self._holders[endpoint.name].add(name)

    def _endpoint_key(self, endpoint: Endpoint) -> bytes:
        return self._key + endpoint.name.encode() + rendezvous.SEPARATOR


def _hash_order(service: str, endpoints: Sequence[Endpoint]) -> list[Endpoint]:
    key = rendezvous.make_key("nodes", service)
    return sorted(endpoints, key=lambda endpoint: (rendezvous.score(key, endpoint.name.encode(), 1), endpoint.name))
