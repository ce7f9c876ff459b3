"""What a client of the group tells the part of the program that uses it, in the order it happened."""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.state_machine.application import RowUpdate


@dataclass(frozen=True, slots=True)
class SessionEstablished:
    """A connection to the leader stands. `again`: with the session that was there before."""

    session: int
    replica: str
    resumed: bool


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """The session's lease holds until then, by the client's own clock, unless it is renewed again."""

    session: int
    until_ms: float


@dataclass(frozen=True, slots=True)
class SessionLost:
    """From now on nothing may be done under it. A new one is sought."""

    session: int
    reason: str


@dataclass(frozen=True, slots=True)
class ReplyReceived:
    """`ok` False: it changed nothing and never will. `index` is its place in the log; 0: it has none."""

    seq: int
    ok: bool
    text: str
    index: int


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The question may have had its effect or may yet have it: look at the state before asking anew."""

    seq: int
    reason: str


@dataclass(frozen=True, slots=True)
class RowsChanged:
    """Rows of the mirror that are not as they were, and up to which place of the log it stands now."""

    index: int
    updates: tuple[RowUpdate, ...]
    is_snapshot: bool


@dataclass(frozen=True, slots=True)
class RowUnreadable:
    """A row that this program can't read, of a later version: the mirror is without it (`TableCache.unread`)."""

    table: str
    key: str
    text: str


@dataclass(frozen=True, slots=True)
class ClientRejected:
    """The group won't have this client, or what it watches, as it is; it goes on trying, seldom."""

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
