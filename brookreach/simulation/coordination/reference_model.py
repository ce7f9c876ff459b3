"""The state that the log gives, computed beside the replicas, and what each client asked and was answered."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Application, View
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.state_machine.sessions import ANSWERS, SESSIONS

ROW_DIGEST_BYTES = 16

RowsBefore = Mapping[tuple[str, str], bytes | None]
"""By table and key: the encoded rows that a command changed, as they were before it."""


def row_digest(key: str, octets: bytes) -> int:
    """Return one row's part of its table's digest; the parts add up, so that a change costs two of them."""
    return int.from_bytes(hashlib.blake2b(key.encode() + b"\0" + octets, digest_size=ROW_DIGEST_BYTES).digest())


def table_digest(rows: Iterable[tuple[str, bytes]]) -> int:
    """Return the digest of a table, whatever the order of its rows."""
    return sum(row_digest(key, octets) for key, octets in rows)


def view_digest(view: View, table: str) -> int:
    """Return the digest of a table of a view."""
    return table_digest((key, msgspec.msgpack.encode(row)) for key, row in view.rows(table))


@dataclass(frozen=True, slots=True)
class Reply:
    """How a proposal was answered."""

    index: int
    ok: bool
    text: str

    def __str__(self) -> str:
        return f"({self.index}, {self.ok}, {self.text!r})"


@dataclass
class ProposalRecord:
    """One proposal of a client, as it was first sent, and its reply."""

    body: bytes
    sent_at_ms: float
    reply: Reply | None = None


@dataclass
class PendingRead:
    """A read that isn't answered yet.

    Attributes:
        request: As it was sent.
        min_index: What any client had been acknowledged by then; a fresh answer is no older.
        rows: Those of the parts that have been received.
    """

    request: messages.ReadRequest
    min_index: int
    rows: list[messages.RowChange] = field(default_factory=list)


@dataclass
class ClientHistory:
    """What one incarnation of a client has sent and received."""

    session: int = 0
    proposals: dict[tuple[int, int], ProposalRecord] = field(default_factory=dict)  # by session and sequence number
    reads: dict[int, PendingRead] = field(default_factory=dict)  # by sequence number


class ReferenceModel:
    """A state machine that applies each entry once, in the order of the log, and never uses a snapshot.

    Attributes:
        entries: All entries, by index.
        digests: By index and table: the digest of the table after that entry.
        last_index: The index of the last entry.
    """

    def __init__(self, applications: Sequence[Application]):
        self.entries: dict[int, messages.Entry] = {}
        self.last_index = 0
        self._machine = StateMachine(applications)
        self._rows: dict[tuple[str, str], bytes] = {}
        self._sums = {table: 0 for application in applications for table in application.tables}
        self._session_tables = (SESSIONS, ANSWERS)
        self.digests: dict[int, dict[str, int]] = {0: self._sums | dict.fromkeys(self._session_tables, 0)}

    @property
    def view(self) -> View:
        """The state after the last entry."""
        return self._machine.view

    def apply(self, entry: messages.Entry) -> tuple[AppliedCommand, RowsBefore]:
        """Apply the next entry; return what it changed and the changed rows of applications before it."""
        applied = self._machine.apply(entry)
        rows_before: dict[tuple[str, str], bytes | None] = {}
        for change in applied.changes:
            if change.table in self._sums:
                rows_before[change.table, change.key] = self._apply_change(change)
        self.entries[entry.index] = entry
        self.last_index = entry.index
        session_digests = {table: view_digest(self.view, table) for table in self._session_tables}
        self.digests[entry.index] = self._sums | session_digests
        return applied, rows_before

    def _apply_change(self, change: messages.RowChange) -> bytes | None:
        row_before = self._rows.pop((change.table, change.key), None)
        if row_before is not None:
            self._sums[change.table] -= row_digest(change.key, row_before)
        if change.octets is not None:
            self._rows[change.table, change.key] = change.octets
            self._sums[change.table] += row_digest(change.key, change.octets)
        return row_before
