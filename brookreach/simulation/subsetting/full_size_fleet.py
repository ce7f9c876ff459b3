"""Generates a fleet of the size that subsetting is designed for."""

from __future__ import annotations

import random

import msgspec

from brookreach.subsetting.fleet_view import Balancer, FleetView, Service, make_view

ZONES = (("r0", "z0"), ("r0", "z1"), ("r0", "z2"), ("r1", "z3"), ("r1", "z4"), ("r1", "z5"))
TAIL_EXPONENT = 1.2  # shape of the Pareto distribution of service sizes


class FleetSizes(msgspec.Struct, frozen=True):
    """Totals over the whole fleet; `rpcs` is per second."""

    balancers: int = msgspec.field(name="marshals", default=890)
    services: int = 720
    nodes: int = 12_000
    routes: int = 2_400
    tenants: int = 49_000
    rpcs: int = 150_000

    def scaled(self, factor: int) -> FleetSizes:
        """Returns all sizes multiplied by the factor."""
        return FleetSizes(*(size * factor for size in msgspec.structs.astuple(self)))


def generate_fleet(sizes: FleetSizes, seed: int) -> FleetView:
    """Returns balancers spread evenly over zones, and services whose sizes are proportional to one Pareto draw each."""
    random_source = random.Random(seed)
    balancers = [Balancer(f"marshal-{index:04}", *ZONES[index % len(ZONES)]) for index in range(sizes.balancers)]
    draws = [random_source.paretovariate(TAIL_EXPONENT) for _ in range(sizes.services)]
    total_draw = sum(draws)

    def share(total: int, draw: float) -> int:
        return max(1, round(total * draw / total_draw))

    services = [
        Service(
            f"service-{index:03}",
            nodes=share(sizes.nodes, draw),
            routes=share(sizes.routes, draw),
            tenants=share(sizes.tenants, draw),
            rpcs=share(sizes.rpcs, draw),
        )
        for index, draw in enumerate(draws)
    ]
    return make_view(1, balancers, services)
