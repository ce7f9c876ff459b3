"""`brookreach fleet ask`, the orders about work: schedules of power, gangs, retirements, releases.

It owns how files and words of a command line become orders. What is wrong in them is said before anything is
asked.
"""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from brookreach.cli.talked import REASON, File, answers, asked, said

if TYPE_CHECKING:
    from brookreach.coordination.state_machine.application import Command, View


def _group(context: click.Context) -> tuple[Path, float]:
    """FILE and --wait, as `fleet ask` was told them."""
    assert context.parent is not None
    return context.parent.params["file"], context.parent.params["wait"]


# --- power ---


def _in_force(view: View) -> str:
    from brookreach.carbon_aware.tables import ACTIVE_SCHEDULE

    row = view.get(ACTIVE_SCHEDULE, "all")
    if row is None:
        return "no schedule is in force"
    return f"schedule {row.version} " + (f"no longer counts: {row.end_reason}" if row.end_reason else "is in force")


@click.command()
@click.argument("power", type=File)
@click.pass_context
def schedule(context: click.Context, power: Path) -> None:
    """All go by the schedule of POWER from the place on where its last part is agreed."""
    from brookreach.carbon_aware.commands import upload_commands
    from brookreach.carbon_aware.schedule_file import read_schedule

    told = said(partial(read_schedule, power))
    sent = list(upload_commands(told.version, told.zones, told.intervals))
    got = answers(*_group(context), "power", sent, _in_force)
    answer, text = got[-1]
    if not answer.ok:
        raise click.ClickException(f"refused at part {len(got)} of {len(sent)}: {answer.text}; {text}")
    now = f"schedule {told.version} is in force"  # as its last part's agreement says, wherever the mirror is
    click.echo(f"agreed at place {answer.index}: {now}, {len(told.intervals)} rows in {len(sent)} records")


@click.command("drop-schedule")
@click.argument("version", type=int)
@click.pass_context
def drop_schedule(context: click.Context, version: int) -> None:
    """Take the schedule VERSION back: all zones and times count alike."""
    from brookreach.carbon_aware.commands import DropSchedule

    asked(*_group(context), "power", DropSchedule(version), _in_force)


# --- gangs ---


@click.command()
@click.argument("gangs", type=File)
@click.option("--name", "names", multiple=True, help="Only these of the file, as often as wanted; else all.")
@click.pass_context
def gang(context: click.Context, gangs: Path, names: tuple[str, ...]) -> None:
    """Submit the gangs of GANGS, each for itself: one that is refused keeps none of the others."""
    from brookreach.gang_scheduling.gang_file import read

    known = {one.gang: one for one in said(partial(read, gangs, time.time_ns() // 1_000_000))}
    for name in names:
        if name not in known:
            raise click.ClickException(f"{gangs}: no gang {name!r}; {', '.join(known)} stand there")
    sent = [known[name] for name in dict.fromkeys(names or known)]
    refused = []
    for one, (answer, _) in zip(sent, answers(*_group(context), "gangs", sent, on=True), strict=True):
        if answer.ok:
            click.echo(f"{one.gang}: agreed at place {answer.index}")
        else:
            refused.append(f"refused: {answer.text}")
    if refused:
        raise click.ClickException("\n".join(refused))


@click.command()
@click.argument("name", metavar="GANG")
@REASON
@click.pass_context
def cancel(context: click.Context, name: str, reason: str) -> None:
    """End GANG; of one that has ended, take its rows away."""
    from brookreach.gang_scheduling.commands import Cancel
    from brookreach.gang_scheduling.tables import GANGS

    def text(view: View) -> str:
        row = view.get(GANGS, name)
        return f"{name} {row.state if row is not None else 'is forgotten'}"

    asked(*_group(context), "gangs", Cancel(name, reason), text)


# --- nodes that go, builds that come ---


@click.command()
@click.argument("node")
@click.argument("at", metavar="AT|withdraw")
@click.pass_context
def retire(context: click.Context, node: str, at: str) -> None:
    """NODE is taken away at the time AT, as in 2026-10-25T01:00:00+02:00; `withdraw`: it stays after all."""
    from brookreach.carbon_aware.schedule_file import parse_time
    from brookreach.disruption.commands import RetirementNotice, RetirementWithdrawn

    order: Command = RetirementWithdrawn(node)
    if at != "withdraw":
        try:
            order = RetirementNotice(node, parse_time(at))
        except ValueError as error:
            raise click.ClickException(f"AT: {error}, or 'withdraw'") from None
    asked(*_group(context), "outages", order)


def _thousandths(context: click.Context, option: click.Parameter, told: str) -> tuple[int, ...]:
    try:
        return tuple(int(one) for one in told.split(","))
    except ValueError:
        raise click.BadParameter(f"{told!r}; thousandths by stage are allowed, as in 50,400,1000") from None


def _release(build: int, view: View) -> str:
    from brookreach.disruption.tables import RELEASES

    row = view.get(RELEASES, str(build))
    return f"build {build} {row.state}, stage {row.stage} of {len(row.shares)}" if row is not None else ""


@click.command()
@click.argument("build", type=int)
@click.option("--earlier", type=int, required=True, help="The build to go back to.")
@click.option("--shares", callback=_thousandths, required=True, help="Of the nodes, in thousandths by stage.")
@click.option("--caps", callback=_thousandths, required=True, help="Of the picks, in thousandths by stage.")
@click.option("--wait-ms", type=int, default=600_000, show_default=True, help="Of a whole stage, before on.")
@click.option("--back-votes", type=int, default=1, show_default=True, help="Marshals that send it back.")
@click.option("--on-votes", type=int, default=1, show_default=True, help="Marshals that a stage needs.")
@click.pass_context
def release(context: click.Context, build: int, **told: Any) -> None:
    """Begin the release of BUILD."""
    from brookreach.disruption.commands import BeginRelease

    asked(*_group(context), "outages", BeginRelease(build=build, **told), partial(_release, build))


@click.command("send-back")
@click.argument("build", type=int)
@REASON
@click.pass_context
def send_back(context: click.Context, build: int, reason: str) -> None:
    """BUILD goes back from any stage, and never returns."""
    from brookreach.disruption.commands import SendBack

    asked(*_group(context), "outages", SendBack(build, reason), partial(_release, build))


WORK = (schedule, drop_schedule, gang, cancel, retire, release, send_back)
