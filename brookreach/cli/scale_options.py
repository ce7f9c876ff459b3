"""Options and bounds that the commands of `brookreach scale` for the agreed state share."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

MAX_BALANCERS = 1_500
MIN_NODES = 50
MAX_NODES = 20_000
MAX_MEMORY_MB = 8_192
MIN_ELECTIONS_PER_LEASE = 3.0
"""As a cluster's configuration requires, or leases end at each election."""


class NumberList(click.ParamType[tuple[int, ...]]):
    """Whole numbers with commas between them, each within bounds; they are sorted.

    Attributes:
        least: The smallest number that is allowed.
        most: The largest number that is allowed.
    """

    name = "numbers"

    def __init__(self, least: int, most: int):
        self.least, self.most = least, most

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> tuple[int, ...]:
        """Return the numbers of an option; a tuple is a default that was converted already."""
        if isinstance(value, tuple):
            return value
        numbers = []
        for text in str(value).split(","):
            if not text.strip().isdigit() or not self.least <= int(text) <= self.most:
                self.fail(f"{text.strip()!r} in {value!r}: {self.least} to {self.most} is allowed", param, ctx)
            numbers.append(int(text))
        if len(set(numbers)) < len(numbers):
            self.fail(f"{value!r}: each number once is allowed", param, ctx)
        return tuple(sorted(numbers))


KEEPERS = click.option("--keepers", type=click.Choice(["3", "5"]), default="3", show_default=True)
SEED = click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
LEASE = click.option("--lease-ms", type=click.FloatRange(900.0, 60_000.0), default=3_000.0, show_default=True)
ELECTION = click.option("--election-ms", type=click.FloatRange(150.0, 20_000.0), default=300.0, show_default=True)
MEMORY = click.option(
    "--memory-mb", type=click.IntRange(256, MAX_MEMORY_MB), default=2_048, show_default=True, help="All processes."
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print one object.")
QUICK = click.option("--quick", is_flag=True, help="8 and 16 marshals, a few changes: for continuous integration.")
PLOT = click.option("--plot", type=click.Path(path_type=Path, dir_okay=False), help="Draw the figures there (PNG).")


def check_bounds(marshals: tuple[int, ...], nodes: int, memory_mb: int, lease_ms: float, election_ms: float) -> None:
    """End with exit code 2 if all balancers' tables don't fit the memory, or leases would end at each election."""
    from brookreach.scale.control_cluster import needed_mb

    min_lease_ms = MIN_ELECTIONS_PER_LEASE * election_ms
    if lease_ms < min_lease_ms:
        raise click.BadParameter(
            f"{lease_ms:g} with --election-ms {election_ms:g}; {min_lease_ms:g} or more is allowed",
            param_hint="'--lease-ms'",
        )
    required_mb = needed_mb(max(marshals), nodes)
    if required_mb > memory_mb:
        raise click.BadParameter(
            f"{max(marshals)} marshals with {nodes} nodes each hold about {required_mb} MB; --memory-mb {memory_mb} is "
            f"allowed: fewer marshals or nodes, or up to {MAX_MEMORY_MB} MB",
            param_hint="'--marshals'",
        )
