"""The values that a Raft node exchanges with its storage and with the code that drives it."""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.coordination.protocol import messages


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine after all entries up to `index`. The default is the empty state of a new cluster.

    Attributes:
        index: Index of the last entry that the snapshot covers; 0 if it covers none.
        term: Term of that entry.
        members: The cluster's members as of that entry. Empty: the replica has not been initialized.
        data: The state machine's own encoding of its state.
    """

    index: int = 0
    term: int = 0
    members: tuple[str, ...] = ()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class StoredState:
    """What a replica's storage returns at a start: never less than the last save that it confirmed."""

    term: int = 0
    voted_for: str = ""
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: tuple[messages.Entry, ...] = ()  # those after the snapshot


@dataclass(slots=True)
class PendingSave:
    """Changes that must be durable, all or none, before anything else of the same `Ready` is carried out.

    Attributes:
        term: The current term.
        voted_for: The candidate that has this replica's vote in that term, or "".
        truncate_after: Stored entries after this index are deleted before `entries` are appended.
        entries: Entries to append; the first follows `truncate_after`.
        snapshot: A new snapshot; stored entries that it covers are deleted.
    """

    term: int
    voted_for: str
    truncate_after: int
    entries: list[messages.Entry] = field(default_factory=list)
    snapshot: Snapshot | None = None


@dataclass(frozen=True, slots=True)
class ConfirmedRead:
    """A linearizable read that may be served once the entry at `index` is applied."""

    ticket: int
    index: int


@dataclass(slots=True)
class Ready:
    """What has to be done after the calls since the last one, in the order of the fields.

    Attributes:
        save: To be made durable first.
        send: Messages with their targets.
        restore: A snapshot that replaces the state machine's state.
        apply: Committed entries, in order.
        reads: Reads whose leadership check has succeeded.
    """

    save: PendingSave | None = None
    send: list[tuple[str, messages.Body]] = field(default_factory=list)
    restore: Snapshot | None = None
    apply: list[messages.Entry] = field(default_factory=list)
    reads: list[ConfirmedRead] = field(default_factory=list)
