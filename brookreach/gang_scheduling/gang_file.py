"""Operators' gangs as TOML: read into `SubmitGang` commands, checked as a whole before anything is asked.

It must never let a key pass that it does not know, nor half a file.
"""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import msgspec

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.files import InvalidFileError, convert_values, read_toml
from brookreach.gang_scheduling.commands import (
    Capacity,
    DurationMs,
    GangName,
    MemberCount,
    SubmitGang,
    check_submission,
)

DEADLINE_EXAMPLE = "2026-10-01T06:00:00+02:00"


class GangSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A section [[gang]]: one long job. The costs are first guesses, until agents measure them."""

    name: GangName
    member_count: MemberCount = msgspec.field(name="members")
    member_capacity: Capacity = msgspec.field(name="room")
    work_ms: DurationMs
    checkpoint_cost_ms: DurationMs = msgspec.field(name="cost_ms")
    restore_cost_ms: DurationMs = msgspec.field(name="load_ms")
    deadline: datetime | None = None  # with an offset
    zones: tuple[str, ...] = ()
    builds: tuple[int, ...] = ()
    flexible: bool = False


class GangsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All gangs of one file."""

    gangs: tuple[GangSection, ...] = msgspec.field(name="gang")


def read_gang_file(file: Path, now_ms: int) -> list[SubmitGang]:
    """Reads the commands that submit all gangs of a file.

    Args:
        file: TOML.
        now_ms: By which deadlines are checked; 0: deadlines may be past.

    Raises:
        InvalidFileError: with all that is wrong, each by its key's path.
    """
    sections = convert_values(file, read_toml(file), GangsFile).gangs
    names = [section.name for section in sections]
    commands, errors = [], []
    for index, section in enumerate(sections):
        where = f"{file}: gang[{index}]"
        if names.index(section.name) != index:
            errors.append(f"{where}.name: {section.name!r} stands twice")
        if section.deadline is not None and section.deadline.tzinfo is None:
            errors.append(f"{where}.deadline: {section.deadline} has no offset; as in {DEADLINE_EXAMPLE}")
            continue
        command = _command(section)
        try:
            check_submission(command, now_ms)
        except CommandRejectedError as rejection:
            errors.append(f"{where}: {rejection}")
        commands.append(command)
    if errors:
        raise InvalidFileError(errors)
    return commands


def _command(section: GangSection) -> SubmitGang:
    return SubmitGang(
        section.name,
        section.member_count,
        section.member_capacity,
        section.work_ms,
        section.checkpoint_cost_ms,
        section.restore_cost_ms,
        _timestamp_ms(section.deadline),
        section.zones,
        section.builds,
        section.flexible,
    )


def _timestamp_ms(moment: datetime | None) -> int:
    """Returns a moment in ms, full seconds; 0 for none."""
    return int(moment.astimezone(UTC).timestamp()) * 1000 if moment is not None else 0
