"""`brookreach waves`: whole rollouts in the model, by case and seed."""

from __future__ import annotations

import os
from pathlib import Path

import click

from brookreach.cli.main import print_result, progress_printer

MAX_DEFAULT_MARSHALS = 30
"""Cases with more are played only by name."""


@click.command()
@click.argument("names", nargs=-1)
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1_000_000), default=20, show_default=True, help="Waves a case.")
@click.option("--jobs", type=click.IntRange(1, 256), default=os.cpu_count() or 1, show_default=True, help="Processes.")
@click.option(
    "--rows",
    type=click.Path(path_type=Path, dir_okay=False),
    help="A row a wave goes here as it ends; what it holds already is not played again.",
)
@click.option("--list", "listed", is_flag=True, help="Print the cases' names.")
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
def waves(
    names: tuple[str, ...], seed: int, seeds: int, jobs: int, rows: Path | None, listed: bool, as_json: bool
) -> None:
    """Play waves of the cases NAMES (all of up to 30 marshals without one) and count how they ended."""
    from brookreach.model import experiment
    from brookreach.model.case import CASES

    if listed:
        print_result(as_json, {"cases": list(CASES)}, lambda: "\n".join(CASES))
        return
    unknown = [name for name in names if name not in CASES]
    if unknown:
        raise click.ClickException(f"no case {', '.join(unknown)}; --list names them")
    cases = list(names) or [name for name, case in CASES.items() if case.marshals <= MAX_DEFAULT_MARSHALS]
    try:
        rollouts = experiment.run(
            experiment.work_of(cases, seed, seeds), jobs, rows, progress_printer("waves", as_json)
        )
    except OSError as error:
        raise click.ClickException(f"{rows}: {error.strerror}") from None
    summary = sorted(experiment.summary(rollouts), key=lambda row: cases.index(row["case"]))
    print_result(as_json, {"seed": seed, "seeds": seeds, "cases": summary}, lambda: experiment.table(summary))
