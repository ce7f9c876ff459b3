"""The problem that the planner solves: one job's work, and what each zone and slot would cost it. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.carbon_aware.tables import SLOT_MS

INFINITE_COST = 1 << 62

CostRow = Sequence[int | None]  # of a zone, by slot; None: the slot is not usable


@dataclass(frozen=True, slots=True)
class Run:
    """Slots `first` to before `end` in a zone; zones and slots by their indices."""

    zone: int
    first: int
    end: int

    @property
    def length(self) -> int:
        """Slots of the run."""
        return self.end - self.first


@dataclass(frozen=True, slots=True)
class PlanningProblem:
    """One job's work and what each slot would cost it.

    Attributes:
        costs: By zone and slot.
        work_ms: Work to be done.
        start_cost_ms: Work lost by each start, but for the first start of a job that has not run yet.
        min_run_slots: How long a run lasts at least.
        current_zone: In which the job runs; None: it does not run.
        locked_slots: How many slots it has to stay there.
    """

    costs: Sequence[CostRow]
    work_ms: int
    start_cost_ms: int
    min_run_slots: int
    current_zone: int | None = None
    locked_slots: int = 0

    @property
    def slot_count(self) -> int:
        """Slots that are planned for."""
        return len(self.costs[0]) if self.costs else 0

    def capacity_ms(self, runs: Sequence[Run]) -> int:
        """Returns the work that the runs hold."""
        first_is_free = bool(runs) and (self.current_zone is None or self.continues_current(runs[0]))
        starts = len(runs) - 1 if first_is_free else len(runs)
        return sum(run.length for run in runs) * SLOT_MS - starts * self.start_cost_ms

    def continues_current(self, run: Run) -> bool:
        """Returns whether the run goes on where the job runs now."""
        return run.zone == self.current_zone and run.first == 0

    def cost(self, runs: Sequence[Run]) -> int:
        """Returns the cost of the work; the last slot counts only as far as it is needed.

        INFINITE_COST stands for runs through a slot that is not usable.
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
    """Returns the quotient rounded up."""
    return -(-dividend // divisor)


def prefix_sums(row: CostRow) -> list[int]:
    """Returns the cost of all slots before each slot."""
    sums = [0]
    for cost in row:
        sums.append(sums[-1] + (cost or 0))
    return sums


def usable_until(row: CostRow) -> list[int]:
    """Returns, by slot, the first slot from there on that is not usable."""
    until = [len(row)] * (len(row) + 1)
    for slot in range(len(row) - 1, -1, -1):
        until[slot] = slot if row[slot] is None else until[slot + 1]
    return until


def usable_slots(problem: PlanningProblem, zone: int, first: int) -> int:
    """Returns how many slots from `first` on the zone can be used without a break."""
    return usable_until(problem.costs[zone])[first] - first
