"""Schedules, jobs and what was said, for the tests of power."""

from __future__ import annotations

from brookreach.fleet.piece import Context, Plain
from brookreach.power import choose, orders, reserve
from brookreach.power.piece import PIECE

HOUR = 3_600_000
BEGIN = 500_000 * HOUR
OPERATOR = Context(7, BEGIN, "anna", "operator", 1)


def spans(**grams: list[int]) -> list[tuple[str, int, int, int]]:
    """By zone, hour by hour."""
    return [
        (zone, BEGIN + nth * HOUR, BEGIN + (nth + 1) * HOUR, amount)
        for zone, amounts in grams.items()
        for nth, amount in enumerate(amounts)
    ]


def said(view: Plain, order: object, context: Context = OPERATOR) -> None:
    view.take(PIECE.apply(view, order, context))


def agreed(version: int = 1, view: Plain | None = None, **grams: list[int]) -> Plain:
    view = view or Plain()
    for order in orders.parts(version, tuple((zone, 100) for zone in grams), spans(**grams)):
        said(view, order)
    return view


def job(
    who: str = "gang:x",
    work: float = 2,
    deadline: float = 12,
    here: str = "",
    since: float = 0,
    room: int = 4,
    stay: float = 1,
    move_min: int = 5,
) -> choose.Flexible:
    """Times in hours."""
    return choose.Flexible(
        who,
        room,
        round(work * HOUR),
        BEGIN + round(deadline * HOUR),
        (),
        move_min * 60_000,
        round(stay * HOUR),
        here,
        BEGIN + round(since * HOUR),
    )


def asked(view: Plain, at: float, one: choose.Flexible, free: dict[str, int]) -> choose.Choice:
    """And reserved, as a caller does."""
    at_ms = BEGIN + round(at * HOUR)
    told = choose.choose(view, at_ms, one, free)
    view.take(reserve.take(view, at_ms, one.who, one.room, told.spans))
    return told


FREE = {"a": 10, "b": 10}
