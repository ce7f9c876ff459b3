"""Begins and ends the faults of a simulation."""

from __future__ import annotations

from collections.abc import Mapping
from functools import partial

from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.faults import LEADER, Fault, FaultKind
from brookreach.simulation.engine.links import DEFAULT_DUPLICATE_FRACTION, DEFAULT_LATE_FRACTION, Link
from brookreach.simulation.engine.process import SimulatedProcess

MIN_DURATION_MS = 1
DUPLICATES_FRACTION = 0.5  # of the frames come twice, and as many are late


class FaultInjector:
    """Carries out the faults of one run."""

    def __init__(self, environment: Environment, processes: Mapping[str, SimulatedProcess]):
        self._environment = environment
        self._processes = processes
        self._targets: dict[Fault, tuple[str, ...]] = {}

    def begin(self, fault: Fault) -> None:
        """Begin a fault and schedule its end."""
        queue = self._environment.queue
        self._environment.trace.record(queue.now_ms, "", fault.describe())
        for link in self._affected_links(fault):
            _impair(link, fault)
        for process in self._affected_processes(fault):
            process.begin_fault(fault)
        if fault.duration_ms or fault.kind is not FaultKind.CLOCK_JUMP:
            end_ms = queue.now_ms + max(MIN_DURATION_MS, fault.duration_ms)
            queue.schedule(end_ms, partial(self.end, fault))

    def end(self, fault: Fault) -> None:
        """End a fault."""
        for link in self._affected_links(fault):
            _repair(link, fault)
        for process in self._affected_processes(fault):
            process.end_fault(fault)

    def _resolve_targets(self, fault: Fault) -> tuple[str, ...]:
        """Return the names that a fault affects; who leads when it begins is affected until its end."""
        if fault not in self._targets:
            leader = self._environment.observer.leader or min(self._processes)
            self._targets[fault] = tuple(leader if name == LEADER else name for name in fault.targets)
        return self._targets[fault]

    def _affected_processes(self, fault: Fault) -> list[SimulatedProcess]:
        """A fault with others affects the links to them, not the processes."""
        if fault.others:
            return []
        return [self._processes[name] for name in self._resolve_targets(fault)]

    def _affected_links(self, fault: Fault) -> list[Link]:
        targets = self._resolve_targets(fault)
        pairs = [(source, target) for source in targets for target in fault.others if source != target]
        if fault.kind is FaultKind.PARTITION:
            pairs += [(target, source) for source, target in pairs]
        return [self._environment.network.link(source, target) for source, target in pairs]


def _impair(link: Link, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.CUT | FaultKind.PARTITION:
            link.active_cuts += 1
        case FaultKind.SLOW:
            link.max_transit_ms += fault.size
        case FaultKind.LOSSY:
            link.lost_fraction += fault.size / 100.0
        case FaultKind.DUPLICATES:
            link.duplicate_fraction = DUPLICATES_FRACTION
            link.late_fraction = DUPLICATES_FRACTION


def _repair(link: Link, fault: Fault) -> None:
    match fault.kind:
        case FaultKind.CUT | FaultKind.PARTITION:
            link.active_cuts -= 1
        case FaultKind.SLOW:
            link.max_transit_ms -= fault.size
        case FaultKind.LOSSY:
            link.lost_fraction -= fault.size / 100.0
        case FaultKind.DUPLICATES:
            link.duplicate_fraction = DEFAULT_DUPLICATE_FRACTION
            link.late_fraction = DEFAULT_LATE_FRACTION
