"""Invariants of schedules by an observer's mirror: what is active is a complete schedule that somebody committed.

The observer knows what the drill's operators uploaded, and asks no process for more than its mirror is sent.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from brookreach.carbon_aware.schedule import IntensityInterval
from brookreach.carbon_aware.tables import (
    ACTIVE_KEY,
    ACTIVE_SCHEDULE,
    RESERVATIONS,
    SCHEDULE_INTERVALS,
    SLOT_RESERVATIONS,
    ZONE_QUOTAS,
    ActiveScheduleRow,
    ZoneQuotaRow,
    version_key,
)
from brookreach.coordination.client.events import RowsChanged
from brookreach.coordination.state_machine.application import View
from brookreach.simulation.processes.application_drill import Town


@dataclass(slots=True)
class UploadedVersion:
    """A schedule as its operator means it; once a commit was sent (`is_closed`), it may be active."""

    intervals: tuple[tuple[str, int, int, int], ...]  # the fields of `schedule.IntensityInterval`
    is_closed: bool = False


class ScheduleObserver:
    """Checks each change of a mirror.

    Attributes:
        uploaded: By version, for the drill to fill in before it uploads.
        version: The one that is active.
    """

    def __init__(self, town: Town, mirror: View) -> None:
        self._town = town
        self._mirror = mirror
        self._index = 0
        self._fencing_token = 0
        self.version = 0
        self.uploaded: dict[int, UploadedVersion] = {}

    def on_changed(self, event: RowsChanged) -> None:
        """Checks the mirror after a change."""
        self._town.look(
            "a mirror never goes back", event.index >= self._index, lambda: f"{event.index} after {self._index}"
        )
        self._index = event.index
        active: ActiveScheduleRow | None = self._mirror.get(ACTIVE_SCHEDULE, ACTIVE_KEY)
        if active is not None:
            self._check_active(active)
        else:
            self._town.look("what is in force stays agreed", not self.version, lambda: f"{self.version} is gone")
        self._check_quotas()

    def _check_active(self, active: ActiveScheduleRow) -> None:
        uploaded = self.uploaded.get(active.version)
        self._town.look(
            "only what was closed is in force", uploaded is not None and uploaded.is_closed, lambda: f"{active}"
        )
        intervals = self._active_intervals(active)
        self._town.look(
            "what is in force is whole",
            uploaded is not None and intervals == sorted(uploaded.intervals),
            lambda: f"version {active.version} at {self._index}: {len(intervals)} rows, not as sent",
        )
        is_same = (active.version, active.fencing_token) == (self.version, self._fencing_token)
        is_newer = active.version > self.version and active.fencing_token > self._fencing_token
        self._town.look(
            "versions and fences grow",
            is_same or is_newer,
            lambda: f"{self.version}, {self._fencing_token}, then {active}",
        )
        self.version = active.version
        self._fencing_token = active.fencing_token

    def _active_intervals(self, active: ActiveScheduleRow) -> list[IntensityInterval]:
        rows = self._mirror.rows(SCHEDULE_INTERVALS, version_key(active.version) + "/")
        return sorted(IntensityInterval(key.split("/")[1], row.from_ms, row.to_ms, row.grams) for key, row in rows)

    def _check_quotas(self) -> None:
        """What marshals have reserved together never exceeds a zone's quota."""
        marshals = {holder for holder, row in self._mirror.rows(RESERVATIONS) if row.is_calls}
        reserved: Counter[tuple[str, str]] = Counter()
        for key, row in self._mirror.rows(SLOT_RESERVATIONS):
            zone, slot, holder = key.split("/")
            if holder in marshals:
                reserved[zone, slot] += row.amount
        for (zone, slot), calls in sorted(reserved.items()):
            self._check_quota(zone, slot, calls)

    def _check_quota(self, zone: str, slot: str, calls: int) -> None:
        quota: ZoneQuotaRow | None = self._mirror.get(ZONE_QUOTAS, zone)
        self._town.look(
            "steered calls within what is offered",
            quota is not None and calls <= quota.calls_per_s,
            lambda: f"zone {zone}, slot {slot}: {calls} of {quota}",
        )
