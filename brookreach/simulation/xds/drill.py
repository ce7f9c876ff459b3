"""The drill of control via xDS: scripted proxies on virtual time, every answer recorded as it is sent.

Proxies keep the protocol's side: they take answers after a delay, ACK, NACK now and then, stop answering,
drop the stream and come back with what they hold, and route by what they were told last. The fleet drains
nodes, offers builds, pulls them; the server restarts. Rules: nothing assigned that drains or is gone longer
than the grace; routes name only clusters told before; endpoints only after their cluster; the trial picks of
all proxies in any window; one content a version, over restarts too; non-idempotent methods never repeated.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.simulation.defect import inject_defect
from brookreach.simulation.report import Report, Violation
from brookreach.simulation.xds.defects import DEFECTS
from brookreach.simulation.xds.world import World


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
    proxies: int = 6,
    span_ms: float = 40_000.0,
) -> Report:
    """So many worlds, one a seed; with a planted defect it ends at the first that shows it."""
    report = Report("xds", seed, seeds, plant)
    answers = rpcs = trial = 0
    with inject_defect(DEFECTS, plant):
        for one in report.iterate_seeds(progress):

            def say(rule: str, now: float, text: str, one: int = one) -> None:
                report.add_violation(Violation(rule, "fleet", one, now, text))

            world = World(one, say, report.record_check, proxies, span_ms)
            world.run()
            answers, rpcs, trial = answers + world.answers, rpcs + world.rpcs, trial + world.trial_picks
    report.figures = {"answers": answers, "RPCs": rpcs, "picks at trial builds": trial}
    return report
