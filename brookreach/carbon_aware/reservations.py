"""Room that flexible work has reserved, by zone and slot: taken, counted and let go. Pure: gives the puts.

It owns RESERVED, HOLDS and LOADS and keeps them in step: a load is the sum of what is reserved there. It must
never leave a row of somebody whose hold is gone.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from brookreach.carbon_aware.cost_curve import active_curve, active_schedule
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

PlannedInterval = tuple[str, int, int]  # zone, first slot, slot after the last
ReservedInterval = tuple[str, int, int, int]  # and the room


def reserve(
    view: View, at_ms: int, who: str, room: int, spans: Iterable[PlannedInterval], session: int = 0
) -> list[RowUpdate]:
    """All that `who` has reserved, replaced by this. Session 0: until its slots pass or it is released."""
    sized = tuple((zone, first, end, room) for zone, first, end in spans)
    held: ReservationRow | None = view.get(RESERVATIONS, who)
    now = at_ms // SLOT_MS
    row = active_schedule(view, at_ms)
    if (
        held is not None
        and upcoming_intervals(held.spans, now) == sized
        and held.session == session
        and held.version == (row.version if row else 0)
    ):
        return []  # as it stands: a plan that is kept changes nothing
    return replace_reservation(view, at_ms, who, sized, session, calls=False)


def release(view: View, who: str) -> list[RowUpdate]:
    """Nothing more is reserved for `who`."""
    draft = StagedChanges(view)
    _remove(draft, who)
    return draft.updates()


def replace_reservation(
    view: View, at_ms: int, who: str, spans: Iterable[ReservedInterval], session: int, calls: bool
) -> list[RowUpdate]:
    """`who` holds exactly these, none of them before the slot of `at_ms`."""
    draft, now = StagedChanges(view), at_ms // SLOT_MS
    _remove(draft, who)
    kept = upcoming_intervals(spans, now)
    if kept:
        known = active_curve(view, at_ms)
        draft.put(RESERVATIONS, who, ReservationRow(kept, session, calls, known.version))
        for zone, first, end, room in kept:
            for nth, cost in enumerate(known.slots(zone, first, end - first)):
                row = SlotReservationRow(room, session, cost // SLOT_MS)
                draft.put(SLOT_RESERVATIONS, slot_reservation_key(zone, first + nth, who), row)
                _add(draft, zone, first + nth, room, calls)
    return [one for one in draft.updates() if view.get(one.table, one.key) != one.row]


def upcoming_intervals(spans: Iterable[ReservedInterval], slot: int) -> tuple[ReservedInterval, ...]:
    """What of them is still to come; the first of all, where it is under way, from `slot` on."""
    return tuple((zone, max(first, slot), end, room) for zone, first, end, room in spans if end > slot)


def expire_slots(view: View, slot: int) -> list[RowUpdate]:
    """Slots before this one are over, and with them the holds that end there."""
    draft, done = StagedChanges(view), []
    for key, _ in view.rows(SLOT_TOTALS):
        at, _, zone = key.partition("/")
        if int(at) >= slot:
            break
        draft.put(SLOT_TOTALS, key, None)
        for reserved, _ in view.rows(SLOT_RESERVATIONS, f"{zone}/{at}/"):
            draft.put(SLOT_RESERVATIONS, reserved, None)
            done.append(reserved.split("/", 2)[2])
    for who in dict.fromkeys(done):
        held: ReservationRow | None = view.get(RESERVATIONS, who)
        if held is not None and not upcoming_intervals(held.spans, slot):
            draft.put(RESERVATIONS, who, None)
    return draft.updates()


def earliest_slot(view: View) -> int | None:
    """The earliest that anything is reserved in."""
    for key, _ in view.rows(SLOT_TOTALS):
        return int(key.partition("/")[0])
    return None


def capacity_reserved_by_others(view: View, who: str, first: int, end: int) -> Mapping[tuple[str, int], int]:
    """Room of long jobs reserved by everybody but `who`, by zone and slot."""
    loads = {}
    for key, row in view.rows(SLOT_TOTALS):
        at, _, zone = key.partition("/")
        if int(at) >= end:
            break
        if int(at) >= first and row.room:
            loads[zone, int(at)] = row.room
    held: ReservationRow | None = view.get(RESERVATIONS, who)
    if held is not None and not held.calls:
        for zone, begin, stop, room in held.spans:
            for slot in range(max(first, begin), min(end, stop)):
                loads[zone, slot] -= room
    return loads


def reserved_calls(view: View, zone: str, slot: int, who: str) -> int:
    """What `who` itself may send to the zone in the slot, beyond its usual share."""
    held: ReservationRow | None = view.get(RESERVATIONS, who)
    if held is None or not held.calls:
        return 0
    return sum(room for at, first, end, room in held.spans if at == zone and first <= slot < end)


def _remove(draft: StagedChanges, who: str) -> None:
    held: ReservationRow | None = draft.get(RESERVATIONS, who)
    if held is None:
        return
    draft.put(RESERVATIONS, who, None)
    for zone, first, end, room in held.spans:
        for slot in range(first, end):
            if (
                draft.get(SLOT_RESERVATIONS, slot_reservation_key(zone, slot, who)) is not None
            ):  # else that slot is over
                draft.put(SLOT_RESERVATIONS, slot_reservation_key(zone, slot, who), None)
                _add(draft, zone, slot, -room, held.calls)


def _add(draft: StagedChanges, zone: str, slot: int, room: int, calls: bool) -> None:
    row: SlotTotalsRow = draft.get(SLOT_TOTALS, slot_totals_key(slot, zone)) or SlotTotalsRow()
    more = SlotTotalsRow(row.room, row.calls + room) if calls else SlotTotalsRow(row.room + room, row.calls)
    draft.put(SLOT_TOTALS, slot_totals_key(slot, zone), more if more != SlotTotalsRow() else None)
