"""Leaves to be out on plan: asked for, given, over.

It owns permits from asked to ended. One that was given counts as out until its target was seen ready and warm
in a later life, or, where it was taken back, in the same life by an agent that had heard of that. No time and
no vanished session ends it; only the word that the target is gone for good. Nothing is given during a halt.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges, View
from brookreach.disruption import budgets, deadlines, halt, queue, targets
from brookreach.disruption.budgets import KINDS, Kind
from brookreach.disruption.commands import MOST_NAME
from brookreach.disruption.internal_tables import WaitRow
from brookreach.disruption.tables import ASSIGNED, PERMITS, MarshalRow, NodeRow, PermitRow
from brookreach.disruption.targets import OUT, OVER

What = Literal["drain", "restart", "move"]

LATE_MS = 3_600_000  # after that nobody's claim waits for it; it counts as out all the same
KEEP_MS = 7 * 86_400_000  # what is over is kept so long, for who reads and for names said again
MOST_GIVEN = 64  # in one record; the rest at once in the next


def kind_of(what: str) -> Kind:
    return "marshal" if what == "restart" else "node"


def life(row: NodeRow | MarshalRow) -> int:
    """A marshal's session stands for its life: none goes on in the next."""
    return row.life if isinstance(row, NodeRow) else row.session


def ask(
    draft: StagedChanges, context: Context, name: str, what: What, target: str, urgency: int, reason: str
) -> PermitRow:
    """Puts it in the queue and gives whatever can be given now; raises CommandRejectedError.

    The same name again changes nothing, but a higher urgency is taken while it waits.
    """
    kind = kind_of(what)
    row = budgets.target(draft, kind, target)
    if not 0 < len(name) <= MOST_NAME:
        raise CommandRejectedError(f"a permit's name of {len(name)} characters; 1 to {MOST_NAME} are allowed")
    if row is None or row.standing == "gone":
        raise CommandRejectedError(f"{what} {name}: no {kind} {target!r} is in the fleet")
    if budgets.limit(draft, kind, "all") is None:
        raise CommandRejectedError(f"{what} {name}: {kind}s have no budget for scope all, so none may go")
    old: PermitRow | None = draft.get(PERMITS, name)
    if old is None:
        for one, permit in targets.permits_of(draft, kind, target):
            if permit.what == what and what != "move":
                raise CommandRejectedError(f"{what} {name}: {target} has {one} already, by {permit.by}, {permit.state}")
        made = PermitRow(what, target, context.client, urgency, context.now_ms, "waiting", reason=reason)
    elif (old.what, old.target) != (what, target):
        raise CommandRejectedError(f"{name} stands for the {old.what} of {old.target}, {old.state}: take another name")
    elif old.state in OVER:
        raise CommandRejectedError(f"{name} is over: {old.state} at {old.ended_ms} ms; asking again needs a new name")
    elif old.state != "waiting" or urgency <= old.urgency:
        return old
    else:
        made = structs.replace(old, urgency=urgency)
    targets.lift(draft, kind, target)
    draft.put(PERMITS, name, made)
    standing = targets.opened(draft, kind, target)
    if old is None:
        targets.put_opened(draft, kind, target, structs.replace(standing, names=(*standing.names, name)))
    targets.lay(draft, kind, target)
    need = 0 if targets.is_out(row, targets.permits_of(draft, kind, target)) else 1
    if all(budgets.room(draft, kind, scope) >= need for scope in budgets.scopes_of(row)):
        serve(draft, context)
    asked: PermitRow = draft.get(PERMITS, name)
    return asked


def ask_all(
    draft: StagedChanges, context: Context, what: What, wanted: Mapping[str, str], urgency: int, reason: str
) -> bool:
    """All of `wanted` (permit's name: target) given in this record, or nothing changed."""
    trial = StagedChanges(draft)
    for name in sorted(wanted):
        ask(trial, context, name, what, wanted[name], urgency, reason)
    if any(trial.get(PERMITS, name).state != "given" for name in wanted):
        return False
    draft.apply_updates(trial.updates())
    return True


def given(view: View, name: str) -> PermitRow | None:
    """The permit while its holder may go or is out by it. Its life and fence are those that it is for."""
    found: PermitRow | None = view.get(PERMITS, name)
    return found if found is not None and found.state == "given" else None


def done(draft: StagedChanges, context: Context, name: str) -> None:
    """A move is over: the gang's member runs again."""
    permit = _standing(draft, name)
    if permit.what != "move":
        raise CommandRejectedError(f"{name} is a {permit.what}: it ends when {permit.target} is seen ready and warm")
    _over(draft, context, name, "ended", permit.reason)
    serve(draft, context)


def take_back(draft: StagedChanges, context: Context, name: str, reason: str) -> None:
    """Out of the queue, or on its way back. What was given counts as out until its target is seen back."""
    permit = _standing(draft, name)
    if permit.state == "waiting":
        _over(draft, context, name, "taken back", reason)
    elif permit.back or permit.state == "returning":
        raise CommandRejectedError(f"{name} is on its way back already")
    else:
        changed = structs.replace(permit, state="returning", back=context.index, reason=reason)
        draft.put(PERMITS, name, changed)  # counts as out before and after


