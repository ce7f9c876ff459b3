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
from brookreach.carbon_aware.cost_curve import (
    MAX_INTERVALS,
    active_schedule,
    format_time,
    schedule_digest,
    schedule_errors,
)
from brookreach.carbon_aware.tables import (
    ACTIVE_SCHEDULE,
    RESERVATIONS,
    SCHEDULE_DRAFTS,
    SCHEDULE_INTERVALS,
    SLOT_MS,
    SLOT_RESERVATIONS,
    SLOT_TOTALS,
    ZONE_QUOTAS,
    ActiveScheduleRow,
    IntensityRow,
    ReservationRow,
    ScheduleDraftRow,
    SlotReservationRow,
    SlotTotalsRow,
    ZoneQuotaRow,
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


class CarbonAwareApplication:
    name = "power"
    version = orders.VERSION
    orders: Any = orders.COMMANDS
    tables: Mapping[str, type[Row]] = {
        SCHEDULE_INTERVALS: IntensityRow,
        ACTIVE_SCHEDULE: ActiveScheduleRow,
        SCHEDULE_DRAFTS: ScheduleDraftRow,
        ZONE_QUOTAS: ZoneQuotaRow,
        SLOT_RESERVATIONS: SlotReservationRow,
        RESERVATIONS: ReservationRow,
        SLOT_TOTALS: SlotTotalsRow,
    }

    def apply(self, view: View, order: Any, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        match order:
            case orders.BeginUpload():
                _may(context, "operator")
                _begin(draft, order, context)
            case orders.UploadIntervals():
                _may(context, "operator")
                _rows(draft, order, context)
            case orders.CommitSchedule():
                _may(context, "operator")
                _commit(draft, order, context)
            case orders.DropSchedule():
                _may(context, "operator")
                _drop(draft, order, context)
            case orders.RequestFlexibleCalls():
                _may(context, "marshal")
                _steer(draft, order, context)
            case _:
                raise CommandRejectedError(f"{wire_name(order)} is no record of power")
        return draft.updates()

    def next_timer_ms(self, view: View) -> int | None:
        times = []
        row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, "all")
        if row is not None and not row.reason:
            times.append(row.until_ms)
        slot = reservations.earliest_slot(view)
        if slot is not None:
            times.append((slot + 1) * SLOT_MS)
        return min(times, default=None)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        puts = reservations.expire_slots(view, context.now_ms // SLOT_MS)
        row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, "all")
        if row is not None and not row.reason and context.now_ms >= row.until_ms:
            puts.append(RowUpdate(ACTIVE_SCHEDULE, "all", _ended(row, f"expired at {format_time(row.until_ms)}")))
        return puts

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        draft = StagedChanges(view)
        held: ReservationRow | None = view.get(RESERVATIONS, context.client)
        if held is not None and held.session == context.session:
            draft.take(reservations.release(view, context.client))
        for key, one in view.rows(SCHEDULE_DRAFTS):
            if one.session == context.session and one.by == context.client:
                _clear(draft, key)
        return draft.updates()


APPLICATION = CarbonAwareApplication()


def _may(context: Context, kind: str) -> None:
    if context.client_kind != kind:
        raise CommandRejectedError(
            f"asked by {context.client or 'the group'}, of kind {context.client_kind!r}; {kind!r} is allowed"
        )


def _ended(row: ActiveScheduleRow, reason: str, until_ms: int | None = None) -> ActiveScheduleRow:
    until = row.until_ms if until_ms is None else until_ms
    return ActiveScheduleRow(row.version, row.digest, until, row.fence, row.by, row.from_ms, reason)


def _newer(view: View, version: int) -> ActiveScheduleRow | None:
    row: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, "all")
    if row is not None and version <= row.version:
        raise CommandRejectedError(f"version {version}; version {row.version} is agreed; only more is allowed")
    return row


def _clear(draft: StagedChanges, key: str) -> None:
    """A version that is no longer sent, and all that has come of it."""
    draft.put(SCHEDULE_DRAFTS, key, None)
    for span, _ in draft.rows(SCHEDULE_INTERVALS, key + "/"):
        draft.put(SCHEDULE_INTERVALS, span, None)


def _begin(draft: StagedChanges, order: orders.BeginUpload, context: Context) -> None:
    key = version_key(order.version)
    _newer(draft, order.version)
    if not order.from_ms < order.until_ms:
        raise CommandRejectedError(
            f"from {format_time(order.from_ms)} to {format_time(order.until_ms)}; some time is needed"
        )
    if len({zone for zone, _ in order.zones}) < len(order.zones):
        raise CommandRejectedError("a zone stands twice in it")
    for other, one in list(draft.rows(SCHEDULE_DRAFTS)):
        if other == key and one.by != context.client:
            raise CommandRejectedError(f"version {order.version} is being sent by {one.by}; drop it or take another")
        if one.by == context.client:  # one at a time, so that none are left behind
            _clear(draft, other)
    draft.put(
        SCHEDULE_DRAFTS,
        key,
        ScheduleDraftRow(
            order.digest, order.zones, order.from_ms, order.until_ms, 0, 0, context.client, context.session
        ),
    )


