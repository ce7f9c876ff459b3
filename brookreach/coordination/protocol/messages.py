"""The one table of the messages between processes.

`REPLICA_MESSAGES` are sent among replicas, `CLIENT_MESSAGES` by clients and `SERVER_MESSAGES` to clients. The module
owns each message's fields and their bounds, so that a reader's state sees no value that it can't hold. What is no
message of the table raises `InvalidFrameError` with a name and has no effect. Their bytes are made in `frames.py`.

A message's tag and the order of its fields are its form on the wire: a class that is renamed keeps its `tag`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

MAX_FRAME_BYTES, MAX_COMMAND_BYTES, MAX_SNAPSHOT_CHUNK_BYTES = 1 << 20, 64 << 10, 256 << 10  # bytes
MAX_ENTRIES, MAX_ROWS, MAX_MEMBERS = 1024, 4096, 16

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+\Z")]
Key = Annotated[str, msgspec.Meta(max_length=200)]
Text = Annotated[str, msgspec.Meta(max_length=400)]
Record = Annotated[bytes, msgspec.Meta(max_length=MAX_COMMAND_BYTES)]
Octets = Annotated[bytes, msgspec.Meta(max_length=MAX_SNAPSHOT_CHUNK_BYTES)]
ClientKind = Literal["marshal", "agent", "operator"]
RejectionReason = Literal["not leader", "busy", "no session", "too new", "refused", "out of order", "ending"]


INVALID_FRAME_REASONS = (
    "too long",
    "bad seal",
    "unreadable",
    "other version",
    "other group",
    "not for me",
    "not its to say",
)


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True, array_like=True):
    """One row of the table."""


# --- among keepers ---


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One place of the log. Without octets it is the one by which a new leader begins its term."""

    index: Count
    term: Count
    octets: Record


class RequestVote(Message, tag="AskVote"):
    """`pre_vote`: asked before the term is raised. `leadership_transfer`: the leader itself asked for this election."""

    term: Count
    last_index: Count
    last_term: Count
    pre_vote: bool
    leadership_transfer: bool


class RequestVoteReply(Message, tag="Vote"):
    term: Count
    pre_vote: bool
    vote_granted: bool
    wall_ms: Count  # the voter's clock: a new leader's time begins at the low median


class AppendEntries(Message, tag="Append"):
    """`round` counts the leader's rounds: an answer to one shows that it led when that was sent."""

    term: Count
    prev_index: Count
    prev_term: Count
    commit_index: Count
    round: Count
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_ENTRIES)]


class AppendEntriesReply(Message, tag="Appended"):
    """`index`: if ok the last that is the leader's and on disk, else where the leader may try."""

    term: Count
    ok: bool
    index: Count
    round: Count


class InstallSnapshot(Message, tag="Part"):
    """A part of a snapshot of all up to `index`."""

    term: Count
    index: Count
    index_term: Count
    offset: Count
    last: bool
    round: Count
    octets: Octets


class InstallSnapshotReply(Message, tag="PartGot"):
    term: Count
    index: Count
    offset: Count  # all before it is held
    round: Count


class TimeoutNow(Message, tag="HandOver"):
    """The leader that ends asks its best follower to stand at once."""

    term: Count


# --- what clients ask ---


class OpenSession(Message, tag="Join"):
    """The first on a connection. `session` 0 begins one; else the one to go on with."""

    client: Name
    kind: ClientKind
    session: Count
    version: Count  # of the client's records


class ProposeRequest(Message, tag="Ask"):
    """A record for the log; `seq` counts up in a session, the same one again is the same question."""

    session: Count
    seq: Count
    application: Name
    version: Count
    body: Record


class ReadRequest(Message, tag="Read"):
    """All rows of a table whose keys begin with `prefix`, not older than when it was asked."""

    seq: Count
    table: Name
    prefix: Key


class KeepAlive(Message, tag="Renew"):
    session: Count
    seq: Count


class WatchRequest(Message, tag="Watch"):
    """Tell me what changes in these tables after `since`."""

    session: Count
    since: Count
    tables: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)]


class CloseSession(Message, tag="Leave"):
    session: Count


# --- what clients are told ---


class RowChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A row as it is now; without octets it is gone. Octets are the row's struct in msgpack."""

    table: Name
    key: Key
    octets: Record | None


class SessionOpened(Message, tag="Joined"):
    session: Count
    lease_ms: Count
    at_ms: Count  # the agreed time


class ProposeReply(Message, tag="Done"):
    """The record stands at `index` and was applied; `ok` False: refused by the state, and changed nothing."""

    seq: Count
    index: Count
    ok: bool
    text: Text


class ReadReply(Message, tag="Rows"):
    seq: Count
    index: Count
    last: bool
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class KeepAliveReply(Message, tag="Renewed"):
    seq: Count
    lease_ms: Count
    at_ms: Count


class WatchUpdate(Message, tag="Changes"):
    """All changes of the watched tables after `since`, to `index`."""

    since: Count
    index: Count
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class WatchSnapshot(Message, tag="Whole"):
    """The watched tables as of `index`, in parts; what is in none of them is gone."""

    index: Count
    part: Count
    last: bool
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class RequestRejected(Message, tag="Sorry"):
    """Not done, and never will be under this question unless asked again."""

    seq: Count
    reason: RejectionReason
    text: Text
    leader: Annotated[str, msgspec.Meta(max_length=64)]
    retry_after_ms: Count


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
