"""A replica with its disk as a simulated process.

It does what the program's own loop around a `Replica` does, in the same order: save, send, apply.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from brookreach.coordination.protocol import messages
from brookreach.coordination.raft.types import Ready
from brookreach.coordination.server.replica import Replica
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine import process_timing
from brookreach.simulation.engine.disk import MemoryDisk
from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.faults import CrashPoint, Fault, FaultKind
from brookreach.simulation.engine.links import GROUP
from brookreach.simulation.engine.process import SimulatedProcess
from brookreach.simulation.engine.process_events import ConnectionClosed, ConnectionReplaced, CrashDue, ProcessEvent
from brookreach.simulation.engine.wakeup_limit import BusyLoopError

MAX_ROUNDS = 1000  # of taking what is ready after one event; a replica that has more never ends
MIN_SAVE_MS = 0.1
MAX_SAVE_MS = 1.0
RESTART_AFTER_PROMISE_MS = 80.0


class SimulatedReplica(SimulatedProcess):
    """A replica of the group.

    Attributes:
        disk: What its incarnations share.
        has_lost_disk: It came back without a disk: it is no member any more and must not take part.
        replica: The program's object; of an earlier incarnation while the process is down.
    """

    is_replica = True

    def __init__(
        self,
        environment: Environment,
        name: str,
        timing: Timing,
        members: tuple[str, ...],
        applications: Sequence[Application],
    ):
        super().__init__(environment, name, timing)
        self.disk = MemoryDisk(members, name)
        self.has_lost_disk = False
        self.replica: Replica
        self._members = members
        self._applications = applications
        self._save_rng = random.Random(f"{environment.seed} disk {name}")

    def _on_start(self) -> None:
        timing = process_timing.timing_of_process(self.timing)
        self.replica = Replica(
            self.name, self._applications, self.disk.load(), GROUP, timing, self.make_rng(), self._members
        )
        self._handle_ready()

    def _on_death(self) -> None:
        self.environment.network.drop_connections_to(self.name)

    def state(self) -> Replica:
        """Return the replica, for a digest."""
        return self.replica

    def applied_index(self) -> int:
        """Return the index of the last entry that it applied."""
        return self.replica.machine.applied

    def _next_wakeup_ms(self) -> float | None:
        return self.replica.next_wakeup_ms()

    def _on_time_passed(self) -> None:
        self.replica.tick(self.now_ms(), self.wall_ms())
        self._handle_ready()

    def _on_message(self, source: str, body: messages.Body) -> None:
        self.replica.handle_message(self.now_ms(), self.wall_ms(), source, body)
        self._handle_ready()

    def _handle_ready(self) -> None:
        for _ in range(MAX_ROUNDS):
            ready = self.replica.ready()
            if ready == Ready():
                return
            save_ms = self._save(ready)
            for target, body in ready.send:
                self.send(target, body, save_ms)
            for entry in ready.apply:
                self.environment.observer.on_entry_applied(self.true_now_ms, self.name, entry)
            self.replica.advance(self.now_ms(), ready)
        raise BusyLoopError(f"{MAX_ROUNDS} rounds of ready and taken without an end")

    def _save(self, ready: Ready) -> float:
        """Save what is ready; return how long that takes, in ms, by which all messages are delayed."""
        if ready.save is None:
            return 0.0
        self.disk.save(ready.save)
        save_ms = self._save_rng.uniform(MIN_SAVE_MS, MAX_SAVE_MS)
        if self.disk.dies_after_promise:
            self.schedule(self.true_now_ms + 2.0 * save_ms, CrashDue(self.incarnation))
        return save_ms

    def _on_other_event(self, event: ProcessEvent) -> None:
        match event:
            case CrashDue() if event.incarnation == self.incarnation:
                self.die("killed after a promise")
                self._schedule_restart()
            case ConnectionClosed() if self.environment.network.connections.close(self.name, event):
                self.replica.client_disconnected(event.client)
                self._handle_ready()
            case ConnectionReplaced():
                self.replica.client_disconnected(event.client)
                self._handle_ready()

    def _schedule_restart(self) -> None:
        """The fault that planned this death may have ended already; starting a process that runs does nothing."""
        killed = Fault(0, FaultKind.KILL, (self.name,))
        self.environment.queue.schedule(self.true_now_ms + RESTART_AFTER_PROMISE_MS, lambda: self.end_fault(killed))

    # --- faults ---

    def begin_fault(self, fault: Fault) -> None:
        """Carry out a fault of the replica or of its disk."""
        match fault.kind:
            case FaultKind.TERMINATE if self.is_running:
                self.replica.shut_down(self.now_ms())
                self._run_guarded(self._handle_ready)
            case FaultKind.DISK_FULL:
                self.disk.is_full = True
            case FaultKind.KILL if fault.crash_point and self.is_running:
                self.disk.crash_point = fault.crash_point
            case FaultKind.DISK_LOST | FaultKind.DISK_ROLLED_BACK:
                self._damage_disk(fault)
            case _:
                super().begin_fault(fault)

    def _damage_disk(self, fault: Fault) -> None:
        if self.is_running:
            self.die(fault.kind)
        if fault.kind is FaultKind.DISK_LOST:
            self.disk.erase()
            self.has_lost_disk = True
        else:
            self.disk.roll_back(fault.size)

    def end_fault(self, fault: Fault) -> None:
        """Undo a fault, and start the replica again if that ended it."""
        if fault.kind is FaultKind.DISK_FULL:
            self.disk.is_full = False
        if fault.kind is FaultKind.KILL:
            self.disk.crash_point = CrashPoint.IMMEDIATELY
        if fault.kind is FaultKind.TERMINATE and self.is_running:
            self.die("ended")
        super().end_fault(fault)
