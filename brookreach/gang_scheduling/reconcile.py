"""One gang looked at: what its state asks for now, by what its nodes, permits and members say. And its next
time.

It owns the order in which things are looked at. Looking twice at the same moment changes nothing the second
time. It must never wait for more than LOOK_MS without a look at a gang that holds room.
"""

from __future__ import annotations

from brookreach.gang_scheduling import checkpoint_interval, checkpoints, migration, transitions
from brookreach.gang_scheduling import members as seats
from brookreach.gang_scheduling.disruption_permits import permit_name, permit_target
from brookreach.gang_scheduling.migration import MemberOnNode, RunningGang, Step
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.transaction import Transaction

LAG_MS = 2000
NOT_NOW = "a move is not wanted or possible any more"
PERMIT_MS = 1000  # while permits are waited for; at full seconds: all that wait are looked at together


def reconcile(desk: Transaction, name: str) -> None:
    """Until its state stands still."""
    for _ in range(6):
        transitions.later_lives(desk, name)
        row = desk.gang(name)
        _by_state(desk, name, row)
        if desk.draft.get("gangs", name) is None or desk.gang(name).state == row.state:
            return


def _by_state(desk: Transaction, name: str, row: GangRow) -> None:
    if row.state == "running":
        _running(desk, name, row)
    elif row.state == "checkpointing":
        checkpoints.look(desk, name)
    elif row.state in ("placing", "moving"):
        _gathering(desk, name, row)
    elif row.state == "waiting":
        desk.change(name, wake_ms=desk.next_look() if _living(desk, name) else 0)
    else:
        _ended(desk, name, row)


def _living(desk: Transaction, name: str) -> list[str]:
    """Nodes where something of it may work."""
    spots = [seats.active_incarnation(member) for _, member in desk.members(name)]
    return [one.node for one in spots if one is not None]


def _ended(desk: Transaction, name: str, row: GangRow) -> None:
    if _living(desk, name):
        desk.change(name, wake_ms=desk.next_look())
    elif desk.now >= row.since_ms + transitions.RETENTION_MS:
        desk.remove(name)
    else:
        desk.change(name, wake_ms=row.since_ms + transitions.RETENTION_MS)


def _gathering(desk: Transaction, name: str, row: GangRow) -> None:
    """Placing or moving: until all run, within the stated time, and only to nodes that are still fit."""
    members = desk.members(name)
    missing = [number for number, one in members if one.state != "running"]
    if not missing:
        transitions.run_on(desk, name, "all members run")
        return
    if desk.now >= transitions.limit_ms(row):
        told = ", ".join(f"{one} on {members[one][1].node or 'no node'}" for one in missing)
        span = desk.now - row.since_ms
        transitions.to_waiting(desk, name, f"not whole after {span} ms, members {told}: all wait")
        return
    until = transitions.ends_ms(desk, row, load=True)
    unfit = [n for n in missing if not transitions.homely(desk, members[n][1], until)]
    if unfit:
        _elsewhere(desk, name, row, unfit, until)
    if desk.gang(name).state == row.state:
        desk.change(name, wake_ms=min(transitions.limit_ms(row), desk.next_look()))


def _elsewhere(desk: Transaction, name: str, row: GangRow, unfit: list[int], until: int) -> None:
    """Nodes that they are on the way to have got a notice, drain or went: others, or where that can
    wait, none.
    """
    spots, told = {}, []
    but = tuple(sorted({desk.member(name, number).node for number in unfit} - {""}))
    found = desk.stock.fit(row, len(unfit), until, but=but)
    for nth, number in enumerate(unfit):
        member = desk.member(name, number)
        if found is not None:
            spots[number] = found[nth].node, found[nth].life
            told.append(f"{member.node} to {found[nth].node}")
        elif not transitions.tolerable(desk, member):
            why = f"{member.node or 'a target'} is out and there is no room elsewhere: all wait"
            transitions.to_waiting(desk, name, why)
            return
    if spots:
        transitions.set_out(desk, name, spots, row.state, f"targets that leave: {', '.join(told)}")


