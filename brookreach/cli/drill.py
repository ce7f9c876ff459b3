"""`brookreach drill NAME`: simulated failures, with every rule of a part of the program checked."""

from __future__ import annotations

import importlib
import inspect
from typing import Any

import click

from brookreach.cli.main import print_result, progress_printer

DRILLS = {
    "verdict": "brookreach.simulation.verdict.drill",
    "xds": "brookreach.simulation.xds.drill",
    "fleet": "brookreach.simulation.coordination.drill",
    "mutation": "brookreach.simulation.mutation.drill",
    "outages": "brookreach.simulation.disruption.drill",
    "gangs": "brookreach.simulation.gang_scheduling.drill",
    "power": "brookreach.simulation.carbon_aware.drill",
    "scope": "brookreach.simulation.subsetting.drill",
    "balancer": "brookreach.simulation.balancer.drill",
    "standstill": "brookreach.simulation.standstill.drill",
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
    module = importlib.import_module(DRILLS[name])
    if plant and plant not in module.DEFECTS:
        raise click.ClickException(f"no defect {plant!r}; {', '.join(module.DEFECTS)} can be planted")
    options: dict[str, Any] = {}  # any: each drill has its own
    if processes is not None:
        if "processes" not in inspect.signature(module.run).parameters:
            raise click.ClickException(f"drill {name} plays in one process")
        if plant:
            raise click.ClickException("a defect can't be planted in processes of the program: leave out --processes")
        options["processes"] = processes
    try:
        report = module.run(seed, seeds, plant or "", progress=progress_printer(f"drill {name}", as_json), **options)
    except ValueError as error:
        raise click.ClickException(str(error)) from None
    print_result(as_json, report.as_dict(), report.as_text)
    raise SystemExit(0 if report.passed else 1)
