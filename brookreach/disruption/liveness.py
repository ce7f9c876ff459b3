"""What agents and marshals say of themselves, and what is known when one says nothing any more.

It owns the rows of nodes and marshals. A node whose agent's session ended counts as down until it is heard of
again: nobody knows better, and what isn't known to be ready must not be counted on.
"""

from __future__ import annotations

from msgspec import structs

from brookreach.coordination.state_machine.application import CommandRejectedError, Context, StagedChanges
from brookreach.disruption import budgets, build_assignments, deadlines, permits, releases, targets
from brookreach.disruption.commands import Gone, MarshalSeen, NodeSeen, RetirementNotice, RetirementWithdrawn
from brookreach.disruption.tables import ASSIGNED, MARSHALS, NODES, MarshalRow, NodeRow, Standing

KEEP_GONE_MS = permits.KEEP_MS


def _standing(order: NodeSeen | MarshalSeen) -> Standing:
    """Ready is what is ready and warm."""
    if order.warm and order.standing == "cold":
        raise CommandRejectedError("a node that is cold can't be warm; ready, draining and down may be")
    return "cold" if order.standing == "ready" and not order.warm else order.standing


def node(draft: StagedChanges, order: NodeSeen, context: Context) -> None:
    standing, name = _standing(order), order.node
    old: NodeRow | None = draft.get(NODES, name)
    if old is not None:
        if context.session < old.session:
            raise CommandRejectedError(f"{name}: session {context.session} is over, {old.session} speaks for it")
        back_from_gone = order.life == old.life and old.standing == "gone" and standing != "gone"
        if order.life < old.life or back_from_gone:
            raise CommandRejectedError(f"{name}: life {order.life} is over, begin {old.life + 1}")
    same_life = old is not None and old.life == order.life
    since_ms = old.since_ms if old and same_life and old.standing == standing else context.now_ms
    warm_ms = (old.warm_ms if old and same_life and old.warm_ms else context.now_ms) if order.warm else 0
    new = NodeRow(
        order.zone,
        order.build,
        order.service,
        order.room,
        standing,
        since_ms,
        order.life,
        warm_ms,
        old.retires_ms if old else 0,
        context.session,
    )
    if new != old:
        targets.lift(draft, "node", name)
        draft.put(NODES, name, new)
        targets.lay(draft, "node", name)
    if standing == "gone":
        _is_gone(draft, context, "node", name, "gone, as it said")
    else:
        permits.seen(draft, context, "node", name, order.heard)
        build_assignments.follow(draft, context, name)
    releases.touched(draft, context, {new.build, old.build if old else new.build}, name)
    permits.serve(draft, context)


def marshal(draft: StagedChanges, order: MarshalSeen, context: Context) -> None:
    standing, name = _standing(order), order.marshal
    old: MarshalRow | None = draft.get(MARSHALS, name)
    if old is not None and context.session < old.session:
        raise CommandRejectedError(f"{name}: session {context.session} is over, {old.session} speaks for it")
    same = old is not None and old.standing == standing and old.session == context.session
    since_ms = old.since_ms if old and same else context.now_ms
    new = MarshalRow(order.zone, order.build, order.service, standing, since_ms, context.session)
    if new != old:
        targets.lift(draft, "marshal", name)
        draft.put(MARSHALS, name, new)
        targets.lay(draft, "marshal", name)
    if standing == "gone":
        _is_gone(draft, context, "marshal", name, "gone, as it said")
    else:
        permits.seen(draft, context, "marshal", name, order.heard)
    permits.serve(draft, context)


def session_ended(draft: StagedChanges, context: Context) -> None:
    """Down until heard of again; a permit stays as it is. What a marshal asked for itself ends."""
    was: NodeRow | None = draft.get(NODES, context.client)
    if was is not None and was.session == context.session and was.standing not in ("down", "gone"):
        targets.lift(draft, "node", context.client)
        draft.put(NODES, context.client, structs.replace(was, standing="down", since_ms=context.now_ms))
        targets.lay(draft, "node", context.client)
        releases.touched(draft, context, {was.build}, context.client)
    row: MarshalRow | None = draft.get(MARSHALS, context.client)
    if row is not None and row.session == context.session and row.standing != "gone":
        targets.lift(draft, "marshal", context.client)
        draft.put(MARSHALS, context.client, structs.replace(row, standing="down", since_ms=context.now_ms))
        targets.lay(draft, "marshal", context.client)
        for name, permit in targets.permits_of(draft, "marshal", context.client):
            if permit.state == "waiting" and permit.by == context.client:
                permits.take_back(draft, context, name, "its session ended before its turn")
    permits.serve(draft, context)  # one that is out already needs no further place


def gone(draft: StagedChanges, order: Gone, context: Context) -> None:
    row = budgets.target(draft, order.kind, order.name)
    if row is None or row.standing == "gone":
        raise CommandRejectedError(f"no {order.kind} {order.name!r} is in the fleet")
    targets.lift(draft, order.kind, order.name)
    changed = structs.replace(row, standing="gone", since_ms=context.now_ms)
    draft.put(NODES if order.kind == "node" else MARSHALS, order.name, changed)
    _is_gone(draft, context, order.kind, order.name, f"gone, says {context.client}: {order.reason}")
    releases.touched(draft, context, {row.build}, order.name)
    permits.serve(draft, context)


def _is_gone(draft: StagedChanges, context: Context, kind: budgets.Kind, name: str, reason: str) -> None:
    """Its row says so already. It keeps its life, so that nothing late of that life is taken."""
    permits.gone(draft, context, kind, name, reason)
    standing = targets.opened(draft, kind, name)
    targets.put_opened(draft, kind, name, structs.replace(standing, move=0, back=False))
    deadlines.at(draft, context.now_ms + KEEP_GONE_MS, deadlines.NODE, f"{kind}/{name}")


def forget(draft: StagedChanges, context: Context, kind_name: str) -> None:
    """What has been gone for long is forgotten, unless it came back or its moves go on."""
    kind, name = kind_name.split("/")
    table = NODES if kind == "node" else MARSHALS
    row: NodeRow | MarshalRow | None = draft.get(table, name)
    if row is None or row.standing != "gone" or context.now_ms < row.since_ms + KEEP_GONE_MS:
        return
    draft.put(table, name, None)
    if kind == "node":
        draft.put(ASSIGNED, name, None)


def notice(draft: StagedChanges, order: RetirementNotice | RetirementWithdrawn, context: Context) -> None:
    row: NodeRow | None = draft.get(NODES, order.node)
    if row is None or row.standing == "gone":
        raise CommandRejectedError(f"no node {order.node!r} is in the fleet")
    at_ms = order.at_ms if isinstance(order, RetirementNotice) else 0
    draft.put(NODES, order.node, structs.replace(row, retires_ms=at_ms))
