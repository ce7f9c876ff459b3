"""What came of a log entry, for those who wait for it and for those who watch the state."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.protocol.fields import RejectionReason
from brookreach.coordination.protocol.messages import RowChange


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
