"""Which entry is next: drains, restarts, migrations and a release's restarts wait in one order.

This module owns the order and grants nothing itself. Targets of one zone, build and service need the same places in
budgets, so they share a queue whose first entry speaks for all of it, and a record costs by queues, not by entries.

The order is by rank, which is the time of the request less `MS_PER_URGENCY` for each urgency. Among those that can
be granted and rank within `GRACE_MS` of the first, the one whose scopes have the most waiting for what they allow goes
first: else a fleet that is drained zone by zone ends with one zone alone. One that can't be granted blocks nobody. But
if it could be, were it not for permits that rank more than `GRACE_MS` after it, it reserves a place in each of its
scopes, and those behind it may only have what is left. Permits that are overdue are not waited for in this way, so one
whose target vanished can't keep places free for ever. Only one entry reserves at a time, the first.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from brookreach.coordination.state_machine.application import View
from brookreach.disruption import budgets
from brookreach.disruption.internal_tables import (
    GRANTED_PERMITS,
    QUEUE_ENTRIES,
    QUEUES,
    QueueEntryRow,
    QueueRow,
    first_row,
    iterate_rows,
)
from brookreach.disruption.states import TargetKind
from brookreach.disruption.targets import MAX_RANK, MS_PER_URGENCY, RANK_DIGITS, Availability, Direction

GRACE_MS = MS_PER_URGENCY // 2


@dataclass(frozen=True, slots=True)
class QueueHead:
    """The first entry of a queue.

    Attributes:
        rank: Of the entry; the lower goes first.
        key: Of the entry in its table.
        queue: Its key.
        scopes: In which it needs places.
        places: 0 for one that is unavailable already, else 1.
        load: Of its most loaded scope, see `_queue_loads`.
        entry: The entry itself.
    """

    rank: int
    key: str
    queue: str
    scopes: tuple[str, ...]
    places: int
    load: int
    entry: QueueEntryRow


def grantable_entries(view: View, kind: TargetKind, rollback_only: bool) -> Iterator[QueueEntryRow]:
    """Entries that may be granted now, one by one; the caller grants each before it takes the next."""
    queues = _eligible_queues(view, kind, rollback_only)
    if not queues:
        return
    loads = _queue_loads(view, kind)
    heads = [head for queue in queues if (head := _queue_head(view, queue, loads))]
    while heads:
        selected = _choose(view, kind, heads)
        if selected is None:
            return
        heads.remove(selected)
        # An entry changes its queue when its target becomes unavailable by another permit.
        if view.get(QUEUE_ENTRIES, selected.key) is not None:
            yield selected.entry
        following = _queue_head(view, selected.queue, loads)
        if following:
            heads.append(following)


def _eligible_queues(view: View, kind: TargetKind, rollback_only: bool) -> list[str]:
    """Keys of the queues whose entries the budget for all targets allows, those of a rollback first."""
    places = budgets.allowed_disruptions(view, kind, budgets.ALL_SCOPE)
    if places < 0:
        return []
    directions = [Direction.ROLLBACK] if rollback_only else [Direction.ROLLBACK, Direction.FORWARD]
    availabilities = [Availability.UNAVAILABLE]
    if places:
        availabilities = [Availability.AVAILABLE, Availability.UNAVAILABLE]
    keys: list[str] = []
    for direction in directions:
        for availability in availabilities:
            keys += [key for key, _ in iterate_rows(view, QUEUES, f"{kind}/{direction}/{availability}/")]
    return keys


def _queue_head(view: View, queue: str, loads: dict[str, int]) -> QueueHead | None:
    keyed_entry = first_row(view, QUEUE_ENTRIES, queue + "/")
    if keyed_entry is None:
        return None
    key, entry = keyed_entry
    _, _, availability, zone, build, service = queue.split("/")
    scopes = budgets.scopes(zone, build, service)
    rank_start = len(queue) + 1
    return QueueHead(
        rank=int(key[rank_start : rank_start + RANK_DIGITS]),
        key=key,
        queue=queue,
        scopes=scopes,
        places=int(availability == Availability.AVAILABLE),
        load=max(loads.get(scope, 0) for scope in scopes),
        entry=entry,
    )


def _queue_loads(view: View, kind: TargetKind) -> dict[str, int]:
    """By scope that has a budget: how many wait for each target that it lets out, in thousandths."""
    waiting: defaultdict[str, int] = defaultdict(int)
    row: QueueRow
    for key, row in iterate_rows(view, QUEUES, f"{kind}/"):
        _, _, _, zone, build, service = key.split("/")
        for scope in budgets.scopes(zone, build, service)[1:]:
            waiting[scope] += row.waiting
    loads = {}
    for scope, count in waiting.items():
        budget = budgets.find_budget(view, kind, scope)
        if budget:
            loads[scope] = count * 1000 // max(1, budget.max_unavailable)
    return loads


def _choose(view: View, kind: TargetKind, heads: list[QueueHead]) -> QueueHead | None:
    """Of those that can be granted, by the order above; None: none can."""
    allowed: dict[str, int] = {}
    reserved: tuple[str, ...] = ()
    best: QueueHead | None = None
    last_rank = MAX_RANK
    for head in sorted(heads, key=lambda head: (head.rank, head.key)):
        if head.rank > last_rank:
            break
        missing = {}
        for scope in head.scopes:
            if scope not in allowed:
                allowed[scope] = budgets.allowed_disruptions(view, kind, scope)
            missing[scope] = head.places - allowed[scope]
        if _fits(head, missing, reserved):
            last_rank = min(last_rank, head.rank + GRACE_MS)
            if best is None or head.load > best.load:
                best = head
        elif head.places and not reserved and is_blocked_by_later_permits(view, kind, head.rank, missing):
            reserved = head.scopes
    return best


def _fits(head: QueueHead, missing: dict[str, int], reserved: tuple[str, ...]) -> bool:
    """Whether no scope lacks a place for it, beside the one that an earlier entry reserves there."""
    return all(places + (head.places if scope in reserved else 0) <= 0 for scope, places in missing.items())


def is_blocked_by_later_permits(view: View, kind: TargetKind, rank: int, missing: dict[str, int]) -> bool:
    """Whether permits that rank well after `rank` alone take the places that are missing, in each scope."""
    return all(
        _later_permits(view, kind, scope, rank, places) == places for scope, places in missing.items() if places > 0
    )


def _later_permits(view: View, kind: TargetKind, scope: str, rank: int, limit: int) -> int:
    """How many granted permits of the scope rank more than `GRACE_MS` after `rank`, counted up to `limit`."""
    later = 0
    for key, _ in iterate_rows(view, GRANTED_PERMITS, f"{kind}/{scope}/"):
        granted_rank = MAX_RANK - int(key.split("/")[2])
        if later == limit or granted_rank <= rank + GRACE_MS:
            break
        later += 1
    return later
