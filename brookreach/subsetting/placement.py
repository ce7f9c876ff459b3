"""A placement: the balancers of each service, and services that have fewer than they require."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec


class Shortfall(msgspec.Struct, frozen=True):
    """A service with fewer balancers than it requires: there are no more, or their caps leave no capacity."""

    required: int
    placed: int


class Placement(msgspec.Struct, frozen=True):
    """Names are sorted; a service that no balancer holds has an empty row."""

    holders: Mapping[str, tuple[str, ...]]
    shortfalls: Mapping[str, Shortfall]

    def services_of(self, balancer: str) -> tuple[str, ...]:
        """Returns the services that one balancer holds, sorted."""
        return tuple(sorted(service for service, names in self.holders.items() if balancer in names))
