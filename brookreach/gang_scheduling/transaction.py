"""One record's work on the tables of gangs: rows changed together so that sums and indexes never disagree.

It owns four things that follow from others: what is held on each node, the queue, when each gang is looked
at, and the next round of placing. Nothing else puts these rows. It must never decide what is to become of a
gang.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import cached_property

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption.tables import NODES, NodeRow
from brookreach.gang_scheduling import members as seats
from brookreach.gang_scheduling.disruption_permits import Permits
from brookreach.gang_scheduling.placement import Stock
from brookreach.gang_scheduling.tables import (
    DUES,
    GANGS,
    HANDS,
    MEMBERS,
    PLACES,
    QUEUE,
    ROOMS,
    SUMS,
    WAKES,
    DueRow,
    GangRow,
    HandRow,
    MemberRow,
    PlaceRow,
    QueueRow,
    RoomRow,
    SumsRow,
    WakeRow,
)

LOOK_MS = 30_000  # a gang is looked at no later than this after the last time; `Noticed` brings it forward
ROUND = "@"  # in the index of times: a round of placing


def due_key(at_ms: int, name: str) -> str:
    return f"{at_ms:016d}/{name}"


class Desk:
    """The state as one record changes it. What is asked of `stock` counts all that was taken before."""

    def __init__(self, view: View, context: Context, permits: Permits):
        self.draft, self.now, self.index, self.permits = StagedChanges(view), context.now_ms, context.index, permits
        self.context = context

    @cached_property
    def stock(self) -> Stock:
        return Stock(self.draft, self.now)

    # --- rows as they stand ---

    def gang(self, name: str) -> GangRow:
        """Raises CommandRejectedError."""
        row = self.draft.get(GANGS, name)
        if row is None:
            raise CommandRejectedError(f"no gang {name!r}")
        return row

    def member(self, gang: str, number: int) -> MemberRow:
        row = self.draft.get(MEMBERS, f"{gang}/{number:04d}")
        return seats.NOWHERE if row is None else row

    def members(self, gang: str) -> list[tuple[int, MemberRow]]:
        return [(number, self.member(gang, number)) for number in range(self.gang(gang).members)]

    def node(self, name: str) -> NodeRow | None:
        return self.draft.get(NODES, name)

    def sums(self) -> SumsRow:
        return self.draft.get(SUMS, "all") or SumsRow()

    def on_node(self, node: str) -> list[tuple[str, int]]:
        """Gang and number of each member that takes room there, in order."""
        found = []
        for key, _ in self.draft.rows(PLACES, f"{node}/"):
            _, gang, number = key.split("/")
            found.append((gang, int(number)))
        return found

    def hand(self) -> HandRow:
        """Raises CommandRejectedError where the asking session is not the one that carries out orders on its node."""
        row = self.draft.get(HANDS, self.context.client)
        if row is None or row.session != self.context.session or not row.session:
            who = f"{self.context.client}: session {self.context.session}"
            raise CommandRejectedError(f"{who} has not said Here, or was ended")
        return row

    # --- changes ---

    def put_member(self, gang: str, number: int, row: MemberRow) -> None:
        """And the room it takes, on each node that it holds."""
        old, room = self.member(gang, number), self.gang(gang).room
        before, after = seats.held(old), seats.held(row)
        for node in before:
            if node not in after:
                self._room(node, gang, number, -room)
        for node in after:
            if node not in before:
                self._room(node, gang, number, room)
        self.draft.put(MEMBERS, f"{gang}/{number:04d}", None if row == seats.NOWHERE else row)

    def _room(self, node: str, gang: str, number: int, room: int) -> None:
        self.draft.put(PLACES, f"{node}/{gang}/{number:04d}", PlaceRow(room) if room > 0 else None)
        held = self.draft.get(ROOMS, node)
        taken = (held.taken if held else 0) + room
        self.draft.put(ROOMS, node, RoomRow(taken) if taken else None)
        if "stock" in self.__dict__:
            self.stock.take(node, room)
        if room < 0 and self.draft.base.count(QUEUE):
            self.round(self.now)

    def put_gang(self, name: str, row: GangRow) -> None:
        """And its place in the queue."""
        old: GangRow | None = self.draft.get(GANGS, name)
        waited = old is not None and old.state == "waiting"
        if waited and old is not None and (row.state != "waiting" or old.latest_ms != row.latest_ms):
            self.draft.put(QUEUE, due_key(old.latest_ms, name), None)
        if row.state == "waiting" and (old is None or not waited or old.latest_ms != row.latest_ms):
            self.draft.put(QUEUE, due_key(row.latest_ms, name), QueueRow(row.since_ms))
            self.round(self.now)
        self.draft.put(GANGS, name, row)

    def change(self, name: str, wake_ms: int | None = None, **fields: object) -> GangRow:
        old = self.gang(name)
        row = replace(old, **fields)
        if row != old:
            self.put_gang(name, row)
        if wake_ms is not None:
            self.wake(name, wake_ms)
        return row

    def wake(self, name: str, at_ms: int) -> None:
        """Look at it then, and not by time alone before that; 0: not at all."""
        old: WakeRow | None = self.draft.get(WAKES, name)
        if old is not None and old.at_ms != at_ms:
            self.draft.put(DUES, due_key(old.at_ms, name), None)
        if at_ms and (old is None or old.at_ms != at_ms):
            self.draft.put(DUES, due_key(at_ms, name), DueRow(name))
        self.draft.put(WAKES, name, WakeRow(at_ms) if at_ms else None)

    def waking(self, name: str) -> int:
        row: WakeRow | None = self.draft.get(WAKES, name)
        return row.at_ms if row else 0

    def next_look(self) -> int:
        """At full multiples, so that gangs share the record in which they are looked at."""
        return (self.now // LOOK_MS + 1) * LOOK_MS

    def remove(self, name: str) -> None:
        """Of a gang that has ended, once nothing is held for it."""
        for number, _ in self.members(name):
            self.put_member(name, number, seats.NOWHERE)
        self.wake(name, 0)
        self.draft.put(GANGS, name, None)

    def round(self, at_ms: int) -> None:
        """Place what waits no later than then."""
        sums = self.sums()
        if sums.round_ms and sums.round_ms <= at_ms:
            return
        if sums.round_ms:
            self.draft.put(DUES, due_key(sums.round_ms, ROUND), None)
        self.draft.put(DUES, due_key(at_ms, ROUND), DueRow(ROUND))
        self.draft.put(SUMS, "all", replace(sums, round_ms=at_ms))

    def round_over(self) -> None:
        sums = self.sums()
        if sums.round_ms:
            self.draft.put(DUES, due_key(sums.round_ms, ROUND), None)
            self.draft.put(SUMS, "all", replace(sums, round_ms=0))

    def ran(self, member_ms: int, failures: int) -> None:
        sums = self.sums()
        self.draft.put(SUMS, "all", replace(sums, ran_ms=sums.ran_ms + member_ms, failures=sums.failures + failures))

    def end_permits(self, names: Iterable[str], reason: str) -> None:
        for permit in names:
            self.permits.end(self.draft, self.context, permit, reason[:200])
