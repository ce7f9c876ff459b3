"""The drill of the coordination service: replicas and clients under faults.

Clients count, read, and hold locks while faults are planned from the seed. After the last of them the group has to
accept commands again, and all have to agree. With `processes` the same is done with processes of the program.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from brookreach.simulation.coordination.cluster_run import ClusterRun
from brookreach.simulation.coordination.defects import DEFECTS
from brookreach.simulation.coordination.small_limits import small_limits
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.engine.fault_reduction import reduce_faults
from brookreach.simulation.engine.faults import Fault
from brookreach.simulation.report import Report, Violation

RETAINED_ENTRIES = 10
CHUNK_BYTES = 2000
CASE = "model"
REDUCED_BY_FIGURE = "cut down"
REMAINING_FAULTS_FIGURE = "faults left"

__all__ = ["DEFECTS", "run", "run_seed"]


def run_seed(seed: int, faults: Sequence[Fault] | None = None, keep_trace: bool = False) -> ClusterRun:
    """Run one seed with the faults that it plans, or with those given."""
    cluster_run = ClusterRun(seed, keep_trace=keep_trace)
    cluster_run.run(cluster_run.faults if faults is None else faults)
    return cluster_run


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
    processes: int = 0,
) -> Report:
    """Run the drill.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        plant: The name of a defect to inject.
        progress: Called after each seed with the seeds done and all.
        processes: The number of replicas to run as processes of the program; 0 to simulate them.
    """
    if processes:
        from brookreach.simulation.coordination import process_drill

        return process_drill.run(seed, seeds, processes, progress)
    report = Report("fleet", seed, seeds, plant)
    trace_digest = 0
    planned_faults = 0
    with inject_defect(DEFECTS, plant), small_limits(RETAINED_ENTRIES, CHUNK_BYTES):
        for one_seed in report.iterate_seeds(progress):
            cluster_run = run_seed(one_seed)
            trace_digest ^= int(cluster_run.simulation.trace.digest, 16)
            planned_faults += len(cluster_run.faults)
            _add_to_report(report, one_seed, cluster_run)
    report.figures["faults"] = planned_faults
    report.figures["trace"] = f"{trace_digest:064x}"
    return report


def _add_to_report(report: Report, seed: int, cluster_run: ClusterRun) -> None:
    recorder = cluster_run.recorder
    for rule, times in recorder.checks.items():
        report.record_check(rule, times)
    for violation in recorder.violations:
        report.add_violation(Violation(violation.rule, CASE, seed, violation.at_ms, violation.text))
    if recorder.violations and REDUCED_BY_FIGURE not in report.figures:
        _add_reduced_faults(report, seed, cluster_run.faults, recorder.violations[0].rule)


def _add_reduced_faults(report: Report, seed: int, faults: Sequence[Fault], rule: str) -> None:
    """Add the faults of the first failing seed, as few as still violate the same rule."""

    def fails(candidate: list[Fault]) -> bool:
        violations = run_seed(seed, candidate).recorder.violations
        return any(violation.rule == rule for violation in violations)

    remaining, runs = reduce_faults(faults, fails)
    report.figures[REDUCED_BY_FIGURE] = f"seed {seed}, {rule}: {len(faults)} faults to {len(remaining)} in {runs} plays"
    report.figures[REMAINING_FAULTS_FIGURE] = "; ".join(fault.describe() for fault in remaining) or "none"
