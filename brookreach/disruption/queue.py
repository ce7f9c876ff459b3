"""Who is next: drains, restarts, moves and a release's restarts in one queue, a line for those alike.

It owns the order and never gives anything itself. Targets of one zone, build and service need the same room,
so the first of a line speaks for all of it, and a record costs by lines, not by those that wait.

Order: by rank, which is the time of asking less `STEP_MS` for each urgency. Among those that can go and rank
within `GRACE_MS` of the first, the one whose scopes have the most waiting for what they allow goes first:
else a fleet that is drained zone by zone ends with one zone alone. One that can't go stands in no way. But if
it could go were it not for permits that rank more than `GRACE_MS` after it, it claims a place in each of its
scopes, and those behind it may only have what is left. Permits that are late (out for an hour) are not waited
for in this way, so one that vanished can't hold places free for ever. Only one claims at a time, the first.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from brookreach.coordination.state_machine.application import View
from brookreach.disruption import budgets
from brookreach.disruption.budgets import Kind
from brookreach.disruption.internal_tables import HELD, LINES, WAITS, LineRow, WaitRow, first, ordered
from brookreach.disruption.targets import FAR, STEP_MS

GRACE_MS = STEP_MS // 2


@dataclass(frozen=True, slots=True)
class Head:
    """The first of a line. `need` is 0 for one that is out already: it takes no further place."""

    rank: int
    key: str
    line: str
    scopes: tuple[str, ...]
    need: int
    load: int
    wait: WaitRow


def turns(view: View, kind: Kind, back_only: bool) -> Iterator[WaitRow]:
    """Those that may go now, one by one; the caller gives each its permit before it takes the next."""
    places = budgets.room(view, kind, "all")
    if places < 0:
        return
    ways = ["back"] if back_only else ["back", "on"]
    prefixes = [f"{kind}/{way}/{where}/" for way in ways for where in (["in", "out"] if places else ["out"])]
    lines = [key for prefix in prefixes for key, _ in ordered(view, LINES, prefix)]
    if not lines:
        return
    loads = _loads(view, kind)
    heads = [head for key in lines if (head := _head(view, key, loads))]
    while heads:
        chosen = _chosen(view, kind, heads)
        if chosen is None:
            return
        heads.remove(chosen)
        if view.get(WAITS, chosen.key) is not None:  # else it moved, as its target went out by another permit
            yield chosen.wait
        following = _head(view, chosen.line, loads)
        if following:
            heads.append(following)


def _head(view: View, line: str, loads: dict[str, int]) -> Head | None:
    found = first(view, WAITS, line + "/")
    if found is None:
        return None
    key, wait = found
    _, _, where, zone, build, service = line.split("/")
    scopes = budgets.scopes(zone, build, service)
    load = max(loads.get(scope, 0) for scope in scopes)
    return Head(int(key[len(line) + 1 :][:16]), key, line, scopes, int(where == "in"), load, wait)


def _loads(view: View, kind: Kind) -> dict[str, int]:
    """By scope that has a budget: how many wait for each that it lets out, in thousandths."""
    waiting: dict[str, int] = {}
    row: LineRow
    for key, row in ordered(view, LINES, f"{kind}/"):
        _, _, _, zone, build, service = key.split("/")
        for scope in budgets.scopes(zone, build, service)[1:]:
            waiting[scope] = waiting.get(scope, 0) + row.waiting
    loads = {}
    for scope, count in waiting.items():
        budget = budgets.limit(view, kind, scope)
        if budget:
            loads[scope] = count * 1000 // max(1, budget.most_out)
    return loads


def _chosen(view: View, kind: Kind, heads: list[Head]) -> Head | None:
    """Of those that can go, by the order above; None: none can."""
    rooms: dict[str, int] = {}
    claimed: tuple[str, ...] = ()
    best: Head | None = None
    until = FAR
    for head in sorted(heads, key=lambda one: (one.rank, one.key)):
        if head.rank > until:
            break
        lacks = {}
        for scope in head.scopes:
            if scope not in rooms:
                rooms[scope] = budgets.room(view, kind, scope)
            lacks[scope] = head.need - rooms[scope]
        if all(lack + (head.need and scope in claimed) <= 0 for scope, lack in lacks.items()):
            until = min(until, head.rank + GRACE_MS)
            if best is None or head.load > best.load:
                best = head
        elif head.need and not claimed and owed(view, kind, head.rank, lacks):
            claimed = head.scopes
    return best


def owed(view: View, kind: Kind, rank: int, lacks: dict[str, int]) -> bool:
    """Whether only permits that rank well after `rank` fill the scopes that lack places."""
    for scope, lack in lacks.items():
        if lack <= 0:
            continue
        passed = 0
        for key, _ in ordered(view, HELD, f"{kind}/{scope}/"):
            if FAR - int(key.split("/")[2]) <= rank + GRACE_MS:
                break
            passed += 1
            if passed == lack:
                break
        if passed < lack:
            return False
    return True
