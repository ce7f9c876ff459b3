"""The drill of power: jobs, marshals and operators in the model, by the rules of `power_rules`.

Each seed draws a world, versions that replace each other and end, versions that are only half sent, and
marshals that ask to steer calls. It never looks into the agreed state either.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from functools import partial
from types import SimpleNamespace
from typing import Any

from brookreach.carbon_aware import commands, cost_curve, schedule_file, scheduler, zone_preference
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import CURRENT, DRAFTS, SLOT_MS, CurrentRow
from brookreach.coordination.state_machine.application import Context
from brookreach.simulation.carbon_aware.invariants import MARSHALS, MOST_CALLS, Play, Told, checks
from brookreach.simulation.carbon_aware.model import HOUR, START, Case, World, by_power, drawn
from brookreach.simulation.defect import Defect, Defects, inject_defect
from brookreach.simulation.report import Report

OFFSETS = (-420, 120, 330, 540)  # minutes from UTC
DAY = 96  # slots


def played(seed: int) -> Play:
    chance = random.Random(seed * 7919)
    ample = seed % 2 == 0
    case = drawn(seed, ample)
    play = Play(seed, World(case, by_power), ample)
    events = play.world.events

    def send(version: int, at: int, one: Case) -> None:
        """From `at` on it is in force; the one before no longer."""
        offset = chance.choice(OFFSETS)
        for before in play.told[-1:]:
            before.until_ms = min(before.until_ms, at)
        play.told.append(Told(at, START + one.hours * HOUR, one))
        events.append((at, lambda world, now: world.send(now, version, offset, one.grams)))

    send(2, START, case)
    if chance.random() < 0.6:  # replaced while jobs run, by one that may end early
        hours = chance.choice((case.hours, case.hours - 30))
        grams = drawn(seed + 100_000, ample).grams
        after = {zone: (grams.get(zone) or case.grams[zone])[:hours] for zone in case.grams}
        at = START + chance.randrange(4 * (hours - 8)) * SLOT_MS
        send(4, at, Case(hours, after, case.capacity, case.other, case.jobs))
    for version in (3, 5):  # sent in part only, and telling the opposite
        opposite = {zone: tuple(700 - one for one in grams) for zone, grams in case.grams.items()}
        at = START + chance.randrange(4 * 12) * SLOT_MS + SLOT_MS
        if version > 4 or len(play.told) < 2 or at < play.told[-1].from_ms:
            events.append((at, partial(_half, version, opposite)))
    for nth in range(16):
        events.append((START + nth * 2 * HOUR, lambda world, now: _steer(play, now)))
    play.world.run()
    return play


def _half(version: int, grams: Mapping[str, tuple[int, ...]], world: World, now: int) -> None:
    world.send(now, version, 0, grams, most=2)


def _steer(play: Play, now: int) -> None:
    """Marshals ask for the slot, then share their calls by the weights; one session ends in between."""
    world, zones = play.world, tuple(play.world.case.grams)
    chance = random.Random(play.seed + now)
    calls = {f"m{nth}": chance.randint(1, MOST_CALLS) for nth in range(MARSHALS)}
    usual = dict.fromkeys(zones, 100)
    for nth, (name, some) in enumerate(calls.items()):
        world.say(now, commands.Steer(now // SLOT_MS, some, zones), name, "marshal", nth + 1)
        if nth == MARSHALS // 2:  # what it held is for others again
            world.view.apply_updates(APPLICATION.end_session(world.view, Context(world.index, now, "m0", "marshal", 1)))
    sent = dict.fromkeys(zones, 0)
    for name, some in calls.items():
        for zone, weight in zone_preference.weights(world.view, now, name, usual, some).items():
            sent[zone] += some * weight
    play.steered.append((now, sent))


# --- planted defects ---


def _half_sent(right: Any) -> Any:
    def newest(view: Any, at_ms: int) -> CurrentRow | None:
        for key, one in reversed(list(view.rows(DRAFTS))):
            return CurrentRow(int(key), one.digest, one.until_ms, 0, one.by, one.from_ms)
        row: CurrentRow | None = right(view, at_ms)
        return row

    return newest


def _for_ever(right: Any) -> Any:
    """What `choose` sees of `curve`, but for a schedule's end: its last day comes again and again."""

    class Again(cost_curve.Curve):
        def slots(self, zone: str, first: int, count: int) -> list[int]:
            last = max(span.to_ms for some in self.spans.values() for span in some) // SLOT_MS
            days = (max(0, nth - last + DAY) // DAY * DAY for nth in range(first, first + count))
            return [cost_curve.Curve.slots(self, zone, first + nth - back, 1)[0] for nth, back in enumerate(days)]

    def still(view: Any, at_ms: int) -> cost_curve.Curve:
        one = right.curve(view, min(at_ms, view.get(CURRENT, "all").until_ms - 1))
        return Again(one.version, one.spans, one.worst)

    return SimpleNamespace(**{**vars(right), "curve": still, "in_force": lambda view, at_ms: view.get(CURRENT, "all")})


def _restless(right: Any) -> Any:
    class Restless(right):  # type: ignore[misc]
        def __init__(self, *told: Any) -> None:
            super().__init__(*told)
            self.stay, self.bound = 1, 0

    return Restless


def _local(right: Any) -> Any:
    return lambda told: right(told[:19] + "+00:00") if isinstance(told, str) else right(told)


DEFECTS: Defects = {
    "uncounted": Defect(scheduler, "others", lambda right: lambda *told: {}),
    "half-sent": Defect(cost_curve, "in_force", _half_sent),
    "expired": Defect(scheduler, "curves", _for_ever),
    "restless": Defect(scheduler, "_Asked", _restless),
    "offset-ignored": Defect(schedule_file, "instant", _local),
}


def run(
    seed: int, seeds: int, plant: str = "", progress: Callable[[int, int], None] | None = None, processes: int = 0
) -> Report:
    """So many worlds, one a seed; with a planted defect it ends at the first that shows it.

    With `processes` nodes: between processes of the program.
    """
    if processes:
        from brookreach.simulation.carbon_aware import process_drill

        return process_drill.run(seed, seeds, processes, progress)
    report = Report("power", seed, seeds, plant)
    jobs = moves = waits = 0
    with inject_defect(DEFECTS, plant):
        for one in report.iterate_seeds(progress):
            play = played(one)
            checks(play, report)
            ran = play.world.ran
            jobs += len(play.world.case.jobs)
            moves += sum(not run.finished for run in ran)
            first = {run.job.name: run for run in reversed(ran)}
            waits += sum(run.from_ms > run.job.arrives_ms for run in first.values())
    report.figures = {"jobs": jobs, "moves and pauses": moves, "begun later": waits}
    return report
