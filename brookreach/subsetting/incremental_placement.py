"""The placement kept from one view to the next: only services that a change concerns are placed again.

A service's outcome depends on the marshals that it looked at, each taken or refused by the load of the services
before it in the order. So a change places again: services that looked at a marshal which is gone, services that
would have looked at one that is new, and those for which a load changed enough to turn a decision. The outcome is
always that of `place` on the same view, whatever views came before (a property under test).
"""

from __future__ import annotations

import heapq

from brookreach.subsetting import demand, rendezvous
from brookreach.subsetting.demand import Load
from brookreach.subsetting.fleet_view import Marshal, Service, View
from brookreach.subsetting.placement import Placement, Short
from brookreach.subsetting.placement_entries import (
    ALL,
    NONE,
    MarshalEntry,
    Order,
    ServiceEntry,
    Work,
    marshal_entry,
    service_entry,
    total,
)
from brookreach.subsetting.settings import Settings
from brookreach.subsetting.zone_counts import Zone, quotas, zone_order


class Placer:
    """Hand it one view after another, of any versions; it gives the placement of each."""

    def __init__(self, settings: Settings):
        self._settings = settings
        self._marshals: dict[str, MarshalEntry] = {}
        self._zones: dict[Zone, dict[str, MarshalEntry]] = {}
        self._services: dict[str, ServiceEntry] = {}
        self._by_order: dict[Order, ServiceEntry] = {}
        self._due: list[Order] = []
        self._is_due: set[Order] = set()
        self.work = Work()

    def take(self, view: View) -> Placement:
        zones_before = self._zone_sizes()
        self._take_services(view)
        joined = self._take_marshals(view)
        if self._quotas_moved(zones_before):
            self.work.rebuilds += 1
            self._mark_all()
        else:
            for entry in joined:
                self._mark_concerned(entry)
        self._settle()
        return self._placement()

    def load(self, marshal: str) -> Load:
        """What lies on it now."""
        return total(self._marshals[marshal].taken.values())

    # --- what changed ---

    def _take_services(self, view: View) -> None:
        now = {one.name: one for one in view.services}
        for name in [name for name in self._services if name not in now]:
            self._remove_service(name)
        for name, service in now.items():
            placed = self._services.get(name)
            if placed is None:
                self._add_service(service)
            elif placed.service != service:
                placed.service = service
                placed.wanted = demand.wanted(service, self._settings)
                placed.load = demand.load_of(service, self._settings)
                self._mark(placed.order)

    def _add_service(self, service: Service) -> None:
        placed = service_entry(service, self._settings)
        self._services[service.name] = self._by_order[placed.order] = placed
        self._mark(placed.order)

    def _remove_service(self, name: str) -> None:
        placed = self._services.pop(name)
        del self._by_order[placed.order]
        self._is_due.discard(placed.order)
        freed = self._forget(placed)
        self._mark_turned(placed.order, freed)

    def _take_marshals(self, view: View) -> list[MarshalEntry]:
        now = {one.name: one for one in view.marshals}
        joined = []
        for name, entry in list(self._marshals.items()):
            marshal = now.get(name)
            if marshal is None or (marshal.place, marshal.weight) != (entry.marshal.place, entry.marshal.weight):
                self._remove_marshal(entry)
        for name, marshal in now.items():
            if name not in self._marshals:
                joined.append(self._add_marshal(marshal))
        return joined

    def _add_marshal(self, marshal: Marshal) -> MarshalEntry:
        entry = marshal_entry(marshal, self._settings)
        self._marshals[marshal.name] = entry
        self._zones.setdefault(marshal.place, {})[marshal.name] = entry
        return entry

    def _remove_marshal(self, entry: MarshalEntry) -> None:
        name, zone = entry.marshal.name, entry.marshal.place
        del self._marshals[name]
        del self._zones[zone][name]
        if not self._zones[zone]:
            del self._zones[zone]
        for order in [*entry.taken, *entry.refused]:
            self._by_order[order].looked.discard(name)
            self._by_order[order].holders.discard(name)
            self._mark(order)

    def _zone_sizes(self) -> dict[Zone, int]:
        return {zone: len(entries) for zone, entries in self._zones.items()}

    def _quotas_moved(self, before: dict[Zone, int]) -> bool:
        """Whether any service's share of a zone may be another: zones differ, or one is or was nearly used up."""
        now = self._zone_sizes()
        if before.keys() != now.keys():
            return True
        most = max((one.wanted for one in self._services.values()), default=0)
        return any(now[zone] != before[zone] and min(now[zone], before[zone]) < most for zone in now)

    # --- what is to be placed again ---

    def _mark(self, order: Order) -> None:
        if order not in self._is_due:
            self._is_due.add(order)
            heapq.heappush(self._due, order)

    def _mark_all(self) -> None:
        for order in self._by_order:
            self._mark(order)

    def _mark_concerned(self, entry: MarshalEntry) -> None:
        """Services that would have looked at this new marshal."""
        zone, octets, weight = entry.marshal.place, entry.octets, entry.marshal.weight
        self.work.scores += len(self._services) * weight
        for placed in self._services.values():
            lowest = placed.lowest.get(zone, ALL)
            if lowest == ALL or rendezvous.score(placed.key, octets, weight) >= lowest:
                self._mark(placed.order)

    def _mark_turned(self, order: Order, entries: list[MarshalEntry]) -> None:
        """Later services for which one of these marshals is now taken where it was refused, or the other way."""
        for entry in entries:
            fits_all = total(entry.taken.values()).within(entry.cap)
            later = [other for other in entry.refused if other > order]
            if not fits_all:
                later += [other for other in entry.taken if other > order]
            for other in later:
                fits = entry.load_before(other).plus(self._by_order[other].load).within(entry.cap)
                if fits != (other in entry.taken):
                    self._mark(other)

    # --- placing ---

    def _settle(self) -> None:
        while self._due:
            order = heapq.heappop(self._due)
            if order in self._is_due:
                self._is_due.discard(order)
                self._place(self._by_order[order])

    def _place(self, placed: ServiceEntry) -> None:
        self.work.services += 1
        before = {name: self._marshals[name].taken[placed.order] for name in placed.holders}
        self._forget(placed)
        order = zone_order(placed.service.name, list(self._zones))
        dealt = quotas(order, placed.wanted, self._zone_sizes())
        ranked = {zone: self._ranked(placed.key, zone) for zone in order}
        missing = sum(self._walk(placed, zone, ranked[zone], dealt[zone]) for zone in order)
        if missing:
            rest = sorted((one for zone in order for one in ranked[zone]), reverse=True)
            self._spill(placed, rest, missing)
        after = dict.fromkeys(placed.holders, placed.load)
        turned = [name for name in sorted({*before, *after}) if before.get(name) != after.get(name)]
        self._mark_turned(placed.order, [self._marshals[name] for name in turned])

    def _ranked(self, key: bytes, zone: Zone) -> rendezvous.Ranked:
        entries = self._zones[zone].values()
        self.work.scores += sum(entry.marshal.weight for entry in entries)
        return rendezvous.ranked(key, ((entry.marshal.name, entry.octets, entry.marshal.weight) for entry in entries))

    def _walk(self, placed: ServiceEntry, zone: Zone, ranked: rendezvous.Ranked, quota: int) -> int:
        """Takes the best that have room; hands back how many are missing."""
        placed.lowest[zone] = ALL if quota else NONE
        for scored, name in ranked:
            if not quota:
                break
            quota -= self._look(placed, name)
            placed.lowest[zone] = scored
        if quota:
            placed.lowest[zone] = ALL
        return quota

    def _spill(self, placed: ServiceEntry, rest: rendezvous.Ranked, missing: int) -> None:
        """Into other zones, the best first. From then on any new marshal concerns this service."""
        for _, name in rest:
            if missing and name not in placed.looked:
                missing -= self._look(placed, name)
        placed.lowest.clear()

    def _look(self, placed: ServiceEntry, name: str) -> bool:
        entry = self._marshals[name]
        placed.looked.add(name)
        if entry.load_before(placed.order).plus(placed.load).within(entry.cap):
            entry.taken[placed.order] = placed.load
            placed.holders.add(name)
            return True
        entry.refused.add(placed.order)
        return False

    def _forget(self, placed: ServiceEntry) -> list[MarshalEntry]:
        """Takes the service off all marshals; hands back those that held it."""
        freed = [self._marshals[name] for name in sorted(placed.holders)]
        for name in placed.looked:
            self._marshals[name].taken.pop(placed.order, None)
            self._marshals[name].refused.discard(placed.order)
        placed.looked.clear()
        placed.holders.clear()
        placed.lowest.clear()
        return freed

    def _placement(self) -> Placement:
        holders = {name: tuple(sorted(self._services[name].holders)) for name in sorted(self._services)}
        short = {
            name: Short(self._services[name].wanted, len(names))
            for name, names in holders.items()
            if len(names) < self._services[name].wanted
        }
        return Placement(holders, short)
