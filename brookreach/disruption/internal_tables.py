"""The tables that only this piece reads: counts, indexes, what is due; and how they are read in order.

All of COUNTS, WAITS, LINES, HELD and DRAWS follows from the tables of `rows`, OPEN and PROGRESS, and is never
changed but by `targets`. None may be walked whole for one record: a record costs by what it changes.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import groupby
from typing import Any

from brookreach.coordination.state_machine.application import Row, StagedChanges, View

COUNTS, OPEN, WAITS, LINES, HELD, DRAWS, DUE, PROGRESS, VOTES = (
    "outages.counts",
    "outages.open",
    "outages.waits",
    "outages.lines",
    "outages.held",
    "outages.draws",
    "outages.due",
    "outages.progress",
    "outages.votes",
)


class CountRow(Row, frozen=True):
    """By "kind/scope": those of the fleet (not gone), and how many are out, planned or not, each once."""

    total: int
    out: int


class OpenRow(Row, frozen=True):
    """By "kind/target": permits not over. `move`: rank of a restart that a release wants; 0: none."""

    names: tuple[str, ...] = ()
    move: int = 0
    back: bool = False  # the move is one of the way back


class WaitRow(Row, frozen=True):
    """By "line/rank/name": what waits. No `name`: a release's restart, whose permit is made when given."""

    target: str
    name: str


class LineRow(Row, frozen=True):
    """By "kind/way/where/zone/build/service": those that wait alike, so that one of them speaks for all."""

    waiting: int


class HeldRow(Row, frozen=True):
    """By "kind/scope/rank/name", latest rank first: permits given that are not late."""

    target: str


class DrawRow(Row, frozen=True):
    """By "bucket/node": the order, alike on all processes, in which a release takes nodes."""

    node: str


class DueRow(Row, frozen=True):
    """By "ms/what/name": what time alone will change."""

    what: str
    name: str


class ProgressRow(Row, frozen=True):
    """By build, beside its release: how far the stage that is open has come."""

    target: int = 0  # nodes that the stage is to have
    cursor: int = 0  # buckets looked through, on the way there or back
    drawing: bool = False
    drawn: int = 0  # nodes assigned to the build
    there: int = 0  # of these, ready and warm on it
    there_ms: int = 0  # since when all are; 0: not all
    on: int = 0  # votes in this stage
    back: int = 0  # votes, of whatever stage


class VoteRow(Row, frozen=True):
    """By "build/marshal": its voice."""

    stage: int
    verdict: str
    session: int


def ordered(view: View, table: str, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Rows by key. Where the view can walk them, the rest isn't read when only the first are taken.

    The view under a record's draft doesn't change while the record is applied, so walking it is safe.
    """
    if not isinstance(view, StagedChanges):
        yield from getattr(view, "iterate", view.rows)(table, prefix)
        return
    laid = sorted(
        (key, 0, row) for (name, key), row in view.changes.items() if name == table and key.startswith(prefix)
    )
    if not laid:
        yield from ordered(view.base, table, prefix)
        return
    under = ((key, 1, row) for key, row in ordered(view.base, table, prefix))
    merged = heapq.merge(laid, under, key=lambda one: one[:2])
    for key, same in groupby(merged, key=lambda one: one[0]):
        row = next(same)[2]
        if row is not None:
            yield key, row


def first(view: View, table: str, prefix: str = "") -> tuple[str, Any] | None:
    return next(ordered(view, table, prefix), None)
