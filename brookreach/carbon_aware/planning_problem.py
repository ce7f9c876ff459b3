"""The problem that the planner solves: one job's work and its cost in each zone and slot. Does no I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.carbon_aware.tables import SLOT_MS

INFINITE_COST = 1 << 62

CostRow = Sequence[int | None]  # costs of a zone, indexed by slot; None: the slot is not usable


@dataclass(frozen=True, slots=True)
class Run:
    """A run in a zone from slot `first` to before slot `end`; zones and slots are given by index."""

    zone: int
    first: int
    end: int

    @property
    def length(self) -> int:
        """The number of slots of the run."""
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class PlanningProblem:
    """One job's work and its cost in each slot.

    Attributes:
        costs: Costs by zone and slot, in grams per kWh times ms.
        work_ms: Running time that the work takes.
        start_cost_ms: Running time lost by each start, except the first start of a job that has not run yet.
        min_run_slots: Minimum length of a run in slots.
        current_zone: Index of the zone in which the job runs; None: it does not run.
        locked_slots: Number of slots for which the job has to stay in `current_zone`.
    """

    costs: Sequence[CostRow]
    work_ms: int
    start_cost_ms: int
    min_run_slots: int
    current_zone: int | None = None
    locked_slots: int = 0

    @property
    def slot_count(self) -> int:
        """The number of slots in the planning horizon."""
        return len(self.costs[0]) if self.costs else 0

    def capacity_ms(self, runs: Sequence[Run]) -> int:
        """Returns the work that the runs do, after the time lost by their starts."""
        first_is_free = bool(runs) and (self.current_zone is None or self.continues_current(runs[0]))
        starts = len(runs) - 1 if first_is_free else len(runs)
        return sum(run.length for run in runs) * SLOT_MS - starts * self.start_cost_ms

    def continues_current(self, run: Run) -> bool:
        """Returns whether the run continues the job's current run."""
        return run.zone == self.current_zone and run.first == 0

    def cost(self, runs: Sequence[Run]) -> int:
        """Returns the cost of the work; the last slot counts only as far as it is needed.

        Returns INFINITE_COST for runs through a slot that is not usable.
        """
        total = 0
        for run in runs:
            for cost in self.costs[run.zone][run.first : run.end]:
                if cost is None:
                    return INFINITE_COST
                total += cost
        surplus_ms = self.capacity_ms(runs) - self.work_ms
        if runs and surplus_ms > 0:
            last_cost = self.costs[runs[-1].zone][runs[-1].end - 1] or 0
            total -= last_cost * min(surplus_ms, SLOT_MS) // SLOT_MS
        return total


def ceil_divide(dividend: int, divisor: int) -> int:
    """Returns the quotient, rounded up."""
    return -(-dividend // divisor)


def prefix_sums(row: CostRow) -> list[int]:
    """Returns, for each slot, the total cost of all slots before it; unusable slots count 0."""
    sums = [0]
    for cost in row:
        sums.append(sums[-1] + (cost or 0))
    return sums


def usable_until(row: CostRow) -> list[int]:
    """Returns, for each slot, the first unusable slot from it on; the row's length if there is none."""
    until = [len(row)] * (len(row) + 1)
    for slot in range(len(row) - 1, -1, -1):
        until[slot] = slot if row[slot] is None else until[slot + 1]
    return until


def usable_slots(problem: PlanningProblem, zone: int, first: int) -> int:
    """Returns the number of consecutive usable slots of the zone from `first` on."""
    return usable_until(problem.costs[zone])[first] - first
