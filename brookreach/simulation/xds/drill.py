"""The drill of the xDS control plane: simulated proxies on virtual time, every response checked as it is sent.

Proxies keep the protocol's side: they take responses after a delay, ACK, NACK now and then, stop answering, drop the
stream and come back with what they hold, and route by what they were sent last. The fleet drains nodes, offers builds
and withdraws them; the server restarts. The rules: nothing is assigned that has been draining or gone for longer than
the grace; routes name only clusters sent before; endpoints come only after their cluster; the trial picks of all
proxies keep the cap in any window; a version has one content, also over restarts; non-idempotent methods are never
retried.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report, Violation
from brookreach.simulation.xds.defects import DEFECTS
from brookreach.simulation.xds.fleet_simulation import FleetSimulation

__all__ = ["DEFECTS", "run"]


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
    proxies: int = 6,
    duration_ms: float = 40_000.0,
) -> Report:
    """Run one simulation a seed; with a planted defect it ends at the first that finds it.

    Args:
        seed: The first seed.
        seeds: How many seeds are run.
        plant: The name of a defect; empty for none.
        progress: Called after each seed with the number of seeds done and of all.
        proxies: How many proxies there are.
        duration_ms: The virtual time of one simulation.
    """
    report = Report("xds", seed, seeds, plant)
    responses = 0
    rpcs = 0
    trial_picks = 0
    with inject_defect(DEFECTS, plant):
        for current_seed in report.iterate_seeds(progress):

            def report_violation(rule: str, now: float, text: str, current_seed: int = current_seed) -> None:
                report.add_violation(Violation(rule, "fleet", current_seed, now, text))

            simulation = FleetSimulation(current_seed, report_violation, report.record_check, proxies, duration_ms)
            simulation.run()
            responses += simulation.response_count
            rpcs += simulation.rpc_count
            trial_picks += simulation.trial_pick_count
    report.figures = {"answers": responses, "RPCs": rpcs, "picks at trial builds": trial_picks}
    return report
