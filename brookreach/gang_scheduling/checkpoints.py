"""Checkpoints: asked for, confirmed by each member, whole or given up.

It owns `epoch` and `kept_ms`. An epoch's number is asked for once and never again, whatever became of it. It
must never count one that any member has not confirmed under the fence it runs by.
"""

from __future__ import annotations

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.gang_scheduling import transitions
from brookreach.gang_scheduling.commands import ConfirmCheckpoint
from brookreach.gang_scheduling.migration import departure_ms
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.transaction import Transaction

GIVE_UP_MS = 30_000  # and four times the cost


def ask(desk: Transaction, name: str, reason: str) -> None:
    """All members pause at one point of the work and keep it."""
    row = transitions.paused(desk, name, desk.gang(name), "checkpointing", reason)
    wake = min(desk.next_look(), desk.now + GIVE_UP_MS + 4 * row.cost_ms)
    desk.change(name, asked_epoch=row.asked_epoch + 1, asked_ms=desk.now, wake_ms=wake)


def confirm(desk: Transaction, order: ConfirmCheckpoint) -> bool:
    """One member's part; False: said before. Raises CommandRejectedError for another epoch, fence or node than was
    asked.
    """
    row, member = desk.gang(order.gang), desk.member(order.gang, order.member)
    hand, where = desk.hand(), f"{order.gang}/{order.member}"
    if row.state != "checkpointing" or order.epoch != row.asked_epoch:
        raise CommandRejectedError(
            f"{where}: epoch {order.epoch} is not asked for; {row.state}, last {row.asked_epoch}"
        )
    told = order.node, order.life, order.fence
    if member.state != "running" or told != (member.node, member.life, member.fence):
        raise CommandRejectedError(
            f"{where}: confirmed by {order.node} life {order.life} fence {order.fence}; it runs on"
            f" {member.node or 'no node'} life {member.life} fence {member.fence}, {member.state}"
        )
    if desk.context.client != order.node or hand.life != order.life:
        raise CommandRejectedError(
            f"{where}: {desk.context.client!r} life {hand.life} speaks for {order.node} {order.life}"
        )
    if order.work_ms < row.kept_ms:
        raise CommandRejectedError(f"{where}: work_ms: {order.work_ms}; epoch {row.epoch} already kept {row.kept_ms}")
    if member.epoch == order.epoch:
        return False
    desk.put_member(order.gang, order.member, replace(member, epoch=order.epoch, work_ms=order.work_ms))
    if is_whole(desk, order.gang):
        whole(desk, order.gang)
    return True


def is_whole(desk: Transaction, name: str) -> bool:
    row = desk.gang(name)
    return all(member.epoch == row.asked_epoch for _, member in desk.members(name))


def whole(desk: Transaction, name: str) -> None:
    """Every member confirmed the same epoch: it counts, and what waited for it goes on."""
    row = desk.gang(name)
    kept = min(row.work_ms, min(member.work_ms for _, member in desk.members(name)))
    desk.change(name, epoch=row.asked_epoch, kept_ms=kept, done_ms=0, tries=0)
    if kept >= row.work_ms:
        late = f", {desk.now - row.deadline_ms} ms late" if 0 < row.deadline_ms < desk.now else ""
        transitions.over(desk, name, "done", f"done with epoch {row.asked_epoch}{late}")
        return
    _leave(desk, name, row.reason)


def _leave(desk: Transaction, name: str, reason: str) -> None:
    """Those for whom room is held go to it, those that died meanwhile too; the others stay, paused."""
    row = desk.gang(name)
    until = transitions.ends_ms(desk, row, load=True)
    spots, homeless, dead = {}, [], False
    for number, member in desk.members(name):
        dead = dead or member.state != "running"
        there = replace(member, node=member.next_node, life=member.next_life)
        if member.next_node and transitions.homely(desk, there, until):
            spots[number] = member.next_node, member.next_life
        elif member.next_node or member.state != "running":
            homeless.append(number)
    if homeless:
        but = tuple(sorted({desk.member(name, number).node for number in homeless} - {""}))
        found = desk.stock.fit(row, len(homeless), until, but=but)
        if found is None and dead:
            why = f"epoch {row.epoch} kept; no room for {len(homeless)} members, so all wait"
            transitions.to_waiting(desk, name, why)
            return
        spots |= {number: (one.node, one.life) for number, one in zip(homeless, found or [], strict=False)}
    if not spots:
        transitions.unreserve(desk, name)
        transitions.run_on(desk, name, "no room any more where it was to go" if homeless else "work goes on")
        return
    transitions.set_out(desk, name, spots, "moving", reason)
    transitions.unreserve(desk, name)


def look(desk: Transaction, name: str) -> None:
    """While one is under way: may it still end?"""
    row = desk.gang(name)
    if is_whole(desk, name):
        whole(desk, name)
        return
    if desk.now >= row.asked_ms + GIVE_UP_MS + 4 * row.cost_ms:
        late = [str(number) for number, one in desk.members(name) if one.epoch != row.asked_epoch]
        _late(desk, name, f"epoch {row.asked_epoch} given up: members {', '.join(late)} did not confirm")
        return
    gone = _cut_short(desk, name, row)
    if gone:
        give_up(desk, name, gone)
        return
    wake = [desk.next_look(), row.asked_ms + GIVE_UP_MS + 4 * row.cost_ms]
    desk.change(name, wake_ms=min(wake))


def _cut_short(desk: Transaction, name: str, row: GangRow) -> str:
    """A notice brought forward: does a node go before its member can confirm? Else the checkpoint goes on."""
    for _, member in desk.members(name):
        leave = departure_ms(desk.node(member.node), desk.now) if member.node else 0
        ends = max(row.asked_ms + row.cost_ms, desk.now + 1)
        if member.epoch != row.asked_epoch and leave and leave < ends:
            return f"{member.node} now leaves at {leave}, before epoch {row.asked_epoch} can end: given up"
    return ""


def give_up(desk: Transaction, name: str, reason: str) -> None:
    """Members go on with their work, or, where one has fallen, all go back."""
    dead = [number for number, member in desk.members(name) if member.state != "running"]
    if dead:
        transitions.go_back(desk, name, dead, reason)
        return
    transitions.unreserve(desk, name)
    transitions.run_on(desk, name, reason)


def _late(desk: Transaction, name: str, reason: str) -> None:
    """Members that don't confirm in time: once or twice it may go on, then it is placed anew."""
    row = desk.change(name, tries=desk.gang(name).tries + 1)
    if row.tries >= transitions.MAX_FAILURES:
        transitions.over(desk, name, "failed", reason)
    elif row.tries >= 3:
        transitions.to_waiting(desk, name, reason)
    else:
        give_up(desk, name, reason)
