"""The drill of subsetting: runs simulated fleets under faults and checks them with `invariants`.

Balancers join, leave, are suspended and change their weight, and services are added, removed and resized. Meanwhile
views are delayed, lost, duplicated and reordered.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial

from msgspec import structs

from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report
from brookreach.simulation.subsetting.defects import DEFECTS
from brookreach.simulation.subsetting.fleet_model import FleetModel
from brookreach.simulation.subsetting.invariants import InvariantChecker
from brookreach.subsetting.fleet_view import Balancer, Service
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.settings import Caps, Settings, Spread, Times

SETTINGS = Settings(
    caps=Caps(services=5, nodes=400, routes=60, tenants=800, rpcs=1200),
    spread=Spread(balancers=6, rpcs_per_balancer=50),
    times=Times(
        removal_hold_ms=20_000,
        join_hold_ms=3_000,
        resize_hold_ms=12_000,
        batch_interval_ms=1_000,
        query_interval_ms=500,
    ),
)
# Lease, batch and hold-down, then the time to detect a lost view by the next announcement, to request it, and to load.
EXCUSE_MS = 5_000 + 1_000 + 20_000 + 20_000
START_MS = 30_000
CHURN_MS = 240_000
QUIET_MS = 120_000
RESTART_INTERVAL_MS = 4_000  # between two balancers of a rolling restart
DOWNTIME_MS = 5_000
MAX_LOST = 2  # balancers down or suspended at once, in addition to a lost zone
MAX_REVERT_MS = 9_000


class ChurnRun:
    """The run of one seed: a fleet and the events that occur in it."""

    def __init__(self, seed: int, report: Report) -> None:
        random_source = random.Random(seed * 6007 + 5)
        self._random_source = random_source
        times = structs.replace(SETTINGS.times, resize_hold_ms=random_source.choice([2_000, 12_000]))
        self._is_tight = random_source.random() < 0.5  # caps are reached; no zone is lost beyond its hold-down
        caps = structs.replace(SETTINGS.caps, services=4) if self._is_tight else SETTINGS.caps
        self._settings = structs.replace(SETTINGS, times=times, caps=caps)
        self.checker = InvariantChecker(report, seed, self._settings, EXCUSE_MS)
        self.fleet = FleetModel(seed, self._settings, self.checker)
        self._zones = [(f"r{index % 2}", f"z{index}") for index in range(random_source.randint(3, 6))]
        zone_size = random_source.randint(4, 6)
        self._balancers = [
            Balancer(f"m{index}-{member}", region, zone)
            for index, (region, zone) in enumerate(self._zones)
            for member in range(zone_size)
        ]
        self._joining = [Balancer(f"x{index}", *random_source.choice(self._zones)) for index in range(3)]
        self._max_services = len(self._balancers) * 2 // 5  # 2.4 per balancer: leaves capacity for a lost zone's
        self._services_named = 0
        self._services: dict[str, Service] = {}

    def run(self) -> None:
        """Starts the fleet, runs random events on it, and then does a rolling restart of all balancers."""
        clock = self.fleet.clock
        for balancer in self._balancers:
            self.fleet.start(balancer)
        clock.run_for(START_MS)
        for _ in range(self._max_services):
            self._add_service()
        clock.run_for(START_MS)
        self._check_settled()
        self._churn()
        self._check_settled()
        self._rolling_restart()
        self._check_settled()

    def _churn(self) -> None:
        clock = self.fleet.clock
        events = [
            self._lose_balancer,
            self._lose_balancer,
            self._resize_balancer,
            self._flap_weights,
            self._join_balancer,
            self._resize_service,
            self._revert_service_size,
            self._add_or_remove_service,
        ]
        for _ in range(self._random_source.randint(15, 40)):
            clock.call_later(self._random_source.randint(0, CHURN_MS), self._random_source.choice(events))
        clock.call_later(self._random_source.randint(0, CHURN_MS // 2), self._lose_zone)
        clock.run_for(CHURN_MS)
        for name in self.fleet.processes:
            self.fleet.restart(name)
        clock.run_for(QUIET_MS)

    def _check_settled(self) -> None:
        placement = place_services(self.fleet.hold_down.view, self._settings)
        for name, process in self.fleet.processes.items():
            placed = set(placement.services_of(name))
            self.checker.check_settled(process.balancer, process.handover.serving, placed, self.fleet.clock.now_ms)

    def _rolling_restart(self) -> None:
        """Restarts all balancers in turn while a service is resized and reverted; no service may move."""
        clock = self.fleet.clock
        self.checker.begin_stillness()
        for index, name in enumerate(self.fleet.processes):
            gracefully = self._random_source.random() < 0.5
            clock.call_later(index * RESTART_INTERVAL_MS, partial(self.fleet.crash, name, gracefully=gracefully))
            clock.call_later(index * RESTART_INTERVAL_MS + DOWNTIME_MS, partial(self.fleet.restart, name))
        duration_ms = RESTART_INTERVAL_MS * len(self.fleet.processes)
        clock.call_later(self._random_source.randint(0, duration_ms), self._revert_service_size)
        clock.run_for(duration_ms + QUIET_MS)
        self.checker.end_stillness()

    # --- events of balancers ---

    def _lose_balancer(self) -> None:
        """Crashes, shuts down or suspends a balancer for less or more than its hold-down."""
        random_source = self._random_source
        lost = [process for process in self.fleet.processes.values() if not process.is_running]
        if len(lost) >= MAX_LOST:
            return
        name = random_source.choice(sorted(self.fleet.processes))
        duration_ms = random_source.choice([500, 3_000, 8_000, 30_000, 60_000])
        if random_source.random() < 0.4:
            self.fleet.suspend(name, duration_ms)
        else:
            self.fleet.crash(name, gracefully=random_source.random() < 0.5)
            self.fleet.clock.call_later(duration_ms, partial(self.fleet.restart, name))

    def _lose_zone(self) -> None:
        zone = self._random_source.choice(self._zones)
        names = [name for name, process in self.fleet.processes.items() if process.balancer.locality == zone]
        for name in names:
            self.fleet.crash(name)
        duration_ms = 10_000 if self._is_tight else self._random_source.choice([10_000, 60_000])
        for name in names:
            self.fleet.clock.call_later(duration_ms, partial(self.fleet.restart, name))

    def _resize_balancer(self) -> None:
        name = self._random_source.choice(sorted(self.fleet.processes))
        self.fleet.resize(name, self._random_source.randint(1, 3))

    def _flap_weights(self) -> None:
        """Changes weights repeatedly while handovers are in progress."""
        for index in range(self._random_source.randint(4, 12)):
            self.fleet.clock.call_later(index * self._random_source.randint(1_000, 4_000), self._resize_balancer)

    def _join_balancer(self) -> None:
        if self._joining:
            self.fleet.start(self._joining.pop())

    # --- events of services ---

    def _add_service(self) -> None:
        self._services_named += 1
        self._configure(generate_service(self._random_source, f"s{self._services_named}"))

    def _add_or_remove_service(self) -> None:
        if len(self._services) < self._max_services:
            self._add_service()
            return
        name = self._random_source.choice(sorted(self._services))
        del self._services[name]
        self.checker.on_removed(name)
        self.fleet.hold_down.service_removed(name, self.fleet.clock.now_ms)

    def _resize_service(self) -> None:
        self._configure(generate_service(self._random_source, self._random_source.choice(sorted(self._services))))

    def _revert_service_size(self) -> None:
        """Changes a service's sizes and reverts them within 9 s and within the hold-down."""
        max_delay_ms = min(MAX_REVERT_MS, self._settings.times.resize_hold_ms - 100)
        name = self._random_source.choice(sorted(self._services))
        original = self._services[name]
        self._configure(generate_service(self._random_source, name))

        def revert() -> None:
            if name in self._services:
                self._configure(original)

        self.fleet.clock.call_later(self._random_source.randint(500, max_delay_ms), revert)

    def _configure(self, service: Service) -> None:
        self._services[service.name] = service
        self.checker.on_configured(service, self.fleet.clock.now_ms)
        self.fleet.hold_down.service_changed(service, self.fleet.clock.now_ms)


def generate_service(random_source: random.Random, name: str) -> Service:
    """Returns a service with random sizes."""
    return Service(
        name,
        nodes=random_source.randint(1, 60),
        routes=random_source.randint(1, 6),
        tenants=random_source.randint(0, 90),
        rpcs=random_source.randint(1, 300),
    )


def run(seed: int, seeds: int, plant: str = "", progress: Callable[[int, int], None] | None = None) -> Report:
    """Runs one fleet for each seed and returns the report.

    Args:
        seed: The first seed.
        seeds: The number of seeds; with an injected defect, the drill ends at the first seed that detects it.
        plant: The name of the defect to inject; "" injects none.
        progress: Called with the number of completed seeds and the number of all seeds.
    """
    report = Report("scope", seed, seeds, plant)
    moves = 0
    versions = 0
    balancers = 0
    with inject_defect(DEFECTS, plant):
        for one_seed in report.iterate_seeds(progress):
            churn = ChurnRun(one_seed, report)
            churn.run()
            moves += churn.checker.moves
            versions += churn.fleet.latest.version
            balancers += len(churn.fleet.processes)
    report.figures |= {"marshals": balancers, "versions of the view": versions, "services taken on or let go": moves}
    return report
