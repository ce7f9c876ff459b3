"""A small piece for drills of the ground: records that are counted, things that one client may hold.

It never helps the ground: a token that is applied twice counts twice, so that checkers see it.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Context, Order, Put, Refusal, Row, View

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


class Add(Order):
    token: messages.Name
    counter: messages.Name


class Take(Order):
    what: messages.Name


class Drop(Order):
    what: messages.Name
    fence: messages.Count


class Toy:
    name = "toy"
    version = 1
    orders: Any = Add | Take | Drop
    tables: Mapping[str, type[Row]] = {MARKS: MarkRow, COUNTS: CountRow, HOLDS: HoldRow}

    def apply(self, view: View, order: Add | Take | Drop, context: Context) -> list[Put]:
        match order:
            case Add():
                mark, count = view.get(MARKS, order.token), view.get(COUNTS, order.counter)
                return [
                    Put(MARKS, order.token, MarkRow(mark.times + 1 if mark else 1, context.index)),
                    Put(COUNTS, order.counter, CountRow(count.value + 1 if count else 1)),
                ]
            case Take():
                held = view.get(HOLDS, order.what)
                if held is not None:
                    raise Refusal(f"{order.what} is held by {held.by}, fence {held.fence}")
                return [Put(HOLDS, order.what, HoldRow(context.by, context.session, context.index))]
            case Drop():
                held = view.get(HOLDS, order.what)
                if held is None or held.session != context.session or held.fence != order.fence:
                    raise Refusal(f"{order.what} is not held under fence {order.fence} by {context.by}")
                return [Put(HOLDS, order.what, None)]
        raise Refusal(f"toy knows no record {type(order).__name__}")

    def due_ms(self, view: View) -> int | None:
        return None

    def passed(self, view: View, context: Context) -> list[Put]:
        return []

    def ended(self, view: View, context: Context) -> list[Put]:
        return [Put(HOLDS, key, None) for key, row in view.rows(HOLDS) if row.session == context.session]


PIECE = Toy()


def encoded(order: Order) -> bytes:
    return msgspec.msgpack.encode(order)
