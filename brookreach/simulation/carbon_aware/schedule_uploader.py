"""An operator of the drill between processes that uploads schedules, in whole, in part and again."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio

from brookreach.carbon_aware import commands
from brookreach.carbon_aware.schedule import IntensityInterval, ZoneQuota, schedule_digest
from brookreach.carbon_aware.tables import SLOT_MS
from brookreach.simulation.carbon_aware.observer_invariants import ScheduleObserver, UploadedVersion
from brookreach.simulation.processes.application_drill import Town
from brookreach.simulation.processes.operators import Operator

ZONES = (ZoneQuota("a", 50), ZoneQuota("b", 50))
SCHEDULE_SLOTS = 12
INTERVALS_PER_PART = 5
UPLOAD_ATTEMPTS = 8
RETRY_S = 0.2
CLEAN_GRAMS = 100
DIRTY_SURCHARGE_GRAMS = 300
LATER_SURCHARGE_GRAMS = 50  # in the second half of a schedule

UploadCommand = commands.BeginUpload | commands.UploadIntervals | commands.CommitSchedule
BeforePart = Callable[[int], Awaitable[None]]
"""What is done before the part of that index is sent."""


def current_slot() -> int:
    """Returns the slot of this process's clock."""
    return int(time.time() * 1000.0) // SLOT_MS


class ScheduleUploader:
    """Uploads one version after the other and tells the observer what each holds.

    Attributes:
        last_version: That was begun.
        committed_version: The last one that is known to be active.
    """

    def __init__(self, town: Town, operator: Operator, observer: ScheduleObserver) -> None:
        self._town = town
        self._operator = operator
        self._observer = observer
        self.last_version = 0
        self.committed_version = 0

    async def upload(self, before_part: BeforePart | None = None) -> None:
        """Uploads the next version until it is active, from the start again where an answer fails."""
        version, upload = self._next_version()
        for _ in range(UPLOAD_ATTEMPTS):
            if await self._send(version, upload, before_part) or self._observer.version == version:
                self.committed_version = version
                break
            before_part = None
            await anyio.sleep(RETRY_S)
        await self._town.until(
            lambda: self._observer.version == version,
            "a version comes into force",
            why=lambda: f"{version}; {self._observer.version} is, {self._operator.all[-3:]}",
        )

    async def upload_partially(self) -> tuple[int, list[UploadCommand]]:
        """Uploads the next version without its last intervals; returns its number and all of its commands."""
        version, upload = self._next_version()
        for command in upload[:-2]:
            answer = await self._operator.ask("power", command)
            if answer is None or not answer.ok:
                break
        return version, upload

    async def commit_early(self, version: int, upload: list[UploadCommand]) -> None:
        """Commits an incomplete upload, which is rejected; the observer would see it active otherwise."""
        answer = await self._operator.ask("power", upload[-1])
        is_rejected = answer is None or not answer.ok
        self._town.look("half a version is not agreed", is_rejected, lambda: f"{version}: {answer}")

    def _next_version(self) -> tuple[int, list[UploadCommand]]:
        """Returns a version by which each zone is the clean one by turns."""
        self.last_version += 1
        version = self.last_version
        first_slot = current_slot() - 1
        intervals = tuple(
            _interval(zone.zone, first_slot, offset, is_dirty=(version + index) % 2 == 1)
            for index, zone in enumerate(ZONES)
            for offset in range(SCHEDULE_SLOTS)
        )
        self._observer.uploaded[version] = UploadedVersion(intervals)
        digest = schedule_digest(version, ZONES, intervals)
        from_ms = first_slot * SLOT_MS
        upload: list[UploadCommand] = [
            commands.BeginUpload(version, digest, ZONES, from_ms, from_ms + SCHEDULE_SLOTS * SLOT_MS)
        ]
        for part, first in enumerate(range(0, len(intervals), INTERVALS_PER_PART)):
            upload.append(commands.UploadIntervals(version, part, intervals[first : first + INTERVALS_PER_PART]))
        return version, [*upload, commands.CommitSchedule(version, digest)]

    async def _send(self, version: int, upload: list[UploadCommand], before_part: BeforePart | None) -> bool:
        for index, command in enumerate(upload):
            if before_part is not None:
                await before_part(index)
            if isinstance(command, commands.CommitSchedule):
                self._observer.uploaded[version].is_closed = True
            answer = await self._operator.ask("power", command)
            if answer is None or not answer.ok:
                return False
        return True


def _interval(zone: str, first_slot: int, offset: int, *, is_dirty: bool) -> IntensityInterval:
    from_ms = (first_slot + offset) * SLOT_MS
    grams = CLEAN_GRAMS
    if is_dirty:
        grams += DIRTY_SURCHARGE_GRAMS
    if offset > SCHEDULE_SLOTS // 2:
        grams += LATER_SURCHARGE_GRAMS
    return IntensityInterval(zone, from_ms, from_ms + SLOT_MS, grams)
