"""Draws the faults of a run from its seed.

Every plan leaves a majority of the replicas' disks as they were confirmed: a run may only contain what a group is
built to survive. `DISK_ROLLED_BACK`, which it isn't, occurs only in a theme that asks for it.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace

from brookreach.simulation.engine.faults import LEADER, CrashPoint, Fault, FaultKind
from brookreach.simulation.engine.scenarios import THEMES, Scenario

MIN_SPAN_MS = 10.0
SPAN_DOUBLINGS = 8.5  # the longest span is about 3.6 s; short and long ones are equally likely
MAX_RIVALS_MS = 2000
MAX_RIVAL_DOWN_MS = 1800
CHURN_SLOW_MS = 4000
CHURN_SECOND_KILL_MS = 60  # after the first


def plan_faults(
    rng: random.Random, replicas: Sequence[str], clients: Sequence[str], end_ms: int, max_scenarios: int
) -> list[Fault]:
    """Draw the faults of one run, in the order of their times.

    Args:
        rng: The only source of randomness; the order of draws is part of what a seed means.
        replicas: Of these fewer than half lose their disks.
        clients: May be cut off, paused or killed.
        end_ms: By then all faults are over.
        max_scenarios: At least one and at most so many scenarios are drawn.
    """
    planner = _FaultPlanner(rng, replicas, clients)
    faults: list[Fault] = []
    lost_disks: set[str] = set()
    theme = THEMES[rng.choice(sorted(THEMES))]
    for _ in range(rng.randint(1, max_scenarios)):
        at_ms = rng.randrange(end_ms)
        scenario = rng.choice(theme)
        span_ms = int(MIN_SPAN_MS * 2.0 ** rng.uniform(0.0, SPAN_DOUBLINGS))
        remaining_ms = end_ms - at_ms
        drawn = planner.draw(scenario, _Window(at_ms, min(span_ms, remaining_ms), remaining_ms))
        newly_lost = {fault.targets[0] for fault in drawn if _loses_disk(fault)}
        if newly_lost - lost_disks and 2 * len(lost_disks | newly_lost) >= len(replicas):
            continue
        lost_disks |= newly_lost
        faults += drawn
    return sorted(faults, key=lambda fault: (fault.at_ms, fault.kind, fault.targets))


def _loses_disk(fault: Fault) -> bool:
    return fault.kind in (FaultKind.DISK_LOST, FaultKind.DISK_ROLLED_BACK)


@dataclass(frozen=True, slots=True)
class _Window:
    """The time of a scenario: where it begins, how long it is drawn to last, how long it may last."""

    at_ms: int
    span_ms: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class _Choices:
    """What any scenario may need. It is drawn for each of them, so that their draws are as many."""

    replica: str
    anyone: str
    short_ms: int
    long_ms: int


class _FaultPlanner:
    """Draws one scenario at a time."""

    def __init__(self, rng: random.Random, replicas: Sequence[str], clients: Sequence[str]):
        self._rng = rng
        self._replicas = tuple(replicas)
        self._clients = tuple(clients)
        self._everyone = (*replicas, *clients)

    def draw(self, scenario: FaultKind | Scenario, window: _Window) -> list[Fault]:
        """Return the faults that make up one scenario."""
        rng = self._rng
        choices = _Choices(
            replica=rng.choice(self._replicas),
            anyone=rng.choice(self._everyone),
            short_ms=rng.randint(5, 80),
            long_ms=min(window.remaining_ms, rng.choice((0, rng.randint(1000, 2500)))),
        )
        if isinstance(scenario, FaultKind):
            return [self._single_fault(scenario, window, choices)]
        planners: dict[Scenario, Callable[[_Window, _Choices], list[Fault]]] = {
            Scenario.PROMISE: self._promise,
            Scenario.LEADER_KILLED: self._leader_killed,
            Scenario.LEADER_PAUSED: self._leader_paused,
            Scenario.FROZEN: self._frozen,
            Scenario.ISOLATED: self._isolated,
            Scenario.CHURN: self._churn,
            Scenario.RIVALS: self._rivals,
        }
        return planners[scenario](window, choices)

    # --- faults that stand for themselves ---

    def _single_fault(self, kind: FaultKind, window: _Window, choices: _Choices) -> Fault:
        match kind:
            case FaultKind.PARTITION:
                return self._partition(window)
            case FaultKind.CUT | FaultKind.SLOW | FaultKind.LOSSY | FaultKind.DUPLICATES:
                return self._link_fault(kind, window, choices.replica)
        rng = self._rng
        target = choices.replica
        duration_ms = window.span_ms
        size = 0
        crash_point = CrashPoint.IMMEDIATELY
        if kind is FaultKind.KILL:
            target = choices.anyone
            crash_point = rng.choice((CrashPoint.IMMEDIATELY, CrashPoint.BEFORE_SAVE, CrashPoint.AFTER_SAVE))
        elif kind is FaultKind.PAUSE:
            target = choices.anyone
        elif kind is FaultKind.CLOCK_JUMP:
            target = choices.anyone
            duration_ms = 0
            size = rng.choice((-1, 1)) * rng.randint(100, 60_000)
        elif kind is FaultKind.DISK_ROLLED_BACK:
            size = rng.randint(1, 40)
        return Fault(window.at_ms, kind, (target,), (), duration_ms, size, crash_point)

    def _partition(self, window: _Window) -> Fault:
        rng = self._rng
        side = rng.sample(self._everyone, rng.randint(1, len(self._everyone) // 2))
        rest = tuple(name for name in self._everyone if name not in side)
        return Fault(window.at_ms, FaultKind.PARTITION, tuple(sorted(side)), rest, window.span_ms)

    def _link_fault(self, kind: FaultKind, window: _Window, replica: str) -> Fault:
        rng = self._rng
        other = rng.choice([name for name in self._everyone if name != replica])
        source, target = (replica, other) if rng.random() < 0.5 else (other, replica)
        slow_ms = rng.randint(20, 500)
        lossy_percent = rng.randint(5, 60)
        sizes = {FaultKind.SLOW: slow_ms, FaultKind.LOSSY: lossy_percent, FaultKind.DUPLICATES: 50}
        return Fault(window.at_ms, kind, (source,), (target,), window.span_ms, sizes.get(kind, 0))

    # --- scenarios ---

    def _promise(self, window: _Window, choices: _Choices) -> list[Fault]:
        duration_ms = min(window.remaining_ms, max(choices.short_ms, window.span_ms))
        return [self._kill(window.at_ms, choices.replica, duration_ms, CrashPoint.AFTER_PROMISE)]

    def _leader_killed(self, window: _Window, choices: _Choices) -> list[Fault]:
        duration_ms = min(window.remaining_ms, self._rng.choice((choices.short_ms, window.span_ms)))
        crash_point = self._rng.choice((CrashPoint.IMMEDIATELY, CrashPoint.AFTER_SAVE))
        return [self._kill(window.at_ms, LEADER, duration_ms, crash_point)]

    def _leader_paused(self, window: _Window, _choices: _Choices) -> list[Fault]:
        return [Fault(window.at_ms, FaultKind.PAUSE, (LEADER,), (), window.span_ms)]

    def _isolated(self, window: _Window, choices: _Choices) -> list[Fault]:
        rng = self._rng
        name = rng.choice((LEADER, rng.choice(self._clients), rng.choice(self._clients)))
        return [self._isolation(window.at_ms, name, max(window.span_ms, choices.long_ms))]

    def _kill(self, at_ms: int, name: str, duration_ms: int, crash_point: CrashPoint) -> Fault:
        return Fault(at_ms, FaultKind.KILL, (name,), (), duration_ms, 0, crash_point)

    def _isolation(self, at_ms: int, name: str, duration_ms: int) -> Fault:
        return Fault(at_ms, FaultKind.PARTITION, (name,), self._everyone, duration_ms)

    def _slow_replicas(self, at_ms: int, duration_ms: int, size_ms: int) -> Fault:
        return Fault(at_ms, FaultKind.SLOW, self._replicas, self._replicas, duration_ms, size_ms)

    def _frozen(self, window: _Window, choices: _Choices) -> list[Fault]:
        name = self._rng.choice((LEADER, LEADER, choices.anyone))
        return [
            Fault(window.at_ms, FaultKind.PAUSE, (name,), (), window.span_ms),
            self._isolation(window.at_ms, name, min(window.remaining_ms, window.span_ms + choices.short_ms)),
        ]

    def _rivals(self, window: _Window, choices: _Choices) -> list[Fault]:
        rng = self._rng
        slow_ms = min(window.remaining_ms, MAX_RIVALS_MS)
        slow = self._slow_replicas(window.at_ms, slow_ms, rng.randint(50, 400))
        down_ms = min(window.remaining_ms, rng.choice((choices.short_ms, 1500)))
        leader_killed = self._kill(window.at_ms, LEADER, down_ms, CrashPoint.IMMEDIATELY)
        rivals_at_ms = window.at_ms + min(window.remaining_ms, 1)
        rival_down_ms = min(window.remaining_ms - 1, MAX_RIVAL_DOWN_MS)
        if rival_down_ms <= 0:
            return [slow, leader_killed]
        rivals = [self._kill(rivals_at_ms, name, rival_down_ms, CrashPoint.AFTER_PROMISE) for name in self._replicas]
        return [slow, leader_killed, *rivals]

    def _churn(self, window: _Window, _choices: _Choices) -> list[Fault]:
        """A leader dies with an entry that no other has, the next with its first entry, the third as it sends."""
        rng = self._rng
        at_ms = window.at_ms
        first_down_ms = rng.randint(300, 900)
        third_kill_ms = rng.randint(900, 2600)
        slow = self._slow_replicas(at_ms, CHURN_SLOW_MS, rng.randint(20, 200))
        first = self._kill(at_ms, LEADER, first_down_ms, CrashPoint.AFTER_SAVE)
        second_at_ms = at_ms + CHURN_SECOND_KILL_MS
        second = [
            self._kill(second_at_ms, name, rng.randint(1200, 2800), CrashPoint.AFTER_FIRST_ENTRY)
            for name in self._replicas
        ]
        third_down_ms = rng.randint(800, 2500)
        crash_point = rng.choice((CrashPoint.IMMEDIATELY, CrashPoint.AFTER_SAVE))
        third = self._kill(at_ms + third_kill_ms, LEADER, third_down_ms, crash_point)
        end_ms = at_ms + window.remaining_ms
        return [
            replace(fault, duration_ms=min(fault.duration_ms, end_ms - fault.at_ms))
            for fault in (slow, first, *second, third)
            if fault.at_ms < end_ms
        ]
