"""Schedules, jobs and what was said, for the tests of power."""

from __future__ import annotations

from brookreach.carbon_aware import commands, reservations, scheduler
from brookreach.carbon_aware.application import APPLICATION
from brookreach.coordination.state_machine.application import Context, InMemoryView

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


def said(view: InMemoryView, order: object, context: Context = OPERATOR) -> None:
    view.apply_updates(APPLICATION.apply(view, order, context))


def agreed(version: int = 1, view: InMemoryView | None = None, **grams: list[int]) -> InMemoryView:
    view = view or InMemoryView()
    for order in commands.parts(version, tuple((zone, 100) for zone in grams), spans(**grams)):
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
) -> scheduler.Flexible:
    """Times in hours."""
    return scheduler.Flexible(
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


def asked(view: InMemoryView, at: float, one: scheduler.Flexible, free: dict[str, int]) -> scheduler.Choice:
    """And reserved, as a caller does."""
    at_ms = BEGIN + round(at * HOUR)
    told = scheduler.choose(view, at_ms, one, free)
    view.apply_updates(reservations.take(view, at_ms, one.who, one.room, told.spans))
    return told


FREE = {"a": 10, "b": 10}
