"""The cheapest runs of one job over slots and zones, with a price for each start and a least stay. Pure.

Whole numbers only. A price for work (grams x ms that a slot of it may cost) is raised until the cheapest
runs at that price hold all of the work (Lagrange); what they hold too much is trimmed from the ends of runs.
One run at a stretch is tried beside it. It knows neither schedules nor reservations: costs come in.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from brookreach.carbon_aware.tables import SLOT_MS

INFINITE_COST = 1 << 62
HALVINGS = 12  # of the price of work: to one in 4,096 of the dearest slot


@dataclass(frozen=True, slots=True)
class Run:
    """Slots `first` to before `end` in a zone, both by their numbers."""

    zone: int
    first: int
    end: int


@dataclass(frozen=True, slots=True)
class PlanningProblem:
    """`costs` by zone and slot, None: not usable. `here`: where it runs, or -1; `bound`: slots to stay."""

    costs: Sequence[Sequence[int | None]]
    need_ms: int
    start_ms: int  # work lost by each start but a first one from standing still
    stay: int  # slots that a run lasts at least
    here: int = -1
    bound: int = 0

    @property
    def slots(self) -> int:
        return len(self.costs[0]) if self.costs else 0

    def capacity(self, runs: Sequence[Run]) -> int:
        """Work that they hold, in ms."""
        starts = len(runs) - 1 if runs and (self.here < 0 or self.goes_on(runs[0])) else len(runs)
        return sum(run.end - run.first for run in runs) * SLOT_MS - starts * self.start_ms

    def goes_on(self, run: Run) -> bool:
        return run.zone == self.here and run.first == 0

    def cost(self, runs: Sequence[Run]) -> int:
        """Of the work; the last slot only as far as it is needed. FAR where a slot is not usable."""
        whole = 0
        for run in runs:
            for cost in self.costs[run.zone][run.first : run.end]:
                if cost is None:
                    return INFINITE_COST
                whole += cost
        over = self.capacity(runs) - self.need_ms
        if runs and over > 0:
            whole -= (self.costs[runs[-1].zone][runs[-1].end - 1] or 0) * min(over, SLOT_MS) // SLOT_MS
        return whole


def cheapest_plan(task: PlanningProblem) -> list[Run] | None:
    """None: no runs hold the work."""
    best = cheapest_single_run(task)
    low, high = 0, 4 * max((cost for row in task.costs for cost in row if cost is not None), default=0) + 4
    enough = cheapest_runs_at_price(task, high)
    if task.capacity(enough) < task.need_ms:
        return best
    for _ in range(HALVINGS):
        middle = (low + high) // 2
        runs = cheapest_runs_at_price(task, middle)
        if task.capacity(runs) >= task.need_ms:
            high, enough = middle, runs
        else:
            low = middle
    enough = trim_surplus(task, enough)
    return enough if best is None or task.cost(enough) < task.cost(best) else best


def cheapest_single_run(task: PlanningProblem) -> list[Run] | None:
    """The cheapest single run; of equal ones the earliest, and first where it is."""
    best: tuple[int, int, bool, int, Run] | None = None
    bound = task.here >= 0 and task.bound > 0 and usable(task, task.here, 0) > 0
    for zone, row in enumerate(task.costs):
        sums, free = _sums(row), _free(row)
        for first in range(task.slots):
            goes_on = zone == task.here and first == 0
            if bound and not goes_on:
                continue
            lost = task.start_ms if task.here >= 0 and not goes_on else 0
            end = first + max(1, -(-(task.need_ms + lost) // SLOT_MS))
            if end > free[first]:
                continue
            over = (end - first) * SLOT_MS - lost - task.need_ms
            cost = sums[end] - sums[first] - (row[end - 1] or 0) * over // SLOT_MS
            offer = cost, first, zone != task.here, zone, Run(zone, first, end)
            if best is None or offer[:4] < best[:4]:
                best = offer
    return [best[4]] if best else None


def usable(task: PlanningProblem, zone: int, first: int) -> int:
    """How many slots from `first` on the zone can be used without a break."""
    for nth, cost in enumerate(task.costs[zone][first:]):
        if cost is None:
            return nth
    return task.slots - first


def cheapest_runs_at_price(task: PlanningProblem, price: int) -> list[Run]:
    """The runs that are cheapest if a slot of work is worth `price`. Ties: go on, begin early."""
    slots, zones = task.slots, range(len(task.costs))
    sums, free = [_sums(row) for row in task.costs], [_free(row) for row in task.costs]
    again = price * task.start_ms // SLOT_MS
    idle = [INFINITE_COST] * (slots + 1)  # cheapest that ran before and stands still at the slot's begin
    idle_by: list[tuple[int, int]] = [(-1, 0)] * (slots + 1)  # the zone that it stopped in, and when
    runs = [[INFINITE_COST] * (slots + 1) for _ in zones]  # cheapest that may go on or stop in the zone there
    runs_by: list[list[int]] = [[-1] * (slots + 1) for _ in zones]  # where that run began; -1: none
    fresh = task.here < 0
    if not fresh:
        must = min(task.bound, usable(task, task.here, 0))
        runs[task.here][must] = sums[task.here][must] - price * must
        runs_by[task.here][must] = 0
    before: dict[tuple[int, int], tuple[int, int]] = {}  # by a run's zone and begin: the stop before it
    for at in range(slots + 1):
        if at and idle[at - 1] < idle[at]:
            idle[at], idle_by[at] = idle[at - 1], idle_by[at - 1]
        for zone in zones:
            if runs[zone][at] < idle[at]:
                idle[at], idle_by[at] = runs[zone][at], (zone, at)
        if at == slots:
            break
        base, stopped = idle[at] + again, idle_by[at]
        if fresh and base >= 0:
            base, stopped = 0, (-1, 0)
        for zone in zones:
            if free[zone][at] == at:
                continue
            on = runs[zone][at] + (sums[zone][at + 1] - sums[zone][at]) - price
            if runs[zone][at] < INFINITE_COST and on < runs[zone][at + 1]:
                runs[zone][at + 1], runs_by[zone][at + 1] = on, runs_by[zone][at]
            end = min(at + task.stay, slots)
            begun = base + sums[zone][end] - sums[zone][at] - price * (end - at)
            if base < INFINITE_COST and free[zone][at] >= end and begun < runs[zone][end]:
                runs[zone][end], runs_by[zone][end] = begun, at
                before[zone, at] = stopped
    return _traced(idle, idle_by, runs_by, before, fresh, slots)


def _traced(
    idle: list[int],
    idle_by: list[tuple[int, int]],
    runs_by: list[list[int]],
    before: dict[tuple[int, int], tuple[int, int]],
    fresh: bool,
    slots: int,
) -> list[Run]:
    if fresh and idle[slots] >= 0:
        return []
    runs: list[Run] = []
    zone, end = idle_by[slots]
    while zone >= 0 and end > 0:
        first = runs_by[zone][end]
        if runs and runs[-1].zone == zone and runs[-1].first == end:
            runs[-1] = Run(zone, first, runs[-1].end)
        else:
            runs.append(Run(zone, first, end))
        zone, end = before.get((zone, first), (-1, 0))
    return runs[::-1]


def trim_surplus(task: PlanningProblem, runs: list[Run]) -> list[Run]:
    """Without the dearest slots at ends of runs, while all the work is held and each run lasts its stay."""
    runs = list(runs)
    while task.capacity(runs) - task.need_ms >= SLOT_MS:
        best: tuple[int, int, int, Run] | None = None
        for nth, run in enumerate(runs):
            on = task.goes_on(run)
            if run.end - run.first <= (max(task.bound, 1) if on else task.stay):
                continue
            row = task.costs[run.zone]
            ends = [(row[run.end - 1] or 0, run.end, Run(run.zone, run.first, run.end - 1))]
            if not on:
                ends.append((row[run.first] or 0, run.first, Run(run.zone, run.first + 1, run.end)))
            for cost, at, rest in ends:
                if best is None or (cost, at) > best[:2]:
                    best = cost, at, nth, rest
        if best is None:
            break
        runs[best[2]] = best[3]
    return runs


def _sums(row: Sequence[int | None]) -> list[int]:
    sums = [0]
    for cost in row:
        sums.append(sums[-1] + (cost or 0))
    return sums


def _free(row: Sequence[int | None]) -> list[int]:
    """By slot: the first from there on that can't be used."""
    free = [len(row)] * (len(row) + 1)
    for at in range(len(row) - 1, -1, -1):
        free[at] = at if row[at] is None else free[at + 1]
    return free
