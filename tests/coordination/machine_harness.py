"""Sample applications `Pots` and `Lids`, and a log that feeds a state machine its entries in order."""

from collections.abc import Mapping
from typing import Any

import msgspec
from hypothesis import strategies as st

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, CommandRejectedError, Row, RowUpdate
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import (
    SessionEnded,
    SessionStarted,
    TimePassed,
    encode_command,
    encode_proposal,
)


class PotRow(Row):
    amount: int
    client: str
    until_ms: int = 0
    notes: tuple[str, ...] = ()


class Add(Command):
    pot: str
    amount: int
    duration_ms: int = 0


class Take(Command):
    pot: str
    amount: int


class Odd(Command):
    """A command whose application misbehaves in the way that `what` names."""

    what: str


class Pots:
    """Amounts in pots, some of which expire; those of a client are deleted as its session ends."""

    name, version = "pots", 1
    commands: Any = Add | Take | Odd
    tables: Mapping[str, type[Row]] = {"pots": PotRow}

    def apply(self, view, command, context):
        match command:
            case Odd(what=what):
                return self.misbehave(what)
            case Add():
                return self.add(view, command, context)
            case Take():
                return self.take(view, command)

    @staticmethod
    def misbehave(what):
        match what:
            case "raise":
                return 1 // 0
            case "stray":
                return [RowUpdate("lids", "a", PotRow(1, "x"))]
            case "list":
                return [RowUpdate("pots", "l", PotRow(1, "x", 0, ["a"]))]
            case "float":
                return [RowUpdate("pots", "l", PotRow(1.5, "x"))]
            case "large":
                return [RowUpdate("pots", "l", PotRow(1, "x" * messages.MAX_COMMAND_BYTES))]
        raise KeyError(what)

    @staticmethod
    def add(view, command, context):
        row = view.get("pots", command.pot)
        amount = command.amount + (row.amount if row else 0)
        until_ms = context.now_ms + command.duration_ms if command.duration_ms else 0
        return [RowUpdate("pots", command.pot, PotRow(amount, context.client, until_ms))]

    @staticmethod
    def take(view, command):
        row = view.get("pots", command.pot)
        if row is None or row.amount < command.amount:
            raise CommandRejectedError(f"pot {command.pot} has less than {command.amount}")
        rest = PotRow(row.amount - command.amount, row.client, row.until_ms)
        return [RowUpdate("pots", command.pot, rest if rest.amount else None)]

    def next_timer_ms(self, view):
        return min((row.until_ms for _, row in view.rows("pots") if row.until_ms), default=None)

    def advance_time(self, view, context):
        return [RowUpdate("pots", key, None) for key, row in view.rows("pots") if 0 < row.until_ms <= context.now_ms]

    def end_session(self, view, context):
        return [RowUpdate("pots", key, None) for key, row in view.rows("pots") if row.client == context.client]


class Lids(Pots):
    """Comes after `Pots` and may write its table too; counts the pots that are left as time passes."""

    name, tables = "lids", {"lids": PotRow}

    def next_timer_ms(self, view):
        return None

    def advance_time(self, view, context):
        return [RowUpdate("lids", "pots", PotRow(view.count("pots"), ""))]

    def end_session(self, view, context):
        return []


class Log:
    """Feeds a state machine as a replica does; `on_applied` is called with what came of each entry."""

    def __init__(self, machine=None, on_applied=lambda applied: None):
        self.machine = machine or StateMachine([Pots(), Lids()])
        self.on_applied = on_applied
        self.entries = []

    def append(self, octets):
        entry = messages.Entry(self.machine.applied + 1, 1, octets)
        applied = self.machine.apply(entry)
        self.entries.append(entry)
        self.on_applied(applied)
        return applied

    def run(self, command, at_ms=0):
        """Applies a command of the cluster itself."""
        return self.append(encode_command(command, at_ms))

    def propose(self, client, seq, command, at_ms=0, session=None, application="pots", version=1):
        """Applies a client's request; bytes stand for an encoded command."""
        session = self.machine.session(client) if session is None else session
        body = command if isinstance(command, bytes) else msgspec.msgpack.encode(command)
        request = messages.ProposeRequest(session, seq, application, version, body)
        return self.append(encode_proposal(request, at_ms, client, "marshal"))

    def amounts(self):
        return {key: row.amount for key, row in self.machine.view.rows("pots")}


commands = st.one_of(
    st.builds(Add, st.sampled_from("abcd"), st.integers(1, 9), st.sampled_from((0, 0, 300))),
    st.builds(Take, st.sampled_from("abcd"), st.integers(1, 9)),
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("propose"), st.sampled_from(("m1", "m2")), st.sampled_from((1, 1, 1, 0, 2)), commands),
        st.tuples(st.sampled_from(("start session", "end session")), st.sampled_from(("m1", "m2"))),
        st.tuples(st.just("pass time")),
    ),
    max_size=30,
)


def play(log, steps):
    """Applies steps, 100 ms apart; a request's number is the next one, the same again, or one too far."""
    last_seqs = {}
    for number, (what, *arguments) in enumerate(steps):
        at_ms = number * 100
        match what:
            case "propose":
                client, ahead, command = arguments
                session = client, log.machine.session(client)
                applied = log.propose(client, last_seqs.get(session, 0) + ahead, command, at_ms)
                last_seqs[session] = last_seqs.get(session, 0) + (ahead == 1 and applied.rejection is None)
            case "pass time":
                log.run(TimePassed(), at_ms)
            case "start session":
                log.run(SessionStarted(arguments[0], "marshal"), at_ms)
            case "end session":
                log.run(SessionEnded(log.machine.session(arguments[0]), "x"), at_ms)
