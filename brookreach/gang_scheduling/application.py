"""PIECE: gangs as the ground knows a piece. Each record is checked, taken as fact, and its gang looked at.

It owns the words to clients and nothing else: what becomes of a gang is decided in `look` and below. It must
never take an agent's word for a node that is not its own, nor for a session that is not the registered one.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, Row, RowUpdate, View
from brookreach.disruption.internal_tables import first, ordered
from brookreach.gang_scheduling import carbon_placement, checkpoint_interval, checkpoints, members, transitions
from brookreach.gang_scheduling import commands as orders
from brookreach.gang_scheduling import tables as rows
from brookreach.gang_scheduling.disruption_permits import Agreed, Permits
from brookreach.gang_scheduling.migration import leaves_ms
from brookreach.gang_scheduling.placement import ever
from brookreach.gang_scheduling.queue import Prefer, place_waiting
from brookreach.gang_scheduling.reconcile import look
from brookreach.gang_scheduling.transaction import ROUND, Desk, due_key

NEAR_MS = 60_000


class Gangs:
    """A `coordination.state_machine.application.Application`."""

    name = "gangs"
    version = 1
    commands: Any = orders.Orders
    tables: Mapping[str, type[Row]] = {
        rows.GANGS: rows.GangRow,
        rows.MEMBERS: rows.MemberRow,
        rows.ROOMS: rows.RoomRow,
        rows.PLACES: rows.PlaceRow,
        rows.HANDS: rows.HandRow,
        rows.QUEUE: rows.QueueRow,
        rows.DUES: rows.DueRow,
        rows.WAKES: rows.WakeRow,
        rows.SUMS: rows.SumsRow,
    }

    def __init__(self, permits: Permits, prefer: Prefer | None = None):
        self.permits, self.prefer = permits, prefer

    def apply(self, view: View, order: Any, context: Context) -> list[RowUpdate]:
        orders.permitted(order, context)
        desk = Desk(view, context, self.permits)
        touched: list[str] = []
        match order:
            case orders.Submit():
                _submit(desk, order)
            case orders.Cancel():
                _cancel(desk, order)
                touched = [order.gang]
            case orders.Here():
                touched = _here(desk, order)
            case orders.Confirmed():
                touched = [order.gang] if checkpoints.confirm(desk, order) else []
            case orders.Started() | orders.Stopped() | orders.Failed():
                touched = [order.gang] if _member(desk, order) else []
            case orders.Measured():
                _measured(desk, order)
            case orders.Noticed():
                touched = _noticed(desk, order.node)
        for gang in dict.fromkeys(touched):
            _look(desk, gang)
        return _changes(desk)

    def next_timer_ms(self, view: View) -> int | None:
        found = first(view, rows.DUES)
        return None if found is None else int(found[0][:16])

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        desk = Desk(view, context, self.permits)
        due = []
        for key, row in ordered(view, rows.DUES):
            if int(key[:16]) > context.now_ms:
                break
            due.append((key, row.name))
        for key, name in due:
            if name.startswith(ROUND) and name != ROUND:
                desk.draft.put(rows.DUES, key, None)
                for gang in _released(desk, name[1:]):
                    _look(desk, gang)
            elif name != ROUND and desk.draft.get(rows.GANGS, name) is not None:
                _look(desk, name)
        sums = desk.sums()
        if sums.round_ms and sums.round_ms <= context.now_ms:
            place_waiting(desk, self.prefer)
        return _changes(desk)

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """The agent's members can't be counted on any more; what they hold is let go later (`LET_GO_MS`)."""
        hand = view.get(rows.HANDS, context.client) if context.client_kind == "agent" else None
        if hand is None or hand.session != context.session:
            return []
        desk = Desk(view, context, self.permits)
        desk.draft.put(rows.HANDS, context.client, rows.HandRow(0, hand.life, context.now_ms))
        until = due_key(context.now_ms + members.LET_GO_MS, ROUND + context.client)
        desk.draft.put(rows.DUES, until, rows.DueRow(ROUND + context.client))
        fallen: dict[str, list[int]] = {}
        for gang, number in desk.on_node(context.client):
            member = desk.member(gang, number)
            spot = members.live(member)
            if member.node == context.client or (spot and spot.node == context.client and member.state != "fencing"):
                fallen.setdefault(gang, []).append(number)
            elif member.next_node == context.client:
                desk.put_member(gang, number, replace(member, next_node="", next_life=0))
        for gang, numbers in fallen.items():
            transitions.lost(desk, gang, numbers, f"the agent of {context.client} is gone", gone=False)
            _look(desk, gang)
        return _changes(desk)


def _changes(desk: Desk) -> list[RowUpdate]:
    """Without what was put back as it was."""
    draft = desk.draft
    return [put for put in draft.updates() if draft.base.get(put.table, put.key) != put.row]


def _look(desk: Desk, gang: str) -> None:
    """And never twice by time alone at the same moment."""
    if desk.draft.get(rows.GANGS, gang) is None:
        return
    look(desk, gang)
    row = desk.draft.get(rows.GANGS, gang)
    if row is not None and row.state in ("done", "failed"):
        carbon_placement.let_go(desk, gang, row)
    if row is not None and 0 < desk.waking(gang) <= desk.now:
        desk.wake(gang, desk.next_look())


def _noticed(desk: Desk, node: str) -> list[str]:
    """Gangs to be looked at now. Where there is time, all that were noticed in one second are looked at
    together, with one reading of the nodes.
    """
    gangs = list(dict.fromkeys(gang for gang, _ in desk.on_node(node)))
    if leaves_ms(desk.node(node), desk.now) <= desk.now + NEAR_MS:
        return gangs
    full = (desk.now // 1000 + 1) * 1000
    for gang in gangs:
        at = desk.waking(gang)
        desk.wake(gang, min(at, full) if at else full)
    return []


def _submit(desk: Desk, order: orders.Submit) -> None:
    orders.proper(order, desk.now)
    if desk.draft.get(rows.GANGS, order.gang) is not None:
        raise CommandRejectedError(f"{order.gang}: a gang of this name stands; Cancel takes an ended one away")
    row = rows.GangRow(
        order.members,
        order.room,
        order.work_ms,
        order.cost_ms,
        order.load_ms,
        order.deadline_ms,
        tuple(sorted(order.zones)),
        tuple(sorted(order.builds)),
        order.flexible,
        "waiting",
        desk.now,
        submitted_ms=desk.now,
        order=desk.index,
        reason=f"submitted by {desk.context.client}",
    )
    places, nodes = ever(desk.draft, row)
    if places < order.members:
        raise CommandRejectedError(
            f"{order.gang}: {order.members} members of room {order.room} can never run together: {nodes}"
            f" nodes of zones {list(row.zones) or 'all'} and builds {list(row.builds) or 'all'} hold {places}"
            " of them empty"
        )
    desk.put_gang(order.gang, replace(row, latest_ms=transitions.latest_ms(row, desk.now)))


def _cancel(desk: Desk, order: orders.Cancel) -> None:
    row = desk.gang(order.gang)
    if row.state not in ("done", "failed"):
        transitions.over(desk, order.gang, "failed", f"cancelled by {desk.context.client}: {order.reason}")
        return
    living = sorted({spot.node for _, one in desk.members(order.gang) if (spot := members.live(one))})
    if living:
        raise CommandRejectedError(f"{order.gang}: {row.state}, and still being stopped on {', '.join(living)}")
    desk.remove(order.gang)


def _here(desk: Desk, order: orders.Here) -> list[str]:
    """One session of a node's agent at a time; the next only after the one before has ended."""
    by, session = desk.context.client, desk.context.session
    node, hand = desk.node(by), desk.draft.get(rows.HANDS, by)
    if node is None or node.life != order.life:
        known = "no such node" if node is None else f"its life is {node.life}"
        raise CommandRejectedError(f"{by}: life {order.life}; {known}")
    if hand is not None and hand.session and hand.session != session:
        raise CommandRejectedError(f"{by}: session {hand.session} carries out its orders and has not ended")
    if hand is not None and hand.session == session and hand.life == order.life:
        return []
    if hand is not None and hand.session:
        raise CommandRejectedError(
            f"{by}: session {session} spoke for life {hand.life}; life {order.life} begins its own"
        )
    gangs = _released(desk, by)
    desk.draft.put(rows.HANDS, by, rows.HandRow(session, order.life))
    if desk.draft.base.count(rows.QUEUE):
        desk.round(desk.now)
    return gangs


