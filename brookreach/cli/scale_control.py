"""`brookreach scale control|storm|hollow|counts`: what the agreed state costs replicas and balancers at size."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import click

from brookreach.cli.main import print_result, progress_printer
from brookreach.cli.scale_options import (
    ELECTION,
    JSON,
    KEEPERS,
    LEASE,
    MAX_BALANCERS,
    MAX_NODES,
    MEMORY,
    MIN_NODES,
    PLOT,
    QUICK,
    SEED,
    NumberList,
    check_bounds,
)

# Long enough that a busy machine doesn't end sessions.
QUICK_LEASE_MS = 12_000.0
QUICK_ELECTION_MS = 3_000.0

Run = TypeVar("Run")


def collect_results(runs: Iterator[Run]) -> tuple[list[Run], str]:
    """Return the results of a scale test, and why it ended early; "" if it did not.

    Args:
        runs: Gives one result after the other; an expected error or Ctrl-C ends it, and what was measured is kept.
    """
    from brookreach.coordination.client.errors import ClusterUnreachableError
    from brookreach.scale.control_children import ChildFailed
    from brookreach.scale.control_cluster import NotSettled

    known = (ClusterUnreachableError, ChildFailed, NotSettled)
    results: list[Run] = []
    try:
        for result in runs:
            results.append(result)  # noqa: PERF402  `extend` need not keep the results before an error
    except known as error:
        return results, str(error)
    except KeyboardInterrupt:
        return results, "it was told to end"
    except BaseExceptionGroup as group:
        inner: BaseException | None = group.subgroup(known)
        while isinstance(inner, BaseExceptionGroup):
            inner = inner.exceptions[0]
        if inner is None:
            raise
        return results, str(inner)
    return results, ""


def print_measurements(as_json: bool, values: dict[str, Any], text: Callable[[], str], failure: str) -> None:
    """Print what was measured, and end with exit code 1 if the test ended early."""
    print_result(as_json, values | {"failure": failure}, text)
    if failure:
        raise click.ClickException(f"not all sizes were measured: {failure}")


@click.command()
@click.option("--marshals", type=NumberList(2, MAX_BALANCERS), default="25,50,100", show_default=True)
@KEEPERS
@click.option("--nodes", type=click.IntRange(MIN_NODES, MAX_NODES), default=300, show_default=True)
@click.option(
    "--changes",
    type=click.IntRange(2, 1_100),
    default=22,
    show_default=True,
    help="Configuration changes; 1100 are a whole day, the restarts and failures go with them.",
)
@click.option("--idle", type=click.FloatRange(1.0, 600.0), default=12.0, show_default=True, help="Seconds before them.")
@click.option("--seconds", type=click.FloatRange(1.0, 3_600.0), help="For them; else as many as the size needs.")
@LEASE
@ELECTION
@SEED
@MEMORY
@JSON
@QUICK
@PLOT
def control(
    marshals: tuple[int, ...],
    keepers: str,
    nodes: int,
    changes: int,
    idle: float,
    seconds: float | None,
    lease_ms: float,
    election_ms: float,
    seed: int,
    memory_mb: int,
    as_json: bool,
    quick: bool,
    plot: Path | None,
) -> None:
    """A part of an ordinary day's changes, pressed into seconds, with real keepers and hollow marshals."""
    from brookreach.scale import control as runs
    from brookreach.scale import control_table
    from brookreach.scale.control_cluster import Size
    from brookreach.scale.control_day import share

    if quick:
        marshals, nodes, changes, idle, seconds = (8, 16), 100, 12, 3.0, 4.0
        lease_ms, election_ms = QUICK_LEASE_MS, QUICK_ELECTION_MS
    check_bounds(marshals, nodes, memory_mb, lease_ms, election_ms)
    sizes = [Size(count, nodes, int(keepers), election_ms, lease_ms) for count in marshals]
    print_progress = progress_printer("scale control", as_json)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes of the run end with it
    results, failure = collect_results(runs.run(sizes, share(changes), idle, seconds, seed, print_progress))
    if plot is not None and results:
        control_table.draw(results, plot)
    print_measurements(as_json, control_table.told(results, seed), lambda: control_table.text(results), failure)


