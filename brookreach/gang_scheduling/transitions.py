"""A gang's way from state to state, on the tables of one record: what begins, is broken off, goes back, ends.

It owns the meaning of each state and the reason that stands beside it. Each function leaves a gang in a state
that all its members' rows fit. It must never give a member a new place except through `seats`.
"""

from __future__ import annotations

from collections.abc import Collection

from msgspec.structs import replace

from brookreach.gang_scheduling import checkpoint_interval
from brookreach.gang_scheduling import members as seats
from brookreach.gang_scheduling.disruption_permits import node_of
from brookreach.gang_scheduling.migration import leaves_ms
from brookreach.gang_scheduling.placement import Free, stays
from brookreach.gang_scheduling.tables import HANDS, GangRow, GangState, MemberRow
from brookreach.gang_scheduling.transaction import Desk

PLACE_MS = 120_000  # and twice the load: no gang is placed in part for longer
KEEP_MS = 7 * 86_400_000  # an ended gang's rows
PATIENCE_MS = 86_400_000  # a gang without a deadline queues as if it had to begin by then
MOST_TRIES = 8  # falls by its own fault since the last whole checkpoint


def ran_ms(row: GangRow, now: int) -> int:
    return max(0, now - row.since_ms) if row.state == "running" else 0


def unsaved_ms(row: GangRow, now: int) -> int:
    return row.done_ms + ran_ms(row, now)


def left_ms(row: GangRow, now: int) -> int:
    return max(0, row.work_ms - row.kept_ms - unsaved_ms(row, now))


def ends_ms(desk: Desk, row: GangRow, load: bool) -> int:
    """When it could be done if it went on (or, with `load`, was started) now: work, checkpoints, the
    last one.
    """
    left = left_ms(row, desk.now)
    saves = left // checkpoint_interval.interval_ms(row, desk.sums()) + 1
    return desk.now + left + saves * row.cost_ms + (row.load_ms if load else 0)


def limit_ms(row: GangRow) -> int:
    return row.since_ms + PLACE_MS + 2 * row.load_ms


def latest_ms(row: GangRow, now: int) -> int:
    """When it has to begin: its place in the queue. It stays as it is while the gang waits, so whoever comes
    later than that goes behind.
    """
    if not row.deadline_ms:
        return row.submitted_ms + PATIENCE_MS
    return max(row.submitted_ms, row.deadline_ms - left_ms(row, now) - row.load_ms - row.cost_ms)


def paused(desk: Desk, name: str, row: GangRow, state: GangState, reason: str) -> GangRow:
    """Out of whatever it was in; its running time counts for the measured rate of failures."""
    ran = ran_ms(row, desk.now)
    if ran:
        desk.ran(ran * row.members, 0)
    under_way = ("placing", "moving")  # counted from its beginning, whatever has to be planned anew meanwhile
    since = row.since_ms if row.state in under_way and state in under_way else desk.now
    row = replace(row, state=state, since_ms=since, done_ms=row.done_ms + ran, reason=reason)
    desk.put_gang(name, row)
    desk.wake(name, desk.next_look())
    return row


def unreserve(desk: Desk, name: str) -> None:
    """Room held for a move that is not to be."""
    for number, member in desk.members(name):
        if member.next_node:
            desk.put_member(name, number, replace(member, next_node="", next_life=0))


def set_out(desk: Desk, name: str, spots: dict[int, tuple[str, int]], state: GangState, reason: str) -> None:
    """These members are to run there, under this record's fence."""
    paused(desk, name, desk.gang(name), state, reason)
    for number, (node, life) in sorted(spots.items()):
        desk.put_member(name, number, seats.sent(desk.member(name, number), node, life, desk.index))
    row = desk.gang(name)
    desk.change(name, order=desk.index, wake_ms=min(limit_ms(row), desk.next_look()))


def place(desk: Desk, name: str, found: list[Free]) -> None:
    """A waiting gang, all of it in one record."""
    row = desk.gang(name)
    told = ", ".join(dict.fromkeys(one.node for one in found))
    spots = {number: (one.node, one.life) for number, one in enumerate(found)}
    since = f", from epoch {row.epoch}" if row.epoch else ""
    set_out(desk, name, spots, "placing", f"placed on {told}{since}")


def run_on(desk: Desk, name: str, reason: str) -> None:
    """All members are there and loaded, or none had to leave: work goes on."""
    row = paused(desk, name, desk.gang(name), "running", reason)
    here = {member.node for _, member in desk.members(name)}
    over = [one for one in row.permits if node_of(desk.draft, one) not in here]
    desk.end_permits(over, reason)
    desk.change(name, permits=tuple(one for one in row.permits if one not in over), wake_ms=desk.now + 1)


def forgotten(desk: Desk, name: str, row: GangRow, state: GangState, reason: str) -> GangRow:
    """Work since the last whole checkpoint is lost, and whatever was under way given up."""
    unreserve(desk, name)
    row = paused(desk, name, row, state, reason)
    row = replace(row, lost_ms=row.lost_ms + row.done_ms, done_ms=0, fell=reason)
    desk.put_gang(name, row)
    return row


