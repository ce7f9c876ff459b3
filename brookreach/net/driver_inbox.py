"""What wakes the driver's task: events that other tasks enqueue, and timers.

This module owns the wake-up. The order of events is that of `event_queue`.
"""

from __future__ import annotations

import anyio

from brookreach import interface as ifc
from brookreach.net.clock import Clock
from brookreach.net.event_queue import EventQueue
from brookreach.net.in_flight import PickResult
from brookreach.net.poller import Expirable
from brookreach.net.timers import Timers


class DriverInbox:
    """Events that are to be handled, and the timers of the balancer and of the network side."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.queue = EventQueue()
        self.timers = Timers()
        self.wait_scope: anyio.CancelScope | None = None  # while the driver's task has nothing to do

    def enqueue(self, event: ifc.Event | PickResult) -> None:
        """Add an event, and wake the driver's task if it waits."""
        self.queue.add(event)
        if self.wait_scope is not None:
            self.wait_scope.cancel()

    def schedule_timeout(self, delay_ms: float, target: Expirable) -> None:
        """Expire `target` after a delay."""
        self.timers.schedule(self.clock.now_ms() + delay_ms, target)
        if self.wait_scope is not None:  # another task set it
            self.wait_scope.cancel()
