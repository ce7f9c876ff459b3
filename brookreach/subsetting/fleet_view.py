"""The replicated view of the fleet from which placements are computed: balancers, services, and changes to them.

The replicated log assigns the version numbers (see `hold_down`). A change names the version that it is based on and
must not be applied to any other version.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from brookreach.subsetting.errors import InvalidViewError


class Locality(NamedTuple):
    """A failure domain: one zone of one region."""

    region: str
    zone: str


class Balancer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One live balancer. `weight` is its capacity in whole units; `session` increases with each start."""

    name: str
    region: str
    zone: str
    weight: int = 1
    session: int = 1

    @property
    def locality(self) -> Locality:
        """The failure domain that the balancer runs in."""
        return Locality(self.region, self.zone)


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The sizes of a service: nodes, routes and tenants in rows, and RPCs per second at the peak."""

    name: str
    nodes: int = 0
    routes: int = 0
    tenants: int = 0
    rpcs: int = 0


class FleetView(msgspec.Struct, frozen=True):
    """One version of the fleet. Rows are sorted by name, and names are unique."""

    version: int = 0
    balancers: tuple[Balancer, ...] = msgspec.field(name="marshals", default=())
    services: tuple[Service, ...] = ()

    def balancer(self, name: str) -> Balancer | None:
        """Returns the balancer with this name, or None if the view has none."""
        return next((balancer for balancer in self.balancers if balancer.name == name), None)


class ViewChange(msgspec.Struct, frozen=True):
    """The rows added or changed and the names removed between `base_version` and `version`."""

    base_version: int = msgspec.field(name="since")
    version: int
    balancers: tuple[Balancer, ...] = msgspec.field(name="marshals", default=())
    removed_balancers: tuple[str, ...] = msgspec.field(name="gone_marshals", default=())
    services: tuple[Service, ...] = ()
    removed_services: tuple[str, ...] = msgspec.field(name="gone_services", default=())


def make_view(version: int, balancers: Iterable[Balancer], services: Iterable[Service]) -> FleetView:
    """Returns a view with sorted rows; raises InvalidViewError for a duplicate name or a size below its minimum."""
    sorted_balancers = tuple(sorted(balancers, key=lambda balancer: balancer.name))
    sorted_services = tuple(sorted(services, key=lambda service: service.name))
    _check_unique("marshal", [balancer.name for balancer in sorted_balancers])
    _check_unique("service", [service.name for service in sorted_services])
    for balancer in sorted_balancers:
        if balancer.weight < 1:
            raise InvalidViewError(f"marshal {balancer.name!r}: weight is {balancer.weight}; 1 or more is allowed")
    for service in sorted_services:
        smallest = min(service.nodes, service.routes, service.tenants, service.rpcs)
        if smallest < 0:
            raise InvalidViewError(f"service {service.name!r}: a size is {smallest}; 0 or more is allowed")
    return FleetView(version, sorted_balancers, sorted_services)


def _check_unique(kind: str, sorted_names: list[str]) -> None:
    if len(sorted_names) == len(set(sorted_names)):
        return
    duplicate = next(name for name in sorted_names if sorted_names.count(name) > 1)
    count = sorted_names.count(duplicate)
    raise InvalidViewError(f"{kind} {duplicate!r} occurs {count} times; once is allowed")


def diff_views(old: FleetView, new: FleetView) -> ViewChange:
    """Returns the change that turns `old` into `new`."""
    old_balancers = {balancer.name: balancer for balancer in old.balancers}
    old_services = {service.name: service for service in old.services}
    new_balancers = {balancer.name for balancer in new.balancers}
    new_services = {service.name for service in new.services}
    return ViewChange(
        base_version=old.version,
        version=new.version,
        balancers=tuple(row for row in new.balancers if old_balancers.get(row.name) != row),
        removed_balancers=tuple(name for name in old_balancers if name not in new_balancers),
        services=tuple(row for row in new.services if old_services.get(row.name) != row),
        removed_services=tuple(name for name in old_services if name not in new_services),
    )


def is_successor(view: FleetView, change: ViewChange) -> bool:
    """Returns whether `change` is based on the version of `view`; if not, it is outdated or follows a gap."""
    return change.base_version == view.version


def apply_change(view: FleetView, change: ViewChange) -> FleetView:
    """Returns the next view; raises InvalidViewError if that view would be invalid."""
    balancers = {balancer.name: balancer for balancer in view.balancers}
    services = {service.name: service for service in view.services}
    for name in change.removed_balancers:
        balancers.pop(name, None)
    for name in change.removed_services:
        services.pop(name, None)
    balancers.update((balancer.name, balancer) for balancer in change.balancers)
    services.update((service.name, service) for service in change.services)
    return make_view(change.version, balancers.values(), services.values())
