"""`brookreach drill NAME`: the failures that a direction is meant for, with every rule checked."""

from __future__ import annotations

import importlib
import inspect
from typing import Any

import click

from brookreach.cli.main import out, progress

DRILLS = {
    "verdict": "brookreach.simulation.verdict",
    "xds": "brookreach.simulation.xds.drill",
    "fleet": "brookreach.simulation.coordination.drill",
    "mutation": "brookreach.simulation.mutation.drill",
    "outages": "brookreach.simulation.disruption.drill",
    "gangs": "brookreach.simulation.gang_scheduling.drill",
    "power": "brookreach.simulation.carbon_aware.drill",
    "scope": "brookreach.simulation.subsetting.drill",
    "balancer": "brookreach.simulation.balancer.drill",
}


@click.command()
@click.argument("name", type=click.Choice(list(DRILLS)))
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=5, show_default=True)
@click.option("--processes", type=click.IntRange(3, 27), help="Play it between so many processes of the program.")
@click.option("--plant", help="Switch a known defect on; the drill must then find it.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def drill(name: str, seed: int, seeds: int, processes: int | None, plant: str | None, as_json: bool) -> None:
    """Exit 0 where all rules are kept, else 1 with the seed that shows it again."""
    part = importlib.import_module(DRILLS[name])
    if plant and plant not in part.DEFECTS:
        raise click.ClickException(f"no defect {plant!r}; {', '.join(part.DEFECTS)} can be planted")
    more: dict[str, Any] = {}
    if processes is not None:
        if "processes" not in inspect.signature(part.run).parameters:
            raise click.ClickException(f"drill {name} plays in one process")
        if plant:
            raise click.ClickException("a defect can't be planted in processes of the program: leave out --processes")
        more["processes"] = processes
    try:
        report = part.run(seed, seeds, plant or "", progress=progress(f"drill {name}", as_json), **more)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    out(as_json, report.as_dict(), report.as_text)
    raise SystemExit(0 if report.passed else 1)
