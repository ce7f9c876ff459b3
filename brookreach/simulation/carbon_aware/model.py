"""Flexible jobs, zones with other work and drawn schedules under a virtual clock, for drill and figures.

It plays a caller of `choose` in its simplest form: one state that all see, jobs asked about at each slot's
edge and at each arrival, those with most time first. What happened is kept as runs; the truth about power and
room stands here, apart from the agreed state. Figures from it are the model's.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta, timezone
from pathlib import Path
from typing import Any

from brookreach.carbon_aware import commands, reservations, schedule_file, scheduler
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.coordination.state_machine.application import CommandRejectedError, Context, InMemoryView

HOUR = 3_600_000
START = 1_790_000_100_000 // HOUR * HOUR


@dataclass(frozen=True)
class Job:
    name: str
    room: int
    arrives_ms: int
    work_ms: int
    deadline_ms: int
    zones: tuple[str, ...]
    move_ms: int
    stay_ms: int


@dataclass
class Ran:
    """One run as a node would have seen it."""

    job: Job
    zone: str
    from_ms: int
    to_ms: int
    finished: bool


@dataclass(frozen=True)
class Case:
    """What is drawn: true grams by zone and hour, capacity, other work by zone and slot, jobs."""

    hours: int
    grams: Mapping[str, tuple[int, ...]]
    capacity: int
    other: Mapping[str, tuple[int, ...]]
    jobs: tuple[Job, ...]

    def free(self, slot: int) -> dict[str, int]:
        nth = min(slot - START // SLOT_MS, self.hours * 4 - 1)
        return {zone: self.capacity - 11 * other[nth] // 10 for zone, other in self.other.items()}

    def cost(self, zone: str, from_ms: int, to_ms: int) -> int:
        """True grams a kWh x ms of running there."""
        whole, at = 0, from_ms
        while at < to_ms:
            nth = (at - START) // HOUR
            to = min(to_ms, START + (nth + 1) * HOUR)
            whole += (to - at) * self.grams[zone][nth % self.hours]
            at = to
        return whole


def drawn(seed: int, ample: bool, jobs: int = 30, hours: int = 48, percent: int = 150) -> Case:
    """Days with sun, wind and noise, jobs on the first. Room: for all at once if `ample`, else for `percent`
    of what they take in the mean of that day, and for the largest beside it.
    """
    chance = random.Random(seed)
    zones = [str(nth + 1) for nth in range(chance.choice((2, 3, 4)))]
    grams: dict[str, tuple[int, ...]] = {}
    for zone in zones:
        base, sun, wind = chance.randint(150, 450), chance.randint(0, 120), chance.randint(0, 80)
        peak, length = chance.uniform(10, 15), chance.uniform(15, 60)
        grams[zone] = tuple(
            max(
                5,
                round(
                    base
                    - sun * max(0.0, math.cos((hour % 24 - peak) * math.pi / 9)) * 1.2
                    + wind * math.sin(hour * 2 * math.pi / length + base)
                    + chance.gauss(0, 12)
                ),
            )
            for hour in range(hours)
        )
    some = []
    for nth in range(jobs):
        work = chance.randint(4, 40) * SLOT_MS // 2
        arrives = START + chance.randrange(24 * HOUR)
        deadline = arrives + round(work * chance.uniform(1.3, 4.0)) + HOUR
        may = sorted(chance.sample(zones, chance.randint(2, len(zones)))) if chance.random() < 0.4 else []
        some.append(
            Job(
                f"gang:{nth:03d}",
                chance.randint(2, 12),
                arrives,
                work,
                deadline,
                tuple(may),
                chance.randint(60, 360) * 1000,
                chance.choice((HOUR, 2 * HOUR)),
            )
        )
    whole = sum(job.room for job in some)
    busy = sum(job.room * job.work_ms for job in some) // (24 * HOUR)  # were it spread evenly
    capacity = 2 * whole if ample else busy * percent // 100 // len(zones) + 55
    level = capacity // 4 if ample else 30
    other = {
        zone: tuple(round(level * (1 + 0.3 * math.sin((slot / 4 - 8) * math.pi / 12))) for slot in range(hours * 4))
        for zone in zones
    }
    return Case(hours, grams, capacity, other, tuple(sorted(some, key=lambda job: job.name)))


def values(case: Case, version: int, offset_min: int, grams: Mapping[str, tuple[int, ...]]) -> dict[str, Any]:
    """A version as an operator's TOML would hold it, in local times of one offset."""
    local = timezone(timedelta(minutes=offset_min))

    def at(hour: int) -> str:
        time = datetime.fromtimestamp(START // 1000, UTC) + timedelta(hours=hour)
        return time.astimezone(local).isoformat()

    return {
        "schedule": {"version": version, "unit": schedule_file.UNIT},
        "zone": [{"name": zone, "calls": 50} for zone in grams],
        "row": [
            {"zone": zone, "from": at(hour), "to": at(hour + 1), "grams": amount}
            for zone, some in grams.items()
            for hour, amount in enumerate(some)
        ],
    }


@dataclass
class Going:
    """A job under way. `left_ms` holds the load of one that was stopped."""

    job: Job
    left_ms: int
    run: Ran | None = None

    def last_ms(self) -> tuple[int, str]:
        """Those first that may begin last."""
        return self.left_ms - self.job.deadline_ms, self.job.name


Decide = Callable[["World", Going, int], tuple[str, bool]]
"""Zone and whether it runs there now."""


@dataclass
class World:
    case: Case
    decide: Decide
    view: InMemoryView = field(default_factory=InMemoryView)
    ran: list[Ran] = field(default_factory=list)
    going: dict[str, Going] = field(default_factory=dict)
    events: list[tuple[int, Callable[[World, int], None]]] = field(default_factory=list)
    index: int = 0
    refused: list[str] = field(default_factory=list)

    def say(self, at_ms: int, order: Any, by: str, kind: str, session: int) -> bool:
        """One record of the log."""
        self.index += 1
        try:
            self.view.apply_updates(APPLICATION.apply(self.view, order, Context(self.index, at_ms, by, kind, session)))
        except CommandRejectedError as refusal:
            self.refused.append(str(refusal))
            return False
        return True

    def send(
        self, at_ms: int, version: int, offset_min: int, grams: Mapping[str, tuple[int, ...]], most: int | None = None
    ) -> None:
        """An operator sends a version; `most`: only that many of its records."""
        told = schedule_file.schedule(Path("drawn.toml"), values(self.case, version, offset_min, grams))
        for order in list(commands.parts(told.version, told.zones, told.spans))[:most]:
            self.say(at_ms, order, f"operator-{version}", "operator", version)

    def run(self) -> None:
        jobs = sorted(self.case.jobs, key=lambda job: (job.arrives_ms, job.name))
        end = START + (self.case.hours + 24) * HOUR
        ticks = {START + nth * SLOT_MS for nth in range((end - START) // SLOT_MS)}
        ticks |= {job.arrives_ms for job in jobs} | {at for at, _ in self.events}
        last = START
        for at in sorted(ticks):
            self._worked(last, at)
            self.index += 1
            self.view.apply_updates(APPLICATION.advance_time(self.view, Context(self.index, at, "", "", 0)))
            for when, what in self.events:
                if when == at:
                    what(self, at)
            while jobs and jobs[0].arrives_ms <= at:
                job = jobs.pop(0)
                self.going[job.name] = Going(job, job.work_ms)
            for one in sorted(self.going.values(), key=Going.last_ms):
                self._told(one, at)
            last = at
            if not jobs and not self.going and all(when <= at for when, _ in self.events):
                break

    def _worked(self, last: int, at: int) -> None:
        for name, one in list(self.going.items()):
            if one.run is None:
                continue
            done = min(one.left_ms, at - last)
            one.left_ms -= done
            one.run.to_ms = last + done
            if one.left_ms <= 0:
                one.run.finished = True
                del self.going[name]
                self.view.apply_updates(reservations.release(self.view, name))

    def _told(self, one: Going, at: int) -> None:
        zone, now = self.decide(self, one, at)
        if one.run is not None and not (now and zone == one.run.zone):
            one.run, one.left_ms = None, one.left_ms + one.job.move_ms
        if now and one.run is None:
            one.run = Ran(one.job, zone, at, at, False)
            self.ran.append(one.run)


def by_power(world: World, one: Going, at: int, later: scheduler.Later | None = None) -> tuple[str, bool]:
    """As `choose` says; with no schedule sent this is blind to power."""
    job, run = one.job, one.run
    asked = scheduler.Flexible(
        job.name,
        job.room,
        one.left_ms,
        job.deadline_ms,
        job.zones,
        job.move_ms,
        job.stay_ms,
        run.zone if run else "",
        run.from_ms if run else 0,
    )
    told = scheduler.choose(world.view, at, asked, world.case.free(at // SLOT_MS), later)
    world.view.apply_updates(reservations.take(world.view, at, job.name, job.room, told.spans))
    return told.zone, bool(told.zone) and told.from_ms <= at


def foreseen(world: World, one: Going, at: int) -> tuple[str, bool]:
    """The same, by a caller that knows the course of other work."""
    return by_power(world, one, at, lambda zone, slot: world.case.free(slot)[zone])


def greedy(world: World, one: Going, at: int) -> tuple[str, bool]:
    """The cleanest zone of this hour that has room for it alone: what each would do by itself."""
    job, free = one.job, world.case.free(at // SLOT_MS)
    zones = [zone for zone in sorted(free) if (not job.zones or zone in job.zones) and free[zone] >= job.room]
    if not zones:
        return "", False
    return min(zones, key=lambda zone: (world.case.cost(zone, at, at + 1), zone)), True