def _released(desk: Desk, node: str) -> list[str]:
    """What an ended session had started there works no more: by time, or by its agent's next word."""
    hand = desk.draft.get(rows.HANDS, node)
    if hand is None or hand.session:
        return []
    desk.draft.put(rows.DUES, due_key(hand.ended_ms + members.LET_GO_MS, ROUND + node), None)
    desk.draft.put(rows.HANDS, node, None)
    gangs = []
    for gang, number in desk.on_node(node):
        if desk.member(gang, number).old_node == node:
            transitions.let_go(desk, gang, number)
            gangs.append(gang)
    return list(dict.fromkeys(gangs))


def _member(desk: Desk, order: orders.Started | orders.Stopped | orders.Failed) -> bool:
    """What the agent of a node says of one member there; False: the same again, which changes nothing."""
    desk.hand()
    by, member = desk.context.client, desk.member(order.gang, order.member)
    where = f"{order.gang}/{order.member}"
    desk.gang(order.gang)
    leaves = member.state == "fencing" and member.old_node == by and order.fence >= member.old_fence
    if leaves and not isinstance(order, orders.Started):
        transitions.let_go(desk, order.gang, order.member)
        return True
    spot = members.live(member)
    if spot is None or spot.node != by or spot.fence != order.fence:
        raise CommandRejectedError(f"{where}: fence {order.fence} on {by} is not where it runs; nothing changes")
    if isinstance(order, orders.Started):
        if member.state != "starting":
            return False
        desk.put_member(order.gang, order.member, replace(member, state="running"))
        return True
    why = order.reason if isinstance(order, orders.Failed) else "stopped without an order"
    row = desk.change(order.gang, tries=desk.gang(order.gang).tries + 1)
    if row.tries >= transitions.MOST_TRIES and row.state not in ("done", "failed", "waiting"):
        transitions.over(desk, order.gang, "failed", f"fell {row.tries} times since epoch {row.epoch}; last: {why}")
    transitions.lost(desk, order.gang, [order.member], f"member {order.member} on {by}: {why}", gone=True)
    return True


def _measured(desk: Desk, order: orders.Measured) -> None:
    """By an agent that runs a member of it."""
    desk.hand()
    row = desk.gang(order.gang)
    if not any(one.node == desk.context.client for _, one in desk.members(order.gang)):
        raise CommandRejectedError(f"{order.gang}: no member of it is on {desk.context.client}")
    desk.change(
        order.gang,
        cost_ms=checkpoint_interval.measured(row.cost_ms, order.cost_ms),
        load_ms=checkpoint_interval.measured(row.load_ms, order.load_ms),
    )


APPLICATION = Gangs(Agreed(), carbon_placement.prefer)
