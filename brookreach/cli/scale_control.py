"""`brookreach scale control|storm|hollow`: what the agreed state costs keepers and marshals at size."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeVar

import click

from brookreach.cli.main import out, progress

MOST_MARSHALS, LEAST_NODES, MOST_NODES = 1_500, 50, 20_000
MOST_MEMORY_MB = 8_192
QUICK_TIMES = 12_000.0, 3_000.0  # lease and election, in ms: a busy machine must not end sessions
ELECTIONS_A_LEASE = 3.0  # as `read_values.config` has it

Run = TypeVar("Run")


class Numbers(click.ParamType):
    """Whole numbers in a row with commas between them, each within bounds."""

    name = "numbers"

    def __init__(self, least: int, most: int):
        self.least, self.most = least, most

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> tuple[int, ...]:
        if isinstance(value, tuple):
            return value
        found = []
        for text in str(value).split(","):
            if not text.strip().isdigit() or not self.least <= int(text) <= self.most:
                self.fail(f"{text.strip()!r} in {value!r}: {self.least} to {self.most} is allowed", param, ctx)
            found.append(int(text))
        if len(set(found)) < len(found):
            self.fail(f"{value!r}: each number once is allowed", param, ctx)
        return tuple(sorted(found))


KEEPERS = click.option("--keepers", type=click.Choice(["3", "5"]), default="3", show_default=True)
SEED = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
LEASE = click.option("--lease-ms", type=click.FloatRange(900.0, 60_000.0), default=3_000.0, show_default=True)
ELECTION = click.option("--election-ms", type=click.FloatRange(150.0, 20_000.0), default=300.0, show_default=True)
MEMORY = click.option(
    "--memory-mb", type=click.IntRange(256, MOST_MEMORY_MB), default=2_048, show_default=True, help="All processes."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print one object.")
QUICK = click.option("--quick", is_flag=True, help="8 and 16 marshals, a few changes: for continuous integration.")
PLOT = click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="Draw the figures there (PNG).")


def gathered(runs: Iterator[Run]) -> tuple[list[Run], str]:
    """What a scale test gives, and why it ended before it was through; "" where it was not."""
    from brookreach.coordination.client.errors import ClusterUnreachableError
    from brookreach.scale.control_children import ChildFailed
    from brookreach.scale.control_cluster import NotSettled

    known = (ClusterUnreachableError, ChildFailed, NotSettled)
    found: list[Run] = []
    try:
        for one in runs:
            found.append(one)
    except known as error:
        return found, str(error)
    except KeyboardInterrupt:
        return found, "it was told to end"
    except BaseExceptionGroup as group:
        inner: BaseException | None = group.subgroup(known)
        while isinstance(inner, BaseExceptionGroup):
            inner = inner.exceptions[0]
        if inner is None:
            raise
        return found, str(inner)
    return found, ""


def shown(as_json: bool, told: dict[str, Any], text: Callable[[], str], failure: str) -> None:
    """What was measured; then exit code 1 where a run ended early."""
    out(as_json, told | {"failure": failure}, text)
    if failure:
        raise click.ClickException(f"not all sizes were measured: {failure}")


def bounded(marshals: tuple[int, ...], nodes: int, memory_mb: int, lease_ms: float, election_ms: float) -> None:
    """Exit 2 where the tables of all marshals would not fit the memory, or leases would end at each election."""
    from brookreach.scale.control_cluster import needed_mb

    if lease_ms < ELECTIONS_A_LEASE * election_ms:
        raise click.BadParameter(
            f"{lease_ms:g} with --election-ms {election_ms:g}; {ELECTIONS_A_LEASE * election_ms:g} or more is allowed",
            param_hint="'--lease-ms'",
        )
    needed = needed_mb(max(marshals), nodes)
    if needed > memory_mb:
        raise click.BadParameter(
            f"{max(marshals)} marshals with {nodes} nodes each hold about {needed} MB; --memory-mb {memory_mb} is "
            f"allowed: fewer marshals or nodes, or up to {MOST_MEMORY_MB} MB",
            param_hint="'--marshals'",
        )


@click.command()
@click.option("--marshals", type=Numbers(2, MOST_MARSHALS), default="25,50,100", show_default=True)
@KEEPERS
@click.option("--nodes", type=click.IntRange(LEAST_NODES, MOST_NODES), default=300, show_default=True)
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
        lease_ms, election_ms = QUICK_TIMES
    bounded(marshals, nodes, memory_mb, lease_ms, election_ms)
    sizes = [Size(many, nodes, int(keepers), election_ms, lease_ms) for many in marshals]
    tell = progress("scale control", as_json)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes of the run end with it
    found, failure = gathered(runs.run(sizes, share(changes), idle, seconds, seed, tell))
    if plot is not None and found:
        control_table.draw(found, plot)
    shown(as_json, control_table.told(found, seed), lambda: control_table.text(found), failure)


@click.command(hidden=True)
@click.argument("file", type=click.Path(path_type=Path, dir_okay=False, exists=True))
@click.option("--first", type=click.IntRange(0), default=0, show_default=True, help="Number of the first marshal.")
@click.option("--count", type=click.IntRange(1, MOST_MARSHALS), required=True, help="How many marshals.")
@click.option("--zone", default="z0", show_default=True)
@click.option("--nodes", type=click.IntRange(0, MOST_NODES), default=0, help="How many nodes discovery has listed.")
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
        one: BaseException = group
        while isinstance(one, BaseExceptionGroup):
            one = one.exceptions[0]
        click.echo(f"brookreach: {one}", err=True)
        sys.exit(2)


@click.command()
@click.option(
    "--what",
    type=click.Choice(["start", "leader", "zone", "regions"]),
    multiple=True,
    help="As often as wanted; else all four.",
)
@click.option("--marshals", type=Numbers(6, MOST_MARSHALS), default="24,48,96", show_default=True)
@KEEPERS
@click.option("--nodes", type=click.IntRange(LEAST_NODES, MOST_NODES), default=100, show_default=True)
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
        lease_ms, election_ms = QUICK_TIMES
    bounded(marshals, nodes, memory_mb, lease_ms, election_ms)
    sizes = [Size(many, nodes, int(keepers), election_ms, lease_ms) for many in marshals]
    tell = progress("scale storm", as_json)
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that all processes of the run end with it
    found, failure = gathered(runs.run(what or tuple(runs.SCENARIOS), sizes, seed, tell))
    if plot is not None and found:
        storm_table.draw(found, plot)
    shown(as_json, storm_table.told(found, seed), lambda: storm_table.text(found), failure)


@click.command()
@click.option("--marshals", type=Numbers(2, 400), default="25,50,100", show_default=True)
@click.option("--nodes", type=Numbers(LEAST_NODES, 2_000), default="50,200", show_default=True)
@SEED
@JSON
def counts(marshals: tuple[int, ...], nodes: tuple[int, ...], seed: int, as_json: bool) -> None:
    """Bytes and rows that marshals are told, exactly: the same code under a virtual clock, in one process."""
    from brookreach.coordination.timing import Timing
    from brookreach.scale import control_counts

    tell = progress("scale counts", as_json)
    found = control_counts.run(marshals, nodes, seed, Timing(), tell)
    out(as_json, control_counts.told(found, seed), lambda: control_counts.text(found))
