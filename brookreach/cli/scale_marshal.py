"""`brookreach scale marshal`: what one marshal costs, by nodes, methods and tenants."""

from __future__ import annotations

import click

from brookreach.cli.main import out, progress
from brookreach.cli.scale import BadInput

MOST_RPCS = 100_000
SIZES = {"nodes": "150,1000,4000,12000", "methods": "3,240,2400", "tenants": "0,1000,49000"}
QUICK_SIZES = {"nodes": "150,1000", "methods": "3,240", "tenants": "0,1000"}
RPCS, QUICK_RPCS = 2000, 300


@click.command()
@click.option("--nodes", help=f"Ascending, with commas between.  [default: {SIZES['nodes']}]")
@click.option("--methods", help=f"The routes that clients name.  [default: {SIZES['methods']}]")
@click.option("--tenants", help=f"That settings name.  [default: {SIZES['tenants']}]")
@click.option("--rpcs", type=click.IntRange(100, MOST_RPCS), help=f"Timed in each situation.  [default: {RPCS}]")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.option("--quick", is_flag=True, help="Two small sizes, few RPCs, unless others are told.")
@click.option("--full", is_flag=True, help="Every size with every other.")
def marshal(
    nodes: str | None,
    methods: str | None,
    tenants: str | None,
    rpcs: int | None,
    seed: int,
    as_json: bool,
    quick: bool,
    full: bool,
) -> None:
    """Time and count one marshal's decisions, lists and process at each size; fit slopes through them.

    Without --full, each of nodes, methods and tenants is measured beside the least of the others, and the largest
    of all together.
    """
    import msgspec

    from brookreach.scale import marshal_report, marshal_run
    from brookreach.scale.marshal_process import NoAnswer
    from brookreach.scale.marshal_sizes import BadSize, Grid, parse

    if quick and full:
        raise BadInput("--quick or --full, not both")
    defaults = QUICK_SIZES if quick else SIZES
    told = {"nodes": nodes, "methods": methods, "tenants": tenants}
    sizes = {axis: defaults[axis] if text is None else text for axis, text in told.items()}
    count = rpcs or (QUICK_RPCS if quick else RPCS)
    make = marshal_run.quick_plan if quick else marshal_run.full_plan if full else marshal_run.default_plan
    words = ["brookreach scale marshal", *(f"--{axis} {text}" for axis, text in sizes.items())]
    words += [f"--rpcs {count}", f"--seed {seed}", *["--quick"] * quick, *["--full"] * full]
    try:
        grid = Grid(*(parse(axis, text) for axis, text in sizes.items()))
        report = marshal_run.run(make(grid, count, seed), " ".join(words), progress("scale marshal", as_json))
    except BadSize as error:
        raise BadInput(str(error)) from None
    except (marshal_run.WorkerFailed, NoAnswer) as error:
        raise click.ClickException(str(error)) from None
    out(as_json, msgspec.to_builtins(report), lambda: marshal_report.text(report))
