"""Tables of the replicated state that carbon-aware scheduling owns, and their keys.

Times are ms since 1970 (UTC), carbon intensities whole grams of CO2e per kWh. Time is divided into slots of
`SLOT_MS`, numbered from 1970. Decisions and reservations use whole slots, so two processes whose clocks differ but
lie in the same slot decide the same.

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

ACTIVE_KEY = "all"  # key of the only row of ACTIVE_SCHEDULE
SLOT_MS = 900_000  # 15 minutes: UTC offsets and tariffs are multiples of it everywhere


class IntensityRow(Row, frozen=True):
    """The carbon intensity of a zone from `from_ms` to before `to_ms`. Key: "version/zone/index"."""

    from_ms: int
    to_ms: int
    grams: int


class ActiveScheduleRow(Row, frozen=True):
    """The committed schedule that every process uses from one log index on. Key: `ACTIVE_KEY`."""

    version: int
    digest: str
    until_ms: int  # from then on all zones cost the same
    fencing_token: int = msgspec.field(name="fence")
    operator: str = msgspec.field(name="by")
    from_ms: int = 0  # before it all zones cost the same, too
    end_reason: str = msgspec.field(name="reason", default="")  # why it is no longer active; "": it has not been ended


class ScheduleDraftRow(Row, frozen=True):
    """The received part of a schedule that is being uploaded. No decision reads it. Key: the version."""

    digest: str  # of the complete schedule, as announced
    zones: tuple[tuple[str, int], ...]  # fields of `schedule.ZoneQuota`
    from_ms: int
    until_ms: int
    parts_received: int
    intervals_received: int
    operator: str
    session: int


class ZoneQuotaRow(Row, frozen=True):
    """Flexible calls per second that all marshals together may send to a zone beyond its usual share. Key: the zone."""

    calls_per_s: int = msgspec.field(name="calls")


class SlotReservationRow(Row, frozen=True):
    """The amount that one holder has reserved in a zone for one slot. Key: "zone/slot/holder"."""

    amount: int  # capacity of a job, or calls per second
    session: int
    grams: int  # per kWh, by the schedule that was active when the reservation was made


class ReservationRow(Row, frozen=True):
    """The intervals for which a holder has rows in SLOT_RESERVATIONS. Key: the holder."""

    intervals: tuple[tuple[str, int, int, int], ...]  # the fields of `reservations.ReservedInterval`
    session: int  # whose end removes the reservation; 0: none
    is_calls: bool  # amounts are calls per second, not capacity of jobs
    schedule_version: int  # active when the reservation was made; 0: none


class SlotTotalsRow(Row, frozen=True):
    """Sums of SLOT_RESERVATIONS in a slot and zone, so that decisions need not add them up. Key: "slot/zone"."""

    capacity: int = 0  # of jobs
    calls_per_s: int = 0


def version_key(version: int) -> str:
    """Returns the key of a schedule version. Keys sort by version number."""
    return f"{version:010d}"


def slot_totals_key(slot: int, zone: str) -> str:
    """Returns the key of a row of SLOT_TOTALS. Keys sort by slot."""
    return f"{slot:010d}/{zone}"


def slot_reservation_key(zone: str, slot: int, holder: str) -> str:
    """Returns the key of a row of SLOT_RESERVATIONS."""
    return f"{zone}/{slot:010d}/{holder}"
