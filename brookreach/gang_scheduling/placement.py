"""Which nodes have room for a gang, all of it or none. Pure: reads the agreed rows, reserves nothing
itself.

A target is ready and warm, its agent's session stands, and it does not retire before the gang could be
done, or within HORIZON_MS; a later notice is taken only where nothing else is. Builds on trial take no more
than their stage's cap of all room that gangs hold. It must never offer a node beyond that, nor the same
room twice.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sortedcontainers import SortedKeyList

from brookreach.coordination.state_machine.application import View
from brookreach.disruption.tables import NODES, RELEASES, NodeRow
from brookreach.gang_scheduling.tables import HANDS, ROOMS, GangRow

HORIZON_MS = 6 * 3_600_000
ON_TRIAL = ("waiting", "on", "halted", "going back", "sent back")


@dataclass(slots=True)
class Free:
    """One node that may be a target."""

    node: str
    life: int
    zone: str
    build: int
    room: int  # free
    retires_ms: int


def stays(row: NodeRow | None, now: int, until: int) -> bool:
    """Is it a fit place for work that ends at `until`? Room and agents are not looked at."""
    if row is None or row.status != "ready" or row.warm_since_ms > now:
        return False
    return not row.retires_ms or row.retires_ms > min(until, now + HORIZON_MS)


def allowed(row: GangRow, zone: str, build: int) -> bool:
    return (not row.zones or zone in row.zones) and (not row.builds or build in row.builds)


def trial_caps(view: View) -> dict[int, int]:
    """By build on trial, thousandths of all held room that may stand on it. Sent back or halted: none."""
    caps = {}
    for _, row in view.rows(RELEASES):
        if row.state in ON_TRIAL:
            open_now = row.state == "on" and 0 < row.stage <= len(row.traffic_caps)
            caps[row.build] = row.traffic_caps[row.stage - 1] if open_now else 0
    return caps


class Stock:
    """All targets of one moment, from one reading of the nodes; what is taken from it is gone from it."""

    def __init__(self, view: View, now: int):
        self.now, self.caps = now, trial_caps(view)
        self.all = 0  # room held by gangs
        self.on = dict.fromkeys(self.caps, 0)  # and on builds on trial
        self.nodes: dict[str, Free] = {}
        self.groups: dict[tuple[str, int], SortedKeyList] = {}  # without notice, by zone and build
        self.leaving: list[Free] = []  # with a notice
        for name, row in view.rows(NODES):
            taken = view.get(ROOMS, name)
            used = taken.taken if taken else 0
            self.all += used
            if row.build in self.on:
                self.on[row.build] += used
            hand = view.get(HANDS, name)
            if hand is None or not hand.session or hand.life != row.incarnation or not stays(row, now, now):
                continue
            free = Free(name, row.incarnation, row.zone, row.build, row.capacity - used, row.retires_ms)
            self.nodes[name] = free
            if free.retires_ms:
                self.leaving.append(free)
            else:
                group = self.groups.setdefault(
                    (free.zone, free.build), SortedKeyList(key=lambda one: (one.room, one.node))
                )
                group.add(free)
        self.leaving.sort(key=lambda one: (-one.retires_ms, one.node))

    def take(self, node: str, room: int) -> None:
        """Room that is held from now on; negative: given back."""
        self.all += room
        free = self.nodes.get(node)
        if free is None:
            return
        if free.build in self.on:
            self.on[free.build] += room
        group = None if free.retires_ms else self.groups[free.zone, free.build]
        if group is not None:
            group.remove(free)
        free.room -= room
        if group is not None:
            group.add(free)

    def under_cap(self, build: int, room: int, more: int) -> bool:
        """With `room` of it besides, and `more` in all."""
        if build not in self.caps:
            return True
        return (self.on[build] + room) * 1000 <= self.caps[build] * (self.all + more)

    def fit(
        self, row: GangRow, count: int, until: int, zones: Sequence[str] = (), but: Sequence[str] = ()
    ) -> list[Free] | None:
        """A node for each of `count` members, few nodes and the tightest; None: there is no room for all.

        `zones` narrows the row's own; `but` names nodes that are no targets.
        """
        found: list[Free] = []
        used: dict[str, int] = {}
        trial: dict[int, int] = {}
        groups = [
            (place, group)
            for place, group in sorted(self.groups.items())
            if allowed(row, *place) and (not zones or place[0] in zones)
        ]
        while len(found) < count:
            best = self._best(row, count - len(found), groups, used, trial, but, len(found))
            if best is None:
                best = self._late(row, until, zones, used, trial, but, len(found))
            if best is None:
                return None
            free = best
            fits = min(count - len(found), (free.room - used.get(free.node, 0)) // row.room)
            while fits > 1 and not self._under(row, free, fits, trial, len(found)):
                fits -= 1
            found += [free] * fits
            used[free.node] = used.get(free.node, 0) + fits * row.room
            trial[free.build] = trial.get(free.build, 0) + fits * row.room
        return found

    def _under(self, row: GangRow, free: Free, fits: int, trial: dict[int, int], placed: int) -> bool:
        there = trial.get(free.build, 0) + fits * row.room
        return self.under_cap(free.build, there, (placed + fits) * row.room)

    def _best(
        self,
        row: GangRow,
        left: int,
        groups: list,
        used: dict[str, int],
        trial: dict[int, int],
        but: Sequence[str],
        placed: int,
    ) -> Free | None:
        """The smallest room that takes all that is left; else the largest there is."""
        best: tuple[tuple[int, int, str], Free] | None = None
        for _, group in groups:
            at = group.bisect_key_left((left * row.room, ""))
            found = next((one for one in group.islice(at) if _open(one, used, but)), None)
            whole = found is not None
            if found is None:
                lesser = group.islice(0, at, reverse=True)
                found = next((one for one in lesser if _open(one, used, but)), None)
            if found is None or found.room < row.room or not self._under(row, found, 1, trial, placed):
                continue
            key = (0 if whole else 1, found.room if whole else -found.room, found.node)
            if best is None or key < best[0]:
                best = key, found
        return None if best is None else best[1]

    def _late(
        self,
        row: GangRow,
        until: int,
        zones: Sequence[str],
        used: dict[str, int],
        trial: dict[int, int],
        but: Sequence[str],
        placed: int,
    ) -> Free | None:
        """Where nothing else is: the one whose notice lies farthest off, still past `until` or the
        horizon.
        """
        least = min(until, self.now + HORIZON_MS)
        for one in self.leaving:
            if one.retires_ms <= least:
                return None
            if (
                _open(one, used, but)
                and one.room >= row.room
                and allowed(row, one.zone, one.build)
                and (not zones or one.zone in zones)
                and self._under(row, one, 1, trial, placed)
            ):
                return one
        return None


def ever(view: View, row: GangRow) -> tuple[int, int]:
    """Members that would fit if nothing else ran, and the nodes that have room for any: for Submit."""
    places = nodes = 0
    for _, node in view.rows(NODES):
        if node.status != "gone" and allowed(row, node.zone, node.build):
            places += node.capacity // row.room
            nodes += node.capacity >= row.room
    return places, nodes


def _open(one: Free, used: dict[str, int], but: Sequence[str]) -> bool:
    return one.node not in used and one.node not in but
