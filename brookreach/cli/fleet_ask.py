"""`brookreach fleet ask`: commands of operators, each agreed or rejected with a reason."""

from __future__ import annotations

import secrets
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Literal

import click

from brookreach.cli.fleet_ask_work import WORK_COMMANDS
from brookreach.cli.operator_session import (
    DISRUPTION,
    FILE_PATH,
    REASON_OPTION,
    WAIT_OPTION,
    OperatorSession,
    report_errors,
)

if TYPE_CHECKING:
    from brookreach.coordination.state_machine.application import View

URGENCY_OPTION = click.option("--urgency", type=click.IntRange(0, 9), default=5, show_default=True)
NAME_OPTION = click.option("--name", default="", help="The permit's name; else one is made up.")
NAME_SUFFIX_BYTES = 3


@click.group()
@click.argument("file", type=FILE_PATH)
@WAIT_OPTION
@click.pass_context
def ask(context: click.Context, file: Path, wait: float) -> None:
    """Ask the group of FILE for something. What is agreed has a place in its log; a refusal says why."""
    context.obj = OperatorSession(file, wait)


def _describe_permit(name: str, view: View) -> str:
    from brookreach.disruption.tables import PERMITS

    row = view.get(PERMITS, name)
    if row is None:
        return f"{name} is forgotten"
    fence = f", fence {row.fence}" if row.fence else ""
    return f"{name} {row.state}{fence}"


def _describe_halt(view: View) -> str:
    from brookreach.disruption.tables import HALT

    row = view.get(HALT, "all")
    return f"halt {row.fence}" if row is not None else "the halt is over"


def _permit_name(name: str, kind: str, target: str) -> str:
    return name or f"{kind}-{target}-{secrets.token_hex(NAME_SUFFIX_BYTES)}"


@ask.command()
@click.argument("node")
@NAME_OPTION
@URGENCY_OPTION
@REASON_OPTION
@click.pass_obj
def drain(session: OperatorSession, node: str, name: str, urgency: int, reason: str) -> None:
    """A permit for NODE to go out."""
    from brookreach.disruption.commands import RequestDrain

    permit = _permit_name(name, "drain", node)
    session.propose(DISRUPTION, RequestDrain(permit, node, urgency, reason), partial(_describe_permit, permit))


@ask.command()
@click.argument("marshal")
@NAME_OPTION
@URGENCY_OPTION
@REASON_OPTION
@click.pass_obj
def restart(session: OperatorSession, marshal: str, name: str, urgency: int, reason: str) -> None:
    """A permit for MARSHAL to restart."""
    from brookreach.disruption.commands import RequestRestart

    permit = _permit_name(name, "restart", marshal)
    session.propose(DISRUPTION, RequestRestart(permit, marshal, urgency, reason), partial(_describe_permit, permit))


@ask.command("take-back")
@click.argument("name")
@REASON_OPTION
@click.pass_obj
def take_back(session: OperatorSession, name: str, reason: str) -> None:
    """The permit NAME is taken back: out of the queue, or its target comes back."""
    from brookreach.disruption.commands import WithdrawPermit

    session.propose(DISRUPTION, WithdrawPermit(name, reason), partial(_describe_permit, name))


@ask.command()
@click.option("--way-back", is_flag=True, help="But nodes of a build that was sent back may go.")
@REASON_OPTION
@click.pass_obj
def halt(session: OperatorSession, way_back: bool, reason: str) -> None:
    """No permit is given and no stage opens, until a resume names this halt."""
    from brookreach.disruption.commands import Halt

    session.propose(DISRUPTION, Halt(reason, way_back), _describe_halt)


@ask.command()
@click.argument("fence", type=int)
@REASON_OPTION
@click.pass_obj
def resume(session: OperatorSession, fence: int, reason: str) -> None:
    """Lift the halt FENCE, and no other."""
    from brookreach.disruption.commands import Resume

    session.propose(DISRUPTION, Resume(fence, reason))


@ask.command()
@click.argument("kind", type=click.Choice(["node", "marshal"]))
@click.argument("name")
@REASON_OPTION
@click.pass_obj
def gone(session: OperatorSession, kind: Literal["node", "marshal"], name: str, reason: str) -> None:
    """The node or marshal NAME will never come back."""
    from brookreach.disruption.commands import Decommission
    from brookreach.disruption.states import TargetKind

    session.propose(DISRUPTION, Decommission(TargetKind(kind), name, reason))


@ask.command()
@click.pass_obj
def budgets(session: OperatorSession) -> None:
    """All budgets are as FILE's [[budget]] tables say from now on."""
    from brookreach.coordination import configuration
    from brookreach.disruption.commands import BudgetEntry, SetBudgets
    from brookreach.disruption.states import TargetKind

    cluster = report_errors(partial(configuration.read, session.file))
    rows = tuple(
        BudgetEntry(TargetKind(budget.kind), budget.scope, budget.most_out, budget.least_ready)
        for budget in cluster.budgets
    )
    session.propose(DISRUPTION, SetBudgets(rows), lambda _view: f"{len(rows)} budgets")


for work_command in WORK_COMMANDS:
    ask.add_command(work_command)