def _mine(view: View, version: int, context: Context) -> ScheduleDraftRow:
    one: ScheduleDraftRow | None = view.get(SCHEDULE_DRAFTS, version_key(version))
    if one is None:
        raise CommandRejectedError(f"version {version} is not being sent; it has to begin first")
    if one.by != context.client:
        raise CommandRejectedError(f"version {version} is being sent by {one.by}, not by {context.client}")
    return one


def _rows(draft: StagedChanges, order: orders.UploadIntervals, context: Context) -> None:
    one = _mine(draft, order.version, context)
    if order.part != one.parts:
        raise CommandRejectedError(f"part {order.part} of version {order.version}; part {one.parts} is next")
    if one.spans + len(order.spans) > MAX_INTERVALS:
        raise CommandRejectedError(f"over {MAX_INTERVALS} rows in version {order.version}")
    zones = [zone for zone, _ in one.zones]
    for nth, (zone, from_ms, to_ms, grams) in enumerate(order.spans, one.spans):
        if zone not in zones:
            raise CommandRejectedError(f"zone {zone!r} is not one of version {order.version}: {', '.join(zones)}")
        key = f"{version_key(order.version)}/{zone}/{nth:05d}"
        draft.put(SCHEDULE_INTERVALS, key, IntensityRow(from_ms, to_ms, grams))
    draft.put(
        SCHEDULE_DRAFTS,
        version_key(order.version),
        msgspec.structs.replace(one, parts=one.parts + 1, spans=one.spans + len(order.spans)),
    )


def _commit(draft: StagedChanges, order: orders.CommitSchedule, context: Context) -> None:
    one, old = _mine(draft, order.version, context), _newer(draft, order.version)
    spans = [
        (key.split("/")[1], span.from_ms, span.to_ms, span.grams)
        for key, span in draft.rows(SCHEDULE_INTERVALS, version_key(order.version) + "/")
    ]
    seal = schedule_digest(order.version, one.zones, spans)
    if not seal == one.digest == order.digest:
        raise CommandRejectedError(
            f"version {order.version} is not whole: {len(spans)} rows of digest {seal[:12]}, "
            f"begun as {one.digest[:12]}, closed as {order.digest[:12]}"
        )
    for nth, flaw in schedule_errors([zone for zone, _ in one.zones], spans):
        raise CommandRejectedError(f"version {order.version}{f', row {nth}' if nth >= 0 else ''}: {flaw}")
    if (min(span[1] for span in spans), max(span[2] for span in spans)) != (one.from_ms, one.until_ms):
        raise CommandRejectedError(
            f"version {order.version} was begun for {format_time(one.from_ms)} to {format_time(one.until_ms)}"
        )
    if one.until_ms <= context.now_ms:
        raise CommandRejectedError(
            f"version {order.version} ended at {format_time(one.until_ms)}; it is {format_time(context.now_ms)}"
        )
    if old is not None:
        for key, _ in draft.rows(SCHEDULE_INTERVALS, version_key(old.version) + "/"):
            draft.put(SCHEDULE_INTERVALS, key, None)
    for key, _ in list(draft.rows(SCHEDULE_DRAFTS)):
        if key < version_key(order.version):
            _clear(draft, key)  # they could never come into force any more
    draft.put(SCHEDULE_DRAFTS, version_key(order.version), None)
    for zone, _ in list(draft.rows(ZONE_QUOTAS)):
        draft.put(ZONE_QUOTAS, zone, None)
    for zone, calls in one.zones:
        draft.put(ZONE_QUOTAS, zone, ZoneQuotaRow(calls))
    draft.put(
        ACTIVE_SCHEDULE,
        "all",
        ActiveScheduleRow(order.version, seal, one.until_ms, context.index, context.client, one.from_ms),
    )


def _drop(draft: StagedChanges, order: orders.DropSchedule, context: Context) -> None:
    key = version_key(order.version)
    row: ActiveScheduleRow | None = draft.get(ACTIVE_SCHEDULE, "all")
    if draft.get(SCHEDULE_DRAFTS, key) is not None:
        _clear(draft, key)
    elif row is not None and row.version == order.version:
        for span, _ in draft.rows(SCHEDULE_INTERVALS, key + "/"):
            draft.put(SCHEDULE_INTERVALS, span, None)
        until = min(row.until_ms, context.now_ms)
        draft.put(
            ACTIVE_SCHEDULE, "all", _ended(row, f"dropped by {context.client} at {format_time(context.now_ms)}", until)
        )
    else:
        raise CommandRejectedError(f"version {order.version} is neither agreed nor being sent")


def _steer(draft: StagedChanges, order: orders.RequestFlexibleCalls, context: Context) -> None:
    slot = context.now_ms // SLOT_MS
    if not slot <= order.slot <= slot + AHEAD:
        raise CommandRejectedError(f"slot {order.slot}; {slot} to {slot + AHEAD} are allowed")
    held: ReservationRow | None = draft.get(RESERVATIONS, context.client)
    row = active_schedule(draft, context.now_ms)
    spans: list[reservations.ReservedInterval] = []
    if held is not None and row is not None and held.version == row.version:
        spans = [one for one in held.spans if one[1] != order.slot]
    given = zone_preference.grant_calls(draft, context.now_ms, context.client, order.slot, order.calls, order.zones)
    spans += [(zone, order.slot, order.slot + 1, part) for zone, part in given.items()]
    draft.take(
        reservations.replace_reservation(draft, context.now_ms, context.client, spans, context.session, calls=True)
    )
