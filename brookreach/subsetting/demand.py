"""How many balancers a service requires, and the load that it puts on each of them."""

from __future__ import annotations

from typing import NamedTuple

from brookreach.subsetting.fleet_view import Service
from brookreach.subsetting.settings import Caps, Settings

# The balancers of a large service together have capacity for 5/4 of the copies of its endpoints.
HEADROOM_NUMERATOR = 5
HEADROOM_DENOMINATOR = 4


class Load(NamedTuple):
    """The load on one balancer, or the load that one service adds to it.

    `milli_rpcs` is in thousandths of an RPC per second, rounded up.
    """

    services: int = 0
    nodes: int = 0
    routes: int = 0
    tenants: int = 0
    milli_rpcs: int = 0

    def add(self, other: Load) -> Load:
        """Returns the sum of both loads."""
        return Load(*(own + added for own, added in zip(self, other, strict=True)))

    def fits_within(self, limit: Load) -> bool:
        """Returns whether no field exceeds the same field of the limit."""
        return all(own <= allowed for own, allowed in zip(self, limit, strict=True))


def capacity_limit(caps: Caps, weight: int) -> Load:
    """Returns the maximum load of a balancer of this weight."""
    return Load(
        caps.services * weight,
        caps.nodes * weight,
        caps.routes * weight,
        caps.tenants * weight,
        caps.rpcs * 1000 * weight,
    )


def ceil_divide(dividend: int, divisor: int) -> int:
    """Returns the quotient rounded up."""
    return -(-dividend // divisor)


def is_large(service: Service, settings: Settings) -> bool:
    """Returns whether each balancer of the service holds only a subset of its endpoints."""
    return service.nodes > settings.subset.nodes


def required_balancers(service: Service, settings: Settings) -> int:
    """Returns how many balancers the service requires, regardless of how many the fleet has."""
    for_rpcs = ceil_divide(service.rpcs, settings.spread.rpcs_per_balancer)
    count = max(settings.spread.balancers, for_rpcs)
    if not is_large(service, settings):
        return count
    subset = settings.subset
    copies = service.nodes * subset.holders
    with_headroom = ceil_divide(copies * HEADROOM_NUMERATOR, subset.nodes * HEADROOM_DENOMINATOR)
    # Ensures that the last endpoint to be assigned still finds enough balancers that are not full.
    for_last_endpoint = ceil_divide(copies, subset.nodes) + subset.holders
    return max(count, with_headroom, for_last_endpoint)


def load_per_balancer(service: Service, settings: Settings) -> Load:
    """Returns the load that the service puts on each of its balancers."""
    milli_rpcs = ceil_divide(service.rpcs * 1000, required_balancers(service, settings))
    nodes = min(service.nodes, settings.subset.nodes)
    return Load(1, nodes, service.routes, service.tenants, milli_rpcs)
