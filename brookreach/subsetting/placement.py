"""A placement: the balancers of each service, and the services that have fewer balancers than they require."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class Shortfall(msgspec.Struct, frozen=True):
    """Counts for a service with too few balancers: the fleet has no more, or their caps leave no capacity."""

    required: int
    placed: int


class Placement(msgspec.Struct, frozen=True):
    """The holders of each service. Names are sorted; a service without holders has an empty tuple."""

    holders: Mapping[str, tuple[str, ...]]
    shortfalls: Mapping[str, Shortfall]

    def services_of(self, balancer: str) -> tuple[str, ...]:
        """Returns the services that the balancer holds, sorted by name."""
        return tuple(sorted(service for service, names in self.holders.items() if balancer in names))
