"""Where the parts of the ground meet: what one hands the next. Types only; nothing here decides.

    link (sockets) --> keeper --> raft --> log on a Disk
                          |
                          +--> machine (pieces) --> changes --> watches --> client's mirror

All of it is free of I/O: time is handed in as `now` (ms of a clock that never goes back), chance as a
`random.Random`, and what has to be saved or sent comes out as values. So the same code runs on sockets and
under the drills' virtual clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from brookreach.coordination.protocol import messages


@dataclass(frozen=True, slots=True)
class Timing:
    """Times of a group, in ms. A follower stands `election_ms` to twice that after it last heard a leader.

    `drift` bounds how much faster one process's clock may run than another's, as a share. A client's lease
    ends by its own clock `lease_ms` x (1 - drift) after it *sent* the question that renewed it; the group
    gives what it held to another no sooner than `lease_ms` x (1 + drift) after the leader answered.
    """

    beat_ms: float = 50.0
    election_ms: float = 300.0
    lease_ms: float = 3000.0
    drift: float = 0.01
    most_queued: int = 4096  # records proposed and not yet applied; past it clients are told to come back
    cut_entries: int = 10_000  # entries applied past the last snapshot, before the next


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a keeper's disk gives back at a start. Never less than what it was told to save and confirmed."""

    term: int = 0
    vote: str = ""
    seats: tuple[str, ...] = ()  # as of `index`, or as founded
    index: int = 0  # of the snapshot; 0: none
    index_term: int = 0
    snapshot: bytes = b""
    entries: tuple[messages.Entry, ...] = ()  # after the snapshot


@dataclass(slots=True)
class PendingSave:
    """To be on disk, all of it or none, before anything of the same `Ready` is sent or applied."""

    term: int
    vote: str
    after: int  # entries past this place go; then `entries` are added
    entries: list[messages.Entry] = field(default_factory=list)
    snapshot: tuple[int, int, tuple[str, ...], bytes] | None = None  # index, term, seats, octets


@dataclass(slots=True)
class Ready:
    """What has come of the calls since the last: first save, then send, then apply, in this order."""

    save: PendingSave | None = None
    send: list[tuple[str, messages.Body]] = field(default_factory=list)
    restore: tuple[int, bytes] | None = None  # a snapshot to go on from
    apply: list[messages.Entry] = field(default_factory=list)
    reads: list[tuple[int, int]] = field(default_factory=list)  # ticket, the place that must be applied first


class Disk(Protocol):
    """One keeper's lasting memory. What can't be saved raises `StorageError`, and the keeper ends itself."""

    def load(self) -> StoredState: ...

    def save(self, save: PendingSave) -> None:
        """Returns when it lasts (fsync)."""
        ...


class StorageError(Exception):
    """Full, torn beyond what is known to have been confirmed, or not of this group."""


class LogRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A record as it stands in an entry's octets: whose it is, who asked, at which agreed time."""

    application: messages.Name
    version: messages.Count
    at_ms: messages.Count
    client: str  # the client's name, or "" for the group itself
    client_kind: str
    session: messages.Count
    seq: messages.Count
    body: messages.Record  # one Order of the piece, in msgpack


@dataclass(frozen=True, slots=True)
class AppliedCommand:
    """One record as the machine took it."""

    index: int
    session: int
    seq: int
    ok: bool
    text: str
    changes: tuple[messages.RowChange, ...]
    rejection: messages.RejectionReason | None = None  # not taken as a record at all: the client hears Sorry, not Done
