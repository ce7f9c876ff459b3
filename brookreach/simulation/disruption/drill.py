"""The drill of planned disruptions: storms over simulated fleets, or a run between processes.

`invariants` says what must hold. A second part drains whole fleets and sets the time beside the least that their
budgets allow.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.disruption.tables import PERMITS
from brookreach.simulation.defect import planted
from brookreach.simulation.disruption.defects import PLANTS
from brookreach.simulation.disruption.fleet_drain import MAX_TIME_RATIO, drain_time_ratios
from brookreach.simulation.disruption.storm import Storm
from brookreach.simulation.report import Report, Violation

__all__ = ["PLANTS", "run"]

MAX_DRAINED_FLEETS = 24  # however many seeds
DRAIN_RULE = "drained in time"
DRAIN_CASE = "drain"


def run(
    seed: int, seeds: int, plant: str = "", progress: Callable[[int, int], None] | None = None, processes: int = 0
) -> Report:
    """Plays the drill.

    Args:
        seed: The first seed.
        seeds: How many seeds are played.
        plant: The name of a defect to inject; "": none.
        progress: Is called with the seeds played and their number.
        processes: Balancers of a run between processes; 0: the simulated drill.
    """
    if processes:
        from brookreach.simulation.disruption import process_drill

        return process_drill.run(seed, seeds, processes, progress)
    report = Report("outages", seed, seeds, plant)
    halts = 0
    rollbacks = 0
    grants = 0
    with planted(PLANTS, plant):
        for storm_seed in report.play(progress):
            storm = Storm(storm_seed, report)
            storm.run()
            halts += storm.invariants.halt_count
            rollbacks += len(storm.invariants.rolled_back)
            grants += sum(1 for _, permit in storm.fleet.group.view.rows(PERMITS) if permit.granted_ms)
    if not plant:
        _check_drain_times(report)
    report.figures |= {"permits given": grants, "halts": halts, "builds sent back": rollbacks}
    return report


def _check_drain_times(report: Report) -> None:
    seeds = range(report.seed, report.seed + min(report.seeds, MAX_DRAINED_FLEETS))
    ratios = [drain_time_ratios(seed).until_returned for seed in seeds]
    for seed, ratio in zip(seeds, ratios, strict=True):
        report.looked(DRAIN_RULE)
        if ratio > MAX_TIME_RATIO:
            text = f"a whole fleet took {ratio:.3f} of the least time"
            report.broken(Violation(DRAIN_RULE, DRAIN_CASE, seed, 0.0, text))
    report.figures["whole fleets drained, time over the least"] = [round(ratio, 3) for ratio in ratios]
