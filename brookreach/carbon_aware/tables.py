"""The tables of power. Times are ms since 1970 (UTC), intensity whole grams of CO2e a kWh.

Time is cut into slots of `SLOT_MS`, counted since 1970: all is decided and reserved by whole slots, so two
who ask within one slot decide alike whatever their clocks say in it.
"""

from __future__ import annotations

from brookreach.coordination.state_machine.application import Row

SCHEDULE_INTERVALS, ACTIVE_SCHEDULE, SLOT_RESERVATIONS = "schedules", "schedule", "reserved"
SCHEDULE_DRAFTS, ZONE_QUOTAS, RESERVATIONS, SLOT_TOTALS = (
    "schedule-drafts",
    "power-offers",
    "power-holds",
    "power-loads",
)
SLOT_MS = 900_000  # offsets from UTC and tariffs are multiples of it everywhere


class IntensityRow(Row, frozen=True):
    """By "version/zone/nth": one zone's intensity from `from_ms` to before `to_ms`."""

    from_ms: int
    to_ms: int
    grams: int


class ActiveScheduleRow(Row, frozen=True):
    """Stands at key "all": the version that all go by, from this place of the log on."""

    version: int
    digest: str
    until_ms: int  # after it all zones count alike
    fence: int
    by: str
    from_ms: int = 0  # before it too
    reason: str = ""  # why it is no longer in force


class ScheduleDraftRow(Row, frozen=True):
    """By version: what has come of one that is being sent. It has no effect on anything."""

    digest: str  # of all of it, as promised
    zones: tuple[tuple[str, int], ...]  # and the flexible calls a second that each may have beyond its usual
    from_ms: int
    until_ms: int
    parts: int  # got so far
    spans: int
    by: str
    session: int


class ZoneQuotaRow(Row, frozen=True):
    """By zone: flexible calls a second that marshals together may send there beyond its usual share."""

    calls: int


class SlotReservationRow(Row, frozen=True):
    """By "zone/slot/who": room that somebody's flexible work takes in a zone for one slot of time."""

    room: int
    session: int
    grams: int  # as the schedule said when it was reserved


class ReservationRow(Row, frozen=True):
    """By who: where in RESERVED its rows are."""

    spans: tuple[tuple[str, int, int, int], ...]  # zone, first slot, slot after the last, room
    session: int  # with which it ends; 0: none
    calls: bool  # the room is calls a second, not room for long jobs
    version: int  # of the schedule gone by; 0: none was in force


class SlotTotalsRow(Row, frozen=True):
    """By "slot/zone": the sums of RESERVED there, so that nobody has to add them up for each decision."""

    room: int = 0  # of long jobs
    calls: int = 0


def version_key(version: int) -> str:
    return f"{version:010d}"


def slot_totals_key(slot: int, zone: str) -> str:
    return f"{slot:010d}/{zone}"


def slot_reservation_key(zone: str, slot: int, who: str) -> str:
    return f"{zone}/{slot:010d}/{who}"
