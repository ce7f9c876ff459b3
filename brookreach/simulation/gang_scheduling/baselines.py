"""Lost work and missed deadlines of gang scheduling beside baselines and bounds, in a simulated cluster: measured.

    python -m brookreach.simulation.gang_scheduling.baselines --seeds 40

Lost work is member time that held capacity and came to nothing: checkpoints, loads, pauses, work done twice.
"""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import astuple, dataclass, fields

import click

from brookreach.gang_scheduling.checkpoint_interval import PRIOR_MEMBER_MTBF_MS
from brookreach.gang_scheduling.commands import SubmitGang
from brookreach.gang_scheduling.tables import GANGS
from brookreach.simulation.gang_scheduling.baseline_policies import BASELINES, apply_patches
from brookreach.simulation.gang_scheduling.bounds import NODE_CAPACITY, compute_bounds
from brookreach.simulation.gang_scheduling.cluster_model import ClusterModel, ClusterSettings
from brookreach.simulation.gang_scheduling.findings import CountedViolations
from brookreach.simulation.gang_scheduling.invariants import check
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS

SECOND_MS = 1000
MINUTE_MS = 60_000.0
HOUR_MS = 3_600_000.0
RUN_MS = 14 * HOUR_MS
TOO_LATE_LEAD_MS = 1000.0  # no time for anything


