"""One balancer's way from one placement to the next, without a gap in coverage: make before break.

A balancer that is to hold a service loads it at once. One that is to release it goes on until every holder of the
service's present placement has acknowledged, in its present session, that it serves the service and knows this version
of the view or a later one; only then does it drain.

Why the service is covered at every instant, whatever is late, duplicated or lost: let v be the latest version of which
some balancer knew all holders to have acknowledged. Each of them knew v or a later version when it did, so it may
drain only under a later version, and only after all holders of that one have acknowledged, which would then be the
latest. So all holders of version v serve, but for those that died.

A balancer never drains on acknowledgements of another version or session, after its lease by its own clock, or because
the view places a service nowhere that is still configured.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.subsetting.effects import (
    DrainService,
    Effect,
    HandoverAck,
    HandoverQuery,
    LoadService,
    RequestFullView,
    UnloadService,
)
from brookreach.subsetting.fleet_view import FleetView, ViewChange, apply_change, is_successor
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.settings import Settings


@dataclass(slots=True)
class HeldService:
    """A service that this balancer holds. While it is neither serving nor loaded, its rows are on their way.

    Attributes:
        placement_version: From which on the service's placement is the present one, as far as is known.
        serving: It accepts RPCs.
        loaded: Its rows are complete, in this session.
        draining: It finishes the RPCs in flight.
        acknowledged: The holders that have acknowledged.
        queried_ms: When the others were queried last.
    """

    placement_version: int = 0
    serving: bool = False
    loaded: bool = False
    draining: bool = False
    acknowledged: set[str] = field(default_factory=set)
    queried_ms: int | None = None

    def reset_acks(self, placement_version: int) -> None:
        """The placement changed, or may have: acknowledgements of before do not count."""
        self.placement_version = placement_version
        self.queried_ms = None
        self.acknowledged.clear()


class SubsetHandover:
    """A balancer's subset of services, without I/O.

    Methods take `now_ms` by this balancer's own clock where time matters, and return effects in their order.
    """

    def __init__(self, name: str, settings: Settings) -> None:
        self._name = name
        self._settings = settings
        self._placer = IncrementalPlacer(settings)
        self._holders: dict[str, tuple[str, ...]] = {}
        self._services: dict[str, HeldService] = {}
        self._session = 0
        self._lease_until_ms = 0
        self.view = FleetView()

    @property
    def serving(self) -> set[str]:
        """Services whose RPCs are accepted."""
        return {service for service, held in self._services.items() if held.serving}

    @property
    def held_services(self) -> set[str]:
        """Services whose rows are held or on their way."""
        return set(self._services)

    def holders(self, service: str) -> tuple[str, ...]:
        """Returns the balancers that an RPC of this service may be forwarded to, as this balancer knows."""
        return self._holders.get(service, ())

    # --- lease ---

    def lease_renewed(self, session: int, until_ms: int) -> list[Effect]:
        """The lease begins or goes on. In a new session held services go on serving and are loaded anew."""
        self._lease_until_ms = until_ms
        if session == self._session:
            return []
        self._session = session
        effects: list[Effect] = []
        for service in sorted(self._services):
            held = self._services[service]
            held.loaded = False
            held.acknowledged.clear()
            if not held.draining:
                effects.append(LoadService(service))
        return effects

    def _has_lease(self, now_ms: int) -> bool:
        return now_ms < self._lease_until_ms

    # --- views ---

    def version_announced(self, version: int) -> list[Effect]:
        """The latest version is announced; the view is requested where this balancer is behind."""
        return [RequestFullView(self.view.version)] if version > self.view.version else []

    def full_view_received(self, view: FleetView, now_ms: int) -> list[Effect]:
        """A full view arrived. Versions between may have been missed, so earlier acknowledgements do not count."""
        if view.version <= self.view.version:
            return []
        return self._update_view(view, now_ms, may_have_missed=True)

    def view_change_received(self, change: ViewChange, now_ms: int) -> list[Effect]:
        """A change arrived. Old ones are ignored; after a gap the full view is requested and the present one stays."""
        if change.version <= self.view.version:
            return []
        if not is_successor(self.view, change):
            return [RequestFullView(self.view.version)]
        return self._update_view(apply_change(self.view, change), now_ms, may_have_missed=False)

    def _update_view(self, view: FleetView, now_ms: int, *, may_have_missed: bool) -> list[Effect]:
        holders_before = self._holders
        self.view = view
        self._holders = dict(self._placer.update(view).holders)
        effects: list[Effect] = []
        for service, names in self._holders.items():
            if self._name in names:
                effects += self._acquire(service)
        for service, held in self._services.items():
            if may_have_missed or holders_before.get(service) != self._holders.get(service):
                held.reset_acks(view.version)
        return effects + self.tick(now_ms)

    def _acquire(self, service: str) -> list[Effect]:
        held = self._services.get(service)
        if held is None:
            self._services[service] = HeldService(self.view.version)
            return [LoadService(service)]
        if not held.draining:
            return []
        held.draining = False
        held.serving = held.loaded
        return [] if held.loaded else [LoadService(service)]

    # --- rows and RPCs ---

    def service_loaded(self, service: str) -> list[Effect]:
        """The service's rows are complete."""
        held = self._services.get(service)
        if held is not None:
            held.loaded = True
            held.serving = not held.draining
        return []

    def service_idle(self, service: str) -> list[Effect]:
        """The last RPC of a draining service ended."""
        held = self._services.get(service)
        if held is None or not held.draining:
            return []
        del self._services[service]
        return [UnloadService(service)]

    # --- make before break ---

    def query_received(self, query: HandoverQuery, now_ms: int) -> list[Effect]:
        """Acknowledges only what is true by this balancer's own lease, and at no earlier version than the query's."""
        held = self._services.get(query.service)
        if held is None or not held.serving or not held.loaded:
            return []
        if not self._has_lease(now_ms) or self.view.version < query.version:
            return []
        return [HandoverAck(self._name, query.sender, query.service, self.view.version, self._session)]

    def ack_received(self, ack: HandoverAck, now_ms: int) -> list[Effect]:
        """A holder acknowledged."""
        held = self._services.get(ack.service)
        if held is not None and is_valid_ack(ack, held.placement_version, self._session_of(ack.sender)):
            held.acknowledged.add(ack.sender)
        return self.tick(now_ms)

    def _session_of(self, name: str) -> int:
        balancer = self.view.balancer(name)
        return balancer.session if balancer else 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Releases what may be released and queries silent holders; to be called at least each `times.ask_ms`."""
        if not self._has_lease(now_ms):
            return []
        effects: list[Effect] = []
        for service in sorted(self._services):
            held = self._services[service]
            if not held.draining and self._name not in self._holders.get(service, ()):
                effects += self._release(service, held, now_ms)
        return effects

    def _release(self, service: str, held: HeldService, now_ms: int) -> list[Effect]:
        holders = self._holders.get(service)
        if holders is None or (not held.serving and not held.loaded):
            return self._drain(service, held)  # no longer configured, or no balancer relies on this one
        if not holders:
            return []
        missing = [name for name in holders if name not in held.acknowledged]
        if may_drain(missing):
            return self._drain(service, held)
        if held.queried_ms is not None and now_ms - held.queried_ms < self._settings.times.query_interval_ms:
            return []
        held.queried_ms = now_ms
        return [HandoverQuery(self._name, name, service, held.placement_version) for name in missing]

    def _drain(self, service: str, held: HeldService) -> list[Effect]:
        if not held.serving:
            del self._services[service]
            return [UnloadService(service)]
        held.draining = True
        held.serving = False
        return [DrainService(service)]


def is_valid_ack(ack: HandoverAck, version: int, session: int) -> bool:
    """Returns whether the acknowledgement is of this version or later, and of no earlier session of its sender."""
    return ack.version >= version and ack.session >= session


def may_drain(missing: list[str]) -> bool:
    """Returns whether no holder's acknowledgement is missing."""
    return not missing
