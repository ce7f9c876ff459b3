"""Messages between clients and replicas: sessions and their leases, proposals, reads, watches."""

from __future__ import annotations

from typing import Annotated

import msgspec

from brookreach.coordination.protocol.fields import (
    MAX_NAME_LENGTH,
    MAX_ROWS,
    MAX_WATCHED_TABLES,
    ClientKind,
    Count,
    Key,
    Message,
    Name,
    Record,
    RejectionReason,
    Text,
)

# --- from clients ---


class OpenSession(Message, tag="Join"):
    """The first message on a connection: opens a session, or resumes one.

    Attributes:
        session: The session to resume; 0 opens a new one.
        version: Version of the session commands that the client knows.
    """

    client: Name
    kind: ClientKind
    session: Count
    version: Count


class ProposeRequest(Message, tag="Ask"):
    """Proposes a command for the log.

    Attributes:
        seq: Counts up within a session. A request with a number seen before is a retry and takes effect once.
        version: Version of the application's commands.
        body: The command, encoded.
    """

    session: Count
    seq: Count
    application: Name
    version: Count
    body: Record


class ReadRequest(Message, tag="Read"):
    """Asks for all rows whose keys begin with `prefix`, not older than the request (a linearizable read)."""

    seq: Count
    table: Name
    prefix: Key


class KeepAlive(Message, tag="Renew"):
    """Renews a session's lease."""

    session: Count
    seq: Count


class WatchRequest(Message, tag="Watch"):
    """Subscribes to all changes of some tables after index `since`."""

    session: Count
    since: Count
    tables: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_WATCHED_TABLES)]


class CloseSession(Message, tag="Leave"):
    """Ends a session for good. It has no answer."""

    session: Count


# --- to clients ---


class RowChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """The present content of one row, encoded; `octets` None: the row was deleted."""

    table: Name
    key: Key
    octets: Record | None


class SessionOpened(Message, tag="Joined"):
    """The answer to `OpenSession`. It renews no lease; `at_ms` is the agreed time, ms since 1970."""

    session: Count
    lease_ms: Count
    at_ms: Count


class ProposeReply(Message, tag="Done"):
    """The command stands at `index` and was applied; `ok` False: the state rejected it, and nothing changed."""

    seq: Count
    index: Count
    ok: bool
    text: Text


class ReadReply(Message, tag="Rows"):
    """A part of the rows that a `ReadRequest` asked for, as of `index`."""

    seq: Count
    index: Count
    last: bool
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class KeepAliveReply(Message, tag="Renewed"):
    """The lease counts from the moment at which the client sent the request; `at_ms` is the agreed time."""

    seq: Count
    lease_ms: Count
    at_ms: Count


class WatchUpdate(Message, tag="Changes"):
    """All changes of the watched tables after `since`, up to `index`."""

    since: Count
    index: Count
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class WatchSnapshot(Message, tag="Whole"):
    """Part number `part` of the watched tables as of `index`. A row that is in no part does not exist."""

    index: Count
    part: Count
    last: bool
    rows: Annotated[tuple[RowChange, ...], msgspec.Meta(max_length=MAX_ROWS)]


class RequestRejected(Message, tag="Sorry"):
    """A request had no effect and never will, unless it is sent again.

    Attributes:
        seq: Number of the request; 0 where it has none.
        leader: Name of the leader if it is known, else "".
        retry_after_ms: Least time before another attempt.
    """

    seq: Count
    reason: RejectionReason
    text: Text
    leader: Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
    retry_after_ms: Count
