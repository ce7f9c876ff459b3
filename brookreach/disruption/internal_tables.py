"""Tables that only this application reads: counts, indexes and timers; and how rows are read in key order.

COUNTS, QUEUE_ENTRIES, QUEUES, GRANTED_PERMITS and ROLLOUT_ORDER follow from the public tables, OPEN_PERMITS
and PROGRESS; `targets` alone changes them. None may be walked whole for one record: the cost of a record is by what
it changes.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from itertools import groupby
from operator import itemgetter
from typing import Any  # a row's type follows from its table's name, which the type checker doesn't know

from brookreach.coordination.state_machine.application import Row, StagedChanges, View

COUNTS = "outages.counts"
OPEN_PERMITS = "outages.open"
QUEUE_ENTRIES = "outages.waits"
QUEUES = "outages.lines"
GRANTED_PERMITS = "outages.held"
ROLLOUT_ORDER = "outages.draws"
TIMERS = "outages.due"
PROGRESS = "outages.progress"
VOTES = "outages.votes"

STAGED, STORED = 0, 1  # of two rows with the same key the staged one comes first


class CountRow(Row, frozen=True):
    """By "kind/scope": targets that are not decommissioned, and those unavailable, planned or not, each once."""

    total: int
    unavailable: int


class OpenPermitsRow(Row, frozen=True):
    """By "kind/target": permits that have not ended.

    Attributes:
        names: Of the permits.
        restart_rank: Rank of a restart that a release wants; 0: none.
        rollback: That restart is one of a rollback.
    """

    names: tuple[str, ...] = ()
    restart_rank: int = 0
    rollback: bool = False


class QueueEntryRow(Row, frozen=True):
    """By "queue/rank/permit": what waits. No `permit`: a release's restart, whose permit is made when granted."""

    target: str
    permit: str


class QueueRow(Row, frozen=True):
    """By "kind/direction/availability/zone/build/service": how many wait that need the same capacity."""

    waiting: int


class GrantedPermitRow(Row, frozen=True):
    """By "kind/scope/inverse rank/permit", latest rank first: permits granted that are not overdue."""

    target: str


class RolloutOrderRow(Row, frozen=True):
    """By "bucket/node": the order, the same on all replicas, in which a release takes nodes."""

    node: str


class TimerRow(Row, frozen=True):
    """By "ms/kind/name": what time alone will change."""

    kind: str
    name: str


class ProgressRow(Row, frozen=True):
    """By build, beside its release: how far the open stage has come.

    Attributes:
        target_nodes: Nodes that the stage is to have.
        cursor: Buckets looked through, in a rollout or a rollback.
        assigning: Nodes are still being assigned or unassigned.
        assigned: Nodes assigned to the build.
        ready: Of these, ready and warm on it.
        all_ready_ms: Since when all of them are; 0: not all.
        promote_votes: Votes to promote in this stage.
        rollback_votes: Votes to roll back, of whatever stage.
    """

    target_nodes: int = 0
    cursor: int = 0
    assigning: bool = False
    assigned: int = 0
    ready: int = 0
    all_ready_ms: int = 0
    promote_votes: int = 0
    rollback_votes: int = 0


class VoteRow(Row, frozen=True):
    """By "build/balancer": its vote."""

    stage: int
    verdict: str
    session: int


def iterate_rows(view: View, table: str, prefix: str = "") -> Iterator[tuple[str, Any]]:
    """Rows by key. Where the view can iterate over them, the rest isn't read when only the first are taken.

    The view below a record's staged changes doesn't change while the record is applied, so iterating over it is safe.
    """
    if not isinstance(view, StagedChanges):
        yield from getattr(view, "iterate", view.rows)(table, prefix)
        return
    staged = sorted(
        (key, STAGED, row) for (name, key), row in view.changes.items() if name == table and key.startswith(prefix)
    )
    if not staged:
        yield from iterate_rows(view.base, table, prefix)
        return
    stored = ((key, STORED, row) for key, row in iterate_rows(view.base, table, prefix))
    merged = heapq.merge(staged, stored, key=itemgetter(0, 1))
    for key, same_key in groupby(merged, key=itemgetter(0)):
        _, _, row = next(same_key)
        if row is not None:
            yield key, row


def first_row(view: View, table: str, prefix: str = "") -> tuple[str, Any] | None:
    """The row with the lowest key and that key; None where the table has none with the prefix."""
    return next(iterate_rows(view, table, prefix), None)
