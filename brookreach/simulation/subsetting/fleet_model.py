"""A fleet of marshals under a virtual clock: one agreed log, and lines on which everything is late, lost or doubled.

The real `Settling` and `ScopeState` run in it; sessions, leases, rows and RPCs are stand-ins.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from brookreach.simulation.subsetting.invariants import Rules
from brookreach.subsetting.effects import Answer, AskWhole, Drain, Effect, Load, Question
from brookreach.subsetting.fleet_view import Marshal, Service, View, difference
from brookreach.subsetting.handover import ScopeState
from brookreach.subsetting.hold_down import Settling
from brookreach.subsetting.settings import Settings

LEASE_MS, RENEW_MS, GIVER_MS = 4_000, 1_000, 5_000  # the holder's end of a lease is before the giver's
BEACON_MS, TICK_MS, LOOK_MS = 2_000, 250, 1_000
MOST_LATE_MS, MOST_LOAD_MS, MOST_RPC_MS = 2_000, 1_500, 3_000
QUICK_MS, SLOW_MS, SLOW = 500, 12_000, 0.1  # what marshals say to each other; a tenth of it is slow
LOST, DOUBLED = 0.05, 0.05


@dataclass
class Process:
    """One marshal, which may be dead or asleep."""

    row: Marshal
    state: ScopeState
    alive: bool = True
    asleep: bool = False
    session: int = 1
    ended: bool = False  # the log ended its session
    renewed_ms: int = 0  # as the giver knows
    inbox: list[Callable[[], None]] = field(default_factory=list)


class Fleet:
    def __init__(self, seed: int, settings: Settings, rules: Rules):
        self.chance = random.Random(seed)
        self.settings, self.rules = settings, rules
        self.now_ms = 0
        self.settling = Settling(settings.times)
        self.latest = View()
        self.processes: dict[str, Process] = {}
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.every(settings.times.batch_ms // 2, self._log)
        self.every(BEACON_MS, self._beacons)
        self.every(TICK_MS, self._ticks)
        self.every(LOOK_MS, lambda: self.rules.look(self.now_ms))
        self.every(RENEW_MS, self._leases)

    # --- time ---

    def at(self, delay_ms: int, act: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now_ms + delay_ms, next(self._count), act))

    def every(self, interval_ms: int, act: Callable[[], None]) -> None:
        def again() -> None:
            act()
            self.at(interval_ms, again)

        self.at(interval_ms, again)

    def run(self, length_ms: int) -> None:
        end = self.now_ms + length_ms
        while self._heap and self._heap[0][0] <= end:
            self.now_ms, _, act = heapq.heappop(self._heap)
            act()
        self.now_ms = end

    # --- marshals ---

    def start(self, row: Marshal) -> None:
        process = self.processes.get(row.name)
        session = process.session + 1 if process else 1
        self.processes[row.name] = process = Process(row, ScopeState(row.name, self.settings), session=session)
        self._session(process, session)

    def _session(self, process: Process, session: int) -> None:
        process.session, process.ended, process.renewed_ms = session, False, self.now_ms
        row = process.row
        said = Marshal(row.name, row.region, row.zone, row.weight, session)
        self.settling.joined(said, self.now_ms)
        self._do(process, process.state.leased(session, self.now_ms + LEASE_MS))

    def resize(self, name: str, weight: int) -> None:
        process = self.processes[name]
        row = process.row
        process.row = Marshal(row.name, row.region, row.zone, weight)
        if process.alive and not process.ended:
            self.settling.joined(Marshal(row.name, row.region, row.zone, weight, process.session), self.now_ms)

    def crash(self, name: str, leave: bool = False) -> None:
        """`leave`: it takes leave; else the log learns of it when the lease has run out."""
        process = self.processes[name]
        if not process.alive:
            return
        process.alive = False
        self.rules.lost(name, self.now_ms)
        if leave and not process.ended:
            process.ended = True
            self.settling.left(name, self.now_ms)

    def restart(self, name: str) -> None:
        if not self.processes[name].alive:
            self.start(self.processes[name].row)

    def sleep(self, name: str, length_ms: int) -> None:
        process = self.processes[name]
        if process.alive and not process.asleep:
            process.asleep = True
            self.rules.lost(name, self.now_ms)
            self.at(length_ms, lambda: self._wake(process))

    def _wake(self, process: Process) -> None:
        process.asleep = False
        if process.alive:
            self._said(process)
            inbox, process.inbox = process.inbox, []
            for act in inbox:
                act()

    # --- the log ---

    def _log(self) -> None:
        view = self.settling.tick(self.now_ms)
        if view is None:
            return
        change, self.latest = difference(self.latest, view), view
        for process in self.processes.values():
            self._send(process, lambda process=process: process.state.heard_change(change, self.now_ms))

    def _leases(self) -> None:
        for process in list(self.processes.values()):
            awake = process.alive and not process.asleep
            if awake and process.ended:
                self._session(process, process.session + 1)
            elif awake:
                process.renewed_ms = self.now_ms
                self._do(process, process.state.leased(process.session, self.now_ms + LEASE_MS))
            elif not process.ended and self.now_ms - process.renewed_ms > GIVER_MS:
                process.ended = True
                self.settling.left(process.row.name, self.now_ms)

    def _beacons(self) -> None:
        version = self.latest.version
        for process in self.processes.values():
            self._send(process, lambda process=process: process.state.heard_version(version))

    def _ticks(self) -> None:
        for process in self.processes.values():
            if process.alive and not process.asleep:
                self._do(process, process.state.tick(self.now_ms))

    # --- lines ---

    def _send(self, process: Process, hear: Callable[[], list[Effect]], most_ms: int = MOST_LATE_MS) -> None:
        """To the process of now: a later life of it hears nothing of this."""
        copies = 0 if self.chance.random() < LOST else 1 + (self.chance.random() < DOUBLED)
        for _ in range(copies):
            self.at(self.chance.randint(1, most_ms), lambda: self._arrive(process, hear))

    def _arrive(self, process: Process, hear: Callable[[], list[Effect]]) -> None:
        if process.alive and process.asleep:
            process.inbox.append(lambda: self._do(process, hear()))
        elif process.alive:
            self._do(process, hear())

    def _do(self, process: Process, effects: list[Effect]) -> None:
        if process.alive and not process.asleep:
            self._said(process)
        for effect in effects:
            match effect:
                case Load(service):
                    late = self.chance.randint(50, MOST_LOAD_MS)
                    self.at(late, lambda s=service: self._arrive(process, lambda: process.state.loaded(s)))
                case Drain(service):
                    late = self.chance.randint(1, MOST_RPC_MS)
                    self.at(late, lambda s=service: self._arrive(process, lambda: process.state.idle(s)))
                case AskWhole():
                    self._whole(process)
                case Question(_, to):
                    self._tell(to, lambda other, q=effect: other.asked(q, self.now_ms))
                case Answer(_, to):
                    self._tell(to, lambda other, a=effect: other.answered(a, self.now_ms))

    def _tell(self, to: str, hear: Callable[[ScopeState], list[Effect]]) -> None:
        process = self.processes.get(to)
        if process is not None:
            most = SLOW_MS if self.chance.random() < SLOW else QUICK_MS
            self._send(process, lambda: hear(process.state), most)

    def _whole(self, process: Process) -> None:
        view = self.latest
        self._send(process, lambda: process.state.heard_whole(view, self.now_ms))

    def _said(self, process: Process) -> None:
        self.rules.serves(process.row.name, set(process.state.serving), self.now_ms)


def some_service(chance: random.Random, name: str) -> Service:
    return Service(name, chance.randint(1, 60), chance.randint(1, 6), chance.randint(0, 90), chance.randint(1, 300))
