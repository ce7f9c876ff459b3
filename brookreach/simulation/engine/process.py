"""One simulated process: its clock, its alarm, its crashes and pauses.

What a process runs is added by its subclasses. It never corrects what that does wrong: an error ends the process, and
the observer is told.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from functools import partial
from typing import Any

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine.clock import DriftingClock
from brookreach.simulation.engine.disk import SimulatedCrashError
from brookreach.simulation.engine.environment import Environment
from brookreach.simulation.engine.faults import Fault, FaultKind
from brookreach.simulation.engine.links import FrameInTransit
from brookreach.simulation.engine.process_events import Alarm, ProcessEvent, TimerFired
from brookreach.simulation.engine.wakeup_limit import WakeupLimit

ALARM_DELAY_MS = 0.001  # an alarm is a little late, never early
STORAGE_FAILURE_RULE = "a process ends with a word"


class SimulatedProcess(ABC):
    """One process and its incarnations.

    Attributes:
        name: Its name in the group.
        is_replica: Whether it is a member of the group, not a client of it.
        is_running: Whether an incarnation lives, paused or not.
        incarnation: How often it was started.
        server: Of a client: the replica that it connected to last.
        connection: Of a client: how often it has connected.
    """

    is_replica = False

    def __init__(self, environment: Environment, name: str, timing: Timing):
        self.environment = environment
        self.name = name
        self.timing = timing
        self.is_running = False
        self.incarnation = 0
        self.server = ""
        self.connection = 0
        self._clock = DriftingClock.draw(random.Random(f"{environment.seed} clock {name}"), timing.drift)
        self._resume_rng = random.Random(f"{environment.seed} order {name}")
        self._active_pauses = 0
        self._held_frames: list[FrameInTransit] = []
        self._held_events: list[ProcessEvent] = []
        self._alarm_at_ms = math.inf  # true time of the alarm that counts
        self._wakeups = WakeupLimit()

    @property
    def is_paused(self) -> bool:
        """Whether it is stopped as by SIGSTOP."""
        return self._active_pauses > 0

    @property
    def true_now_ms(self) -> float:
        """The true time, for reports to the observer only."""
        return self.environment.queue.now_ms

    def now_ms(self) -> float:
        """Return its monotonic clock."""
        return self._clock.monotonic_ms(self.true_now_ms)

    def wall_ms(self) -> int:
        """Return its wall clock, in ms since the Unix epoch."""
        return self._clock.wall_ms(self.true_now_ms)

    def make_rng(self) -> random.Random:
        """Return the source of randomness of this incarnation."""
        return random.Random(f"{self.environment.seed} {self.name} {self.incarnation}")

    # --- incarnations ---

    def start(self) -> None:
        """Begin a new incarnation."""
        self.is_running = True
        self.incarnation += 1
        self._active_pauses = 0
        self._held_frames = []
        self._held_events = []
        self._alarm_at_ms = math.inf
        self._record(f"starts, life {self.incarnation}")
        self._run_guarded(self._on_start)

    def die(self, reason: str) -> None:
        """End this incarnation at once."""
        self.is_running = False
        self._active_pauses = 0
        self._record(f"ends: {reason}")
        self._on_death()

    def _run_guarded(self, step: Callable[[], None]) -> None:
        """Run one step of the program; a simulated crash, a disk that fails or a defect ends the incarnation."""
        incarnation = self.incarnation
        try:
            step()
        except SimulatedCrashError as crash:
            self.die(f"killed {crash}")
        except StorageError as error:
            self.environment.observer.record_check(STORAGE_FAILURE_RULE)
            self.die(f"disk: {error}")
        except Exception as error:  # any error of the program is a finding of the run
            if self.incarnation == incarnation:
                self.environment.observer.on_process_failed(self.true_now_ms, self.name, error)
                self.die(f"{type(error).__name__}: {error}")
        if self.is_running:
            self._set_alarm()

    def _record(self, text: str) -> None:
        self.environment.trace.record(self.true_now_ms, self.name, text)

    # --- time ---

    def _set_alarm(self) -> None:
        wakeup_ms = self._next_wakeup_ms()
        if wakeup_ms is None or math.isinf(wakeup_ms):
            self._alarm_at_ms = math.inf
            return
        at_ms = max(self.true_now_ms, self._clock.true_ms(wakeup_ms)) + ALARM_DELAY_MS
        if at_ms != self._alarm_at_ms:
            self._alarm_at_ms = at_ms
            self.schedule(at_ms, Alarm(at_ms, self.incarnation))

    def schedule(self, at_ms: float, event: ProcessEvent) -> None:
        """Deliver an event to this process at a true time."""
        self.environment.queue.schedule(at_ms, partial(self.on_event, event))

    def start_timer(self, local_ms: float, action: str = "") -> None:
        """Fire a timer after `local_ms` of this process's own time."""
        at_ms = self.true_now_ms + self._clock.true_duration_ms(local_ms)
        self.schedule(at_ms, TimerFired(self.incarnation, action))

    def on_event(self, event: ProcessEvent) -> None:
        """Handle an event, or hold it while the process is paused. Alarms that were replaced are ignored."""
        if not self.is_running:
            return
        is_alarm = isinstance(event, Alarm)
        if is_alarm and event != Alarm(self._alarm_at_ms, self.incarnation):
            return
        if self.is_paused:
            self._held_events.append(event)
        elif is_alarm:
            self._alarm_at_ms = math.inf
            self._run_guarded(self._on_alarm)
        else:
            self._run_guarded(partial(self._on_other_event, event))

    def _on_alarm(self) -> None:
        self._wakeups.count(self.true_now_ms)
        self._on_time_passed()

    # --- messages ---

    def receive(self, source: str, body: messages.Body) -> None:
        """Handle a message."""
        self._run_guarded(partial(self._on_message, source, body))

    def hold_frame(self, frame: FrameInTransit) -> None:
        """Keep a frame until the process is resumed."""
        self._held_frames.append(frame)

    def send(self, target: str, body: messages.Body, delay_ms: float = 0.0) -> None:
        """Send a message."""
        self.environment.network.send(self.name, target, body, delay_ms)

    # --- faults ---

    def begin_fault(self, fault: Fault) -> None:
        """Carry out a fault of this process."""
        match fault.kind:
            case FaultKind.PAUSE if self.is_running:
                self._active_pauses += 1
            case FaultKind.CLOCK_JUMP:
                self._clock.wall_offset_ms += fault.size
            case FaultKind.KILL if self.is_running:
                self.die("killed")

    def end_fault(self, fault: Fault) -> None:
        """Resume or restart the process as the fault ends."""
        if fault.kind is FaultKind.PAUSE and self.is_paused:
            self._active_pauses -= 1
            if not self.is_paused:
                self._resume()
        elif fault.kind not in (FaultKind.CLOCK_JUMP, FaultKind.PAUSE) and not self.is_running:
            self.start()

    def _resume(self) -> None:
        """Handle what came during a pause; frames and events in either order, as a kernel may deliver them."""
        events = self._held_events
        frames = self._held_frames
        self._held_events = []
        self._held_frames = []
        frames_first = self._resume_rng.random() < 0.5
        if frames_first:
            self._deliver(frames)
        for event in events:
            self.on_event(event)
        if not frames_first:
            self._deliver(frames)

    def _deliver(self, frames: list[FrameInTransit]) -> None:
        for frame in frames:
            self.environment.network.deliver(self.name, frame)

    # --- what it runs ---

    @abstractmethod
    def _on_start(self) -> None:
        """Create the program's objects for a new incarnation."""

    @abstractmethod
    def _on_death(self) -> None:
        """Tell those that are connected."""

    @abstractmethod
    def _on_time_passed(self) -> None:
        """Do what is due by now."""

    @abstractmethod
    def _next_wakeup_ms(self) -> float | None:
        """Return when time has to be given again, by the monotonic clock; None for never."""

    @abstractmethod
    def _on_other_event(self, event: ProcessEvent) -> None:
        """Handle an event other than an alarm."""

    @abstractmethod
    def _on_message(self, source: str, body: messages.Body) -> None:
        """Handle a message."""

    @abstractmethod
    def state(self) -> Any:
        """Return all that the program knows, for a digest."""

    @abstractmethod
    def applied_index(self) -> int | None:
        """Return the log index that its copy of the state has reached; None if it holds no copy."""
