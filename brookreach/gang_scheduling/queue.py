"""Who of the waiting is placed, in which order, and who may go first without keeping another waiting longer.

It owns the rounds of placing. The first in order that has no room is promised the room that will be free by
the time when enough others have ended; whoever comes after it runs only beside that, or ends before. It must
never place a gang in part, nor let one that came later push that promise back.
"""

from __future__ import annotations

from collections.abc import Callable

from brookreach.gang_scheduling import transitions
from brookreach.gang_scheduling.placement import CapacityIndex, allowed
from brookreach.gang_scheduling.tables import QUEUE, SLOTS, GangRow
from brookreach.gang_scheduling.transaction import Transaction

ROUND_MS = 5_000  # while anybody waits

Prefer = Callable[[Transaction, str, GangRow], "tuple[tuple[str, ...], int]"]
"""Zones that a flexible gang is to run in (none: any), and from when on."""


def place_waiting(desk: Transaction, prefer: Prefer | None = None) -> None:
    """One round, at most one reading of the nodes more where somebody has to be promised room."""
    desk.round_over()
    promise: Promise | None = None
    waits = 0
    for key, _ in list(desk.draft.rows(QUEUE)):
        name = key.partition("/")[2]
        row = desk.gang(name)
        zones, begin = prefer(desk, name, row) if prefer is not None and row.flexible else ((), desk.now)
        if begin > desk.now and row.latest_ms > desk.now:
            waits += 1
            _told(desk, name, row, f"waits until {begin} for cleaner power")
            continue
        until = transitions.ends_ms(desk, row, load=True)
        found = desk.stock.fit(row, row.members, until, zones)
        if found is None and promise is not None and until <= promise.at_ms:
            promise.lift(desk.stock)
            found = desk.stock.fit(row, row.members, until, zones)
            if found is not None:
                transitions.place(desk, name, found)
            promise.lay(desk.stock)
        elif found is not None:
            transitions.place(desk, name, found)
        if found is not None:
            continue
        waits += 1
        if promise is None:
            promise = promised(desk, name, row)
            _told(desk, name, row, _why(desk, row, promise))
        else:
            _told(desk, name, row, f"waits for room, behind {promise.name}")
    if waits:
        desk.round(desk.now + ROUND_MS)


def _told(desk: Transaction, name: str, row: GangRow, reason: str) -> None:
    if row.reason != reason:
        desk.change(name, reason=reason)


def _why(desk: Transaction, row: GangRow, promise: Promise) -> str:
    """Words that do not change while nothing does."""
    fits = sum(
        max(0, free.room) // row.room
        for free in desk.stock.nodes.values()
        if allowed(row, free.zone, free.build) and not free.retires_ms
    )
    wants = f"waits for room: {row.members} members of {row.room} each, {fits} places on nodes that stay"
    by = (promise.at_ms // 60_000 + 1) * 60_000  # in full minutes, so that the words stand still
    return f"{wants}; room by {by}" if promise.spots else f"{wants}, and none by others' end"


class Promise:
    """Room kept for one gang: what is free of it now is taken from the stock, so that others plan beside
    it.
    """

    def __init__(self, name: str, at_ms: int, spots: dict[str, int]):
        self.name, self.at_ms, self.spots = name, at_ms, spots
        self.kept: dict[str, int] = {}

    def lay(self, stock: CapacityIndex) -> None:
        for node, room in self.spots.items():
            free = stock.nodes.get(node)
            kept = min(room, max(0, free.room)) if free else 0
            if kept:
                self.kept[node] = kept
                stock.take(node, kept)

    def lift(self, stock: CapacityIndex) -> None:
        """For one that ends before the promise: it may have what is kept."""
        for node, room in self.kept.items():
            stock.take(node, -room)
        self.kept = {}


def _ends_ms(desk: Transaction, name: str) -> int:
    """When its room is free: of one that is being stopped, soon."""
    row = desk.gang(name)
    active = row.state in ("placing", "running", "checkpointing", "moving")
    return transitions.ends_ms(desk, row, load=False) if active else desk.now


def promised(desk: Transaction, name: str, row: GangRow) -> Promise:
    """When there will be room for it, if all that runs ends when it is expected to, and where."""
    later = CapacityIndex(desk.draft, desk.now)
    held: dict[str, list[tuple[str, int]]] = {}
    for key, place in desk.draft.rows(SLOTS):
        node, other, _ = key.split("/")
        held.setdefault(other, []).append((node, place.room))
    span = transitions.ends_ms(desk, row, load=True) - desk.now
    for at, other in sorted((_ends_ms(desk, other), other) for other in held):
        for node, room in held[other]:
            later.take(node, -room)
        found = later.fit(row, row.members, at + span)
        if found is not None:
            promise = Promise(name, at, {})
            for one in found:
                promise.spots[one.node] = promise.spots.get(one.node, 0) + row.room
            promise.lay(desk.stock)
            return promise
    return Promise(name, desk.now, {})
