"""All messages between processes, in one table.

`REPLICA_MESSAGES` are sent among replicas, `CLIENT_MESSAGES` by clients and `SERVER_MESSAGES` to clients. Field types
carry bounds (`fields`), so that a decoded message holds no value that the receiver can't store. What is no valid
message raises `InvalidFrameError` and has no effect. Messages become bytes in `frames`.

The encoded form of a message is its tag and the order of its fields: a class that is renamed keeps its `tag`, and a
field may be renamed but not moved. The same holds for `Entry` and `RowChange`, which have no tag.
"""

from __future__ import annotations

from typing import get_args

from brookreach.coordination.errors import InvalidFrameReason
from brookreach.coordination.protocol.client_messages import (
    CloseSession,
    KeepAlive,
    KeepAliveReply,
    OpenSession,
    ProposeReply,
    ProposeRequest,
    ReadReply,
    ReadRequest,
    RequestRejected,
    RowChange,
    SessionOpened,
    WatchRequest,
    WatchSnapshot,
    WatchUpdate,
)
from brookreach.coordination.protocol.fields import (
    MAX_COMMAND_BYTES,
    MAX_ENTRIES,
    MAX_FRAME_BYTES,
    MAX_KEY_LENGTH,
    MAX_MEMBERS,
    MAX_NAME_LENGTH,
    MAX_ROWS,
    MAX_SNAPSHOT_CHUNK_BYTES,
    MAX_TEXT_LENGTH,
    MAX_WATCHED_TABLES,
    ClientKind,
    Count,
    Key,
    Message,
    Name,
    Record,
    RejectionReason,
    SnapshotChunk,
    Text,
)
from brookreach.coordination.protocol.raft_messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshot,
    InstallSnapshotReply,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)

__all__ = [
    "ALL_MESSAGES",
    "CLIENT_MESSAGES",
    "INVALID_FRAME_REASONS",
    "MAX_COMMAND_BYTES",
    "MAX_ENTRIES",
    "MAX_FRAME_BYTES",
    "MAX_KEY_LENGTH",
    "MAX_MEMBERS",
    "MAX_NAME_LENGTH",
    "MAX_ROWS",
    "MAX_SNAPSHOT_CHUNK_BYTES",
    "MAX_TEXT_LENGTH",
    "MAX_WATCHED_TABLES",
    "REPLICA_MESSAGES",
    "SERVER_MESSAGES",
    "AppendEntries",
    "AppendEntriesReply",
    "Body",
    "ClientKind",
    "ClientMessage",
    "CloseSession",
    "Count",
    "Entry",
    "InstallSnapshot",
    "InstallSnapshotReply",
    "KeepAlive",
    "KeepAliveReply",
    "Key",
    "Message",
    "Name",
    "OpenSession",
    "ProposeReply",
    "ProposeRequest",
    "ReadReply",
    "ReadRequest",
    "Record",
    "RejectionReason",
    "ReplicaMessage",
    "RequestRejected",
    "RequestVote",
    "RequestVoteReply",
    "RowChange",
    "ServerMessage",
    "SessionOpened",
    "SnapshotChunk",
    "Text",
    "TimeoutNow",
    "WatchRequest",
    "WatchSnapshot",
    "WatchUpdate",
]

INVALID_FRAME_REASONS: tuple[str, ...] = get_args(InvalidFrameReason)
"""The names of `InvalidFrameError`, under which dropped frames are counted."""

REPLICA_MESSAGES = (
    RequestVote,
    RequestVoteReply,
    AppendEntries,
    AppendEntriesReply,
    InstallSnapshot,
    InstallSnapshotReply,
    TimeoutNow,
)
CLIENT_MESSAGES = (OpenSession, ProposeRequest, ReadRequest, KeepAlive, WatchRequest, CloseSession)
SERVER_MESSAGES = (SessionOpened, ProposeReply, ReadReply, KeepAliveReply, WatchUpdate, WatchSnapshot, RequestRejected)
ALL_MESSAGES = REPLICA_MESSAGES + CLIENT_MESSAGES + SERVER_MESSAGES
ReplicaMessage = (
    RequestVote
    | RequestVoteReply
    | AppendEntries
    | AppendEntriesReply
    | InstallSnapshot
    | InstallSnapshotReply
    | TimeoutNow
)
ClientMessage = OpenSession | ProposeRequest | ReadRequest | KeepAlive | WatchRequest | CloseSession
ServerMessage = (
    SessionOpened | ProposeReply | ReadReply | KeepAliveReply | WatchUpdate | WatchSnapshot | RequestRejected
)
Body = ReplicaMessage | ClientMessage | ServerMessage
"""What a frame carries."""