@click.command(hidden=True)
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="Number of the first marshal.")
@click.option("--count", type=click.IntRange(1, MAX_BALANCERS), required=True, help="How many marshals.")
@click.option("--zone", default="z0", show_default=True)
@click.option("--nodes", type=click.IntRange(0, MAX_NODES), default=0, help="How many nodes discovery has listed.")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--most-seconds", type=click.FloatRange(1.0, 7_200.0), default=3_600.0, show_default=True)
def hollow(file: Path, first: int, count: int, zone: str, nodes: int, seed: int, most_seconds: float) -> None:
    """Many hollow marshals of the group FILE in one process; commands are JSON lines on standard input."""
    import anyio

    from brookreach.files import InvalidFileError
    from brookreach.scale.hollow_process import BadCommand, HollowProcess

    names = [f"m{number}" for number in range(first, first + count)]
    try:
        anyio.run(HollowProcess(file, names, zone, nodes, seed).run, most_seconds)
    except* (InvalidFileError, BadCommand, PermissionError) as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        click.echo(f"brookreach: {error}", err=True)
        sys.exit(2)


@click.command()
@click.option(
    "--what",
    type=click.Choice(["start", "leader", "zone", "regions"]),
    multiple=True,
    help="As often as wanted; else all four.",
)
@click.option("--marshals", type=NumberList(6, MAX_BALANCERS), default="24,48,96", show_default=True)
@KEEPERS
@click.option("--nodes", type=click.IntRange(MIN_NODES, MAX_NODES), default=100, show_default=True)
@LEASE
@ELECTION
@SEED
@MEMORY
@JSON
@QUICK
@PLOT
def storm(
    what: tuple[str, ...],
    marshals: tuple[int, ...],
    keepers: str,
    nodes: int,
    lease_ms: float,
    election_ms: float,
    seed: int,
    memory_mb: int,
    as_json: bool,
    quick: bool,
    plot: Path | None,
) -> None:
    """All marshals anew at once, the leader killed, a zone gone and back, regions apart and back."""
    from brookreach.scale import storm as runs
    from brookreach.scale import storm_table
    from brookreach.scale.control_cluster import Size

    if quick:
        marshals, nodes = (8, 16), 100
        lease_ms, election_ms = QUICK_LEASE_MS, QUICK_ELECTION_MS
    check_bounds(marshals, nodes, memory_mb, lease_ms, election_ms)
    sizes = [Size(count, nodes, int(keepers), election_ms, lease_ms) for count in marshals]
    print_progress = progress_printer("scale storm", as_json)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes of the run end with it
    results, failure = collect_results(runs.run(what or tuple(runs.SCENARIOS), sizes, seed, print_progress))
    if plot is not None and results:
        storm_table.draw(results, plot)
    print_measurements(as_json, storm_table.told(results, seed), lambda: storm_table.text(results), failure)


@click.command()
@click.option("--marshals", type=NumberList(2, 400), default="25,50,100", show_default=True)
@click.option("--nodes", type=NumberList(MIN_NODES, 2_000), default="50,200", show_default=True)
@SEED
@JSON
def counts(marshals: tuple[int, ...], nodes: tuple[int, ...], seed: int, as_json: bool) -> None:
    """Bytes and rows that marshals are told, exactly: the same code under a virtual clock, in one process."""
    from brookreach.coordination.timing import Timing
    from brookreach.scale import control_counts

    print_progress = progress_printer("scale counts", as_json)
    results = control_counts.run(marshals, nodes, seed, Timing(), print_progress)
    print_result(as_json, control_counts.told(results, seed), lambda: control_counts.text(results))
