"""What a simulated process is given of the simulation that it runs in."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.simulation.engine.event_queue import EventQueue, Trace
from brookreach.simulation.engine.network import Network
from brookreach.simulation.engine.observer import RunObserver


@dataclass(frozen=True, slots=True)
class Environment:
    """The clock, network and observers of one run. A process never sees another process here."""

    seed: int
    queue: EventQueue
    trace: Trace
    network: Network
    observer: RunObserver
