"""Reservations of flexible work by zone and slot. Does no I/O: functions return the row updates.

The module owns SLOT_RESERVATIONS, RESERVATIONS and SLOT_TOTALS and keeps them consistent: a total is the sum of
the reservations in its slot and zone, and no row is left of a holder whose reservation was removed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from brookreach.carbon_aware.cost_curve import active_curve, active_version
from brookreach.carbon_aware.tables import (
    RESERVATIONS,
    SLOT_MS,
    SLOT_RESERVATIONS,
    SLOT_TOTALS,
    ReservationRow,
    SlotReservationRow,
    SlotTotalsRow,
    slot_reservation_key,
    slot_totals_key,
)
from brookreach.coordination.state_machine.application import RowUpdate, StagedChanges, View


class PlannedInterval(NamedTuple):
    """A planned run in a zone from `first_slot` to before `end_slot`."""

    zone: str
    first_slot: int
    end_slot: int


class ReservedInterval(NamedTuple):
    """An amount reserved in a zone for the slots `first_slot` to before `end_slot`."""

    zone: str
    first_slot: int
    end_slot: int
    amount: int


def reserve(
    view: View, now_ms: int, holder: str, capacity: int, intervals: Iterable[tuple[str, int, int]], session: int = 0
) -> list[RowUpdate]:
    """Replaces all capacity that is reserved under `holder`.

    Args:
        view: The replicated state.
        now_ms: The agreed time.
        holder: Name under which the capacity is reserved.
        capacity: Capacity of the job, the same in all intervals.
        intervals: Tuples with the fields of `PlannedInterval`.
        session: Session whose end removes the reservation; 0: it lasts until its slots pass or it is released.

    Returns:
        The row updates; empty if the same is reserved already, so an unchanged plan changes nothing.
    """
    requested = tuple(ReservedInterval(*interval, capacity) for interval in intervals)
    row: ReservationRow | None = view.get(RESERVATIONS, holder)
    if (
        row is not None
        and upcoming_intervals(row.intervals, now_ms // SLOT_MS) == requested
        and row.session == session
        and row.schedule_version == active_version(view, now_ms)
    ):
        return []
    return replace_reservation(view, now_ms, holder, requested, session, is_calls=False)


def release(view: View, holder: str) -> list[RowUpdate]:
    """Returns the updates that remove all reservations of `holder`."""
    changes = StagedChanges(view)
    _remove(changes, holder)
    return changes.updates()


def replace_reservation(
    view: View, now_ms: int, holder: str, intervals: Iterable[ReservedInterval], session: int, *, is_calls: bool
) -> list[RowUpdate]:
    """Replaces all reservations of `holder` by `intervals`, cut at the beginning of the slot of `now_ms`."""
    changes = StagedChanges(view)
    _remove(changes, holder)
    upcoming = upcoming_intervals(intervals, now_ms // SLOT_MS)
    if upcoming:
        curve = active_curve(view, now_ms)
        changes.put(RESERVATIONS, holder, ReservationRow(upcoming, session, is_calls, curve.version))
        for zone, first_slot, end_slot, amount in upcoming:
            costs = curve.slot_costs(zone, first_slot, end_slot - first_slot)
            for slot, cost in enumerate(costs, first_slot):
                row = SlotReservationRow(amount, session, cost // SLOT_MS)
                changes.put(SLOT_RESERVATIONS, slot_reservation_key(zone, slot, holder), row)
                _add_to_total(changes, slot, zone, amount, is_calls=is_calls)
    return [update for update in changes.updates() if view.get(update.table, update.key) != update.row]


def upcoming_intervals(intervals: Iterable[tuple[str, int, int, int]], slot: int) -> tuple[ReservedInterval, ...]:
    """Returns the intervals that end after `slot` begins; one that began earlier is cut to begin at `slot`.

    Args:
        intervals: Tuples with the fields of `ReservedInterval`, as stored in rows.
        slot: The current slot.
    """
    return tuple(
        ReservedInterval(zone, max(first_slot, slot), end_slot, amount)
        for zone, first_slot, end_slot, amount in intervals
        if end_slot > slot
    )


def expire_slots(view: View, slot: int) -> list[RowUpdate]:
    """Returns the updates that remove reservations in slots before `slot`, and holders with no later slot."""
    changes = StagedChanges(view)
    expired_holders: list[str] = []
    for key, _ in view.rows(SLOT_TOTALS):
        total_slot, _, zone = key.partition("/")
        if int(total_slot) >= slot:
            break
        changes.put(SLOT_TOTALS, key, None)
        for reservation_key, _ in view.rows(SLOT_RESERVATIONS, f"{zone}/{total_slot}/"):
            changes.put(SLOT_RESERVATIONS, reservation_key, None)
            expired_holders.append(reservation_key.split("/", 2)[2])
    for holder in dict.fromkeys(expired_holders):
        row: ReservationRow | None = view.get(RESERVATIONS, holder)
        if row is not None and not upcoming_intervals(row.intervals, slot):
            changes.put(RESERVATIONS, holder, None)
    return changes.updates()


def earliest_slot(view: View) -> int | None:
    """Returns the first slot that has a reservation; None: there are no reservations."""
    for key, _ in view.rows(SLOT_TOTALS):
        return int(key.partition("/")[0])
    return None


def capacity_reserved_by_others(
    view: View, holder: str, first_slot: int, end_slot: int
) -> Mapping[tuple[str, int], int]:
    """Returns the capacity reserved for jobs of all holders except `holder`, by zone and slot."""
    reserved: dict[tuple[str, int], int] = {}
    for key, row in view.rows(SLOT_TOTALS):
        slot_text, _, zone = key.partition("/")
        slot = int(slot_text)
        if slot >= end_slot:
            break
        if slot >= first_slot and row.capacity:
            reserved[zone, slot] = row.capacity
    own: ReservationRow | None = view.get(RESERVATIONS, holder)
    if own is not None and not own.is_calls:
        for zone, own_first, own_end, amount in own.intervals:
            for slot in range(max(first_slot, own_first), min(end_slot, own_end)):
                reserved[zone, slot] -= amount
    return reserved


def reserved_calls(view: View, zone: str, slot: int, holder: str) -> int:
    """Returns the calls per second that `holder` has reserved in the zone and slot, beyond its usual share."""
    row: ReservationRow | None = view.get(RESERVATIONS, holder)
    if row is None or not row.is_calls:
        return 0
    intervals = (ReservedInterval(*fields) for fields in row.intervals)
    return sum(
        interval.amount
        for interval in intervals
        if interval.zone == zone and interval.first_slot <= slot < interval.end_slot
    )


def _remove(changes: StagedChanges, holder: str) -> None:
    row: ReservationRow | None = changes.get(RESERVATIONS, holder)
    if row is None:
        return
    changes.put(RESERVATIONS, holder, None)
    for zone, first_slot, end_slot, amount in row.intervals:
        for slot in range(first_slot, end_slot):
            key = slot_reservation_key(zone, slot, holder)
            if changes.get(SLOT_RESERVATIONS, key) is None:
                continue  # the slot has passed and its row was removed
            changes.put(SLOT_RESERVATIONS, key, None)
            _add_to_total(changes, slot, zone, -amount, is_calls=row.is_calls)


def _add_to_total(changes: StagedChanges, slot: int, zone: str, amount: int, *, is_calls: bool) -> None:
    key = slot_totals_key(slot, zone)
    row: SlotTotalsRow = changes.get(SLOT_TOTALS, key) or SlotTotalsRow()
    if is_calls:
        total = SlotTotalsRow(row.capacity, row.calls_per_s + amount)
    else:
        total = SlotTotalsRow(row.capacity + amount, row.calls_per_s)
    changes.put(SLOT_TOTALS, key, total if total != SlotTotalsRow() else None)
