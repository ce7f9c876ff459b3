"""Types of message fields with their bounds, and the base class of messages.

The bounds hold for what is encoded in messages and in the log, so a decoded value can always be stored and sent on.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

MAX_FRAME_BYTES = 1 << 20
MAX_COMMAND_BYTES = 64 << 10
MAX_SNAPSHOT_CHUNK_BYTES = 256 << 10
MAX_ENTRIES = 1024  # of one AppendEntries
MAX_ROWS = 4096  # of one message
MAX_WATCHED_TABLES = 64
MAX_MEMBERS = 16
MAX_NAME_LENGTH = 64  # characters
MAX_KEY_LENGTH = 200  # characters
MAX_TEXT_LENGTH = 400  # characters

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
"""Numbers, times and indexes: integers that every JSON reader holds exactly."""
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH, pattern=r"^[A-Za-z0-9._-]+\Z")]
Key = Annotated[str, msgspec.Meta(max_length=MAX_KEY_LENGTH)]
Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]
Record = Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)]
SnapshotChunk = Annotated[bytes, msgspec.Meta(max_length=MAX_SNAPSHOT_CHUNK_BYTES)]
ClientKind = Literal["marshal", "agent", "operator"]
RejectionReason = Literal["not leader", "busy", "no session", "too new", "refused", "out of order", "ending"]


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True, array_like=True):
    """Base class of all messages."""
