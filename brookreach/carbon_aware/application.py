"""The replicated state machine's application for carbon-aware scheduling. Does no I/O."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import msgspec

from brookreach.carbon_aware import commands, reservations, zone_preference
from brookreach.carbon_aware.commands import COMMANDS, VERSION
from brookreach.carbon_aware.cost_curve import active_version
from brookreach.carbon_aware.reservations import ReservedInterval
from brookreach.carbon_aware.schedule import format_time
from brookreach.carbon_aware.schedule_upload import (
    add_intervals,
    begin_upload,
    commit_schedule,
    drop_schedule,
    remove_draft,
)
from brookreach.carbon_aware.tables import (
    ACTIVE_KEY,
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
)
from brookreach.coordination.protocol.tags import wire_name
from brookreach.coordination.state_machine.application import (
    Command,
    CommandRejectedError,
    Context,
    Row,
    RowUpdate,
    StagedChanges,
    View,
)

MAX_SLOTS_AHEAD = 1  # how far past the current slot a marshal may request calls


class CarbonAwareApplication:
    """Applies commands on carbon intensity schedules and on the reservations of flexible work."""

    name = "power"
    version = VERSION
    commands: Any = COMMANDS  # Any, because a union of classes has no static type that could be written here
    tables: Mapping[str, type[Row]] = {
        SCHEDULE_INTERVALS: IntensityRow,
        ACTIVE_SCHEDULE: ActiveScheduleRow,
        SCHEDULE_DRAFTS: ScheduleDraftRow,
        ZONE_QUOTAS: ZoneQuotaRow,
        SLOT_RESERVATIONS: SlotReservationRow,
        RESERVATIONS: ReservationRow,
        SLOT_TOTALS: SlotTotalsRow,
    }

    def apply(self, view: View, command: Command, context: Context) -> list[RowUpdate]:
        """Returns the row updates of a command; raises CommandRejectedError if it is not allowed or not valid."""
        changes = StagedChanges(view)
        match command:
            case commands.BeginUpload():
                _check_client_kind(context, "operator")
                begin_upload(changes, command, context)
            case commands.UploadIntervals():
                _check_client_kind(context, "operator")
                add_intervals(changes, command, context)
            case commands.CommitSchedule():
                _check_client_kind(context, "operator")
                commit_schedule(changes, command, context)
            case commands.DropSchedule():
                _check_client_kind(context, "operator")
                drop_schedule(changes, command, context)
            case commands.RequestFlexibleCalls():
                _check_client_kind(context, "marshal")
                _reserve_flexible_calls(changes, command, context)
            case _:
                raise CommandRejectedError(f"{wire_name(command)} is no record of power")
        return changes.updates()

    def next_timer_ms(self, view: View) -> int | None:
        """Returns the time at which the active schedule or the earliest reserved slot ends; None: neither exists."""
        times: list[int] = []
        active: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
        if active is not None and not active.end_reason:
            times.append(active.until_ms)
        slot = reservations.earliest_slot(view)
        if slot is not None:
            times.append((slot + 1) * SLOT_MS)
        return min(times, default=None)

    def advance_time(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns the updates that are due to time alone: removes past slots and marks an expired schedule."""
        updates = reservations.expire_slots(view, context.now_ms // SLOT_MS)
        active: ActiveScheduleRow | None = view.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
        if active is not None and not active.end_reason and context.now_ms >= active.until_ms:
            expired = msgspec.structs.replace(active, end_reason=f"expired at {format_time(active.until_ms)}")
            updates.append(RowUpdate(ACTIVE_SCHEDULE, ACTIVE_KEY, expired))
        return updates

    def end_session(self, view: View, context: Context) -> list[RowUpdate]:
        """Returns the updates that remove the reservation and the drafts of a client's ended session."""
        changes = StagedChanges(view)
        reservation: ReservationRow | None = view.get(RESERVATIONS, context.client)
        if reservation is not None and reservation.session == context.session:
            changes.apply_updates(reservations.release(view, context.client))
        for key, draft in view.rows(SCHEDULE_DRAFTS):
            if draft.session == context.session and draft.operator == context.client:
                remove_draft(changes, key)
        return changes.updates()


APPLICATION = CarbonAwareApplication()


def _check_client_kind(context: Context, kind: str) -> None:
    if context.client_kind != kind:
        raise CommandRejectedError(
            f"asked by {context.client or 'the group'}, of kind {context.client_kind!r}; {kind!r} is allowed"
        )


def _reserve_flexible_calls(changes: StagedChanges, command: commands.RequestFlexibleCalls, context: Context) -> None:
    """Replaces the marshal's reservation for the command's slot.

    Its reservations for other slots are kept if they were made under the active schedule version.
    """
    slot = context.now_ms // SLOT_MS
    last_slot = slot + MAX_SLOTS_AHEAD
    if not slot <= command.slot <= last_slot:
        raise CommandRejectedError(f"slot {command.slot}; {slot} to {last_slot} are allowed")
    holder = context.client
    intervals: list[ReservedInterval] = []
    reservation: ReservationRow | None = changes.get(RESERVATIONS, holder)
    version = active_version(changes, context.now_ms)
    if reservation is not None and version and reservation.schedule_version == version:
        reserved = [ReservedInterval(*fields) for fields in reservation.intervals]
        intervals += [interval for interval in reserved if interval.first_slot != command.slot]
    granted = zone_preference.grant_calls(
        changes, context.now_ms, holder, command.slot, command.calls_per_s, command.zones
    )
    intervals += [
        ReservedInterval(zone, command.slot, command.slot + 1, calls_per_s) for zone, calls_per_s in granted.items()
    ]
    updates = reservations.replace_reservation(
        changes, context.now_ms, holder, intervals, context.session, is_calls=True
    )
    changes.apply_updates(updates)
