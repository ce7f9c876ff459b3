"""Finds the cheapest runs of one job at a given price of work, by dynamic programming over slots. Does no I/O."""

from __future__ import annotations

from typing import NamedTuple

from brookreach.carbon_aware.planning_problem import (
    INFINITE_COST,
    CostRow,
    PlanningProblem,
    Run,
    prefix_sums,
    usable_slots,
    usable_until,
)
from brookreach.carbon_aware.tables import SLOT_MS


class PricedRunSearch:
    """Searches the cheapest runs of one problem, for one price at a time."""

    def __init__(self, problem: PlanningProblem) -> None:
        self._problem = problem
        self._zones = [_Zone(row) for row in problem.costs]

    def cheapest_runs(self, price: int) -> list[Run]:
        """Returns the runs with the least cost if a slot of work is worth `price`.

        Of equal costs, continuing a run is preferred to starting one, and an earlier start to a later one.
        """
        return _PricedPass(self._problem, self._zones, price).solve()


class _Zone:
    """Values of a zone that do not depend on the price."""

    def __init__(self, row: CostRow) -> None:
        self.cost_sums = prefix_sums(row)
        self.usable_until = usable_until(row)


class _Stop(NamedTuple):
    """Where the job stopped: the zone, and the first slot in which it no longer runs there."""

    zone: int
    slot: int


class _RunningStates:
    """For each slot, the least net cost of a job that runs in one zone as the slot begins, and the start of that run.

    The net cost is the cost minus the value of the work at the current price.
    """

    def __init__(self, zone: _Zone, price: int, min_run_slots: int) -> None:
        states = len(zone.cost_sums)
        self._min_run_slots = min_run_slots
        self._usable_until = zone.usable_until
        self._net_sums = [cost - price * slot for slot, cost in enumerate(zone.cost_sums)]
        self.cost = [INFINITE_COST] * states
        self.run_start = [-1] * states
        self.stop_before: dict[int, _Stop | None] = {}  # keyed by the first slot of a run

    def lock(self, slots: int) -> None:
        """Sets the state of a job that runs here now and has to stay for at least `slots` slots."""
        self.cost[slots] = self._net_sums[slots]
        self.run_start[slots] = 0

    def advance(self, slot: int, start_cost: int, stop_before: _Stop | None) -> None:
        """Extends the current run through the slot, or starts a run with the slot, whichever costs less."""
        unusable_from = self._usable_until[slot]
        if unusable_from == slot:
            return
        costs = self.cost
        net_sums = self._net_sums
        continued = costs[slot] + net_sums[slot + 1] - net_sums[slot]
        if costs[slot] < INFINITE_COST and continued < costs[slot + 1]:
            costs[slot + 1] = continued
            self.run_start[slot + 1] = self.run_start[slot]
        end = min(slot + self._min_run_slots, len(costs) - 1)
        if start_cost >= INFINITE_COST or unusable_from < end:
            return
        started = start_cost + net_sums[end] - net_sums[slot]
        if started < costs[end]:
            costs[end] = started
            self.run_start[end] = slot
            self.stop_before[slot] = stop_before


class _PricedPass:
    """One pass over the slots at one price.

    It computes the least net cost of a job that is idle or runs in a zone as each slot begins.
    """

    def __init__(self, problem: PlanningProblem, zones: list[_Zone], price: int) -> None:
        self._problem = problem
        self._restart_cost = price * problem.start_cost_ms // SLOT_MS
        self._running = [_RunningStates(zone, price, problem.min_run_slots) for zone in zones]
        self._idle_cost = [INFINITE_COST] * (problem.slot_count + 1)  # of a job that has run before this slot
        self._idle_since: list[_Stop | None] = [None] * (problem.slot_count + 1)

    def solve(self) -> list[Run]:
        slot_count = self._problem.slot_count
        current_zone = self._problem.current_zone
        if current_zone is not None:
            locked = min(self._problem.locked_slots, usable_slots(self._problem, current_zone, 0))
            self._running[current_zone].lock(locked)
        for slot in range(slot_count):
            self._update_idle(slot)
            self._advance(slot)
        self._update_idle(slot_count)
        return self._trace_back()

    def _update_idle(self, slot: int) -> None:
        """Keeps the job idle, or ends a run as the slot begins, whichever costs less."""
        least_cost = INFINITE_COST
        last_stop = None
        if slot:
            least_cost = self._idle_cost[slot - 1]
            last_stop = self._idle_since[slot - 1]
        for zone, running in enumerate(self._running):
            cost = running.cost[slot]
            if cost < least_cost:
                least_cost = cost
                last_stop = _Stop(zone, slot)
        self._idle_cost[slot] = least_cost
        self._idle_since[slot] = last_stop

    def _advance(self, slot: int) -> None:
        start_cost = self._idle_cost[slot] + self._restart_cost
        stop_before = self._idle_since[slot]
        if self._problem.current_zone is None and start_cost >= 0:  # a first start now costs no more
            start_cost = 0
            stop_before = None
        for running in self._running:
            running.advance(slot, start_cost, stop_before)

    def _trace_back(self) -> list[Run]:
        slot_count = self._problem.slot_count
        if self._problem.current_zone is None and self._idle_cost[slot_count] >= 0:
            return []  # at this price no work is worth its cost
        reversed_runs: list[Run] = []
        stop = self._idle_since[slot_count]
        while stop is not None and stop.slot > 0:
            running = self._running[stop.zone]
            first = running.run_start[stop.slot]
            following = reversed_runs[-1] if reversed_runs else None
            if following is not None and following.zone == stop.zone and following.first == stop.slot:
                reversed_runs[-1] = Run(stop.zone, first, following.end)
            else:
                reversed_runs.append(Run(stop.zone, first, stop.slot))
            stop = running.stop_before.get(first)
        return reversed_runs[::-1]
