"""The cluster's members: the log entries that change them, and their history.

A change takes effect as soon as its entry is in the log, committed or not, and is undone if the entry is removed
(section 4.1 of Ongaro's thesis, with one member added or removed at a time). Whether a change may be proposed now is
for the leader to decide.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.protocol.messages import MAX_MEMBERS, Entry, Name

APPLICATION = "seats"  # the name under which membership entries are in the log
VERSION = 1
ENTRY_PREFIX = b"\x98\xa5seats"  # the first bytes of a LogRecord of this application in MessagePack
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")  # as messages.Name

Members = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1, max_length=MAX_MEMBERS)]
_record_decoder = msgspec.msgpack.Decoder(LogRecord, strict=True)
_members_decoder = msgspec.msgpack.Decoder(Members, strict=True)


def encode_members(members: tuple[str, ...], at_ms: int) -> bytes:
    """Return the data of an entry that makes these the members; `at_ms` is the cluster's time."""
    command = msgspec.msgpack.encode(members)
    return msgspec.msgpack.encode(LogRecord(APPLICATION, VERSION, at_ms, "", "", 0, 0, command))


def decode_members(data: bytes) -> tuple[str, ...] | None:
    """Return the members that an entry's data sets, or None if the entry is of another kind.

    Raises:
        ValueError: If a membership entry can't be read.
    """
    if not data.startswith(ENTRY_PREFIX):
        return None
    record = _record_decoder.decode(data)  # msgspec's errors are ValueErrors
    if record.version != VERSION:
        raise ValueError(f"membership entry of version {record.version}; {VERSION} is supported")
    members = _members_decoder.decode(record.body)
    if not is_valid_membership(members):
        raise ValueError(f"members {', '.join(members)}: a name occurs twice")
    return members


def is_valid_membership(members: tuple[str, ...]) -> bool:
    """Whether these are 1 to `MAX_MEMBERS` different, well-formed names."""
    if not 1 <= len(members) <= MAX_MEMBERS:
        return False
    return len(set(members)) == len(members) and all(_NAME.fullmatch(name) for name in members)


def differs_by_one_member(members: tuple[str, ...], others: tuple[str, ...]) -> bool:
    """Whether exactly one member was added or removed: then any two majorities of both overlap."""
    return len(set(members) ^ set(others)) == 1


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The entry at `index` makes these the members."""

    index: int
    members: tuple[str, ...]


class MembershipHistory:
    """The members as of a snapshot, and every change in the log after it."""

    def __init__(self, snapshot_members: tuple[str, ...], snapshot_index: int, entries: Iterable[Entry]):
        self._base = MembershipChange(snapshot_index, snapshot_members)
        self._changes: list[MembershipChange] = []
        self.append(entries)

    @property
    def _last(self) -> MembershipChange:
        return self._changes[-1] if self._changes else self._base

    @property
    def current(self) -> tuple[str, ...]:
        """The members in effect now."""
        return self._last.members

    @property
    def last_change_index(self) -> int:
        """Index of the entry of the last change, or of the snapshot."""
        return self._last.index

    def at(self, index: int) -> tuple[str, ...]:
        """Return the members as of the entry at `index`."""
        for change in reversed(self._changes):
            if change.index <= index:
                return change.members
        return self._base.members

    def append(self, entries: Iterable[Entry]) -> None:
        """Take the changes from entries appended to the log."""
        for entry in entries:
            members = decode_members(entry.octets)
            if members is not None:
                self._changes.append(MembershipChange(entry.index, members))

    def truncate_after(self, index: int) -> None:
        """Undo the changes after `index`."""
        while self._changes and self._changes[-1].index > index:
            self._changes.pop()

    def reset(self, snapshot_index: int, members: tuple[str, ...], *, keep_later: bool) -> None:
        """Begin at a snapshot; `keep_later`: the log after it stays, so its changes do, too."""
        self._base = MembershipChange(snapshot_index, members)
        if keep_later:
            self._changes = [change for change in self._changes if change.index > snapshot_index]
        else:
            self._changes = []
