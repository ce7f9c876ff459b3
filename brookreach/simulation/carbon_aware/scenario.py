"""Generated scenarios: zones with a carbon intensity and other work, and flexible jobs that arrive in them."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta, timezone
from typing import Any

from brookreach.carbon_aware import schedule_file
from brookreach.carbon_aware.tables import SLOT_MS

HOUR_MS = 3_600_000
DAY_MS = 24 * HOUR_MS
SLOTS_PER_HOUR = HOUR_MS // SLOT_MS
START_MS = 1_790_000_100_000 // HOUR_MS * HOUR_MS
ZONE_QUOTA_CALLS = 50  # flexible calls a second that each zone accepts beyond its usual share
LARGEST_JOB_ALLOWANCE = 55  # capacity beside the share that jobs need in the mean


@dataclass(frozen=True)
class Job:
    """A flexible job. `zones`: that it may use; empty: all."""

    name: str
    capacity: int
    arrival_ms: int
    work_ms: int
    deadline_ms: int
    zones: tuple[str, ...]
    migration_cost_ms: int
    min_run_ms: int


@dataclass
class JobRun:
    """One run of a job, as a node would have seen it."""

    job: Job
    zone: str
    start_ms: int
    end_ms: int
    finished: bool


@dataclass(frozen=True)
class Scenario:
    """What is generated: the true grams by zone and hour, capacity, other work by zone and slot, jobs."""

    hours: int
    grams: Mapping[str, tuple[int, ...]]
    capacity: int
    other_load: Mapping[str, tuple[int, ...]]
    jobs: tuple[Job, ...]

    def free_capacity(self, slot: int) -> dict[str, int]:
        """Returns what other work, with a tenth more of it, leaves in each zone."""
        index = min(slot - START_MS // SLOT_MS, self.hours * SLOTS_PER_HOUR - 1)
        return {zone: self.capacity - 11 * load[index] // 10 for zone, load in self.other_load.items()}

    def true_cost(self, zone: str, from_ms: int, to_ms: int) -> int:
        """Returns the true grams a kWh times ms of running in the zone."""
        total = 0
        time_ms = from_ms
        while time_ms < to_ms:
            hour = (time_ms - START_MS) // HOUR_MS
            next_ms = min(to_ms, START_MS + (hour + 1) * HOUR_MS)
            total += (next_ms - time_ms) * self.grams[zone][hour % self.hours]
            time_ms = next_ms
        return total


def generate_scenario(seed: int, ample: bool, jobs: int = 30, hours: int = 48, percent: int = 150) -> Scenario:
    """Generates days with sun, wind and noise, and jobs on the first of them.

    Args:
        seed: Of the random numbers.
        ample: Each zone has capacity for all jobs at once.
        jobs: How many.
        hours: That the scenario lasts.
        percent: Where it is not ample: the capacity, of what the jobs take in the mean of the first day; capacity
            for the largest job comes on top.
    """
    random_source = random.Random(seed)
    zones = [str(index + 1) for index in range(random_source.choice((2, 3, 4)))]
    grams = {zone: _generate_grams(random_source, hours) for zone in zones}
    generated = [_generate_job(random_source, index, zones) for index in range(jobs)]
    if ample:
        capacity = 2 * sum(job.capacity for job in generated)
        mean_load = capacity // 4
    else:
        needed = sum(job.capacity * job.work_ms for job in generated) // DAY_MS  # were it spread evenly
        capacity = needed * percent // 100 // len(zones) + LARGEST_JOB_ALLOWANCE
        mean_load = 30
    other_load = {zone: _daily_load(mean_load, hours) for zone in zones}
    return Scenario(hours, grams, capacity, other_load, tuple(sorted(generated, key=lambda job: job.name)))


def _generate_grams(random_source: random.Random, hours: int) -> tuple[int, ...]:
    base = random_source.randint(150, 450)
    sun = random_source.randint(0, 120)
    wind = random_source.randint(0, 80)
    peak_hour = random_source.uniform(10, 15)
    wind_period = random_source.uniform(15, 60)
    grams: list[int] = []
    for hour in range(hours):
        sunshine = sun * max(0.0, math.cos((hour % 24 - peak_hour) * math.pi / 9)) * 1.2
        calm = wind * math.sin(hour * 2 * math.pi / wind_period + base)
        grams.append(max(5, round(base - sunshine + calm + random_source.gauss(0, 12))))
    return tuple(grams)


def _generate_job(random_source: random.Random, index: int, zones: list[str]) -> Job:
    work_ms = random_source.randint(4, 40) * SLOT_MS // 2
    arrival_ms = START_MS + random_source.randrange(DAY_MS)
    deadline_ms = arrival_ms + round(work_ms * random_source.uniform(1.3, 4.0)) + HOUR_MS
    allowed: list[str] = []
    if random_source.random() < 0.4:
        count = random_source.randint(2, len(zones))
        allowed = sorted(random_source.sample(zones, count))
    return Job(
        name=f"gang:{index:03d}",
        capacity=random_source.randint(2, 12),
        arrival_ms=arrival_ms,
        work_ms=work_ms,
        deadline_ms=deadline_ms,
        zones=tuple(allowed),
        migration_cost_ms=random_source.randint(60, 360) * 1000,
        min_run_ms=random_source.choice((HOUR_MS, 2 * HOUR_MS)),
    )


def _daily_load(mean: int, hours: int) -> tuple[int, ...]:
    """Returns other work by slot: a sine of the day."""
    return tuple(
        round(mean * (1 + 0.3 * math.sin((slot / SLOTS_PER_HOUR - 8) * math.pi / 12)))
        for slot in range(hours * SLOTS_PER_HOUR)
    )


def schedule_values(version: int, offset_min: int, grams: Mapping[str, tuple[int, ...]]) -> dict[str, Any]:
    """Returns a schedule as an operator's TOML would hold it, in local times with one offset from UTC."""
    local = timezone(timedelta(minutes=offset_min))
    start = datetime.fromtimestamp(START_MS // 1000, UTC)

    def local_time(hour: int) -> str:
        return (start + timedelta(hours=hour)).astimezone(local).isoformat()

    rows = [
        {"zone": zone, "from": local_time(hour), "to": local_time(hour + 1), "grams": amount}
        for zone, amounts in grams.items()
        for hour, amount in enumerate(amounts)
    ]
    return {
        "schedule": {"version": version, "unit": schedule_file.UNIT},
        "zone": [{"name": zone, "calls": ZONE_QUOTA_CALLS} for zone in grams],
        "row": rows,
    }
