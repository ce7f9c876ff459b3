"""A simulation of replicas and clients under one seeded virtual clock.

Every frame, clock, disk and crash is an event here. The same seed and the same faults give the same trace, byte for
byte. The simulation never looks into a process to decide what happens next.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.event_queue import EventQueue, Trace
from brookreach.simulation.engine.fault_injector import FaultInjector
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.links import FrameInterceptor
from brookreach.simulation.engine.network import Network
from brookreach.simulation.engine.observer import RunObserver
from brookreach.simulation.engine.process import SimulatedProcess


class Simulation:
    """One run.

    Attributes:
        environment: What its processes are created with.
        processes: By name, in the order in which they were added.
    """

    def __init__(
        self, seed: int, observer: RunObserver, intercept: FrameInterceptor | None = None, keep_trace: bool = False
    ):
        queue = EventQueue()
        trace = Trace(keep_trace)
        network = Network(seed, queue, trace, observer, intercept)
        self.environment = Environment(seed, queue, trace, network, observer)
        self.processes: dict[str, SimulatedProcess] = {}
        self._faults = FaultInjector(self.environment, self.processes)

    @property
    def now_ms(self) -> float:
        """The true time."""
        return self.environment.queue.now_ms

    @property
    def network(self) -> Network:
        """All links of this run."""
        return self.environment.network

    @property
    def trace(self) -> Trace:
        """What has happened so far."""
        return self.environment.trace

    def add(self, process: SimulatedProcess) -> None:
        """Add a process; it isn't started."""
        self.processes[process.name] = process
        self.network.attach(process)

    def start_all(self) -> None:
        """Start all processes in their order."""
        for process in self.processes.values():
            process.start()

    def plan(self, faults: Sequence[Fault]) -> None:
        """Schedule faults."""
        for fault in faults:
            self.environment.queue.schedule(fault.at_ms, partial(self._faults.begin, fault))

    def run_until(self, until_ms: float) -> None:
        """Run all that happens by `until_ms`."""
        self.environment.queue.run_until(until_ms)
