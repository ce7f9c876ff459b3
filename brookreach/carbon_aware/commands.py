"""The records of power: a schedule sent in parts by an operator, and calls steered by a marshal."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Annotated

import msgspec

from brookreach.carbon_aware.cost_curve import (
    MAX_GRAMS_PER_KWH,
    MAX_INTERVALS,
    MAX_TIME_MS,
    MAX_ZONES,
    Spans,
    schedule_digest,
)
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES, Name
from brookreach.coordination.state_machine.application import Command

VERSION = 1
MAX_INTERVALS_PER_COMMAND = 500  # of the longest names these are well under a record's 64 KiB

Number = Annotated[int, msgspec.Meta(ge=1, le=9_999_999_999)]  # ten digits, as its key has
Ms = Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
Grams = Annotated[int, msgspec.Meta(ge=0, le=MAX_GRAMS_PER_KWH)]
Calls = Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]
Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}\Z")]
Span = tuple[Name, Ms, Ms, Grams]


class BeginUpload(Command, frozen=True, tag="Begin"):
    """An operator begins to send a version. Again by the same: from the start."""

    version: Number
    digest: Digest
    zones: Annotated[tuple[tuple[Name, Calls], ...], msgspec.Meta(min_length=1, max_length=MAX_ZONES)]
    from_ms: Ms
    until_ms: Ms


class UploadIntervals(Command, frozen=True, tag="Rows"):
    """Part `part` of it, from 0 on."""

    version: Number
    part: Annotated[int, msgspec.Meta(ge=0, le=MAX_INTERVALS)]
    spans: Annotated[tuple[Span, ...], msgspec.Meta(min_length=1, max_length=MAX_INTERVALS_PER_COMMAND)]


class CommitSchedule(Command, frozen=True, tag="Commit"):
    """From here on all go by it, if it is whole and its digest fits."""

    version: Number
    digest: Digest


class DropSchedule(Command, frozen=True, tag="Drop"):
    """An operator takes back what was sent of a version, or the one in force: then all zones count alike."""

    version: Number


class RequestFlexibleCalls(Command, frozen=True, tag="Steer"):
    """A marshal asks for so many flexible calls a second at cleaner zones in a slot; 0 gives them back."""

    slot: Annotated[int, msgspec.Meta(ge=0, le=9_999_999_999)]
    calls: Calls
    zones: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_ZONES)]  # with equally good nodes


COMMANDS = BeginUpload | UploadIntervals | CommitSchedule | DropSchedule | RequestFlexibleCalls


def upload_commands(
    version: int, zones: tuple[tuple[str, int], ...], spans: Spans
) -> Iterator[BeginUpload | UploadIntervals | CommitSchedule]:
    """A checked schedule as the records by which it is agreed."""
    inside, seal = sorted(spans), schedule_digest(version, zones, spans)
    yield BeginUpload(version, seal, zones, min(one[1] for one in inside), max(one[2] for one in inside))
    for part, at in enumerate(range(0, len(inside), MAX_INTERVALS_PER_COMMAND)):
        yield UploadIntervals(version, part, tuple(inside[at : at + MAX_INTERVALS_PER_COMMAND]))
    yield CommitSchedule(version, seal)


assert MAX_INTERVALS_PER_COMMAND * 100 < MAX_COMMAND_BYTES
