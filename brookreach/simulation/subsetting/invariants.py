"""Invariants of subsetting, checked by observation: which balancers serve, which died, which services are configured.

Of a balancer's state the checker reads only which services it serves. Of placements it reads only the current one once
the fleet has settled.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.simulation.report import Report, Violation
from brookreach.subsetting.fleet_view import Balancer, Service
from brookreach.subsetting.settings import Settings

SERVED_WITHIN_MS = 9_000  # from the configuration of a new service until its required balancers serve it


@dataclass
class TrackedService:
    """What was observed of one configured service.

    Attributes:
        service: Its sizes.
        since_ms: When it was configured.
        covered: Whether it has had enough balancers at some time.
        serving: The balancers that serve it.
        lost: By balancer that died or was suspended while it served the service, the time of its loss.
    """

    service: Service
    since_ms: int
    covered: bool = False
    serving: set[str] = field(default_factory=set)
    lost: dict[str, int] = field(default_factory=dict)


class InvariantChecker:
    """Tracks which balancers serve which services and reports violations.

    Attributes:
        moves: How often a balancer has begun or stopped to serve a service.
    """

    def __init__(self, report: Report, seed: int, settings: Settings, excuse_ms: int) -> None:
        """Creates a checker; each lost balancer excuses one missing balancer for `excuse_ms` after its loss."""
        self._report = report
        self._seed = seed
        self._settings = settings
        self._excuse_ms = excuse_ms
        self._tracked: dict[str, TrackedService] = {}
        self._allowed_while_still: dict[str, set[str]] | None = None  # services by balancer
        self._died_ms: dict[str, int] = {}
        self.moves = 0

    # --- events ---

    def on_configured(self, service: Service, now_ms: int) -> None:
        """Records that a service was added or resized."""
        tracked = self._tracked.get(service.name)
        if tracked is None:
            self._tracked[service.name] = TrackedService(service, now_ms)
        else:
            tracked.service = service

    def on_removed(self, name: str) -> None:
        """Records that a service was removed from the configuration."""
        self._tracked.pop(name, None)

    def on_serving(self, balancer: str, services: set[str], now_ms: int) -> None:
        """Records that a running balancer serves exactly these services from now on."""
        self._check_stillness(balancer, services, now_ms)
        for name, tracked in self._tracked.items():
            served_before = balancer in tracked.serving
            if name in services:
                tracked.serving.add(balancer)
                tracked.lost.pop(balancer, None)
                self.moves += not served_before
            elif served_before:
                tracked.serving.discard(balancer)
                self.moves += 1
                self._check_service(tracked, now_ms)

    def on_lost(self, balancer: str, now_ms: int) -> None:
        """Records that a balancer died or was suspended."""
        self._died_ms[balancer] = now_ms
        for tracked in self._tracked.values():
            if balancer in tracked.serving:
                tracked.serving.discard(balancer)
                tracked.lost[balancer] = now_ms

    # --- checks ---

    def check_coverage(self, now_ms: int) -> None:
        """Checks all services; called periodically, because excuses expire without an event."""
        for tracked in self._tracked.values():
            self._check_service(tracked, now_ms)

    def begin_stillness(self) -> None:
        """Forbids services to move from now on, although balancers restart."""
        allowed: dict[str, set[str]] = {}
        for name, tracked in self._tracked.items():
            for balancer in tracked.serving:
                allowed.setdefault(balancer, set()).add(name)
        self._allowed_while_still = allowed

    def end_stillness(self) -> None:
        """Allows services to move again."""
        self._allowed_while_still = None

    def check_settled(self, balancer: Balancer, services: set[str], placed: set[str], now_ms: int) -> None:
        """Checks that a balancer serves exactly the services placed on it, within its caps."""
        self._report.record_check("agreement")
        if services != placed:
            text = f"{balancer.name} serves {sorted(services)}, but {sorted(placed)} are placed on it"
            self._report.add_violation(Violation("agreement", balancer.name, self._seed, now_ms, text))
        self._check_caps(balancer, services, now_ms)

    def _check_caps(self, balancer: Balancer, services: set[str], now_ms: int) -> None:
        self._report.record_check("caps")
        caps = self._settings.caps
        rows = [self._tracked[name].service for name in services if name in self._tracked]
        amounts = {
            "services": (len(services), caps.services),
            "nodes": (sum(min(row.nodes, self._settings.subset.nodes) for row in rows), caps.nodes),
            "routes": (sum(row.routes for row in rows), caps.routes),
            "tenants": (sum(row.tenants for row in rows), caps.tenants),
        }
        for kind, (amount, cap) in amounts.items():
            if amount > cap * balancer.weight:
                text = f"{balancer.name} holds {amount} {kind}; at most {cap * balancer.weight} are allowed"
                self._report.add_violation(Violation("caps", balancer.name, self._seed, now_ms, text))

    def _check_service(self, tracked: TrackedService, now_ms: int) -> None:
        required = self._settings.spread.balancers
        count = len(tracked.serving)
        if not tracked.covered:
            tracked.covered = count >= required
            is_late = now_ms - tracked.since_ms > SERVED_WITHIN_MS
            if is_late and not tracked.covered:
                self._check_new_service(tracked, now_ms)
            return
        self._report.record_check("coverage")
        excused = sum(1 for lost_ms in tracked.lost.values() if now_ms - lost_ms <= self._excuse_ms)
        if count + excused < required:
            text = f"{count} marshals serve it, {required} are required, {excused} were lost recently"
            self._add_violation("coverage", tracked, now_ms, text)

    def _check_new_service(self, tracked: TrackedService, now_ms: int) -> None:
        """Counts recently lost balancers as excuses even if they never served the service: it may be placed on them."""
        died = {name for name, died_ms in self._died_ms.items() if now_ms - died_ms <= self._excuse_ms}
        count = len(tracked.serving)
        self._report.record_check("new service")
        if count + len(died - tracked.serving) < self._settings.spread.balancers:
            text = f"{count} marshals serve it after {SERVED_WITHIN_MS} ms"
            self._add_violation("new service", tracked, now_ms, text)

    def _check_stillness(self, balancer: str, services: set[str], now_ms: int) -> None:
        if self._allowed_while_still is None:
            return
        self._report.record_check("stillness")
        acquired = services - self._allowed_while_still.get(balancer, set())
        if acquired:
            text = f"{balancer} began to serve it during a rolling restart"
            self._add_violation("stillness", self._tracked[min(acquired)], now_ms, text)

    def _add_violation(self, rule: str, tracked: TrackedService, now_ms: int, text: str) -> None:
        self._report.add_violation(Violation(rule, tracked.service.name, self._seed, now_ms, text))
