"""`brookreach scale marshal`: what one balancer costs, by nodes, methods and tenants."""

from __future__ import annotations

import click

from brookreach.cli.main import print_result, progress_printer
from brookreach.cli.scale import InvalidInputError

MAX_RPCS = 100_000
SIZES = {"nodes": "150,1000,4000,12000", "methods": "3,240,2400", "tenants": "0,1000,49000"}
QUICK_SIZES = {"nodes": "150,1000", "methods": "3,240", "tenants": "0,1000"}
RPCS = 2000
QUICK_RPCS = 300

HELP = """Time and count one marshal's decisions, lists and process at each size; fit slopes through them. Exit 1
where a process could not be measured.

Without --full, each of nodes, methods and tenants is measured beside the least of the others, and the largest
of all together.
"""


@click.command(help=HELP)
@click.option("--nodes", help=f"Ascending, with commas between.  [default: {SIZES['nodes']}]")
@click.option("--methods", help=f"The routes that clients name.  [default: {SIZES['methods']}]")
@click.option("--tenants", help=f"That settings name.  [default: {SIZES['tenants']}]")
@click.option("--rpcs", type=click.IntRange(100, MAX_RPCS), help=f"Timed in each situation.  [default: {RPCS}]")
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
    """Measure one balancer at each size, and print the report."""
    import msgspec

    from brookreach.scale import marshal_report, marshal_run
    from brookreach.scale.marshal_sizes import BadSize, Grid, parse

    if quick and full:
        raise InvalidInputError("--quick or --full, not both")
    defaults = QUICK_SIZES if quick else SIZES
    options = {"nodes": nodes, "methods": methods, "tenants": tenants}
    sizes = {axis: defaults[axis] if text is None else text for axis, text in options.items()}
    count = rpcs or (QUICK_RPCS if quick else RPCS)
    make_plan = marshal_run.quick_plan if quick else marshal_run.full_plan if full else marshal_run.default_plan
    command = ["brookreach scale marshal", *(f"--{axis} {text}" for axis, text in sizes.items())]
    command += [f"--rpcs {count}", f"--seed {seed}", *["--quick"] * quick, *["--full"] * full]
    try:
        grid = Grid(*(parse(axis, text) for axis, text in sizes.items()))
        report = marshal_run.run(
            make_plan(grid, count, seed), " ".join(command), progress_printer("scale marshal", as_json)
        )
    except BadSize as error:
        raise InvalidInputError(str(error)) from None
    except marshal_run.WorkerFailed as error:
        raise click.ClickException(str(error)) from None
    print_result(as_json, msgspec.to_builtins(report), lambda: marshal_report.text(report))
    raise SystemExit(1 if report.faults else 0)
