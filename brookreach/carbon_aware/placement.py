"""What callers of the scheduler hand in and get back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brookreach.carbon_aware.reservations import PlannedInterval

FutureCapacity = Callable[[str, int], int]
"""Free capacity by zone and slot, where a caller knows what is to come (notices, the course of a day)."""


@dataclass(frozen=True, slots=True)
class FlexibleJob:
    """One job as its owner knows it now.

    Attributes:
        holder: Under which capacity is reserved, as "gang:NAME" for gangs.
        capacity: Of the whole job, in one zone, in the operators' unit.
        work_ms: Of running that is left, with the load of a paused job.
        deadline_ms: 0: none, and then the job is not made to wait.
        allowed_zones: Empty: all zones of `free`.
        migration_cost_ms: Checkpoint and load, for each move or pause.
        min_run_ms: A run is not ended sooner for cleaner power.
        current_zone: In which it runs; "": it does not run.
        running_since_ms: Since when it runs there.
    """

    holder: str
    capacity: int
    work_ms: int
    deadline_ms: int
    allowed_zones: tuple[str, ...]
    migration_cost_ms: int
    min_run_ms: int
    current_zone: str = ""
    running_since_ms: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """What a job is to do until `valid_until_ms`; its owner asks again then, or when `free` or the schedule changes.

    Attributes:
        zone: Where it is to run; "": no zone has capacity for it, so it waits.
        start_ms: The time asked at: it runs now (stays, starts or moves). Later: it waits or pauses until then.
        valid_until_ms: The end of the current slot.
        grams: A kWh, the mean over the planned running; 0 where no schedule is active.
        reason: For operators.
        intervals: To be reserved.
        is_interrupted: The job runs, and is to leave its zone or to pause.
    """

    zone: str
    start_ms: int
    valid_until_ms: int
    grams: int
    reason: str
    intervals: tuple[PlannedInterval, ...] = ()
    is_interrupted: bool = False
