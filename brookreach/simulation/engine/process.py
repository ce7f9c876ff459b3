"""One process of the drills' world: its clocks, its alarm, its deaths and stops; what it runs stands in
`parties.py`.

It must never mend what a part does wrong: what a part raises ends the process, and a checker says so.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.simulation.engine.disk import Died
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.engine.state_digest import shape
from brookreach.simulation.engine.transit import Parcel, Reaction, clocks
from brookreach.simulation.engine.world import World

EPOCH_MS = 1_800_000_000_000  # the wall clocks begin about here
STEP_MS = 0.001  # an alarm rings a little late, never early
MOST_ALARMS = 2000  # in one ms: a process that wakes so often never sleeps


class Party(ABC):
    """One process: its rate against true time, its wall clock, what waits for it while it is stopped."""

    keeps = False

    def __init__(self, world: World, name: str, timing: Timing):
        self.world, self.name, self.timing = world, name, timing
        self.rate, self.wall_off = clocks(random.Random(f"{world.seed} clock {name}"), timing.drift)
        self.order = random.Random(f"{world.seed} order {name}")
        self.up, self.stops, self.life = False, 0, 0
        self.waiting: list[Parcel] = []
        self.missed: list[tuple[str, Any]] = []
        self.rings = math.inf  # true time of the alarm that counts
        self.target, self.connection = "", 0  # of a client: the keeper it dialled last, and how often it did
        self.said: list[messages.Body] = []
        self.alarms, self.alarms_from = 0, 0.0
        world.parties[name] = self

    @property
    def stopped(self) -> bool:
        return self.stops > 0

    def now(self) -> float:
        return 1000.0 + self.world.now * self.rate

    def wall(self) -> int:
        return EPOCH_MS + round(self.world.now * self.rate + self.wall_off)

    def chance(self) -> random.Random:
        return random.Random(f"{self.world.seed} {self.name} {self.life}")

    def start(self) -> None:
        self.up, self.stops, self.life = True, 0, self.life + 1
        self.waiting, self.missed, self.rings = [], [], math.inf
        self.world.trace(self.name, f"starts, life {self.life}")
        self.guarded(self.begin)

    def die(self, why: str) -> None:
        self.up, self.stops = False, 0
        self.world.trace(self.name, f"ends: {why}")
        self.fell()

    def guarded(self, call: Callable[..., None], *arguments: Any) -> None:
        """What ends a process: a disk that fails, the drill, or a defect."""
        life = self.life
        try:
            call(*arguments)
        except Died as death:
            self.die(f"killed {death}")
        except StorageError as error:
            self.world.checkers.looked("a process ends with a word")
            self.die(f"disk: {error}")
        except Exception as error:  # the checker is to say it with the seed
            if self.life == life:
                self.world.checkers.gone(self.world.now, self.name, error)
                self.die(f"{type(error).__name__}: {error}")
        if self.up:
            self.sleep()

    def sleep(self) -> None:
        wake = self.wakes()
        if wake is None or math.isinf(wake):
            self.rings = math.inf
            return
        rings = max(self.world.now, (wake - 1000.0) / self.rate) + STEP_MS
        if rings != self.rings:
            self.rings = rings
            self.world.at(rings, self.name, "alarm", (rings, self.life))

    def event(self, what: str, load: Any) -> None:
        if not self.up or (what == "alarm" and load != (self.rings, self.life)):
            return
        if self.stopped:
            self.missed.append((what, load))
        elif what == "alarm":
            self.rings = math.inf
            self.guarded(self.alarm)
        else:
            self.guarded(self.other, what, load)

    def alarm(self) -> None:
        if self.world.now - self.alarms_from > 1.0:
            self.alarms, self.alarms_from = 0, self.world.now
        self.alarms += 1
        if self.alarms > MOST_ALARMS:
            raise RuntimeError(f"it wakes {MOST_ALARMS} times in one ms")
        self.passed()

    def frame(self, nth: int, source: str, body: messages.Body) -> None:
        changed = nth == self.world.tampered
        before, self.said = shape(self.part()) if changed else 0, []
        self.guarded(self.hear, source, body)
        if changed and self.world.reaction is None:
            moved = not self.up or shape(self.part()) != before
            self.world.reaction = Reaction(said=tuple(self.said), changed=moved)

    def say(self, target: str, body: messages.Body, after_ms: float = 0.0) -> None:
        self.said.append(body)
        self.world.send(self.name, target, body, after_ms)

    def hang_up(self) -> None:
        """Of a client: its connection ends, which its keeper hears unless nothing passes."""
        if self.target and not self.world.link(self.name, self.target).cuts:
            self.world.at(self.world.now + 1.0, self.target, "closed", (self.name, self.connection))

    def fault(self, fault: Fault) -> None:
        match fault.kind:
            case "stop" if self.up:
                self.stops += 1
            case "jump":
                self.wall_off += fault.size
            case "kill" if self.up:
                self.die("killed")

    def heal(self, fault: Fault) -> None:
        if fault.kind == "stop" and self.stopped:
            self.stops -= 1
            if not self.stopped:
                self.go_on()
        elif fault.kind not in ("jump", "stop") and not self.up:
            self.start()

    def go_on(self) -> None:
        """After SIGCONT: what came meanwhile and the alarms, in either order."""
        missed, self.missed, waiting, self.waiting = self.missed, [], self.waiting, []
        if self.order.random() < 0.5:
            for one in waiting:
                self.world.arrive(self.name, one)
            waiting = []
        for what, load in missed:
            self.event(what, load)
        for one in waiting:
            self.world.arrive(self.name, one)

    def later(self, local_ms: float, load: Any = None) -> None:
        """A tick after so much of this process' own time."""
        self.world.at(self.world.now + local_ms / self.rate, self.name, "tick", (self.life, load))

    # --- each kind's own ---

    @abstractmethod
    def begin(self) -> None: ...

    @abstractmethod
    def fell(self) -> None: ...

    @abstractmethod
    def passed(self) -> None: ...

    @abstractmethod
    def wakes(self) -> float | None: ...

    @abstractmethod
    def other(self, what: str, load: Any) -> None: ...

    @abstractmethod
    def hear(self, source: str, body: messages.Body) -> None: ...

    @abstractmethod
    def part(self) -> Any: ...

    @abstractmethod
    def index(self) -> int: ...
