"""The drill of gang scheduling on virtual time, by seeds: notices that move, failing nodes and agents, lossy links.

Invariants, from what nodes did: one incarnation of a member at any time; a start only from an epoch that all saved; no
target that was known to retire; a permit for each move of a complete gang; none there in part for longer than stated;
no capacity taken twice; and once all is quiet every gang is done, or says why not.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from brookreach.gang_scheduling.commands import CancelGang, SubmitGang
from brookreach.gang_scheduling.gang_state import FINAL_STATES
from brookreach.gang_scheduling.tables import GANGS
from brookreach.simulation.defect import planted
from brookreach.simulation.gang_scheduling import invariants
from brookreach.simulation.gang_scheduling.cluster_model import ClusterModel, ClusterSettings
from brookreach.simulation.gang_scheduling.defects import PLANTS
from brookreach.simulation.gang_scheduling.findings import ReportedFindings
from brookreach.simulation.gang_scheduling.replicated_state import EPOCH_MS
from brookreach.simulation.report import Report

__all__ = ["PLANTS", "run"]

SECOND_MS = 1000
MINUTE_MS = 60_000.0
FAULTS_MS = 45 * MINUTE_MS
QUIET_MS = 240 * MINUTE_MS
STEP_MS = 10 * MINUTE_MS
NOTICE_LEADS_MS = (
    1000.0,  # too late for anything
    20_000.0,
    40_000.0,
    2 * MINUTE_MS,
    5 * MINUTE_MS,
    10 * MINUTE_MS,
    20 * MINUTE_MS,
)


def build_scenario(seed: int) -> ClusterModel:
    """Returns a cluster with all kinds of faults in its first 45 minutes."""
    cluster = ClusterModel(seed, ClusterSettings(max_migrations=random.Random(seed).choice((1, 2, 4))))
    chance = random.Random(f"scene {seed}")
    nodes = [f"n{index:02d}" for index in range(chance.randint(6, 12))]
    for name in nodes:
        cluster.add_node(name, chance.choice("ab"), chance.randint(3, 8), chance.choice((1, 1, 1, 2)))
    for index in range(chance.randint(4, 9)):
        submit_ms = chance.uniform(1000.0, 5 * MINUTE_MS)
        cluster.schedule(submit_ms, cluster.propose_as_operator, _random_gang(chance, f"g{index}"))
    if chance.random() < 0.2:
        cancel_ms = chance.uniform(MINUTE_MS, FAULTS_MS)
        cluster.schedule(cancel_ms, cluster.propose_as_operator, CancelGang("g0", "drill"))
    for name in chance.sample(nodes, len(nodes) * 3 // 10 + 1):
        _schedule_notices(cluster, chance, name)
    for _ in range(chance.randint(2, 8)):
        _schedule_fault(cluster, chance, nodes)
    return cluster


def _random_gang(chance: random.Random, name: str) -> SubmitGang:
    members = chance.randint(1, 4)
    work_ms = chance.randint(2, 30) * 60_000
    return SubmitGang(
        name,
        members,
        chance.randint(1, 3),
        work_ms,
        chance.randint(2, 10) * SECOND_MS,
        chance.randint(2, 15) * SECOND_MS,
        EPOCH_MS + chance.randint(40, 200) * 60_000 if chance.random() < 0.5 else 0,
    )


def _schedule_notices(cluster: ClusterModel, chance: random.Random, name: str) -> None:
    """Gives one node's notice once or twice: brought forward, withdrawn, or so late that nothing can be saved."""
    given_ms = chance.uniform(MINUTE_MS, 20 * MINUTE_MS)
    lead_ms = chance.choice(NOTICE_LEADS_MS)
    cluster.schedule(given_ms, cluster.announce_retirement, name, given_ms + lead_ms)
    again = chance.random()
    if again < 0.25:
        cluster.schedule(given_ms + lead_ms * 0.3, cluster.announce_retirement, name, given_ms + lead_ms * 0.6)
    elif again < 0.4:
        cluster.schedule(given_ms + lead_ms * 0.5, cluster.announce_retirement, name, 0.0)
    elif again < 0.5:
        cluster.schedule(given_ms + lead_ms * 0.1, cluster.announce_retirement, name, given_ms + lead_ms)


def _schedule_fault(cluster: ClusterModel, chance: random.Random, nodes: list[str]) -> None:
    """Draws the spans of all faults and then one of them, so that seeds mean the same as ever."""
    name = chance.choice(nodes)
    at_ms = chance.uniform(MINUTE_MS, FAULTS_MS)
    node = cluster.nodes[name]
    down_ms = chance.uniform(2000.0, 5 * MINUTE_MS)
    stall_ms = chance.uniform(500.0, 40_000.0)
    hang_ms = chance.uniform(MINUTE_MS, 20 * MINUTE_MS)
    faults: list[Callable[[], object]] = [
        lambda: cluster.fail_node(name, down_ms),
        node.kill_agent,
        lambda: node.stall_agent(stall_ms),
        lambda: node.hang_loads(hang_ms),
    ]
    cluster.schedule(at_ms, chance.choice(faults))


def run(
    seed: int, seeds: int, plant: str = "", progress: Callable[[int, int], None] | None = None, processes: int = 0
) -> Report:
    """Runs one scenario a seed; with an injected defect it ends at the first that shows it.

    Args:
        seed: The first.
        seeds: How many.
        plant: A defect's name; none: the text as it is.
        progress: Called with the seeds done and all.
        processes: So many nodes run between processes of the program instead; 0: on virtual time.
    """
    if processes:
        from brookreach.simulation.gang_scheduling import process_drill

        return process_drill.run(seed, seeds, processes, progress)
    report = Report("gangs", seed, seeds, plant)
    figures = dict.fromkeys(("gangs", "done", "incarnations", "epochs kept", "permits", "records"), 0)
    with planted(PLANTS, plant):
        for number in report.play(progress):
            cluster = build_scenario(number)
            _run_to_end(cluster)
            findings = ReportedFindings(report, number)
            invariants.check(cluster, findings)
            invariants.check_progress(cluster, findings)
            _add_figures(figures, cluster)
    report.figures = dict(figures)
    return report


def _run_to_end(cluster: ClusterModel) -> None:
    cluster.run(FAULTS_MS)
    while cluster.now_ms < FAULTS_MS + QUIET_MS and _has_active_gangs(cluster):
        cluster.run(cluster.now_ms + STEP_MS)


def _has_active_gangs(cluster: ClusterModel) -> bool:
    return any(row.state not in FINAL_STATES for _, row in cluster.state.view.rows(GANGS))


def _add_figures(figures: dict[str, int], cluster: ClusterModel) -> None:
    figures["gangs"] += cluster.state.view.count(GANGS)
    figures["done"] += len(cluster.truth.done_ms)
    figures["incarnations"] += len(cluster.truth.incarnations)
    figures["epochs kept"] += len(cluster.truth.checkpointed_work_ms)
    figures["permits"] += len(cluster.truth.permits)
    figures["records"] += cluster.state.log_index
