"""Finds the cheapest runs of one job over slots and zones, with a cost of each start and a minimum run. Does no I/O.

All arithmetic uses integers, so every replica computes the same plan. The search is a Lagrangian relaxation: the
price of work (the cost that a slot of work may have, in grams per kWh times ms) is bisected until the cheapest runs
at that price do all of the work; surplus slots are then removed from the ends of runs. The result is compared with
the cheapest single run. The planner knows neither schedules nor reservations: callers pass in the costs.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from brookreach.carbon_aware.planning_problem import (
    PlanningProblem,
    Run,
    ceil_divide,
    prefix_sums,
    usable_slots,
    usable_until,
)
from brookreach.carbon_aware.priced_run_search import PricedRunSearch
from brookreach.carbon_aware.tables import SLOT_MS

PRICE_BISECTIONS = 12  # narrow the price to 1 in 4,096 of its range, which is 4 times the highest slot cost


def cheapest_plan(problem: PlanningProblem) -> list[Run] | None:
    """Returns the cheapest runs found; None: no runs were found that do all of the work."""
    single = cheapest_single_run(problem)
    low = 0
    high = 4 * max((cost for row in problem.costs for cost in row if cost is not None), default=0) + 4
    search = PricedRunSearch(problem)
    sufficient = search.cheapest_runs(high)
    if problem.capacity_ms(sufficient) < problem.work_ms:
        return single
    for _ in range(PRICE_BISECTIONS):
        price = (low + high) // 2
        runs = search.cheapest_runs(price)
        if problem.capacity_ms(runs) >= problem.work_ms:
            high = price
            sufficient = runs
        else:
            low = price
    plan = trim_surplus(problem, sufficient)
    if single is None or problem.cost(plan) < problem.cost(single):
        return plan
    return single


class _SingleRun(NamedTuple):
    """A candidate plan of one run. The least is taken: of equal costs the earliest start, then the current zone."""

    cost: int
    first: int
    is_new_zone: bool
    zone: int
    end: int


def cheapest_single_run(problem: PlanningProblem) -> list[Run] | None:
    """Returns the cheapest plan of one run; None: no single run does all of the work."""
    best = min(_single_runs(problem), default=None)
    return None if best is None else [Run(best.zone, best.first, best.end)]


def _single_runs(problem: PlanningProblem) -> Iterator[_SingleRun]:
    current = problem.current_zone
    is_locked = current is not None and problem.locked_slots > 0 and usable_slots(problem, current, 0) > 0
    for zone, row in enumerate(problem.costs):
        cost_sums = prefix_sums(row)
        unusable_from = usable_until(row)
        for first in range(problem.slot_count):
            continues = zone == current and first == 0
            if is_locked and not continues:
                continue
            lost_ms = 0 if current is None or continues else problem.start_cost_ms
            end = first + max(1, ceil_divide(problem.work_ms + lost_ms, SLOT_MS))
            if end > unusable_from[first]:
                continue
            surplus_ms = (end - first) * SLOT_MS - lost_ms - problem.work_ms
            unused_cost = (row[end - 1] or 0) * surplus_ms // SLOT_MS
            yield _SingleRun(cost_sums[end] - cost_sums[first] - unused_cost, first, zone != current, zone, end)


class _Trim(NamedTuple):
    """The removal of a slot at an end of a run. The highest cost is taken, of equal costs the latest slot."""

    cost: int
    slot: int
    run_index: int
    shorter: Run


def trim_surplus(problem: PlanningProblem, runs: Sequence[Run]) -> list[Run]:
    """Removes the costliest slots at the ends of runs.

    It stops when less than a slot of surplus is left, or when every run has its minimum length.
    """
    trimmed = list(runs)
    while problem.capacity_ms(trimmed) - problem.work_ms >= SLOT_MS:
        best = max(_possible_trims(problem, trimmed), key=lambda trim: trim[:2], default=None)
        if best is None:
            break
        trimmed[best.run_index] = best.shorter
    return trimmed


def _possible_trims(problem: PlanningProblem, runs: Sequence[Run]) -> Iterator[_Trim]:
    for index, run in enumerate(runs):
        continues = problem.continues_current(run)
        minimum = max(problem.locked_slots, 1) if continues else problem.min_run_slots
        if run.length <= minimum:
            continue
        row = problem.costs[run.zone]
        yield _Trim(row[run.end - 1] or 0, run.end, index, Run(run.zone, run.first, run.end - 1))
        if not continues:
            yield _Trim(row[run.first] or 0, run.first, index, Run(run.zone, run.first + 1, run.end))
