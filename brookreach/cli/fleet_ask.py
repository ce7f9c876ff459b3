"""`brookreach fleet ask`: operators' orders, each agreed or refused in words."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from brookreach.cli.fleet_ask_work import WORK
from brookreach.cli.talked import REASON, WAIT, File, asked, said

if TYPE_CHECKING:
    from brookreach.coordination.state_machine.application import Command, View

URGENCY = click.option("--urgency", type=click.IntRange(0, 9), default=5, show_default=True)
NAME = click.option("--name", default="", help="The permit's name; else one is made up.")


@click.group()
@click.argument("file", type=File)
@WAIT
@click.pass_context
def ask(context: click.Context, file: Path, wait: float) -> None:
    """Ask the group of FILE for something. What is agreed has a place in its log; a refusal says why."""
    context.obj = partial(_outages, file, wait)


def _outages(file: Path, wait: float, order: Command, then: Callable[[View], str] | None = None) -> None:
    asked(file, wait, "outages", order, then)


def _permit(name: str) -> Callable[[View], str]:
    """How the permit stands."""
    from brookreach.disruption.tables import PERMITS

    def text(view: View) -> str:
        row = view.get(PERMITS, name)
        fence = f", fence {row.fence}" if row is not None and row.fence else ""
        return f"{name} {row.state if row is not None else 'is forgotten'}{fence}"

    return text


def _made(name: str, what: str, target: str) -> str:
    return name or f"{what}-{target}-{secrets.token_hex(3)}"


@ask.command()
@click.argument("node")
@NAME
@URGENCY
@REASON
@click.pass_obj
def drain(send: Any, node: str, name: str, urgency: int, reason: str) -> None:
    """A permit for NODE to go out."""
    from brookreach.disruption.commands import RequestDrain

    name = _made(name, "drain", node)
    send(RequestDrain(name, node, urgency, reason), _permit(name))


@ask.command()
@click.argument("marshal")
@NAME
@URGENCY
@REASON
@click.pass_obj
def restart(send: Any, marshal: str, name: str, urgency: int, reason: str) -> None:
    """A permit for MARSHAL to restart."""
    from brookreach.disruption.commands import RequestRestart

    name = _made(name, "restart", marshal)
    send(RequestRestart(name, marshal, urgency, reason), _permit(name))


@ask.command("take-back")
@click.argument("name")
@REASON
@click.pass_obj
def take_back(send: Any, name: str, reason: str) -> None:
    """The permit NAME is taken back: out of the queue, or its target comes back."""
    from brookreach.disruption.commands import WithdrawPermit

    send(WithdrawPermit(name, reason), _permit(name))


@ask.command()
@click.option("--way-back", is_flag=True, help="But nodes of a build that was sent back may go.")
@REASON
@click.pass_obj
def halt(send: Any, way_back: bool, reason: str) -> None:
    """No permit is given and no stage opens, until a resume names this halt."""
    from brookreach.disruption.commands import Halt
    from brookreach.disruption.tables import HALT

    def text(view: View) -> str:
        row = view.get(HALT, "all")
        return f"halt {row.fence}" if row is not None else "the halt is over"

    send(Halt(reason, way_back), text)


@ask.command()
@click.argument("fence", type=int)
@REASON
@click.pass_obj
def resume(send: Any, fence: int, reason: str) -> None:
    """Lift the halt FENCE, and no other."""
    from brookreach.disruption.commands import Resume

    send(Resume(fence, reason))


@ask.command()
@click.argument("kind", type=click.Choice(["node", "marshal"]))
@click.argument("name")
@REASON
@click.pass_obj
def gone(send: Any, kind: Any, name: str, reason: str) -> None:
    """The node or marshal NAME will never come back."""
    from brookreach.disruption.commands import Decommission

    send(Decommission(kind, name, reason))


@ask.command()
@click.pass_context
def budgets(context: click.Context) -> None:
    """All budgets are as FILE's [[budget]] tables say from now on."""
    from brookreach.coordination import configuration
    from brookreach.disruption.commands import BudgetEntry, SetBudgets
    from brookreach.disruption.states import TargetKind

    assert context.parent is not None
    told = said(partial(configuration.read, context.parent.params["file"]))
    rows = tuple(BudgetEntry(TargetKind(one.kind), one.scope, one.most_out, one.least_ready) for one in told.budgets)
    context.obj(SetBudgets(rows), lambda view: f"{len(rows)} budgets")


for one in WORK:
    ask.add_command(one)
