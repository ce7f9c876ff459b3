"""Input and result types of the scheduler."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brookreach.carbon_aware.reservations import PlannedInterval

FutureCapacity = Callable[[str, int], int]
"""Returns the free capacity of a zone in a slot, for callers that can predict it (notices, daily load pattern)."""


@dataclass(frozen=True, slots=True)
class FlexibleJob:
    """One job in its current state, as its owner describes it.

    Attributes:
        holder: Name under which capacity is reserved, for example "gang:NAME" for gangs.
        capacity: Capacity that the whole job takes in one zone, in the operators' unit.
        work_ms: Remaining running time, including the load time of a paused job.
        deadline_ms: 0: no deadline; the job is then never made to wait.
        allowed_zones: Zones that the job may use; empty: all zones in `free`.
        migration_cost_ms: Time to checkpoint and load, for each move or pause.
        min_run_ms: Time that a run lasts at least before it is ended for cleaner power.
        current_zone: Zone in which the job runs; "": it does not run.
        running_since_ms: Time at which the job started to run in `current_zone`.
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
    """What a job should do until `valid_until_ms`.

    Its owner asks again at that time, or when `free` or the schedule changes.

    Attributes:
        zone: Zone to run in; "": no zone has capacity for the job, so it waits.
        start_ms: Time of the request if the job runs now (stays, starts or moves); a later time if it waits or pauses
            until then.
        valid_until_ms: End of the current slot.
        grams: Mean grams of CO2e per kWh over the planned runs; 0 if no schedule is active.
        reason: Explanation for operators.
        intervals: Intervals that the caller has to reserve.
        is_interrupted: Whether the job runs now and has to leave its zone or to pause.
    """

    zone: str
    start_ms: int
    valid_until_ms: int
    grams: int
    reason: str
    intervals: tuple[PlannedInterval, ...] = ()
    is_interrupted: bool = False