@dataclass(frozen=True, slots=True)
class ScenarioSettings:
    """A scenario in which 30% of the nodes retire within one hour."""

    nodes: int
    gangs: int
    late_fraction: float  # of the notices, that come a second before
    max_migrations: int
    filled_fraction: float  # of all capacity, that gangs take


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one run lost, in ms of members where not said otherwise; sums of several runs."""

    lost_ms: int = 0
    missed: int = 0  # gangs late or not done
    struck: int = 0  # of these, those that had a node fail without notice
    done: int = 0  # gangs
    foresees_all_ms: int = 0
    foresees_notices_ms: int = 0
    least_missed: int = 0
    violations: int = 0

    def __add__(self, other: Outcome) -> Outcome:
        return Outcome(*(mine + its for mine, its in zip(astuple(self), astuple(other), strict=True)))


def build_scenario(seed: int, settings: ScenarioSettings) -> ClusterModel:
    """Returns a cluster whose gangs, notices and failures are scheduled."""
    chance = random.Random(f"hour {seed}")
    cluster = ClusterModel(seed, ClusterSettings(settings.max_migrations, 60_000.0, 20_000.0, has_faults=False))
    names = [f"n{index:04d}" for index in range(settings.nodes)]
    for name in names:
        cluster.add_node(name, "a", NODE_CAPACITY)
    _schedule_gangs(cluster, chance, settings)
    for name in chance.sample(names, settings.nodes * 3 // 10):
        _schedule_notices(cluster, chance, name, settings.late_fraction)
    for name in names:
        fails_ms = chance.expovariate(1.0 / PRIOR_MEMBER_MTBF_MS)
        if fails_ms < RUN_MS:
            cluster.schedule(fails_ms, cluster.fail_node, name, 5 * MINUTE_MS)
    return cluster


def _schedule_gangs(cluster: ClusterModel, chance: random.Random, settings: ScenarioSettings) -> None:
    free: float = settings.nodes * NODE_CAPACITY * settings.filled_fraction
    for index in range(settings.gangs):
        members, capacity = chance.randint(2, 6), chance.randint(1, 3)
        if free < members * capacity:
            continue
        free -= members * capacity
        work_ms = int(chance.uniform(3, 8) * HOUR_MS)
        restore_ms = chance.randint(40, 120) * SECOND_MS
        deadline_ms = EPOCH_MS + int(work_ms * 1.1 + 20 * MINUTE_MS)
        checkpoint_ms = chance.randint(20, 60) * SECOND_MS
        command = SubmitGang(f"g{index:03d}", members, capacity, work_ms, checkpoint_ms, restore_ms, deadline_ms)
        submit_ms = chance.uniform(61_000.0, 120_000.0)
        cluster.schedule(submit_ms, cluster.propose_as_operator, command)


def _schedule_notices(cluster: ClusterModel, chance: random.Random, name: str, late_fraction: float) -> None:
    """Gives a notice 10 to 60 minutes before; a tenth is withdrawn, 15% are brought forward."""
    retires_ms = chance.uniform(70 * MINUTE_MS, 130 * MINUTE_MS)
    lead_ms = chance.uniform(10 * MINUTE_MS, 60 * MINUTE_MS)
    is_late = chance.random() < late_fraction
    if is_late:
        lead_ms = TOO_LATE_LEAD_MS
    cluster.schedule(retires_ms - lead_ms, cluster.announce_retirement, name, retires_ms)
    again = chance.random()
    if is_late:
        return
    if again < 0.1:
        cluster.schedule(retires_ms - lead_ms / 2, cluster.announce_retirement, name, 0.0)
    elif again < 0.25:
        sooner_ms = retires_ms - lead_ms * 0.3
        cluster.schedule(retires_ms - lead_ms * 0.8, cluster.announce_retirement, name, sooner_ms)


def measure(cluster: ClusterModel) -> Outcome:
    """Returns what a run lost, beside its bounds."""
    truth = cluster.truth
    struck_gangs = {record.gang for record in truth.incarnations if record.end_reason == "failed"}
    held_ms: dict[str, float] = defaultdict(float)
    for record in truth.incarnations:
        held_ms[record.gang] += record.end_or(cluster.now_ms) - record.start_ms
    lost_ms = 0.0
    missed = struck = 0
    for name, row in cluster.state.view.rows(GANGS):
        done_ms = truth.done_ms.get(name)
        if done_ms is not None:
            lost_ms += held_ms[name] - row.member_count * row.work_ms
        if done_ms is None or EPOCH_MS + done_ms > row.deadline_ms:
            missed += 1
            struck += name in struck_gangs
    violations = CountedViolations()
    check(cluster, violations)
    bounds = compute_bounds(cluster)
    return Outcome(
        int(lost_ms),
        missed,
        struck,
        len(truth.done_ms),
        bounds.foresees_all_ms,
        bounds.foresees_notices_ms,
        bounds.missed,
        violations.count,
    )


def _table_row(name: str, outcome: Outcome) -> str:
    cells = [
        name,
        f"{outcome.lost_ms / HOUR_MS:.2f}",
        f"{outcome.foresees_all_ms / HOUR_MS:.2f}",
        f"{outcome.lost_ms / max(1, outcome.foresees_all_ms):.2f}",
        f"{outcome.foresees_notices_ms / HOUR_MS:.2f}",
        f"{outcome.lost_ms / max(1, outcome.foresees_notices_ms):.2f}",
        f"{outcome.missed} ({outcome.struck})",
        f"{outcome.least_missed}",
        f"{outcome.done}" + (f", {outcome.violations} rules broken" if outcome.violations else ""),
    ]
    return f"| {' | '.join(cells)} |"


@click.command()
@click.option("--seed", default=1)
@click.option("--seeds", default=20)
@click.option("--nodes", default=20, help="Each with room for some members.")
@click.option("--gangs", default=8)
@click.option("--late", default=0.0, help="Share of notices that come a second before.")
@click.option("--most", default=2, help="Moves at once.")
@click.option("--fill", default=0.55, help="Share of all room that gangs take.")
def main(seed: int, seeds: int, nodes: int, gangs: int, late: float, most: int, fill: float) -> None:
    """A table: lost member hours, beside the bound, and deadlines missed."""
    settings = ScenarioSettings(nodes, gangs, late, most, fill)
    outcomes = {name: Outcome() for name in BASELINES}
    for number in range(seed, seed + seeds):
        for name, patches in BASELINES.items():
            with apply_patches(patches):
                cluster = build_scenario(number, settings)
                cluster.run(RUN_MS)
                outcomes[name] += measure(cluster)
    click.echo("| | lost hours | foresees all | ratio | notices | ratio | late (struck) | at least | done |")
    click.echo("| --- " * (len(fields(Outcome)) + 1) + "|")
    for name, outcome in outcomes.items():
        click.echo(_table_row(name, outcome))


if __name__ == "__main__":
    main()
