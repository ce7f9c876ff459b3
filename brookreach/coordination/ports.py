"""A command as the log holds it, and what came of it: handed between the Raft log and the state machine."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brookreach.coordination.protocol import messages


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
