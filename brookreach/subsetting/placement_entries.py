"""State of the incremental placer: the services on each balancer, and the balancers examined for each service."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from brookreach.subsetting import demand, rendezvous
from brookreach.subsetting.demand import Load
from brookreach.subsetting.fleet_view import Balancer, Locality, Service
from brookreach.subsetting.settings import Settings

# Values of `ServiceEntry.lowest_scores` that are no scores: scores are 64-bit hashes.
WHOLE_ZONE_EXAMINED = -1  # below every score
NOTHING_EXAMINED = 1 << 64  # above every score


class ServiceOrder(NamedTuple):
    """Sort key of a service: services are placed in ascending order of it."""

    name_hash: int
    name: str


@dataclass(slots=True)
class BalancerEntry:
    """One balancer, the loads of the services that it accepted, and the services that it had no capacity for."""

    balancer: Balancer
    encoded_name: bytes
    limit: Load
    accepted: dict[ServiceOrder, Load] = field(default_factory=dict)
    rejected: set[ServiceOrder] = field(default_factory=set)

    @property
    def member(self) -> rendezvous.Member:
        """The balancer as a member of a rendezvous ranking."""
        return rendezvous.Member(self.balancer.name, self.encoded_name, self.balancer.weight)

    def load_before(self, order: ServiceOrder) -> Load:
        """Returns the load of the services that are placed before `order`."""
        return sum_loads(load for other, load in self.accepted.items() if other < order)


@dataclass(slots=True)
class ServiceEntry:
    """One service, the balancers that hold it, and the balancers that were examined to place it.

    Attributes:
        order: Its position in the order of placement.
        service: Its sizes.
        required: How many balancers it requires.
        load: The load that it puts on each of its balancers.
        key: The key of its rendezvous scores.
        holders: The balancers that accepted it.
        examined: The balancers that accepted or rejected it.
        lowest_scores: The lowest score that was examined in each zone.
    """

    order: ServiceOrder
    service: Service
    required: int
    load: Load
    key: bytes
    holders: set[str] = field(default_factory=set)
    examined: set[str] = field(default_factory=set)
    lowest_scores: dict[Locality, int] = field(default_factory=dict)


@dataclass(slots=True)
class WorkCounters:
    """Counts of the work that a placer has done since it was created."""

    hashes: int = 0
    services_placed: int = 0
    full_rebuilds: int = 0


def sum_loads(loads: Iterable[Load]) -> Load:
    """Returns the sum of the loads."""
    totals = [0] * len(Load._fields)
    for load in loads:
        for index, amount in enumerate(load):
            totals[index] += amount
    return Load(*totals)


def make_balancer_entry(balancer: Balancer, settings: Settings) -> BalancerEntry:
    """Returns the entry of a balancer that holds no services."""
    return BalancerEntry(balancer, balancer.name.encode(), demand.capacity_limit(settings.caps, balancer.weight))


def make_service_entry(service: Service, settings: Settings) -> ServiceEntry:
    """Returns the entry of a service that is not yet placed."""
    name_hash = rendezvous.score(rendezvous.make_key("order"), service.name.encode(), 1)
    return ServiceEntry(
        order=ServiceOrder(name_hash, service.name),
        service=service,
        required=demand.required_balancers(service, settings),
        load=demand.load_per_balancer(service, settings),
        key=rendezvous.make_key("place", service.name),
    )
