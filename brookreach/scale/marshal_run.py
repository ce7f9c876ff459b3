"""The whole of `brookreach scale marshal`: each measurement in turn, then the slopes through them."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import msgspec

from brookreach.scale import marshal_build, marshal_process
from brookreach.scale.figures import Slope, fit
from brookreach.scale.marshal_build import Build
from brookreach.scale.marshal_decisions import Cost
from brookreach.scale.marshal_lists import ListCosts
from brookreach.scale.marshal_process import ProcessCost
from brookreach.scale.marshal_sizes import Grid, Size
from brookreach.scale.marshal_worker import Reply, Request, What

MODULE = "brookreach.scale.marshal_worker"
WITHIN_S = 900.0  # for one measurement in a process of its own


class WorkerFailed(Exception):
    """A measurement did not end as it should, in one line."""


class SizedCosts(msgspec.Struct, frozen=True):
    size: Size
    costs: list[Cost]


class Report(msgspec.Struct, frozen=True):
    """All that one run measured. Times are this machine's; `counted` and ratios within the run are not."""

    command: str
    seed: int
    rpcs: int
    compiled: bool  # the decisions that were timed, and the process
    timed: list[SizedCosts]
    counted: list[SizedCosts]
    lists: list[ListCosts]
    processes: list[ProcessCost]
    slopes: list[Slope]


@dataclass(frozen=True, slots=True)
class Plan:
    """What a run measures, and for how long."""

    decisions: Sequence[Size]
    counts: Sequence[Size]
    processes: Sequence[Size]
    rpcs: int
    counted_rpcs: int
    seconds: float  # of each phase of a process
    seed: int

    def steps(self) -> int:
        return len(self.decisions) + len(self.counts) + 2 * len(self.processes)


def default_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    return Plan(grid.decisions(), _counts(grid), grid.processes(), rpcs, 200, 3.0, seed)


def full_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    return Plan(grid.full(), _counts(grid), grid.full(), rpcs, 200, 3.0, seed)


def quick_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    """The least size and the largest of `grid`, no more: some seconds."""
    ends = [grid.full()[0], grid.full()[-1]]
    return Plan(ends, ends, ends, rpcs, 100, 1.0, seed)


def _counts(grid: Grid) -> list[Size]:
    least = Size(grid.nodes[0], grid.methods[0], grid.tenants[0])
    return sorted(
        {Size(n, least.methods, least.tenants) for n in grid.nodes}
        | {Size(least.nodes, m, least.tenants) for m in grid.methods}
    )


def run(plan: Plan, command: str, progress: Callable[[int, int], None]) -> Report:
    """Raises WorkerFailed or NoAnswer."""
    build, steps, done = marshal_build.present(), plan.steps(), 0

    def one_done() -> None:
        nonlocal done
        done += 1
        progress(done, steps)

    timed, counted, lists, processes = [], [], [], []
    for size in plan.decisions:
        timed.append(SizedCosts(size, _asked(build, "timed", size, plan.rpcs, plan.seed).costs))
        one_done()
    for size in plan.counts:
        counted.append(
            SizedCosts(size, _asked(marshal_build.source(), "counted", size, plan.counted_rpcs, plan.seed).costs)
        )
        one_done()
    for size in plan.processes:
        found = _asked(build, "lists", size, plan.rpcs, plan.seed).lists
        assert found is not None
        lists.append(found)
        one_done()
        processes.append(anyio.run(marshal_process.measure, size, build, plan.seconds))
        one_done()
    slopes = [*decision_slopes(timed, "us"), *decision_slopes(counted, "lines"), *part_slopes(lists, processes)]
    return Report(command, plan.seed, plan.rpcs, build.compiled, timed, counted, lists, processes, slopes)


