"""`brookreach fleet ask`, the commands about work: carbon-aware schedules, gangs, retirements and releases.

What is wrong in a file or an argument is reported before anything is proposed.
"""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import click

from brookreach.cli.operator_session import (
    CARBON_AWARE,
    DISRUPTION,
    FILE_PATH,
    GANG_SCHEDULING,
    REASON_OPTION,
    OperatorSession,
    report_errors,
)

if TYPE_CHECKING:
    from brookreach.coordination.state_machine.application import Command, View

NANOSECONDS_PER_MS = 1_000_000
WITHDRAW = "withdraw"  # in place of a node's time of retirement


# --- carbon-aware schedules ---


def _describe_schedule(view: View) -> str:
    from brookreach.carbon_aware.tables import ACTIVE_SCHEDULE

    row = view.get(ACTIVE_SCHEDULE, "all")
    if row is None:
        return "no schedule is in force"
    state = f"no longer counts: {row.end_reason}" if row.end_reason else "is in force"
    return f"schedule {row.version} {state}"


@click.command()
@click.argument("power", type=FILE_PATH)
@click.pass_obj
def schedule(session: OperatorSession, power: Path) -> None:
    """All go by the schedule of POWER from the place on where its last part is agreed."""
    from brookreach.carbon_aware.commands import upload_commands
    from brookreach.carbon_aware.schedule_file import read_schedule

    content = report_errors(partial(read_schedule, power))
    commands = list(upload_commands(content.version, content.zones, content.intervals))
    outcomes = session.propose_all(CARBON_AWARE, commands, _describe_schedule)
    last = outcomes[-1]
    if not last.reply.ok:
        position = f"refused at part {len(outcomes)} of {len(commands)}"
        raise click.ClickException(f"{position}: {last.reply.text}; {last.description}")
    # The schedule is in force once its last part is agreed, whether the client's cache has it already or not.
    size = f"{len(content.intervals)} rows in {len(commands)} records"
    click.echo(f"agreed at place {last.reply.index}: schedule {content.version} is in force, {size}")


@click.command("drop-schedule")
@click.argument("version", type=int)
@click.pass_obj
def drop_schedule(session: OperatorSession, version: int) -> None:
    """Take the schedule VERSION back: all zones and times count alike."""
    from brookreach.carbon_aware.commands import DropSchedule

    session.propose(CARBON_AWARE, DropSchedule(version), _describe_schedule)


# --- gangs ---


@click.command()
@click.argument("gangs", type=FILE_PATH)
@click.option("--name", "names", multiple=True, help="Only these of the file, as often as wanted; else all.")
@click.pass_obj
def gang(session: OperatorSession, gangs: Path, names: tuple[str, ...]) -> None:
    """Submit the gangs of GANGS, each for itself: one that is refused keeps none of the others."""
    from brookreach.gang_scheduling.gang_file import read_gang_file

    now_ms = time.time_ns() // NANOSECONDS_PER_MS
    known = {submission.gang: submission for submission in report_errors(partial(read_gang_file, gangs, now_ms))}
    for name in names:
        if name not in known:
            raise click.ClickException(f"{gangs}: no gang {name!r}; {', '.join(known)} stand there")
    submissions = [known[name] for name in dict.fromkeys(names or known)]
    outcomes = session.propose_all(GANG_SCHEDULING, submissions, continue_after_rejection=True)
    rejections = []
    for submission, outcome in zip(submissions, outcomes, strict=True):
        if outcome.reply.ok:
            click.echo(f"{submission.gang}: agreed at place {outcome.reply.index}")
        else:
            rejections.append(f"refused: {outcome.reply.text}")
    if rejections:
        raise click.ClickException("\n".join(rejections))


def _describe_gang(name: str, view: View) -> str:
    from brookreach.gang_scheduling.tables import GANGS

    row = view.get(GANGS, name)
    state = row.state if row is not None else "is forgotten"
    return f"{name} {state}"


@click.command()
@click.argument("name", metavar="GANG")
@REASON_OPTION
@click.pass_obj
def cancel(session: OperatorSession, name: str, reason: str) -> None:
    """End GANG; of one that has ended, take its rows away."""
    from brookreach.gang_scheduling.commands import CancelGang

    session.propose(GANG_SCHEDULING, CancelGang(name, reason), partial(_describe_gang, name))


# --- retirements of nodes and releases of builds ---


@click.command()
@click.argument("node")
@click.argument("at", metavar="AT|withdraw")
@click.pass_obj
def retire(session: OperatorSession, node: str, at: str) -> None:
    """NODE is taken away at the time AT, as in 2026-10-25T01:00:00+02:00; `withdraw`: it stays after all."""
    from brookreach.carbon_aware.schedule_file import parse_time
    from brookreach.disruption.commands import AnnounceRetirement, WithdrawRetirement

    command: Command
    if at == WITHDRAW:
        command = WithdrawRetirement(node)
    else:
        try:
            command = AnnounceRetirement(node, parse_time(at))
        except ValueError as error:
            raise click.ClickException(f"AT: {error}, or 'withdraw'") from None
    session.propose(DISRUPTION, command)


def _parse_thousandths(_context: click.Context, _option: click.Parameter, text: str) -> tuple[int, ...]:
    try:
        return tuple(int(part) for part in text.split(","))
    except ValueError:
        raise click.BadParameter(f"{text!r}; thousandths by stage are allowed, as in 50,400,1000") from None


def _describe_release(build: int, view: View) -> str:
    from brookreach.disruption.tables import RELEASES

    row = view.get(RELEASES, str(build))
    return f"build {build} {row.state}, stage {row.stage} of {len(row.node_shares)}" if row is not None else ""


@click.command()
@click.argument("build", type=int)
@click.option("--earlier", type=int, required=True, help="The build to go back to.")
@click.option("--shares", callback=_parse_thousandths, required=True, help="Of the nodes, in thousandths by stage.")
@click.option("--caps", callback=_parse_thousandths, required=True, help="Of the picks, in thousandths by stage.")
@click.option("--wait-ms", type=int, default=600_000, show_default=True, help="Of a whole stage, before on.")
@click.option("--back-votes", type=int, default=1, show_default=True, help="Marshals that send it back.")
@click.option("--on-votes", type=int, default=1, show_default=True, help="Marshals that a stage needs.")
@click.pass_obj
def release(
    session: OperatorSession,
    build: int,
    earlier: int,
    shares: tuple[int, ...],
    caps: tuple[int, ...],
    wait_ms: int,
    back_votes: int,
    on_votes: int,
) -> None:
    """Begin the release of BUILD."""
    from brookreach.disruption.commands import StartRelease

    command = StartRelease(
        build=build,
        previous_build=earlier,
        node_shares=shares,
        traffic_caps=caps,
        soak_ms=wait_ms,
        rollback_votes_needed=back_votes,
        promote_votes_needed=on_votes,
    )
    session.propose(DISRUPTION, command, partial(_describe_release, build))


@click.command("send-back")
@click.argument("build", type=int)
@REASON_OPTION
@click.pass_obj
def send_back(session: OperatorSession, build: int, reason: str) -> None:
    """BUILD goes back from any stage, and never returns."""
    from brookreach.disruption.commands import RollBackRelease

    session.propose(DISRUPTION, RollBackRelease(build, reason), partial(_describe_release, build))


WORK_COMMANDS = (schedule, drop_schedule, gang, cancel, retire, release, send_back)