def _running(desk: Transaction, name: str, row: GangRow) -> None:
    members = desk.members(name)
    fallen = [number for number, one in members if one.state != "running"]
    if fallen:
        transitions.go_back(desk, name, fallen, f"members {', '.join(map(str, fallen))} do not run")
        return
    posts = [
        MemberOnNode(number, one.node, migration.departure_ms(desk.node(one.node), desk.now)) for number, one in members
    ]
    sight = _sight(desk, name, row)
    leaving = {post.node for post in posts if post.leave_ms}
    since = {permit: desk.permits.given_ms(desk.draft, permit) for permit in row.permits}
    if -1 in since.values():
        row = desk.change(name, permits=tuple(one for one in row.permits if since[one] >= 0))
    given = {permit_target(desk.draft, one): since[one] for one in row.permits if since[one] > 0}

    def room(numbers: tuple[int, ...]) -> bool:
        until = sight.finish_ms + row.load_ms + sight.unsaved_ms  # at the latest: should it have to go back
        return desk.stock.fit(row, len(numbers), until, but=sorted(leaving)) is not None

    step = migration.decide(
        sight, posts, given, room, lambda node: not migration.needs_permit(desk.node(node), desk.now)
    )
    _take(desk, name, row, sight, posts, step)


def _sight(desk: Transaction, name: str, row: GangRow) -> RunningGang:
    # members begin a little after the record that says so, and the last checkpoint waits for them
    left = row.work_ms - row.kept_ms - transitions.unsaved_ms(row, desk.now) + LAG_MS
    return RunningGang(
        now=desk.now,
        left_ms=left,
        finish_ms=transitions.ends_ms(desk, row, load=False) + LAG_MS,
        unsaved_ms=transitions.unsaved_ms(row, desk.now),
        asked_ms=row.asked_ms,
        cost_ms=row.cost_ms,
        load_ms=row.load_ms,
        interval_ms=checkpoint_interval.interval_ms(row, desk.sums()),
        asked=bool(row.permits),
        gang=name,
    )


def _take(
    desk: Transaction, name: str, row: GangRow, sight: RunningGang, posts: list[MemberOnNode], step: Step
) -> None:
    """The step that was decided."""
    if step.act == "save":
        checkpoints.ask(desk, name, step.reason)
    elif step.act == "leave":
        _reserve(desk, name, row, posts, step)
    elif step.act == "go back":
        if sight.unsaved_ms > sight.interval_ms // 8:  # a notice that left no time is as good as none
            desk.ran(0, 1)
        transitions.go_back(desk, name, step.movers, step.reason)
    elif step.act == "ask":
        _ask(desk, name, row, sight, posts, step)
    else:
        if row.permits:  # a notice was withdrawn, or there is no room to go to
            desk.end_permits(row.permits, NOT_NOW)
        reason = NOT_NOW if row.permits else row.reason
        desk.change(name, permits=(), reason=reason, wake_ms=min(step.wake_ms, desk.next_look()))


def _ask(desk: Transaction, name: str, row: GangRow, sight: RunningGang, posts: list[MemberOnNode], step: Step) -> None:
    """A permit for each node that stands and is to be left; asked for once."""
    held, reason = {permit_target(desk.draft, permit): permit for permit in row.permits}, step.reason
    for post in posts:
        if post.number not in step.movers or post.node in held:
            continue
        if not migration.needs_permit(desk.node(post.node), desk.now):
            continue
        urgent = migration.urgency(row, sight, post.leave_ms)
        permit = permit_name(name, desk.index, post.number)
        refused = desk.permits.ask(desk.draft, desk.context, permit, post.node, urgent, step.reason[:200])
        if refused:
            reason = f"{step.reason}; {refused}"
        else:
            held[post.node] = permit
    full = (desk.now // PERMIT_MS + 1) * PERMIT_MS
    desk.change(name, permits=tuple(held.values()), reason=reason, wake_ms=max(desk.now + 1, min(step.wake_ms, full)))


def _reserve(desk: Transaction, name: str, row: GangRow, posts: list[MemberOnNode], step: Step) -> None:
    """Room for the movers is theirs from here on; they go to it once the checkpoint is whole."""
    leaving = sorted({post.node for post in posts if post.leave_ms})
    until = transitions.ends_ms(desk, row, load=True)
    found = desk.stock.fit(row, len(step.movers), until, but=leaving)
    if found is None:
        desk.change(name, reason=f"{step.reason}; no room any more", wake_ms=desk.now + PERMIT_MS)
        return
    for number, free in zip(step.movers, found, strict=True):
        desk.put_member(name, number, seats.reserve(desk.member(name, number), free.node, free.life))
    checkpoints.ask(desk, name, step.reason)
