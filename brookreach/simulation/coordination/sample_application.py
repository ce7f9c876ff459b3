"""A small piece for drills of the ground: records that are counted, things that one client may hold.

It never helps the ground: a token that is applied twice counts twice, so that checkers see it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import (
    Command,
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    View,
)

MARKS, COUNTS, HOLDS = "marks", "counts", "holds"


class MarkRow(Row):
    """By token: how often it was added, and the place of the last time."""

    times: int
    index: int


class CountRow(Row):
    value: int


class HoldRow(Row):
    by: str
    session: int
    fence: int


class Add(Command):
    token: messages.Name
    counter: messages.Name


class Take(Command):
    what: messages.Name


class Drop(Command):
    what: messages.Name
    fence: messages.Count


class Toy:
    name = "toy"
    version = 1
    commands: Any = Add | Take | Drop
    tables: Mapping[str, type[Row]] = {MARKS: MarkRow, COUNTS: CountRow, HOLDS: HoldRow}

    def apply(self, view: View, order: Add | Take | Drop, context: Context) -> list[RowUpdate]:
        match order:
            case Add():
                mark, count = view.get(MARKS, order.token), view.get(COUNTS, order.counter)
                return [
                    RowUpdate(MARKS, order.token, MarkRow(mark.times + 1 if mark else 1, context.index)),
                    RowUpdate(COUNTS, order.counter, CountRow(count.value + 1 if count else 1)),
                ]
            case Take():
                held = view.get(HOLDS, order.what)
                if held is not None:
                    raise CommandRejectedError(f"{order.what} is held by {held.by}, fence {held.fence}")
                return [RowUpdate(HOLDS, order.what, HoldRow(context.client, context.session, context.index))]
            case Drop():
                held = view.get(HOLDS, order.what)
                if held is None or held.session != context.session or held.fence != order.fence:
                    raise CommandRejectedError(
                        f"{order.what} is not held under fence {order.fence} by {context.client}"
                    )
                return [RowUpdate(HOLDS, order.what, None)]
        raise CommandRejectedError(f"toy knows no record {wire_name(order)}")

    def next_timer_ms(self, view: View) -> int | None:
        return None

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        return []

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        return [RowUpdate(HOLDS, key, None) for key, row in view.rows(HOLDS) if row.session == context.session]


APPLICATION = Toy()


def encoded(order: Command) -> bytes:
    return msgspec.msgpack.encode(order)
