"""What a placer keeps: by marshal what lies on it, by service what was looked at to place it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from brookreach.subsetting import demand, rendezvous
from brookreach.subsetting.demand import Load
from brookreach.subsetting.fleet_view import Marshal, Service
from brookreach.subsetting.settings import Settings
from brookreach.subsetting.zone_counts import Zone

Order = tuple[int, str]
"""Where a service stands among all: hash of its name, name."""

ALL = -1  # the lowest score looked at in a zone of which all marshals were
NONE = 1 << 64  # in a zone of which none was: above every score


@dataclass(slots=True)
class MarshalEntry:
    """One marshal and what lies on it."""

    marshal: Marshal
    octets: bytes
    cap: Load
    taken: dict[Order, Load] = field(default_factory=dict)
    refused: set[Order] = field(default_factory=set)

    def load_before(self, order: Order) -> Load:
        return total(load for other, load in self.taken.items() if other < order)


@dataclass(slots=True)
class ServiceEntry:
    """One service, its marshals, and what was looked at to find them."""

    order: Order
    service: Service
    wanted: int
    load: Load
    key: bytes
    holders: set[str] = field(default_factory=set)
    looked: set[str] = field(default_factory=set)
    lowest: dict[Zone, int] = field(default_factory=dict)


@dataclass(slots=True)
class Work:
    """Counted since the placer was made."""

    scores: int = 0
    services: int = 0
    rebuilds: int = 0


def total(loads: Iterable[Load]) -> Load:
    sums = [0] * len(Load._fields)
    for load in loads:
        for at, amount in enumerate(load):
            sums[at] += amount
    return Load(*sums)


def marshal_entry(marshal: Marshal, settings: Settings) -> MarshalEntry:
    return MarshalEntry(marshal, marshal.name.encode(), demand.cap_of(settings.caps, marshal.weight))


def service_entry(service: Service, settings: Settings) -> ServiceEntry:
    """Not yet placed."""
    order = rendezvous.score(rendezvous.key_of("order"), service.name.encode(), 1), service.name
    wanted, load = demand.wanted(service, settings), demand.load_of(service, settings)
    return ServiceEntry(order, service, wanted, load, rendezvous.key_of("place", service.name))
