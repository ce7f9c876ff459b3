"""The drill of changed messages.

A run goes once through all that a group does: elections, commands, reads, snapshots, a leader that hands over, clients
that leave. It is recorded, then repeated for each mutation of each kind of message.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.coordination.protocol.tags import wire_name
from brookreach.simulation.coordination.defects import MUTATION_DEFECTS as DEFECTS
from brookreach.simulation.coordination.small_limits import small_limits
from brookreach.simulation.defect import inject_defect
from brookreach.simulation.mutation.mutation_run import FoundDefect, MutationRun
from brookreach.simulation.mutation.outcome_table import OutcomeTable
from brookreach.simulation.mutation.playback import ScriptedRun
from brookreach.simulation.report import Report, Violation

RETAINED_ENTRIES = 2
CHUNK_BYTES = 300
MAX_PER_KIND = 3
PERCENT = 100
RECORDED_RUN_CASE = "recorded run"
REPEATABLE_RULE = "the same run again"
MUTATION_RULE = "one changed message"

__all__ = ["DEFECTS", "run"]


def run(
    seed: int,
    seeds: int,
    plant: str = "",
    progress: Callable[[int, int], None] | None = None,
    max_per_kind: int = MAX_PER_KIND,
) -> Report:
    """Run the drill; each seed is a run of its own.

    Args:
        seed: The first seed.
        seeds: How many seeds.
        plant: The name of a defect to inject.
        progress: Called with the percent done and the percent of all seeds together.
        max_per_kind: How often each mutation of each kind of message is tried.
    """
    report = Report("mutation", seed, seeds, plant)
    table = OutcomeTable()
    completed_runs = 0
    with inject_defect(DEFECTS, plant), small_limits(RETAINED_ENTRIES, CHUNK_BYTES):
        for one_seed in report.iterate_seeds(None):
            mutation_run = MutationRun(one_seed, table, max_per_kind)
            recorded = mutation_run.record()
            _add_recorded_run(report, one_seed, recorded)
            if recorded.recorder.violations:
                continue
            percent_before = completed_runs * PERCENT
            _play_mutations(report, one_seed, mutation_run, recorded, _percent_of(progress, percent_before, seeds))
            completed_runs += 1
    report.figures |= table.as_figures()
    report.lines = table.as_lines()
    return report


def _percent_of(
    progress: Callable[[int, int], None] | None, percent_before: int, seeds: int
) -> Callable[[int, int], None]:
    """Return what reports the progress within one seed."""

    def report_progress(done: int, chosen: int) -> None:
        if progress:
            progress(percent_before + done * PERCENT // max(1, chosen), seeds * PERCENT)

    return report_progress


def _add_recorded_run(report: Report, seed: int, recorded: ScriptedRun) -> None:
    for rule, times in recorded.recorder.checks.items():
        report.record_check(rule, times)
    for violation in recorded.recorder.violations:
        report.add_violation(Violation(violation.rule, RECORDED_RUN_CASE, seed, 0.0, violation.text))


def _play_mutations(
    report: Report,
    seed: int,
    mutation_run: MutationRun,
    recorded: ScriptedRun,
    progress: Callable[[int, int], None],
) -> None:
    chosen = mutation_run.choose(recorded)
    digest = mutation_run.replay(lambda done: progress(done, chosen))
    report.record_check(REPEATABLE_RULE)
    if digest != recorded.cluster.simulation.trace.digest:
        report.add_violation(Violation(REPEATABLE_RULE, RECORDED_RUN_CASE, seed, 0.0, "another trace"))
    for defect in mutation_run.defects:
        report.add_violation(_violation_of(seed, defect))
    report.record_check(MUTATION_RULE, chosen)


def _violation_of(seed: int, defect: FoundDefect) -> Violation:
    frame = defect.frame
    findings = "; ".join(f"{violation.rule}: {violation.text}" for violation in defect.violations)
    return Violation(
        MUTATION_RULE,
        f"{wire_name(frame.body)} {defect.mutation.family} {defect.mutation.name}",
        seed,
        frame.at_ms,
        f"frame {frame.number}, {frame.source} to {frame.target}: {findings or 'taken, where it has to be refused'}",
    )
