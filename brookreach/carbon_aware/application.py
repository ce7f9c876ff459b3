"""What power's records do to the agreed state. Pure.

A version comes in parts and has no effect until its Commit: only then, whole and with the digest that was
promised, all go by it from one place of the log on. So nobody can go by another, whatever he was sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brookreach.carbon_aware import commands as orders
from brookreach.carbon_aware import reservations, zone_preference
from brookreach.carbon_aware.cost_curve import digest, flaws, in_force, told
from brookreach.carbon_aware.tables import (
    CURRENT,
    DRAFTS,
    HOLDS,
    LOADS,
    OFFERS,
    RESERVED,
    SCHEDULES,
    SLOT_MS,
    CurrentRow,
    DraftRow,
    HoldRow,
    LoadRow,
    OfferRow,
    ReservedRow,
    SpanRow,
    version_key,
)
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import (
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    StagedChanges,
    View,
)

AHEAD = 1  # slots after the one under way that a marshal may ask for


class Power:
    name = "power"
    version = orders.VERSION
    commands: Any = orders.ORDERS
    tables: Mapping[str, type[Row]] = {
        SCHEDULES: SpanRow,
        CURRENT: CurrentRow,
        DRAFTS: DraftRow,
        OFFERS: OfferRow,
        RESERVED: ReservedRow,
        HOLDS: HoldRow,
        LOADS: LoadRow,
    }

    def apply(self, view: View, order: Any, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        match order:
            case orders.Begin():
                _may(context, "operator")
                _begin(draft, order, context)
            case orders.Rows():
                _may(context, "operator")
                _rows(draft, order, context)
            case orders.Commit():
                _may(context, "operator")
                _commit(draft, order, context)
            case orders.Drop():
                _may(context, "operator")
                _drop(draft, order, context)
            case orders.Steer():
                _may(context, "marshal")
                _steer(draft, order, context)
            case _:
                raise CommandRejectedError(f"{wire_name(order)} is no record of power")
        return draft.updates()

    def next_timer_ms(self, view: View) -> int | None:
        times = []
        row: CurrentRow | None = view.get(CURRENT, "all")
        if row is not None and not row.reason:
            times.append(row.until_ms)
        slot = reservations.first_slot(view)
        if slot is not None:
            times.append((slot + 1) * SLOT_MS)
        return min(times, default=None)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        puts = reservations.passed(view, context.now_ms // SLOT_MS)
        row: CurrentRow | None = view.get(CURRENT, "all")
        if row is not None and not row.reason and context.now_ms >= row.until_ms:
            puts.append(RowUpdate(CURRENT, "all", _ended(row, f"expired at {told(row.until_ms)}")))
        return puts

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        held: HoldRow | None = view.get(HOLDS, context.client)
        if held is not None and held.session == context.session:
            draft.apply_updates(reservations.release(view, context.client))
        for key, one in view.rows(DRAFTS):
            if one.session == context.session and one.by == context.client:
                _clear(draft, key)
        return draft.updates()


APPLICATION = Power()


def _may(context: Context, kind: str) -> None:
    if context.client_kind != kind:
        raise CommandRejectedError(
            f"asked by {context.client or 'the group'}, of kind {context.client_kind!r}; {kind!r} is allowed"
        )


def _ended(row: CurrentRow, reason: str, until_ms: int | None = None) -> CurrentRow:
    until = row.until_ms if until_ms is None else until_ms
    return CurrentRow(row.version, row.digest, until, row.fence, row.by, row.from_ms, reason)


def _newer(view: View, version: int) -> CurrentRow | None:
    row: CurrentRow | None = view.get(CURRENT, "all")
    if row is not None and version <= row.version:
        raise CommandRejectedError(f"version {version}; version {row.version} is agreed; only more is allowed")
    return row


def _clear(draft: StagedChanges, key: str) -> None:
    """A version that is no longer sent, and all that has come of it."""
    draft.put(DRAFTS, key, None)
    for span, _ in draft.rows(SCHEDULES, key + "/"):
        draft.put(SCHEDULES, span, None)


def _begin(draft: StagedChanges, order: orders.Begin, context: Context) -> None:
    key = version_key(order.version)
    _newer(draft, order.version)
    if not order.from_ms < order.until_ms:
        raise CommandRejectedError(f"from {told(order.from_ms)} to {told(order.until_ms)}; some time is needed")
    if len({zone for zone, _ in order.zones}) < len(order.zones):
        raise CommandRejectedError("a zone stands twice in it")
    for other, one in list(draft.rows(DRAFTS)):
        if other == key and one.by != context.client:
            raise CommandRejectedError(f"version {order.version} is being sent by {one.by}; drop it or take another")
        if one.by == context.client:  # one at a time, so that none are left behind
            _clear(draft, other)
    draft.put(
        DRAFTS,
        key,
        DraftRow(order.digest, order.zones, order.from_ms, order.until_ms, 0, 0, context.client, context.session),
    )


def _mine(view: View, version: int, context: Context) -> DraftRow:
    one: DraftRow | None = view.get(DRAFTS, version_key(version))
    if one is None:
        raise CommandRejectedError(f"version {version} is not being sent; it has to begin first")
    if one.by != context.client:
        raise CommandRejectedError(f"version {version} is being sent by {one.by}, not by {context.client}")
    return one


def _rows(draft: StagedChanges, order: orders.Rows, context: Context) -> None:
    one = _mine(draft, order.version, context)
    if order.part != one.parts:
        raise CommandRejectedError(f"part {order.part} of version {order.version}; part {one.parts} is next")
    if one.spans + len(order.spans) > orders.MOST_SPANS:
        raise CommandRejectedError(f"over {orders.MOST_SPANS} rows in version {order.version}")
    zones = [zone for zone, _ in one.zones]
    for nth, (zone, from_ms, to_ms, grams) in enumerate(order.spans, one.spans):
        if zone not in zones:
            raise CommandRejectedError(f"zone {zone!r} is not one of version {order.version}: {', '.join(zones)}")
        key = f"{version_key(order.version)}/{zone}/{nth:05d}"
        draft.put(SCHEDULES, key, SpanRow(from_ms, to_ms, grams))
    draft.put(
        DRAFTS,
        version_key(order.version),
        msgspec.structs.replace(one, parts=one.parts + 1, spans=one.spans + len(order.spans)),
    )


def _commit(draft: StagedChanges, order: orders.Commit, context: Context) -> None:
    one, old = _mine(draft, order.version, context), _newer(draft, order.version)
    spans = [
        (key.split("/")[1], span.from_ms, span.to_ms, span.grams)
        for key, span in draft.rows(SCHEDULES, version_key(order.version) + "/")
    ]
    seal = digest(order.version, one.zones, spans)
    if not seal == one.digest == order.digest:
        raise CommandRejectedError(
            f"version {order.version} is not whole: {len(spans)} rows of digest {seal[:12]}, "
            f"begun as {one.digest[:12]}, closed as {order.digest[:12]}"
        )
    for nth, flaw in flaws([zone for zone, _ in one.zones], spans):
        raise CommandRejectedError(f"version {order.version}{f', row {nth}' if nth >= 0 else ''}: {flaw}")
    if (min(span[1] for span in spans), max(span[2] for span in spans)) != (one.from_ms, one.until_ms):
        raise CommandRejectedError(f"version {order.version} was begun for {told(one.from_ms)} to {told(one.until_ms)}")
    if one.until_ms <= context.now_ms:
        raise CommandRejectedError(
            f"version {order.version} ended at {told(one.until_ms)}; it is {told(context.now_ms)}"
        )
    if old is not None:
        for key, _ in draft.rows(SCHEDULES, version_key(old.version) + "/"):
            draft.put(SCHEDULES, key, None)
    for key, _ in list(draft.rows(DRAFTS)):
        if key < version_key(order.version):
            _clear(draft, key)  # they could never come into force any more
    draft.put(DRAFTS, version_key(order.version), None)
    for zone, _ in list(draft.rows(OFFERS)):
        draft.put(OFFERS, zone, None)
    for zone, calls in one.zones:
        draft.put(OFFERS, zone, OfferRow(calls))
    draft.put(CURRENT, "all", CurrentRow(order.version, seal, one.until_ms, context.index, context.client, one.from_ms))


def _drop(draft: StagedChanges, order: orders.Drop, context: Context) -> None:
    key = version_key(order.version)
    row: CurrentRow | None = draft.get(CURRENT, "all")
    if draft.get(DRAFTS, key) is not None:
        _clear(draft, key)
    elif row is not None and row.version == order.version:
        for span, _ in draft.rows(SCHEDULES, key + "/"):
            draft.put(SCHEDULES, span, None)
        until = min(row.until_ms, context.now_ms)
        draft.put(CURRENT, "all", _ended(row, f"dropped by {context.client} at {told(context.now_ms)}", until))
    else:
        raise CommandRejectedError(f"version {order.version} is neither agreed nor being sent")


def _steer(draft: StagedChanges, order: orders.Steer, context: Context) -> None:
    slot = context.now_ms // SLOT_MS
    if not slot <= order.slot <= slot + AHEAD:
        raise CommandRejectedError(f"slot {order.slot}; {slot} to {slot + AHEAD} are allowed")
    held: HoldRow | None = draft.get(HOLDS, context.client)
    row = in_force(draft, context.now_ms)
    spans: list[reservations.Sized] = []
    if held is not None and row is not None and held.version == row.version:
        spans = [one for one in held.spans if one[1] != order.slot]
    given = zone_preference.granted(draft, context.now_ms, context.client, order.slot, order.calls, order.zones)
    spans += [(zone, order.slot, order.slot + 1, part) for zone, part in given.items()]
    draft.apply_updates(reservations.replace(draft, context.now_ms, context.client, spans, context.session, calls=True))
