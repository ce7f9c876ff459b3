"""Operators' gangs as TOML: read into `Submit` orders, checked as a whole before anything is asked.

It must never let a key pass that it does not know, nor half a file.
"""

from __future__ import annotations

from datetime import UTC, datetime
from pathlib import Path

import msgspec

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.files import BadFile, checked, read_toml
from brookreach.gang_scheduling import commands
from brookreach.gang_scheduling.commands import Capacity, DurationMs, GangName, MemberCount, SubmitGang


class GangSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """[[gang]]: a long job. `cost_ms` and `load_ms` are first guesses; what agents measure takes their
    place.
    """

    name: GangName
    members: MemberCount
    room: Capacity
    work_ms: DurationMs
    cost_ms: DurationMs
    load_ms: DurationMs
    deadline: datetime | None = None  # with an offset
    zones: tuple[str, ...] = ()
    builds: tuple[int, ...] = ()
    flexible: bool = False


class GangsFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All gangs of one file."""

    gang: tuple[GangSection, ...]


def read_gang_file(file: Path, now_ms: int) -> list[SubmitGang]:
    """Raises BadFile with all that is wrong, each by its key's path."""
    told, errors, made = checked(file, read_toml(file), GangsFile), [], []
    names = [one.name for one in told.gang]
    for at, one in enumerate(told.gang):
        where = f"{file}: gang[{at}]"
        if names.index(one.name) != at:
            errors.append(f"{where}.name: {one.name!r} stands twice")
        if one.deadline is not None and one.deadline.tzinfo is None:
            errors.append(f"{where}.deadline: {one.deadline} has no offset; as in 2026-10-01T06:00:00+02:00")
            continue
        order = _order(one)
        try:
            commands.check_submission(order, now_ms)
        except CommandRejectedError as refusal:
            errors.append(f"{where}: {refusal}")
        made.append(order)
    if errors:
        raise BadFile(errors)
    return made


def _order(one: GangSection) -> SubmitGang:
    at = int(one.deadline.astimezone(UTC).timestamp()) * 1000 if one.deadline is not None else 0
    return SubmitGang(
        one.name,
        one.members,
        one.room,
        one.work_ms,
        one.cost_ms,
        one.load_ms,
        at,
        one.zones,
        one.builds,
        one.flexible,
    )