def to_waiting(desk: Desk, name: str, reason: str) -> None:
    """Nothing is held for it but where something may still work."""
    row = forgotten(desk, name, desk.gang(name), "waiting", reason)
    for number, member in desk.members(name):
        desk.put_member(name, number, seats.away(member))
    desk.end_permits(row.permits, reason)
    desk.change(name, permits=(), latest_ms=latest_ms(row, desk.now), wake_ms=desk.next_look())
    desk.round(desk.now)


def over(desk: Desk, name: str, state: GangState, reason: str) -> None:
    """Done or failed: members are stopped, and the rows stay for operators to read."""
    unreserve(desk, name)
    row = paused(desk, name, desk.gang(name), state, reason)
    for number, member in desk.members(name):
        desk.put_member(name, number, seats.away(member))
    desk.end_permits(row.permits, reason)
    desk.change(name, permits=(), wake_ms=desk.next_look())


def homely(desk: Desk, member: MemberRow, until: int) -> bool:
    """May it start (again) where it is, or is meant to be?"""
    hand = desk.draft.get(HANDS, member.node) if member.node else None
    if hand is None or not hand.session or hand.life != member.life:
        return False
    return stays(desk.node(member.node), desk.now, until)


def tolerable(desk: Desk, member: MemberRow) -> bool:
    """It is there already, and there is nothing better: the node leaves, but not yet."""
    spot = seats.live(member)
    if spot is None or spot.node != member.node:
        return False
    hand = desk.draft.get(HANDS, member.node) if member.node else None
    if hand is None or not hand.session or hand.life != member.life:
        return False
    leave = leaves_ms(desk.node(member.node), desk.now)
    return not leave or leave > desk.now


def go_back(desk: Desk, name: str, out: Collection[int], reason: str) -> None:
    """To the last whole checkpoint: `out` leave their nodes, all others start again where they are, if they
    can.

    Since the gang stands still anyway, members on nodes with a notice go too where there is room for them.
    With no room for those that must go, all of it waits: a gang is never there in part.
    """
    state: GangState = "placing" if desk.gang(name).state == "placing" else "moving"
    row = forgotten(desk, name, desk.gang(name), state, reason)
    until = ends_ms(desk, row, load=True)
    members = desk.members(name)
    must = [number for number, one in members if number in out or not tolerable(desk, one)]
    better = [number for number, one in members if number in must or not homely(desk, one, until)]
    for movers in (better, must):
        but = tuple(sorted({one.node for number, one in members if number in movers and one.node}))
        found = desk.stock.fit(row, len(movers), until, but=but)
        if found is not None:
            spots = {number: (one.node, one.life) for number, one in members}
            spots |= {number: (one.node, one.life) for number, one in zip(movers, found, strict=True)}
            set_out(desk, name, spots, state, reason)
            return
    to_waiting(desk, name, f"{reason}; no room for {len(must)} of its members, so all wait")


def lost(desk: Desk, name: str, numbers: Collection[int], reason: str, gone: bool) -> None:
    """Members of a gang no longer work as planned. `gone`: nothing of them can work any more.

    While a checkpoint is under way, one that has confirmed is not missed before the others have too.
    """
    row = desk.gang(name)
    unforeseen = [number for number in numbers if _unforeseen(desk, desk.member(name, number))]
    for number in numbers:
        member = seats.away(desk.member(name, number))
        desk.put_member(name, number, seats.let_go(member) if gone else member)
    if row.state in ("waiting", "done", "failed"):
        return
    if unforeseen and row.state in ("running", "checkpointing"):
        desk.ran(0, 1)
    confirmed = all(desk.member(name, number).epoch == row.asked_epoch for number in numbers)
    if row.state == "checkpointing" and confirmed:
        desk.change(name, reason=f"{reason}, after it confirmed epoch {row.asked_epoch}")
        return
    go_back(desk, name, numbers, reason)


def _unforeseen(desk: Desk, member: MemberRow) -> bool:
    node = desk.node(member.node) if member.state == "running" else None
    return node is not None and not leaves_ms(node, desk.now)


def let_go(desk: Desk, name: str, number: int) -> None:
    """Nothing lives any more at the place that this member was to leave."""
    member = desk.member(name, number)
    if member.state == "fencing":
        desk.put_member(name, number, seats.let_go(member))


def later_lives(desk: Desk, name: str) -> None:
    """Nodes that were started anew since: what lived there is gone."""
    fallen = []
    for number, member in desk.members(name):
        spot = seats.live(member)
        node = desk.node(spot.node) if spot else None
        if spot is None or node is None or node.incarnation <= spot.life:
            continue
        if member.state == "fencing":
            let_go(desk, name, number)
        else:
            fallen.append(number)
    if fallen:
        nodes = ", ".join(dict.fromkeys(desk.member(name, number).node for number in fallen))
        lost(desk, name, fallen, f"{nodes} started anew", gone=True)
