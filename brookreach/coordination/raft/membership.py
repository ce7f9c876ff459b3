"""Who has a seat: the records that change it, and since which place.

It owns the seats as of any place still in memory. A change counts from when it stands in the log, committed
or not, and is undone with its entry. It must never judge whether a change may be made now; the leader does.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Annotated

import msgspec

from brookreach.coordination.ports import LogRecord
from brookreach.coordination.protocol.messages import MAX_MEMBERS, Entry, Name

APPLICATION, VERSION = "seats", 1
ENTRY_PREFIX = b"\x98\xa5seats"  # how a Stamped of this piece begins in msgpack
_NAME = re.compile(r"[A-Za-z0-9._-]{1,64}")  # as words.Name

Seats = Annotated[tuple[Name, ...], msgspec.Meta(min_length=1, max_length=MAX_MEMBERS)]
_stamps = msgspec.msgpack.Decoder(LogRecord, strict=True)
_seats = msgspec.msgpack.Decoder(Seats, strict=True)


def encode_members(members: tuple[str, ...], at_ms: int) -> bytes:
    """The octets of an entry by which these have the seats."""
    body = msgspec.msgpack.encode(members)
    return msgspec.msgpack.encode(LogRecord(APPLICATION, VERSION, at_ms, "", "", 0, 0, body))


def decode_members(octets: bytes) -> tuple[str, ...] | None:
    """The seats that an entry names, None if it is about something else; ValueError if they can't be read."""
    if not octets.startswith(ENTRY_PREFIX):
        return None
    stamped = _stamps.decode(octets)  # msgspec's errors are ValueErrors
    if stamped.version != VERSION:
        raise ValueError(f"seats of version {stamped.version}; {VERSION} is read")
    members = _seats.decode(stamped.body)
    if not is_valid_membership(members):
        raise ValueError(f"seats {', '.join(members)}: a name twice")
    return members


def is_valid_membership(members: tuple[str, ...]) -> bool:
    return 1 <= len(set(members)) == len(members) <= MAX_MEMBERS and all(_NAME.fullmatch(one) for one in members)


def differs_by_one_member(members: tuple[str, ...], others: tuple[str, ...]) -> bool:
    """Whether exactly one name has come or gone: then any two majorities of both share a keeper."""
    return len(set(members) ^ set(others)) == 1


class MembershipHistory:
    """`base` are the seats as of the place `since`; `changes` what came after, in order."""

    def __init__(self, base: tuple[str, ...], since: int, entries: Iterable[Entry]):
        self.base, self.since = base, since
        self.changes: list[tuple[int, tuple[str, ...]]] = []
        self.take(entries)

    @property
    def now(self) -> tuple[str, ...]:
        return self.changes[-1][1] if self.changes else self.base

    @property
    def changed_at(self) -> int:
        """Where the last change stands."""
        return self.changes[-1][0] if self.changes else self.since

    def at(self, place: int) -> tuple[str, ...]:
        return next((members for index, members in reversed(self.changes) if index <= place), self.base)

    def take(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            members = decode_members(entry.octets)
            if members is not None:
                self.changes.append((entry.index, members))

    def back_to(self, place: int) -> None:
        while self.changes and self.changes[-1][0] > place:
            self.changes.pop()

    def begin_at(self, place: int, members: tuple[str, ...], keep: bool) -> None:
        """From a snapshot on; `keep`: what stands after its place stays."""
        self.base, self.since = members, place
        self.changes = [one for one in self.changes if keep and one[0] > place]
