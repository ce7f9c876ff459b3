"""Make-before-break handover: moves one balancer from one placement to the next without a gap in coverage.

A balancer that is newly assigned a service loads it at once. A balancer that has to release a service keeps serving it
until every holder in the current placement has acknowledged, in its current session, that it serves the service and
knows this version of the view or a later one; only then does the balancer drain the service.

Proof that a service is covered at every instant, even if messages are delayed, duplicated or lost: let v be the latest
version for which some balancer has received acknowledgements from all holders. Each holder knew v or a later version
when it acknowledged, so it may drain only under a later version, and only after all holders of that version have
acknowledged; but then that version would be the latest, not v. So all holders of version v serve, except those that
have died.

A balancer never drains on acknowledgements for an earlier version or session, after its lease has expired by its own
clock, or because the view has no balancers for a service that is still configured.
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
    """State of one service that this balancer holds. If neither serving nor loaded, its rows are still being loaded.

    Attributes:
        placement_version: The earliest version since which the service's placement is known to be unchanged.
        serving: Whether RPCs of the service are accepted.
        loaded: Whether the service's rows are complete in the current session.
        draining: Whether the service accepts no new RPCs and only finishes those in flight.
        acknowledged: The holders whose acknowledgements count for the current placement.
        queried_ms: When the holders without an acknowledgement were last queried; None: not for this placement.
    """

    placement_version: int = 0
    serving: bool = False
    loaded: bool = False
    draining: bool = False
    acknowledged: set[str] = field(default_factory=set)
    queried_ms: int | None = None

    def reset_acks(self, placement_version: int) -> None:
        """Discards acknowledgements, because the placement has changed or may have changed."""
        self.placement_version = placement_version
        self.queried_ms = None
        self.acknowledged.clear()


class SubsetHandover:
    """State machine of one balancer's subset of services; it does no I/O.

    Methods that depend on time take `now_ms` of this balancer's own clock. They return effects that the caller executes
    in order.
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
        """The services whose RPCs this balancer accepts."""
        return {service for service, held in self._services.items() if held.serving}

    @property
    def held_services(self) -> set[str]:
        """The services whose rows this balancer holds or is loading."""
        return set(self._services)

    def holders(self, service: str) -> tuple[str, ...]:
        """Returns the balancers that an RPC of this service may be forwarded to, by this balancer's view."""
        return self._holders.get(service, ())

    # --- lease ---

    def lease_renewed(self, session: int, until_ms: int) -> list[Effect]:
        """Handles a granted or renewed lease. In a new session, held services are still served and are reloaded."""
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
        """Handles an announcement of the latest version; requests the full view if this balancer is behind it."""
        return [RequestFullView(self.view.version)] if version > self.view.version else []

    def full_view_received(self, view: FleetView, now_ms: int) -> list[Effect]:
        """Handles a full view; discards acknowledgements, since versions in between may have been missed."""
        if view.version <= self.view.version:
            return []
        return self._update_view(view, now_ms, may_have_missed=True)

    def view_change_received(self, change: ViewChange, now_ms: int) -> list[Effect]:
        """Handles a change; ignores an outdated one; after a gap keeps the current view and requests the full one."""
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
        """Handles the completion of a service's rows; the service is served from now on unless it is draining."""
        held = self._services.get(service)
        if held is not None:
            held.loaded = True
            held.serving = not held.draining
        return []

    def service_idle(self, service: str) -> list[Effect]:
        """Handles the end of the last RPC of a draining service."""
        held = self._services.get(service)
        if held is None or not held.draining:
            return []
        del self._services[service]
        return [UnloadService(service)]

    # --- make before break ---

    def query_received(self, query: HandoverQuery, now_ms: int) -> list[Effect]:
        """Acknowledges a query only if this balancer serves the service, has a lease and knows the query's version."""
        held = self._services.get(query.service)
        if held is None or not held.serving or not held.loaded:
            return []
        if not self._has_lease(now_ms) or self.view.version < query.version:
            return []
        return [HandoverAck(self._name, query.sender, query.service, self.view.version, self._session)]

    def ack_received(self, ack: HandoverAck, now_ms: int) -> list[Effect]:
        """Handles a holder's acknowledgement; one that is not valid is ignored."""
        held = self._services.get(ack.service)
        if held is not None and is_valid_ack(ack, held.placement_version, self._session_of(ack.sender)):
            held.acknowledged.add(ack.sender)
        return self.tick(now_ms)

    def _session_of(self, name: str) -> int:
        balancer = self.view.balancer(name)
        return balancer.session if balancer else 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Releases services that may be released and queries holders again; called at least every `times.ask_ms`."""
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
            return self._drain(service, held)  # no longer configured, or not served yet, so no handover relies on it
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
    """Returns whether the acknowledgement is for `version` or later and from `session` of its sender or a later one."""
    return ack.version >= version and ack.session >= session


def may_drain(missing: list[str]) -> bool:
    """Returns whether the acknowledgements of all holders have arrived; `missing` lists those that have not."""
    return not missing
