"""Where and when a flexible gang that waits is to begin: asked of power in one place.

It owns what power is told of a gang and of the room there is. It must never hold a gang back where no
schedule is agreed, nor longer than its deadline allows; nor plan for so many in one record that a keeper is
held by it.
"""

from __future__ import annotations

import zlib
from functools import lru_cache

from brookreach.carbon_aware.reservations import from_slot, release, take
from brookreach.carbon_aware.scheduler import Flexible, choose
from brookreach.carbon_aware.tables import CURRENT, HOLDS, SLOT_MS, HoldRow
from brookreach.gang_scheduling import transitions
from brookreach.gang_scheduling.tables import GANGS, QUEUE, GangRow
from brookreach.gang_scheduling.transaction import Desk

MOST_PLANS = 4  # in one record, on average: each can take 20 ms, and a leader not heard for 300 is replaced
TURN_MS = 5_000  # as rounds of placing come


def who(name: str) -> str:
    return f"gang:{name}"


def free_by_zone(desk: Desk) -> dict[str, int]:
    """Room for flexible work: what is free, and what flexible gangs hold."""
    free: dict[str, int] = {}
    for one in desk.stock.nodes.values():
        if not one.retires_ms:
            free[one.zone] = free.get(one.zone, 0) + max(0, one.room)
    for name, row in desk.draft.rows(GANGS):
        if not row.flexible or row.state in ("waiting", "done", "failed"):
            continue
        for _, member in desk.members(name):
            node = desk.node(member.node) if member.node else None
            if node is not None and node.zone in free:
                free[node.zone] += row.room
    return free


def prefer(desk: Desk, name: str, row: GangRow) -> tuple[tuple[str, ...], int]:
    """Zones (none: any), and from when on; its room there is reserved, so that the next one counts it.

    One run of all its work is planned: nothing pauses or moves a running gang for power, so a plan of several
    runs would reserve what never comes.
    """
    if desk.draft.get(CURRENT, "all") is None:
        return (), desk.now
    if not its_turn(desk, name):
        return as_held(desk, name)
    left = transitions.left_ms(row, desk.now) + row.load_ms + row.cost_ms
    job = Flexible(
        who(name),
        row.members * row.room,
        left,
        row.deadline_ms or row.latest_ms + left,
        row.zones,
        row.cost_ms + row.load_ms,
        left,
    )
    choice = choose(desk.draft, desk.now, job, free_by_zone(desk))
    desk.draft.apply_updates(take(desk.draft, desk.now, job.who, job.room, choice.spans))
    return ((choice.zone,), choice.from_ms) if choice.zone else ((), desk.now)


def its_turn(desk: Desk, name: str) -> bool:
    """Among many who wait each is asked about once in so many rounds, always in the same ones."""
    turns = -(-waiting(desk) // MOST_PLANS)
    return turns <= 1 or zlib.crc32(name.encode()) % turns == desk.now // TURN_MS % turns


@lru_cache(maxsize=1)
def waiting(desk: Desk) -> int:
    """As the record's first question found them: those that fell in this very record, too."""
    return desk.draft.count(QUEUE)


def as_held(desk: Desk, name: str) -> tuple[tuple[str, ...], int]:
    """By what it has reserved; without, it waits for its turn. Its words stay the same for the slot."""
    slot = desk.now // SLOT_MS
    held: HoldRow | None = desk.draft.get(HOLDS, who(name))
    spans = from_slot(held.spans, slot) if held is not None else ()
    if not spans:
        return (), (slot + 1) * SLOT_MS
    zone, first, *_ = spans[0]
    return (zone,), max(desk.now, first * SLOT_MS)


def let_go(desk: Desk, name: str, row: GangRow) -> None:
    """It has ended: what it reserved is for others."""
    if row.flexible:
        desk.draft.apply_updates(release(desk.draft, who(name)))
