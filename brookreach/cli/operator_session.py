"""What the commands of `brookreach fleet` share: an operator's session, and how outcomes and errors are printed."""

from __future__ import annotations

import getpass
import re
import secrets
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, TypeVar

import click

from brookreach.coordination.protocol.tags import wire_name

if TYPE_CHECKING:
    from brookreach.coordination.client.events import ReplyReceived
    from brookreach.coordination.client.one_shot import OneShotClient
    from brookreach.coordination.state_machine.application import Command, Row, View

FILE_PATH = click.Path(path_type=Path, dir_okay=False)
WAIT_OPTION = click.option(
    "--wait", type=click.FloatRange(0.1, 600.0), default=10.0, show_default=True, help="Seconds for an answer."
)
REASON_OPTION = click.option("--reason", required=True, help="For those who read the log.")

# Names of the applications, as the log's records bear them.
DISRUPTION = "outages"
GANG_SCHEDULING = "gangs"
CARBON_AWARE = "power"

MAX_USER_NAME_LENGTH = 40
NAME_SUFFIX_BYTES = 4

Result = TypeVar("Result")
Describe = Callable[["View"], str]


def report_errors(call: Callable[[], Result]) -> Result:
    """Returns what `call` returns; its expected errors end the command with one line and exit code 1."""
    from brookreach.coordination.client.errors import ClusterUnreachableError
    from brookreach.coordination.errors import StorageError
    from brookreach.files import InvalidFileError

    expected = (InvalidFileError, StorageError, ClusterUnreachableError)
    try:
        return call()
    except expected as error:
        raise click.ClickException(str(error)) from None
    except BaseExceptionGroup as group:
        found: BaseException | None = group.subgroup(expected)
        while isinstance(found, BaseExceptionGroup):
            found = found.exceptions[0]
        if found is None:
            raise
        raise click.ClickException(str(found)) from None


@dataclass(frozen=True, slots=True)
class Outcome:
    """The reply to a command, and the text that describes the state after it, or ""."""

    reply: ReplyReceived
    description: str


@dataclass(frozen=True, slots=True)
class OperatorSession:
    """How an operator's command reaches the cluster; each call opens a session and closes it.

    Attributes:
        file: The cluster's configuration file.
        timeout_s: How long one answer is waited for.
    """

    file: Path
    timeout_s: float

    def run(self, call: Callable[[OneShotClient], Awaitable[Result]]) -> Result:
        """Returns what `call` returns for a client that watches all that operators look at."""
        import anyio

        from brookreach.coordination.client.one_shot import one_shot_client

        async def run_in_session() -> Result:
            name = client_name()
            async with one_shot_client(self.file, name, "operator", watched_tables(), self.timeout_s) as client:
                return await call(client)

        return report_errors(partial(anyio.run, run_in_session))

    def propose(self, application: str, command: Command, describe: Describe | None = None) -> None:
        """Prints where the command stands in the log and what `describe` says; a rejection ends with exit code 1."""
        outcome = self.propose_all(application, [command], describe)[0]
        if not outcome.reply.ok:
            raise click.ClickException(f"refused: {outcome.reply.text}")
        separator = ": " if outcome.description else ""
        click.echo(f"agreed at place {outcome.reply.index}{separator}{outcome.description}")

    def propose_all(
        self,
        application: str,
        commands: Sequence[Command],
        describe: Describe | None = None,
        continue_after_rejection: bool = False,
    ) -> list[Outcome]:
        """Proposes commands one after another in one session, up to the first rejection.

        Args:
            application: The application's name.
            commands: The commands, whose fields are checked before the first is sent.
            describe: Describes the state after the last outcome, or after each if rejections don't end the series.
            continue_after_rejection: Whether a rejected command is followed by the next.
        """
        for command in commands:
            validate_command(command)

        async def propose_in_order(client: OneShotClient) -> list[Outcome]:
            outcomes: list[Outcome] = []
            for command in commands:
                reply = await client.propose(application, command)
                is_last = len(outcomes) == len(commands) - 1
                stops = not reply.ok and not continue_after_rejection
                description = ""
                if describe is not None and (is_last or stops or continue_after_rejection):
                    description = describe(await client.read_view(reply.index))
                outcomes.append(Outcome(reply, description))
                if stops:
                    break
            return outcomes

        return self.run(propose_in_order)


def client_name() -> str:
    """Returns a name for one command's client, so that two commands at once are two clients."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = "operator"
    allowed = re.sub(r"[^A-Za-z0-9._-]", "-", user)[:MAX_USER_NAME_LENGTH]
    return f"{allowed}-{secrets.token_hex(NAME_SUFFIX_BYTES)}"


def watched_tables() -> dict[str, type[Row]]:
    """Returns the tables that operators look at.

    A carbon-aware schedule's rows are not among them: they are many and stand in its file.
    """
    from brookreach.applications import load_applications
    from brookreach.carbon_aware.tables import ACTIVE_SCHEDULE, ZONE_QUOTAS
    from brookreach.coordination.state_machine import sessions
    from brookreach.disruption.tables import BALANCERS, BUDGETS, BUILD_ASSIGNMENTS, HALT, NODES, PERMITS, RELEASES
    from brookreach.gang_scheduling.tables import GANGS, MEMBERS, RESERVED_CAPACITY

    types = {name: row for application in load_applications() for name, row in application.tables.items()}
    types[sessions.SESSIONS] = sessions.TABLES[sessions.SESSIONS]
    names = (
        NODES,
        BALANCERS,
        PERMITS,
        HALT,
        RELEASES,
        BUDGETS,
        BUILD_ASSIGNMENTS,
        GANGS,
        MEMBERS,
        RESERVED_CAPACITY,
        ACTIVE_SCHEDULE,
        ZONE_QUOTAS,
        sessions.SESSIONS,
    )
    return {name: types[name] for name in names}


def validate_command(command: Command) -> None:
    """Checks the command's fields against their bounds; a wrong one ends with one line and exit code 1."""
    import msgspec

    try:
        msgspec.convert(msgspec.to_builtins(command), type(command))
    except msgspec.ValidationError as error:
        raise click.ClickException(f"{wire_name(command)}: {error}") from None
