"""A command as the log holds it, and what came of it: handed between the Raft log and the state machine."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brookreach.coordination.protocol.messages import Count, Name, Record, RejectionReason, RowChange


class LogRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A command with its circumstances: the content of a log entry.

    Attributes:
        application: The application that the command is for.
        version: Version of the application's commands.
        at_ms: The agreed time, ms since 1970.
        client: Name of the client that proposed it; "" for the cluster itself.
        client_kind: The client's kind; "" for the cluster itself.
        session: Number of the client's session; 0 for the cluster itself.
        seq: Number of the request within the session.
        body: The command, encoded.
    """

    application: Name
    version: Count
    at_ms: Count
    client: str
    client_kind: str
    session: Count
    seq: Count
    body: Record


@dataclass(frozen=True, slots=True)
class AppliedCommand:
    """What came of one log entry.

    Attributes:
        index: Where the command took effect; for a retry, where its first copy did.
        session: Number of the client's session; 0 for the cluster itself.
        seq: Number of the request within the session.
        ok: Whether the state accepted the command.
        text: Why it did not; for an ended session, why it ended.
        changes: The changed rows that clients may see.
        rejection: Set if the entry was not taken as a command at all: the client gets `RequestRejected` instead of
            `ProposeReply`.
    """

    index: int
    session: int
    seq: int
    ok: bool
    text: str
    changes: tuple[RowChange, ...]
    rejection: RejectionReason | None = None
