"""`brookreach scale marshal`: what one marshal costs, by nodes, methods and tenants."""

from __future__ import annotations

import click

from brookreach.cli.main import out, progress
from brookreach.cli.scale import BadInput

MOST_RPCS = 100_000


@click.command()
@click.option("--nodes", default="150,1000,4000,12000", show_default=True, help="Ascending, with commas between.")
@click.option("--methods", default="3,240,2400", show_default=True, help="The routes that clients name.")
@click.option("--tenants", default="0,1000,49000", show_default=True)
@click.option("--rpcs", type=click.IntRange(100, MOST_RPCS), help="Timed in each situation.  [default: 3000]")
@click.option("--seed", type=click.IntRange(0), default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one object.")
@click.option("--quick", is_flag=True, help="The least and the largest size only, few RPCs: some seconds.")
@click.option("--full", is_flag=True, help="Every size with every other.")
def marshal(
    nodes: str, methods: str, tenants: str, rpcs: int | None, seed: int, as_json: bool, quick: bool, full: bool
) -> None:
    """Time and count one marshal's decisions, lists and process at each size; fit slopes through them.

    Without --full, tenants are measured beside the least of nodes and methods.
    """
    import msgspec

    from brookreach.scale import marshal_report, marshal_run
    from brookreach.scale.marshal_process import NoAnswer
    from brookreach.scale.marshal_sizes import BadSize, Grid, parse

    if quick and full:
        raise BadInput("--quick or --full, not both")
    try:
        grid = Grid(parse("nodes", nodes), parse("methods", methods), parse("tenants", tenants))
    except BadSize as error:
        raise BadInput(str(error)) from None
    make = marshal_run.quick_plan if quick else marshal_run.full_plan if full else marshal_run.default_plan
    plan = make(grid, rpcs or (300 if quick else 3000), seed)
    command = f"brookreach scale marshal --nodes {nodes} --methods {methods} --tenants {tenants} --seed {seed}"
    command += " --quick" * quick + " --full" * full
    try:
        report = marshal_run.run(plan, command, progress("scale marshal", as_json))
    except (marshal_run.WorkerFailed, NoAnswer) as error:
        raise click.ClickException(str(error)) from None
    out(as_json, msgspec.to_builtins(report), lambda: marshal_report.text(report))
