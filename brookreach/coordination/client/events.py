"""Events that a client reports to its owner, in the order in which they happened."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.state_machine.application import RowUpdate


@dataclass(frozen=True, slots=True)
class SessionEstablished:
    """A connection to the leader stands. `resumed`: with the session that was there before."""

    session: int
    replica: str
    resumed: bool


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The session's lease holds until `until_ms` of the client's clock, unless it is renewed before."""

    session: int
    until_ms: float


@dataclass(frozen=True, slots=True)
class SessionLost:
    """Nothing may be done in the session's name any more. The client seeks a new one."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """The outcome of a request is known.

    Attributes:
        seq: The number that `Client.propose` returned.
        ok: Whether the command was applied; if not, it changed nothing and never will.
        text: What the application said of it.
        index: The command's index in the log, or 0 if it never came there.
    """

    seq: int
    ok: bool
    text: str
    index: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The request may have been applied, or may still be: read the state before proposing it again."""

    seq: int
    reason: str


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows of the cache have changed: with these updates it came to stand at `index` of the log.

    Events are handed on after all messages that came at once are applied: by then the cache may stand later.
    `is_snapshot`: the change came as a snapshot of all watched tables.
    """

    index: int
    updates: tuple[RowUpdate, ...]
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class RowUnreadable:
    """A row that this version of the program can't decode; the cache is without it (`TableCache.unreadable`)."""

    table: str
    key: str
    text: str


@dataclass(frozen=True, slots=True)
class ClientRejected:
    """The cluster rejects this client, or what it watches; the client retries at long intervals."""

    reason: str
    text: str


ClientEvent = (
    SessionEstablished
    | LeaseRenewed
    | SessionLost
    | ReplyReceived
    | OutcomeUnknown
    | RowsChanged
    | RowUnreadable
    | ClientRejected
)
