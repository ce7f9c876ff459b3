"""Incremental placement: updates the placement from view to view and re-places only the services that a change affects.

The placement of a service depends on the balancers that were examined for it. Each of them accepted or rejected the
service depending on its load of services earlier in the placement order. A change therefore re-places:

- services that examined a removed balancer or would have examined an added one;
- services for which a changed load reverses a balancer's decision.

The result always equals `full_placement.place_services` on that view, whatever came before; a property test checks it.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from brookreach.subsetting import demand, rendezvous
from brookreach.subsetting.demand import Load
from brookreach.subsetting.fleet_view import Balancer, FleetView, Locality, Service
from brookreach.subsetting.placement import Placement, Shortfall
from brookreach.subsetting.placement_entries import (
    NOTHING_EXAMINED,
    WHOLE_ZONE_EXAMINED,
    BalancerEntry,
    ServiceEntry,
    ServiceOrder,
    WorkCounters,
    make_balancer_entry,
    make_service_entry,
    sum_loads,
)
from brookreach.subsetting.settings import Settings
from brookreach.subsetting.zone_counts import order_zones, zone_quotas


class IncrementalPlacer:
    """Computes the placements of successive views; their versions may come in any order."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._balancers: dict[str, BalancerEntry] = {}
        self._zones: dict[Locality, dict[str, BalancerEntry]] = {}
        self._services: dict[str, ServiceEntry] = {}
        self._by_order: dict[ServiceOrder, ServiceEntry] = {}
        self._queue: list[ServiceOrder] = []
        self._queued: set[ServiceOrder] = set()
        self.work = WorkCounters()

    def update(self, view: FleetView) -> Placement:
        """Returns the placement of the view."""
        zone_sizes_before = self._zone_sizes()
        self._update_services(view)
        joined = self._update_balancers(view)
        if self._quotas_may_differ(zone_sizes_before):
            self.work.full_rebuilds += 1
            for order in self._by_order:
                self._enqueue(order)
        else:
            for entry in joined:
                self._enqueue_affected(entry)
        self._place_queued()
        return self._placement()

    def load(self, balancer: str) -> Load:
        """Returns the current load on the balancer."""
        return sum_loads(self._balancers[balancer].accepted.values())

    # --- changes of the view ---

    def _update_services(self, view: FleetView) -> None:
        services = {service.name: service for service in view.services}
        for name in [name for name in self._services if name not in services]:
            self._remove_service(name)
        for name, service in services.items():
            entry = self._services.get(name)
            if entry is None:
                self._add_service(service)
            elif entry.service != service:
                entry.service = service
                entry.required = demand.required_balancers(service, self._settings)
                entry.load = demand.load_per_balancer(service, self._settings)
                self._enqueue(entry.order)

    def _add_service(self, service: Service) -> None:
        entry = make_service_entry(service, self._settings)
        self._services[service.name] = entry
        self._by_order[entry.order] = entry
        self._enqueue(entry.order)

    def _remove_service(self, name: str) -> None:
        entry = self._services.pop(name)
        del self._by_order[entry.order]
        self._queued.discard(entry.order)
        released = self._release(entry)
        self._enqueue_reversed(entry.order, released)

    def _update_balancers(self, view: FleetView) -> list[BalancerEntry]:
        """Removes and adds balancers; returns those that are new or have another weight or locality."""
        balancers = {balancer.name: balancer for balancer in view.balancers}
        for name, entry in list(self._balancers.items()):
            balancer = balancers.get(name)
            if balancer is None or _placed_differently(balancer, entry.balancer):
                self._remove_balancer(entry)
        return [self._add_balancer(balancer) for name, balancer in balancers.items() if name not in self._balancers]

    def _add_balancer(self, balancer: Balancer) -> BalancerEntry:
        entry = make_balancer_entry(balancer, self._settings)
        self._balancers[balancer.name] = entry
        self._zones.setdefault(balancer.locality, {})[balancer.name] = entry
        return entry

    def _remove_balancer(self, entry: BalancerEntry) -> None:
        name = entry.balancer.name
        zone = entry.balancer.locality
        del self._balancers[name]
        del self._zones[zone][name]
        if not self._zones[zone]:
            del self._zones[zone]
        for order in [*entry.accepted, *entry.rejected]:
            self._by_order[order].examined.discard(name)
            self._by_order[order].holders.discard(name)
            self._enqueue(order)

    def _zone_sizes(self) -> dict[Locality, int]:
        return {zone: len(entries) for zone, entries in self._zones.items()}

    def _quotas_may_differ(self, before: dict[Locality, int]) -> bool:
        """Returns whether the quota of any service in any zone may have changed.

        Needs a zone that appears or disappears, or whose changed size is or was below what some service requires.
        """
        now = self._zone_sizes()
        if before.keys() != now.keys():
            return True
        most_required = max((entry.required for entry in self._services.values()), default=0)
        return any(now[zone] != before[zone] and min(now[zone], before[zone]) < most_required for zone in now)

    # --- services to be placed again ---

    def _enqueue(self, order: ServiceOrder) -> None:
        if order not in self._queued:
            self._queued.add(order)
            heapq.heappush(self._queue, order)

    def _enqueue_affected(self, new: BalancerEntry) -> None:
        """Enqueues the services that would have examined the new balancer."""
        zone = new.balancer.locality
        weight = new.balancer.weight
        self.work.hashes += len(self._services) * weight
        for entry in self._services.values():
            lowest = entry.lowest_scores.get(zone, WHOLE_ZONE_EXAMINED)
            examined_all = lowest == WHOLE_ZONE_EXAMINED
            if examined_all or rendezvous.score(entry.key, new.encoded_name, weight) >= lowest:
                self._enqueue(entry.order)

    def _enqueue_reversed(self, order: ServiceOrder, changed: Iterable[BalancerEntry]) -> None:
        """Enqueues the services after `order` for which a changed balancer would now reverse its decision."""
        for entry in changed:
            fits_all = sum_loads(entry.accepted.values()).fits_within(entry.limit)
            later = [other for other in entry.rejected if other > order]
            if not fits_all:
                later += [other for other in entry.accepted if other > order]
            for other in later:
                fits = entry.load_before(other).add(self._by_order[other].load).fits_within(entry.limit)
                if fits != (other in entry.accepted):
                    self._enqueue(other)

    # --- placing ---

    def _place_queued(self) -> None:
        while self._queue:
            order = heapq.heappop(self._queue)
            if order in self._queued:
                self._queued.discard(order)
                self._place(self._by_order[order])

    def _place(self, entry: ServiceEntry) -> None:
        self.work.services_placed += 1
        before = {name: self._balancers[name].accepted[entry.order] for name in entry.holders}
        self._release(entry)
        zones = order_zones(entry.service.name, list(self._zones))
        quotas = zone_quotas(zones, entry.required, self._zone_sizes())
        rankings = {zone: self._rank(entry.key, zone) for zone in zones}
        missing = sum(self._place_in_zone(entry, zone, rankings[zone], quotas[zone]) for zone in zones)
        if missing:
            self._place_anywhere(entry, rankings.values(), missing)
        after = dict.fromkeys(entry.holders, entry.load)
        changed = [name for name in sorted({*before, *after}) if before.get(name) != after.get(name)]
        self._enqueue_reversed(entry.order, [self._balancers[name] for name in changed])

    def _rank(self, key: bytes, zone: Locality) -> rendezvous.Ranking:
        entries = self._zones[zone].values()
        self.work.hashes += sum(entry.balancer.weight for entry in entries)
        return rendezvous.rank(key, (entry.member for entry in entries))

    def _place_in_zone(self, entry: ServiceEntry, zone: Locality, ranking: rendezvous.Ranking, quota: int) -> int:
        """Offers the service to the zone's balancers in ranking order; returns how many of the quota are missing."""
        entry.lowest_scores[zone] = WHOLE_ZONE_EXAMINED if quota else NOTHING_EXAMINED
        missing = quota
        for score, name in ranking:
            if not missing:
                break
            missing -= self._offer(entry, name)
            entry.lowest_scores[zone] = score
        if missing:
            entry.lowest_scores[zone] = WHOLE_ZONE_EXAMINED
        return missing

    def _place_anywhere(self, entry: ServiceEntry, rankings: Iterable[rendezvous.Ranking], missing: int) -> None:
        """Offers the service to all other balancers by descending score; from then on any new balancer affects it."""
        remaining = missing
        for _, name in sorted((scored for ranking in rankings for scored in ranking), reverse=True):
            if remaining and name not in entry.examined:
                remaining -= self._offer(entry, name)
        entry.lowest_scores.clear()

    def _offer(self, entry: ServiceEntry, name: str) -> bool:
        """Records and returns whether the balancer has capacity for the service."""
        balancer = self._balancers[name]
        entry.examined.add(name)
        if balancer.load_before(entry.order).add(entry.load).fits_within(balancer.limit):
            balancer.accepted[entry.order] = entry.load
            entry.holders.add(name)
            return True
        balancer.rejected.add(entry.order)
        return False

    def _release(self, entry: ServiceEntry) -> list[BalancerEntry]:
        """Removes the service from all balancers that examined it; returns those that held it."""
        released = [self._balancers[name] for name in sorted(entry.holders)]
        for name in entry.examined:
            self._balancers[name].accepted.pop(entry.order, None)
            self._balancers[name].rejected.discard(entry.order)
        entry.examined.clear()
        entry.holders.clear()
        entry.lowest_scores.clear()
        return released

    def _placement(self) -> Placement:
        holders = {name: tuple(sorted(self._services[name].holders)) for name in sorted(self._services)}
        shortfalls = {
            name: Shortfall(self._services[name].required, len(names))
            for name, names in holders.items()
            if len(names) < self._services[name].required
        }
        return Placement(holders, shortfalls)


def _placed_differently(balancer: Balancer, other: Balancer) -> bool:
    return (balancer.locality, balancer.weight) != (other.locality, other.weight)
