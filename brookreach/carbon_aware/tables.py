"""Tables of the replicated state that carbon-aware scheduling owns, and their keys.

Times are ms since 1970 (UTC), carbon intensities whole grams of CO2e a kWh. Time is cut into slots of `SLOT_MS`,
numbered from 1970. Decisions and reservations are made in whole slots, so two processes whose clocks differ but
lie in one slot decide alike.

Rows are stored by position. Rows that `fleet show --json` prints keep their keys by `msgspec.field(name=...)`.
"""

from __future__ import annotations

import msgspec

from brookreach.coordination.state_machine.application import Row

SCHEDULE_INTERVALS = "schedules"
ACTIVE_SCHEDULE = "schedule"
SCHEDULE_DRAFTS = "schedule-drafts"
ZONE_QUOTAS = "power-offers"
SLOT_RESERVATIONS = "reserved"
RESERVATIONS = "power-holds"
SLOT_TOTALS = "power-loads"

ACTIVE_KEY = "all"  # of the only row of ACTIVE_SCHEDULE
SLOT_MS = 900_000  # offsets from UTC and tariffs are multiples of a quarter of an hour everywhere


class IntensityRow(Row, frozen=True):
    """The carbon intensity of a zone from `from_ms` to before `to_ms`. Key: "version/zone/index"."""

    from_ms: int
    to_ms: int
    grams: int


class ActiveScheduleRow(Row, frozen=True):
    """The committed schedule that every process uses from one log index on. Key: `ACTIVE_KEY`."""

    version: int
    digest: str
    until_ms: int  # from then on all zones count alike
    fencing_token: int = msgspec.field(name="fence")
    operator: str = msgspec.field(name="by")
    from_ms: int = 0  # before it all zones count alike, too
    end_reason: str = msgspec.field(name="reason", default="")  # why it is no longer in force; "": it may be


class ScheduleDraftRow(Row, frozen=True):
    """What has arrived of a schedule that is being uploaded. No decision reads it. Key: the version."""

    digest: str  # of the complete schedule, as announced
    zones: tuple[tuple[str, int], ...]  # and the flexible calls a second that each accepts beyond its usual share
    from_ms: int
    until_ms: int
    parts_received: int
    intervals_received: int
    operator: str
    session: int


class ZoneQuotaRow(Row, frozen=True):
    """Flexible calls a second that all marshals together may send to a zone beyond its usual share. Key: the zone."""

    calls_per_s: int = msgspec.field(name="calls")


class SlotReservationRow(Row, frozen=True):
    """What one holder has reserved in a zone for one slot. Key: "zone/slot/holder"."""

    amount: int  # capacity of a job, or calls a second
    session: int
    grams: int  # a kWh, as the schedule said when it was reserved


class ReservationRow(Row, frozen=True):
    """Where the rows of a holder in SLOT_RESERVATIONS stand. Key: the holder."""

    intervals: tuple[tuple[str, int, int, int], ...]  # the fields of `reservations.ReservedInterval`
    session: int  # with which the reservation ends; 0: with none
    is_calls: bool  # the amounts are calls a second, not capacity of jobs
    schedule_version: int  # that it was made under; 0: none was in force


class SlotTotalsRow(Row, frozen=True):
    """Sums of SLOT_RESERVATIONS in a slot and zone, so that no decision adds them up. Key: "slot/zone"."""

    capacity: int = 0  # of jobs
    calls_per_s: int = 0


def version_key(version: int) -> str:
    """Returns the key of a schedule version, which sorts by the number."""
    return f"{version:010d}"


def slot_totals_key(slot: int, zone: str) -> str:
    """Returns the key of a row of SLOT_TOTALS, which sorts by the slot."""
    return f"{slot:010d}/{zone}"


def slot_reservation_key(zone: str, slot: int, holder: str) -> str:
    """Returns the key of a row of SLOT_RESERVATIONS."""
    return f"{zone}/{slot:010d}/{holder}"
