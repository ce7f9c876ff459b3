"""How many marshals a service needs, and what it costs each of them."""

from __future__ import annotations

from typing import NamedTuple

from brookreach.subsetting.fleet_view import Service
from brookreach.subsetting.settings import Caps, Settings

ROOM_UP, ROOM_DOWN = 5, 4  # a large service has room for 5/4 of its nodes' copies


class Load(NamedTuple):
    """On one marshal, or of one service on one marshal. RPCs are in thousandths a second, rounded up."""

    services: int = 0
    nodes: int = 0
    routes: int = 0
    tenants: int = 0
    milli_rpcs: int = 0

    def plus(self, other: Load) -> Load:
        return Load(*(mine + its for mine, its in zip(self, other, strict=True)))

    def within(self, cap: Load) -> bool:
        return all(mine <= its for mine, its in zip(self, cap, strict=True))


def cap_of(caps: Caps, weight: int) -> Load:
    """The bound of a marshal of this weight."""
    return Load(
        caps.services * weight,
        caps.nodes * weight,
        caps.routes * weight,
        caps.tenants * weight,
        caps.rpcs * 1000 * weight,
    )


def ceiling(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor)


def is_large(service: Service, settings: Settings) -> bool:
    """Whether each of its marshals holds a subset of its nodes."""
    return service.nodes > settings.subset.nodes


def wanted(service: Service, settings: Settings) -> int:
    """Marshals of the service, before what the fleet has."""
    count = max(settings.spread.marshals, ceiling(service.rpcs, settings.spread.rpcs_per_marshal))
    if not is_large(service, settings):
        return count
    subset = settings.subset
    copies = service.nodes * subset.holders
    with_room = ceiling(copies * ROOM_UP, subset.nodes * ROOM_DOWN)
    # The last node still meets enough marshals that are not full.
    for_the_last = ceiling(copies, subset.nodes) + subset.holders
    return max(count, with_room, for_the_last)


def load_of(service: Service, settings: Settings) -> Load:
    """What one of its marshals has to bear."""
    share = ceiling(service.rpcs * 1000, wanted(service, settings))
    nodes = min(service.nodes, settings.subset.nodes)
    return Load(1, nodes, service.routes, service.tenants, share)
