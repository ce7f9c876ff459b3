"""What commands of `brookreach fleet` share: an operator's session, and how an outcome is printed."""

from __future__ import annotations

import getpass
import re
import secrets
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from brookreach.coordination.protocol.tags import wire_name

if TYPE_CHECKING:
    from brookreach.coordination.client.events import ReplyReceived
    from brookreach.coordination.client.one_shot import OneShotClient
    from brookreach.coordination.state_machine.application import Command, Row, View

File = click.Path(path_type=Path, dir_okay=False)
WAIT = click.option(
    "--wait", type=click.FloatRange(0.1, 600.0), default=10.0, show_default=True, help="Seconds for an answer."
)
REASON = click.option("--reason", required=True, help="For those who read the log.")


def said(call: Callable[[], Any]) -> Any:
    """What a command of the group does; its errors as one line and exit code 1."""
    from brookreach.coordination.client.errors import ClusterUnreachableError
    from brookreach.coordination.errors import StorageError
    from brookreach.files import BadFile

    words = (BadFile, StorageError, ClusterUnreachableError)
    try:
        return call()
    except words as error:
        raise click.ClickException(str(error)) from None
    except BaseExceptionGroup as group:
        one: BaseException | None = group.subgroup(words)
        while isinstance(one, BaseExceptionGroup):
            one = one.exceptions[0]
        if one is None:
            raise
        raise click.ClickException(str(one)) from None


def operator() -> str:
    """A name of its own for each command, so that two at once are two clients."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = "operator"
    return f"{re.sub(r'[^A-Za-z0-9._-]', '-', user)[:40]}-{secrets.token_hex(4)}"


def talked(file: Path, wait_s: float, what: Callable[[OneShotClient], Awaitable[Any]]) -> Any:
    """`what` in a session of its own, that watches all that operators look at."""
    import anyio

    from brookreach.coordination.client.one_shot import one_shot_client

    async def whole() -> Any:
        async with one_shot_client(file, operator(), "operator", tables(), wait_s) as one:
            return await what(one)

    return said(partial(anyio.run, whole))


def tables() -> dict[str, type[Row]]:
    """What operators look at. Not a schedule's rows, which are many and stand in its file."""
    from brookreach.applications import load_applications
    from brookreach.carbon_aware.tables import CURRENT, OFFERS
    from brookreach.coordination.state_machine import sessions
    from brookreach.disruption.tables import ASSIGNED, BUDGETS, HALT, MARSHALS, NODES, PERMITS, RELEASES
    from brookreach.gang_scheduling.tables import GANGS, MEMBERS, ROOMS

    known = {name: row for one in load_applications() for name, row in one.tables.items()}
    known[sessions.SESSIONS] = sessions.TABLES[sessions.SESSIONS]
    names = (
        NODES,
        MARSHALS,
        PERMITS,
        HALT,
        RELEASES,
        BUDGETS,
        ASSIGNED,
        GANGS,
        MEMBERS,
        ROOMS,
        CURRENT,
        OFFERS,
        sessions.SESSIONS,
    )
    return {name: known[name] for name in names}


def asked(file: Path, wait_s: float, piece: str, order: Command, then: Callable[[View], str] | None = None) -> None:
    """Prints the place and what stands there; a refusal in its words, and exit code 1."""
    answer, text = answers(file, wait_s, piece, [order], then)[0]
    if not answer.ok:
        raise click.ClickException(f"refused: {answer.text}")
    click.echo(f"agreed at place {answer.index}{': ' if text else ''}{text}")


def answers(
    file: Path,
    wait_s: float,
    piece: str,
    orders: Sequence[Command],
    then: Callable[[View], str] | None = None,
    on: bool = False,
) -> list[tuple[ReplyReceived, str]]:
    """One after another in one session, each with what `then` says of it; to the first refusal, or `on`."""
    for order in orders:
        sayable(order)

    async def each(one: OneShotClient) -> list[tuple[ReplyReceived, str]]:
        got: list[tuple[ReplyReceived, str]] = []
        for order in orders:
            answer = await one.propose(piece, order)
            last = len(got) == len(orders) - 1
            stops = not answer.ok and not on
            look = then is not None and (last or stops or on)
            got.append((answer, then(await one.read_view(answer.index)) if look and then else ""))
            if stops:
                break
        return got

    told: list[tuple[ReplyReceived, str]] = talked(file, wait_s, each)
    return told


def sayable(order: Command) -> None:
    """Whether it can be said at all, by the bounds of its fields; else one line and exit code 1."""
    import msgspec

    try:
        msgspec.convert(msgspec.to_builtins(order), type(order))
    except msgspec.ValidationError as error:
        raise click.ClickException(f"{wire_name(order)}: {error}") from None
