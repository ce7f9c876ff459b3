"""The whole of `brookreach scale marshal`: each measurement in turn, then the slopes through them."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import msgspec

from brookreach.scale import marshal_build, marshal_process
from brookreach.scale.figures import Slope
from brookreach.scale.marshal_build import Build
from brookreach.scale.marshal_decisions import SizedCosts
from brookreach.scale.marshal_lists import ListCosts
from brookreach.scale.marshal_process import ProcessCost
from brookreach.scale.marshal_sizes import Grid, Size
from brookreach.scale.marshal_slopes import decision_slopes, part_slopes
from brookreach.scale.marshal_worker import Reply, Request, What

MODULE = "brookreach.scale.marshal_worker"
WITHIN_S = 900.0  # for one measurement in a process of its own


class WorkerFailed(Exception):
    """A measurement did not end as it should, in one line."""


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

    sizes: Sequence[Size]
    counts: Sequence[Size]  # where work is counted
    rpcs: int
    counted_rpcs: int
    seconds: float  # of each phase of a process
    seed: int


def default_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    return Plan(grid.axes(), _counts(grid), rpcs, 200, 2.0, seed)


def full_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    return Plan(grid.full(), _counts(grid), rpcs, 200, 2.0, seed)


def quick_plan(grid: Grid, rpcs: int, seed: int) -> Plan:
    """The least size and the largest of `grid`, no more: some seconds."""
    ends = [grid.full()[0], grid.full()[-1]]
    return Plan(ends, ends, rpcs, 100, 1.0, seed)


def _counts(grid: Grid) -> list[Size]:
    """Nodes and methods by themselves: no decision looks at a tenant."""
    least = Size(grid.nodes[0], grid.methods[0], grid.tenants[0])
    return sorted(
        {Size(n, least.methods, least.tenants) for n in grid.nodes}
        | {Size(least.nodes, m, least.tenants) for m in grid.methods}
    )


def run(plan: Plan, command: str, progress: Callable[[int, int], None]) -> Report:
    """Work is counted where this process runs the source, which the interpreter sees the lines of.

    Raises WorkerFailed or NoAnswer.
    """
    build, source = marshal_build.present(), marshal_build.source()
    counts = [] if source.compiled else plan.counts
    steps, done = 3 * len(plan.sizes) + len(counts), 0

    def one_done() -> None:
        nonlocal done
        done += 1
        progress(done, steps)

    timed, counted, lists, processes = [], [], [], []
    for size in plan.sizes:
        timed.append(SizedCosts(size, _asked(build, "timed", size, plan.rpcs, plan.seed).costs))
        one_done()
    for size in counts:
        reply = _asked(source, "counted", size, plan.counted_rpcs, plan.seed)
        counted.append(SizedCosts(size, reply.costs))
        one_done()
    for size in plan.sizes:
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
