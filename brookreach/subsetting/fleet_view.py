"""The agreed view that placements are made of: marshals, services, and the changes from one version to the next.

Versions are given by the one agreed log (see `settle`). A change says which version it follows; whoever has another
one must not apply it.
"""

from __future__ import annotations

import msgspec


class ViewError(ValueError):
    """A view or change that no placement can be made of."""


class Marshal(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One live member of the session table. `weight` is its size in whole units; `session` grows with each start."""

    name: str
    region: str
    zone: str
    weight: int = 1
    session: int = 1

    @property
    def place(self) -> tuple[str, str]:
        """Its failure domain."""
        return self.region, self.zone


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holding a service costs: nodes, routes and tenants in rows, RPCs a second at the peak."""

    name: str
    nodes: int = 0
    routes: int = 0
    tenants: int = 0
    rpcs: int = 0


class View(msgspec.Struct, frozen=True):
    """One version of the fleet. Rows stand in the order of their names, each name once."""

    version: int = 0
    marshals: tuple[Marshal, ...] = ()
    services: tuple[Service, ...] = ()

    def marshal(self, name: str) -> Marshal | None:
        return next((one for one in self.marshals if one.name == name), None)


class ViewChange(msgspec.Struct, frozen=True):
    """From version `since` to `version`: rows that are new or differ, and names that are gone."""

    since: int
    version: int
    marshals: tuple[Marshal, ...] = ()
    gone_marshals: tuple[str, ...] = ()
    services: tuple[Service, ...] = ()
    gone_services: tuple[str, ...] = ()


def view_of(version: int, marshals: list[Marshal], services: list[Service]) -> View:
    """Sorted and checked; raises ViewError for a name that stands twice or a size under its least."""
    for kind, names in (("marshal", [one.name for one in marshals]), ("service", [one.name for one in services])):
        if len(names) != len(set(names)):
            twice = sorted(name for name in set(names) if names.count(name) > 1)
            raise ViewError(f"{kind} {twice[0]!r} stands {names.count(twice[0])} times; once is allowed")
    for marshal in marshals:
        if marshal.weight < 1:
            raise ViewError(f"marshal {marshal.name!r}: weight is {marshal.weight}; 1 or more is allowed")
    for service in services:
        least = min(service.nodes, service.routes, service.tenants, service.rpcs)
        if least < 0:
            raise ViewError(f"service {service.name!r}: a size is {least}; 0 or more is allowed")
    by_name_marshals = tuple(sorted(marshals, key=lambda one: one.name))
    by_name_services = tuple(sorted(services, key=lambda one: one.name))
    return View(version, by_name_marshals, by_name_services)


def difference(old: View, new: View) -> ViewChange:
    """What leads from `old` to `new`."""
    old_marshals = {one.name: one for one in old.marshals}
    old_services = {one.name: one for one in old.services}
    new_marshals = {one.name for one in new.marshals}
    new_services = {one.name for one in new.services}
    return ViewChange(
        since=old.version,
        version=new.version,
        marshals=tuple(one for one in new.marshals if old_marshals.get(one.name) != one),
        gone_marshals=tuple(name for name in old_marshals if name not in new_marshals),
        services=tuple(one for one in new.services if old_services.get(one.name) != one),
        gone_services=tuple(name for name in old_services if name not in new_services),
    )


def follows(view: View, change: ViewChange) -> bool:
    """Whether `change` begins at exactly the version of `view`; anything else is a gap or an old message."""
    return change.since == view.version


def changed(view: View, change: ViewChange) -> View:
    """The next view; raises ViewError where it would be no whole one."""
    marshals = {one.name: one for one in view.marshals}
    services = {one.name: one for one in view.services}
    for name in change.gone_marshals:
        marshals.pop(name, None)
    for name in change.gone_services:
        services.pop(name, None)
    marshals.update((one.name, one) for one in change.marshals)
    services.update((one.name, one) for one in change.services)
    return view_of(change.version, list(marshals.values()), list(services.values()))
