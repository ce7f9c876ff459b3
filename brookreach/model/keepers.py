"""`python -m brookreach.model.keepers times|load`: figures of the ground, as tables in markdown.

Most are of a virtual clock and the same at each run; those of disks and processor time are of this machine,
and therefore told as shares of the first row of the same run.
"""

from __future__ import annotations

from collections.abc import Iterable

import click

from brookreach.coordination.timing import Timing
from brookreach.model import keepers_load, keepers_sizes, keepers_store, keepers_times


def _say(title: str, lines: Iterable[str]) -> None:
    click.echo(f"\n{title}\n")
    for line in lines:
        click.echo(line)


@click.group(help=__doc__)
def main() -> None:
    pass


@main.command()
@click.option("--seeds", type=click.IntRange(1), default=200, show_default=True)
@click.option(
    "--scale", type=click.FloatRange(1.0), default=2.0, show_default=True, help="Election time of the figures beside."
)
@click.option("--disk/--no-disk", default=True, show_default=True, help="This machine's disk, too.")
@click.option("--rounds", type=click.IntRange(1), default=9, show_default=True, help="Of the disk's.")
def times(seeds: int, scale: float, disk: bool, rounds: int) -> None:
    """Time without a leader by fault; records, commits and syncs of a group's disks."""
    _say(f"Without a leader, {seeds} seeds each, virtual ms", keepers_times.times(seeds, Timing(), scale=scale))
    if disk:
        _say(
            f"Disks of three keepers in a temporary folder, {rounds} rounds of 60 commits",
            keepers_store.disk(rounds, 60),
        )


@main.command()
@click.option("--seeds", type=click.IntRange(1), default=20, show_default=True, help="Of the leader's end.")
@click.option("--marshals", type=click.IntRange(1), multiple=True, default=(10, 100, 1000), show_default=True)
@click.option("--nodes", type=click.IntRange(50), default=1000, show_default=True)
@click.option("--gbit", type=click.FloatRange(0.001), default=1.0, show_default=True, help="Each uplink.")
@click.option("--minutes", type=click.FloatRange(0.1), default=1.0, show_default=True, help="Of each case.")
@click.option("--sizes/--no-sizes", default=True, show_default=True, help="Processor time by size, too.")
def load(seeds: int, marshals: tuple[int, ...], nodes: int, gbit: float, minutes: float, sizes: bool) -> None:
    """Bytes by the number of marshals; all that come or return at once; cost as the fleet grows."""
    timing = Timing()
    _say(
        f"Bytes a second, {nodes} nodes, {minutes:g} virtual minutes, seed 1",
        keepers_load.marshals_table(marshals, nodes, timing, gbit, minutes),
    )
    _say(
        f"At once, {nodes} nodes, uplinks of {gbit:g} Gbit/s, virtual ms, seed 1",
        keepers_load.return_table(marshals, nodes, timing, gbit),
    )
    _say("The leader's end by seed, virtual ms", keepers_load.seeds_table(100, seeds, nodes, timing, gbit))
    if sizes:
        _say("Processor time of one record, of the smallest fleet's", keepers_sizes.sizes_table())
        _say("The same by drains that are over, 1,000 nodes", keepers_sizes.kept_table())


if __name__ == "__main__":
    main()
