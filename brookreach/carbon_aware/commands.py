"""Commands of carbon-aware scheduling: an operator uploads a schedule in parts, a marshal asks for flexible calls.

Commands are stored as maps from field name to value, with the tag of their class. A class that is renamed keeps its
tag, and a field that is renamed keeps its stored name by `msgspec.field`.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import Annotated

import msgspec

from brookreach.carbon_aware.schedule import (
    MAX_GRAMS_PER_KWH,
    MAX_INTERVALS,
    MAX_TIME_MS,
    MAX_ZONES,
    schedule_digest,
)
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES, Name
from brookreach.coordination.state_machine.application import Command

VERSION = 1
MAX_INTERVALS_PER_COMMAND = 500
MAX_INTERVAL_BYTES = 100  # when encoded, with a zone name of the greatest length
MAX_KEY_NUMBER = 9_999_999_999  # table keys hold ten digits

ScheduleVersion = Annotated[int, msgspec.Meta(ge=1, le=MAX_KEY_NUMBER)]
Slot = Annotated[int, msgspec.Meta(ge=0, le=MAX_KEY_NUMBER)]
TimeMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Grams = Annotated[int, msgspec.Meta(ge=0, le=MAX_GRAMS_PER_KWH)]
CallsPerSecond = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
EncodedZoneQuota = tuple[Name, CallsPerSecond]  # the fields of `schedule.ZoneQuota`
EncodedInterval = tuple[Name, TimeMs, TimeMs, Grams]  # the fields of `schedule.IntensityInterval`


class BeginUpload(Command, frozen=True, tag="Begin"):
    """Begins the upload of a schedule; if the same operator sends it again, the upload starts over."""

    version: ScheduleVersion
    digest: Digest
    zones: Annotated[tuple[EncodedZoneQuota, ...], msgspec.Meta(min_length=1, max_length=MAX_ZONES)]
    from_ms: TimeMs
    until_ms: TimeMs


class UploadIntervals(Command, frozen=True, tag="Rows"):
    """Carries one part of the schedule's intervals. Parts are numbered from 0."""

    version: ScheduleVersion
    part: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTERVALS)]
    intervals: Annotated[
        tuple[EncodedInterval, ...], msgspec.Meta(min_length=1, max_length=MAX_INTERVALS_PER_COMMAND)
    ] = msgspec.field(name="spans")


class CommitSchedule(Command, frozen=True, tag="Commit"):
    """Activates the schedule on every process if it is complete and its digest matches."""

    version: ScheduleVersion
    digest: Digest


class DropSchedule(Command, frozen=True, tag="Drop"):
    """Removes an upload or the active schedule. Without an active schedule all zones cost the same."""

    version: ScheduleVersion


class RequestFlexibleCalls(Command, frozen=True, tag="Steer"):
    """Requests `calls_per_s` flexible calls per second in cleaner zones during a slot; 0 releases them."""

    slot: Slot
    calls_per_s: CallsPerSecond = msgspec.field(name="calls")
    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_ZONES)]  # that have equally good nodes


COMMANDS = BeginUpload | UploadIntervals | CommitSchedule | DropSchedule | RequestFlexibleCalls


def upload_commands(
    version: int, zones: tuple[tuple[str, int], ...], intervals: Sequence[tuple[str, int, int, int]]
) -> Iterator[BeginUpload | UploadIntervals | CommitSchedule]:
    """Yields the commands that upload and commit a checked schedule.

    Args:
        version: Version of the schedule.
        zones: Tuples with the fields of `schedule.ZoneQuota`.
        intervals: Tuples with the fields of `schedule.IntensityInterval`, in any order.
    """
    ordered = sorted(intervals)
    digest = schedule_digest(version, zones, ordered)
    from_ms = min(interval[1] for interval in ordered)
    until_ms = max(interval[2] for interval in ordered)
    yield BeginUpload(version, digest, zones, from_ms, until_ms)
    for part, first in enumerate(range(0, len(ordered), MAX_INTERVALS_PER_COMMAND)):
        yield UploadIntervals(version, part, tuple(ordered[first : first + MAX_INTERVALS_PER_COMMAND]))
    yield CommitSchedule(version, digest)


assert MAX_INTERVALS_PER_COMMAND * MAX_INTERVAL_BYTES < MAX_COMMAND_BYTES
