"""Where and when flexible work runs: the decision that pieces with jobs of their own call. Pure.

It goes by the agreed schedule, the room others have reserved, and what the caller hands in as `free`.
Budgets, drains, caps, cold budgets, halts and work that is not flexible stand in `free` and `zones` alone:
a zone that one of them closes is not in `free`, or has room 0 there. It must never choose beyond that.

All is counted in whole slots from the one that `at_ms` lies in, so whoever asks within a slot is told the
same. A plan that was reserved stands while its schedule is in force and it still fits; another one takes its
place only where it saves `MARGIN`. So curves that cross change nothing by themselves, and no job swings.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brookreach.carbon_aware import cost_curve as curves
from brookreach.carbon_aware.planner import INFINITE_COST, PlanningProblem, Run, cheapest_plan
from brookreach.carbon_aware.reservations import PlannedInterval, capacity_reserved_by_others, upcoming_intervals
from brookreach.carbon_aware.tables import (
    RESERVATIONS,
    SLOT_MS,
    SLOT_RESERVATIONS,
    SLOT_TOTALS,
    ReservationRow,
    slot_reservation_key,
    slot_totals_key,
)
from brookreach.coordination.state_machine.application import View

MARGIN = 20  # thousandths of the grams still to come, that a change has to save
HORIZON = 672  # slots: a week
CROWD = 50  # thousandths dearer where all is reserved: who does nearly as well elsewhere leaves it to others
SPARE = 1  # slots before the deadline that no plan counts on: the one under way may be nearly over


@dataclass(frozen=True, slots=True)
class FlexibleJob:
    """One job as its owner knows it now. Whoever has no name for a job's place writes "" (it doesn't run)."""

    who: str  # under which room is reserved: "gang:NAME" for gangs; a marshal's is its client name
    room: int  # of the whole job, in one zone, in the operators' unit
    work_ms: int  # of running that is left, the load of a paused one in it
    deadline_ms: int  # 0: none, and then it is not made to wait
    zones: tuple[str, ...]  # allowed; none: all of `free`
    move_cost_ms: int  # checkpoint and load, for each move or pause
    min_stay_ms: int  # a run is not ended sooner for power's sake
    here: str = ""  # the zone that it runs in
    since_ms: int = 0  # since when


@dataclass(frozen=True, slots=True)
class Placement:
    """What to do until `until_ms`; then, or when `free` or the schedule changes, ask again.

    `from_ms` is the time asked at: run in `zone` now (stay, start or move). Later: wait, or pause, and ask
    again then. `zone` is "": no zone has room for it; wait, and ask again at `until_ms`.
    """

    zone: str
    from_ms: int
    until_ms: int  # the end of this slot
    grams: int  # a kWh, the mean over the planned running; 0 where no schedule is in force
    why: str  # for operators
    spans: tuple[PlannedInterval, ...] = ()  # zone, first slot, slot after the last: what to reserve
    moved: bool = False  # it runs, and is to leave its zone or to pause


FutureCapacity = Callable[[str, int], int]
"""Room by zone and slot, where a caller knows what is to come (notices, the course of a day)."""


def choose_placement(
    view: View, at_ms: int, job: FlexibleJob, free: Mapping[str, int], later: FutureCapacity | None = None
) -> Placement:
    """The cheapest way in grams that keeps the deadline, the room and the least stay.

    `free`: room by zone for flexible work in all; what the job itself and other work with reservations here
    hold is NOT taken off, all else is. It is taken to last, unless `later` tells of the slots after this one.

    In the same record, put `reserve.take(view, at_ms, job.who, job.room, choice.spans)` beside the changes of
    your own, so that the next choice counts this one's room; and `reserve.release(view, job.who)` as the job
    ends. Asked again while nothing has changed it says the same. Where several are asked at one time, those
    with most time to their deadline come first: where room falls short, they give way.
    """
    slot, row = at_ms // SLOT_MS, curves.active_schedule(view, at_ms)
    asked = _Asked(view, at_ms, job, free, later)
    held: ReservationRow | None = view.get(RESERVATIONS, job.who)
    kept = upcoming_intervals(held.spans, slot) if held is not None and not held.calls else ()
    stands = asked.fits(kept)
    same = stands and held is not None and held.version == (row.version if row else 0)
    if same and (row is not None or kept[0][1] == slot):
        return asked.planned(kept)
    if row is None or asked.left * SLOT_MS < job.work_ms:
        late = asked.left * SLOT_MS < job.work_ms
        return asked.soonest(curves.active_curve(view, at_ms), late, "" if row is None else "no time to wait, ")
    curve = curves.active_curve(view, at_ms)
    ends = row.until_ms // SLOT_MS - slot + 2 * asked.need + asked.stay  # all is alike after it
    task = asked.task(curve, min(asked.left, HORIZON, max(ends, kept[-1][2] - slot if stands else 0)))
    plan = cheapest_plan(task)
    if plan is None:
        return asked.soonest(curve, True, "no room for a plan, ")
    usual = asked.runs(kept) if stands else asked.at_once(task)
    if usual and task.cost(usual) * (1000 - MARGIN) <= task.cost(plan) * 1000:
        plan = usual
    spans = asked.spans(plan)
    return asked.told(spans, _mean(curve, spans))


def _mean(curve: curves.CostCurve, spans: tuple[PlannedInterval, ...]) -> int:
    """Grams a kWh over them."""
    costs = [cost for zone, first, end in spans for cost in curve.slots(zone, first, end - first)]
    return sum(costs) // (len(costs) * SLOT_MS)


class _Asked:
    """One question, in slots counted from the one under way."""

    def __init__(
        self, view: View, at_ms: int, job: FlexibleJob, free: Mapping[str, int], later: FutureCapacity | None = None
    ) -> None:
        self.view, self.at_ms, self.job, self.free, self.later = view, at_ms, job, free, later
        self.slot = at_ms // SLOT_MS
        self.zones = sorted(
            (zone for zone in free if not job.zones or zone in job.zones), key=lambda zone: (zone != job.here, zone)
        )
        self.left = max(job.deadline_ms // SLOT_MS - SPARE - self.slot, 0)
        self.need = max(1, -(-job.work_ms // SLOT_MS))
        self.stay = max(1, min(-(-job.min_stay_ms // SLOT_MS), self.need))
        ends = job.since_ms + job.min_stay_ms - self.slot * SLOT_MS if job.here else 0
        self.bound = min(max(0, -(-ends // SLOT_MS)), self.need)

    def task(self, curve: curves.CostCurve, count: int, alone: bool = False) -> PlanningProblem:
        """With what each slot costs where there is room; `alone`: after this slot others are to give way."""
        job, loads = (
            self.job,
            capacity_reserved_by_others(self.view, self.job.who, self.slot, self.slot + (1 if alone else count)),
        )
        costs: list[list[int | None]] = []
        for zone in self.zones:
            row: list[int | None] = []
            for at, price in enumerate(curve.slots(zone, self.slot, count), self.slot):
                load, room = loads.get((zone, at), 0), self.room(zone, at)
                more = price * CROWD * load * load // (1000 * max(1, room) ** 2)
                row.append(price + more if load + job.room <= room else None)
            costs.append(row)
        here = self.zones.index(job.here) if job.here in self.zones else -1
        return PlanningProblem(costs, job.work_ms, job.move_cost_ms, self.stay, here, self.bound if here >= 0 else 0)

    def room(self, zone: str, slot: int) -> int:
        return self.free[zone] if slot == self.slot or self.later is None else self.later(zone, slot)

    def fits(self, kept: tuple[tuple[str, int, int, int], ...]) -> bool:
        """Whether what was reserved can still be gone by: room, deadline, least stay, all of the work."""
        if not kept or kept[-1][2] > self.slot + self.left:
            return False
        at = self.job.here, self.slot
        if self.bound and self.job.here in self.zones and kept[0][:2] != at:
            return False
        for zone, first, end, room in kept:
            if zone not in self.zones or room != self.job.room:
                return False
            for slot in range(first, end):
                load = self.view.get(SLOT_TOTALS, slot_totals_key(slot, zone))
                if load is None or load.room > self.room(zone, slot):
                    return False
        here = self.zones.index(self.job.here) if self.job.here in self.zones else -1
        task = PlanningProblem((), self.job.work_ms, self.job.move_cost_ms, self.stay, here)
        return task.capacity(self.runs(kept)) >= self.job.work_ms

    def runs(self, spans: tuple[tuple[str, int, int, int], ...]) -> list[Run]:
        at = self.slot
        return [Run(self.zones.index(zone), first - at, end - at) for zone, first, end, _ in spans]

    def spans(self, runs: list[Run]) -> tuple[PlannedInterval, ...]:
        return tuple((self.zones[run.zone], run.first + self.slot, run.end + self.slot) for run in runs)

    def at_once(self, task: PlanningProblem) -> list[Run]:
        """On in its zone, or from now on in the cheapest: what a plan is measured by."""
        where = [task.here] if task.here >= 0 else range(len(self.zones))
        runs = [[Run(zone, 0, self.need)] for zone in where if self.need <= task.slots]
        return min((some for some in runs if task.cost(some) < INFINITE_COST), key=task.cost, default=[])

    def planned(self, kept: tuple[tuple[str, int, int, int], ...]) -> Placement:
        spans = tuple((zone, first, end) for zone, first, end, _ in kept)
        rows = [
            self.view.get(SLOT_RESERVATIONS, slot_reservation_key(zone, slot, self.job.who))
            for zone, first, end in spans
            for slot in range(first, end)
        ]
        return self.told(spans, sum(row.grams for row in rows) // len(rows), "as planned, ")

    def soonest(self, curve: curves.CostCurve, late: bool, why: str) -> Placement:
        """At once: on where it is, else where room lasts longest. Else when there is room next.

        One that would else be late reserves beside others: their plans no longer fit, and whoever of them is
        asked first, and has time, makes another.
        """
        count = min(HORIZON, 2 * self.need + 96)
        task, job = self.task(curve, count, late), self.job
        best: tuple[int, int, int, int, int] | None = None
        for at in range(count):
            for nth, row in enumerate(task.costs):
                if row[at] is None:
                    continue
                end = at
                while end < min(count, at + self.need) and row[end] is not None:
                    end += 1
                if nth != task.here and end - at < self.stay and not late:
                    continue  # it would have to leave at once
                lost = 0 if nth == task.here or not job.here else job.move_cost_ms
                cost = sum(price or 0 for price in row[at:end]) // (end - at)
                offer = lost - (end - at) * SLOT_MS, cost, -self.free[self.zones[nth]], nth, end
                if best is None or offer < best:
                    best = offer
            if best is not None:
                spans = self.spans([Run(best[3], at, best[4])])
                return self.told(spans, _mean(curve, spans), why)
        until = (self.slot + 1) * SLOT_MS
        why = f"no room in {', '.join(self.zones) or 'any zone'}"
        return Placement("", until, until, 0, why, (), bool(job.here))

    def told(self, spans: tuple[PlannedInterval, ...], grams: int, why: str = "") -> Placement:
        zone, first, end = spans[0]
        now, here = first <= self.slot, self.job.here
        from_ms = self.at_ms if now else first * SLOT_MS
        moved = bool(here) and not (now and zone == here)
        if now:
            start = f"moves from {here} to {zone}" if here else f"starts in {zone}"
            what = f"stays in {zone}" if zone == here else start
        else:
            what = f"{'pauses' if here else 'waits'} until {curves.format_time(from_ms)}, then in {zone}"
        price = f", {grams} g a kWh" if grams else ""
        words = f"{curves.describe_schedule(self.view, self.at_ms)}: {why}{what}{price}"
        return Placement(zone, from_ms, (self.slot + 1) * SLOT_MS, grams, words, spans, moved)
