"""A toy piece of pots, and a log that hands a machine its entries in order."""

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
    by: str
    until_ms: int = 0
    notes: tuple[str, ...] = ()


class Add(Command):
    pot: str
    amount: int
    lasts_ms: int = 0


class Take(Command):
    pot: str
    amount: int


class Odd(Command):
    what: str


class Pots:
    """A toy: amounts in pots, some of which pass away; those of a client go as its session ends."""

    name, version = "pots", 1
    commands: Any = Add | Take | Odd
    tables: Mapping[str, type[Row]] = {"pots": PotRow}

    def apply(self, view, order, context):
        if isinstance(order, Odd):
            return {
                "raise": lambda: 1 // 0,
                "stray": lambda: [RowUpdate("lids", "a", PotRow(1, "x"))],
                "list": lambda: [RowUpdate("pots", "l", PotRow(1, "x", 0, ["a"]))],
                "float": lambda: [RowUpdate("pots", "l", PotRow(1.5, "x"))],
                "large": lambda: [RowUpdate("pots", "l", PotRow(1, "x" * messages.MAX_COMMAND_BYTES))],
            }[order.what]()
        held = view.get("pots", order.pot)
        if isinstance(order, Add):
            until = context.now_ms + order.lasts_ms if order.lasts_ms else 0
            return [
                RowUpdate("pots", order.pot, PotRow(order.amount + (held.amount if held else 0), context.client, until))
            ]
        if held is None or held.amount < order.amount:
            raise CommandRejectedError(f"pot {order.pot} has less than {order.amount}")
        left = PotRow(held.amount - order.amount, held.by, held.until_ms)
        return [RowUpdate("pots", order.pot, left if left.amount else None)]

    def next_timer_ms(self, view):
        return min((row.until_ms for _, row in view.rows("pots") if row.until_ms), default=None)

    def advance_time(self, view, context):
        return [RowUpdate("pots", key, None) for key, row in view.rows("pots") if 0 < row.until_ms <= context.now_ms]

    def end_session(self, view, context):
        return [RowUpdate("pots", key, None) for key, row in view.rows("pots") if row.by == context.client]


class Lids(Pots):
    """Stands after pots and may write them too; counts the pots that are left as time passes."""

    name, tables = "lids", {"lids": PotRow}

    def next_timer_ms(self, view):
        return None

    def advance_time(self, view, context):
        return [RowUpdate("lids", "pots", PotRow(view.count("pots"), ""))]

    def end_session(self, view, context):
        return []


class Log:
    """Feeds a machine as a keeper would; `took` is called with what each record did."""

    def __init__(self, machine=None, took=lambda applied: None):
        self.machine, self.took, self.entries = machine or StateMachine([Pots(), Lids()]), took, []

    def put(self, octets):
        entry = messages.Entry(self.machine.applied + 1, 1, octets)
        applied = self.machine.apply(entry)
        self.entries.append(entry)
        self.took(applied)
        return applied

    def own(self, order, at_ms=0):
        return self.put(encode_command(order, at_ms))

    def ask(self, client, seq, order, at_ms=0, session=None, piece="pots", version=1):
        session = self.machine.session(client) if session is None else session
        body = order if isinstance(order, bytes) else msgspec.msgpack.encode(order)
        return self.put(
            encode_proposal(messages.ProposeRequest(session, seq, piece, version, body), at_ms, client, "marshal")
        )

    def pots(self):
        return {key: row.amount for key, row in self.machine.view.rows("pots")}


orders = st.one_of(
    st.builds(Add, st.sampled_from("abcd"), st.integers(1, 9), st.sampled_from((0, 0, 300))),
    st.builds(Take, st.sampled_from("abcd"), st.integers(1, 9)),
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("ask"), st.sampled_from(("m1", "m2")), st.sampled_from((1, 1, 1, 0, 2)), orders),
        st.tuples(st.sampled_from(("began", "ended")), st.sampled_from(("m1", "m2"))),
        st.tuples(st.just("passed")),
    ),
    max_size=30,
)


def play(log, steps, at_ms=0):
    """Steps as records; an ask's number is the next one, the same again, or one too far."""
    seqs = {}
    for nth, (what, *rest) in enumerate(steps):
        at_ms = nth * 100
        if what == "ask":
            client, ahead, order = rest
            place = client, log.machine.session(client)
            applied = log.ask(client, seqs.get(place, 0) + ahead, order, at_ms)
            seqs[place] = seqs.get(place, 0) + (ahead == 1 and applied.rejection is None)
        elif what == "passed":
            log.own(TimePassed(), at_ms)
        else:
            session = log.machine.session(rest[0])
            log.own(SessionStarted(rest[0], "marshal") if what == "began" else SessionEnded(session, "x"), at_ms)