def _standing(draft: StagedChanges, name: str) -> PermitRow:
    permit: PermitRow | None = draft.get(PERMITS, name)
    if permit is None:
        raise CommandRejectedError(f"no permit is named {name}")
    if permit.state in OVER:
        raise CommandRejectedError(f"{name} is over: {permit.state} at {permit.ended_ms} ms")
    return permit


def is_back(permit: PermitRow, row: NodeRow | MarshalRow, heard: int) -> bool:
    """Whether the one that went is back. In its old life only by who knew that it must not go any more:
    what was said before that may be followed by its going."""
    if row.standing != "ready":
        return False
    return life(row) > permit.life or (permit.back > 0 and heard >= permit.back)


def seen(draft: StagedChanges, context: Context, kind: Kind, name: str, heard: int) -> None:
    """The target was seen as its row now says; `heard` is the log's place up to which its agent knew."""
    row = budgets.target(draft, kind, name)
    assert row is not None
    for one, permit in targets.permits_of(draft, kind, name):
        if permit.what == "move" or permit.state not in OUT:
            continue
        if is_back(permit, row, heard):
            _over(draft, context, one, "ended", permit.reason)
        elif permit.state == "given" and life(row) > permit.life:
            draft.put(PERMITS, one, structs.replace(permit, state="returning"))


def gone(draft: StagedChanges, context: Context, kind: Kind, name: str, reason: str) -> None:
    """The target is no longer of the fleet. Moves off it go on: their gangs end them."""
    for one, permit in targets.permits_of(draft, kind, name):
        if permit.what != "move":
            _over(draft, context, one, "ended" if permit.state in OUT else "taken back", reason)


def late(draft: StagedChanges, context: Context, name: str) -> None:
    """It was given long ago. It counts as out as before; only claims no longer wait for it."""
    permit: PermitRow | None = draft.get(PERMITS, name)
    if permit is None or permit.state not in OUT:
        return
    kind = kind_of(permit.what)
    targets.lift(draft, kind, permit.target)
    draft.put(PERMITS, name, structs.replace(permit, late=True))
    targets.lay(draft, kind, permit.target)


def serve(draft: StagedChanges, context: Context) -> None:
    """Gives what can be given. To be called after whatever may have made room."""
    stands = halt.halted(draft)
    if stands is not None and not stands.way_back:
        return
    left = MOST_GIVEN
    for kind in KINDS:
        for wait in queue.turns(draft, kind, stands is not None):
            if not left:
                deadlines.at(draft, context.now_ms, deadlines.SERVE, "all")
                return
            _give(draft, context, kind, wait)
            left -= 1


def _give(draft: StagedChanges, context: Context, kind: Kind, wait: WaitRow) -> None:
    row = budgets.target(draft, kind, wait.target)
    assert row is not None
    targets.lift(draft, kind, wait.target)
    name = wait.name or _restart(draft, context, wait.target)
    permit: PermitRow = draft.get(PERMITS, name)
    changed = structs.replace(permit, state="given", fence=context.index, given_ms=context.now_ms, life=life(row))
    draft.put(PERMITS, name, changed)
    targets.lay(draft, kind, wait.target)
    deadlines.at(draft, context.now_ms + LATE_MS, deadlines.LATE, name)


def _restart(draft: StagedChanges, context: Context, node: str) -> str:
    """The permit of a restart that a release wants, made when its turn comes: so thousands wait cheaply."""
    standing, assign = targets.opened(draft, "node", node), draft.get(ASSIGNED, node)
    urgency = targets.BACK_URGENCY if standing.back else targets.ON_URGENCY
    asked_ms = standing.move - (9 - urgency) * targets.STEP_MS
    name = f"release:{assign.release}:{node}:{context.index}"
    reason = f"build {assign.build}, by release {assign.release}"
    draft.put(PERMITS, name, PermitRow("drain", node, "", urgency, asked_ms, "waiting", reason=reason))
    draft.put(ASSIGNED, node, structs.replace(assign, tries=assign.tries + 1))
    left = structs.replace(standing, names=(*standing.names, name), move=0, back=False)
    targets.put_opened(draft, "node", node, left)
    return name


def _over(
    draft: StagedChanges, context: Context, name: str, state: Literal["ended", "taken back"], reason: str
) -> None:
    permit: PermitRow = draft.get(PERMITS, name)
    kind = kind_of(permit.what)
    targets.lift(draft, kind, permit.target)
    ended = structs.replace(permit, state=state, ended_ms=context.now_ms, reason=reason)
    draft.put(PERMITS, name, ended)
    standing = targets.opened(draft, kind, permit.target)
    names = tuple(one for one in standing.names if one != name)
    targets.put_opened(draft, kind, permit.target, structs.replace(standing, names=names))
    targets.lay(draft, kind, permit.target)
    if permit.state in OUT:
        deadlines.off(draft, permit.given_ms + LATE_MS, deadlines.LATE, name)
    deadlines.at(draft, context.now_ms + KEEP_MS, deadlines.FORGET, name)