def _asked(build: Build, what: What, size: Size, rpcs: int, seed: int) -> Reply:
    request = msgspec.json.encode(Request(what, size, rpcs, seed))
    try:
        ended = subprocess.run(
            [sys.executable, "-m", MODULE],
            input=request,
            capture_output=True,
            cwd=build.root,  # which `-m` looks in first
            env=build.environment(),
            timeout=WITHIN_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        raise WorkerFailed(f"{what} at {size}: not done within {WITHIN_S:g} s") from None
    if ended.returncode:
        last = ended.stderr.decode(errors="replace").strip().rpartition("\n")[2]
        raise WorkerFailed(f"{what} at {size}: ended with {ended.returncode}: {last}")
    reply = msgspec.json.decode(ended.stdout, type=Reply)
    if reply.compiled != build.compiled:
        raise WorkerFailed(f"{what} at {size}: the decisions of another build than {build.root} were loaded")
    return reply


def decision_slopes(rows: Sequence[SizedCosts], unit: str) -> list[Slope]:
    """By situation, of each figure of `Cost` that all rows have."""
    slopes = []
    for place, first in enumerate(rows[0].costs if rows else []):
        for name, of in COST_FIGURES.items():
            values = [of(row.costs[place]) for row in rows]
            known = [value for value in values if value is not None]
            if len(known) == len(values):
                slopes += _fitted(f"{first.situation}: {name}", unit, [row.size for row in rows], known)
    return slopes


COST_FIGURES: dict[str, Callable[[Cost], float | None]] = {
    "rpc p50": lambda cost: cost.rpc.p50,
    "rpc p99": lambda cost: cost.rpc.p99,
    "rpc p99.9": lambda cost: cost.rpc.p999,
    "rpc mean": lambda cost: cost.rpc_mean,
    "rpc with a second pick": lambda cost: cost.rpc_again,
    "beat": lambda cost: cost.beat,
    "list change": lambda cost: cost.list_change,
}
LIST_FIGURES: dict[str, tuple[str, Callable[[ListCosts], float]]] = {
    "configuration": ("bytes", lambda cost: cost.configuration_bytes),
    "start of all parts": ("ms", lambda cost: cost.start_ms),
    "whole list": ("bytes", lambda cost: cost.whole.body_bytes),
    "whole list: read": ("ms", lambda cost: cost.whole.read_ms),
    "whole list: decide": ("ms", lambda cost: cost.whole.decide_ms),
    "whole list: next RPC": ("ms", lambda cost: cost.whole.next_rpc_ms),
    "one change: read": ("ms", lambda cost: cost.change.read_ms),
    "one change: decide": ("ms", lambda cost: cost.change.decide_ms),
    "one change: next RPC": ("ms", lambda cost: cost.change.next_rpc_ms),
}
PROCESS_FIGURES: dict[str, tuple[str, Callable[[ProcessCost], float | None]]] = {
    "process: first answer": ("s", lambda cost: cost.first_answer_s),
    "process: processor time to it": ("s", lambda cost: cost.start_cpu_s),
    "process: memory idle": ("MB", lambda cost: cost.idle_mb),
    "process: memory at most": ("MB", lambda cost: cost.peak_mb),
    "process: idle": ("core", lambda cost: cost.idle_cpu),
    "process: one change": ("ms", lambda cost: cost.changes.ms(cost.idle_cpu) if cost.changes else None),
    "process: whole list": ("ms", lambda cost: cost.wholes.ms(cost.idle_cpu) if cost.wholes else None),
}


def part_slopes(lists: Sequence[ListCosts], processes: Sequence[ProcessCost]) -> list[Slope]:
    slopes = []
    for name, (unit, of_list) in LIST_FIGURES.items():
        slopes += _fitted(name, unit, [one.size for one in lists], [of_list(one) for one in lists])
    for name, (unit, of_process) in PROCESS_FIGURES.items():
        pairs = [(one.size, of_process(one)) for one in processes]
        known = [(size, value) for size, value in pairs if value is not None]
        slopes += _fitted(name, unit, [size for size, _ in known], [value for _, value in known])
    return slopes


def _fitted(name: str, unit: str, sizes: Sequence[Size], values: Sequence[float]) -> list[Slope]:
    """Nothing where the sizes measured can't tell the axes apart."""
    try:
        return [fit(name, unit, [size.axes() for size in sizes], values)]
    except ValueError:
        return []
