"""A client's cache of the tables that it watches: at `index` it is the state at that index of the log.

The cache never shows a part of an entry or of a snapshot, and never goes on over a gap. A message that does not fit is
rejected without an effect, and the next WatchRequest asks for a snapshot.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from brookreach.coordination.client.digested_tables import DigestedTables
from brookreach.coordination.client.errors import RejectedUpdateError
from brookreach.coordination.client.events import RowsChanged, RowUnreadable
from brookreach.coordination.client.rejections import Rejection
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row

MAX_SNAPSHOT_ROWS = 1 << 20
# A snapshot older than the cache is believed once so many watches in a row were answered by one.
OLDER_SNAPSHOTS_TO_BELIEVE = 3
REMEMBERED_MESSAGES = 256  # by which duplicates are known


@dataclass(slots=True)
class PartialSnapshot:
    """The parts of a snapshot that have arrived. `digest` is that of the whole."""

    index: int
    digest: bytes | None
    parts: int = 0
    rows: list[messages.RowChange] = field(default_factory=list)


class TableCache:
    """The watched tables, as an `application.View`.

    Attributes:
        watched: Names of the watched tables, sorted.
        index: The log index at which the tables stand.
        agreed_time_ms: The last agreed time that the cluster told.
        awaiting_reply: Whether the last WatchRequest is not answered yet.
    """

    def __init__(self, types: Mapping[str, type[Row]], watched: Collection[str]):
        unknown = sorted(set(watched) - set(types))
        if unknown:
            raise ValueError(f"no type for table {unknown[0]!r}; there are {', '.join(sorted(types))}")
        self.watched = tuple(sorted(set(watched)))
        self.index = 0
        self.agreed_time_ms = 0
        self.awaiting_reply = False
        self._watched_set = frozenset(self.watched)
        self._tables = DigestedTables({name: types[name] for name in self.watched})
        self._needs_snapshot = True
        self._partial: PartialSnapshot | None = None
        self._older_snapshots = 0
        self._recent_hashes: deque[int] = deque(maxlen=REMEMBERED_MESSAGES)  # accepted since the last WatchRequest

    # --- reading ---

    def get(self, table: str, key: str) -> Any:
        """Returns a row, or None."""
        return self._tables.get(table, key)

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        """Returns the keys that begin with `prefix` with their rows, in the order of the keys."""
        return self._tables.rows(table, prefix)

    def count(self, table: str) -> int:
        """Returns the number of rows."""
        return self._tables.count(table)

    def digest(self) -> str:
        """Returns a digest of all rows, the same in every process whose rows are the same."""
        return self._tables.digest()

    @property
    def unreadable(self) -> Mapping[tuple[str, str], str]:
        """Rows that this version of the program can't decode, by table and key, with the error's text."""
        return self._tables.unreadable

    @property
    def up_to_date(self) -> bool:
        """Whether the next message of the watch will be an update of what stands here."""
        return not (self.awaiting_reply or self._needs_snapshot or self._partial)

    # --- the watch ---

    def begin_watch(self) -> int:
        """Prepares for the reply to a new WatchRequest and returns the index after which that is to tell changes."""
        self.awaiting_reply = True
        self._partial = None
        self._recent_hashes.clear()  # the reply may be one that was sent before
        return 0 if self._needs_snapshot else self.index

    def advance_agreed_time(self, at_ms: int) -> bool:
        """Takes the agreed time; returns False where it would have gone back, and leaves it then."""
        goes_back = at_ms < self.agreed_time_ms
        self.agreed_time_ms = max(self.agreed_time_ms, at_ms)
        return not goes_back

    def apply_update(self, message: messages.WatchUpdate) -> list[RowsChanged | RowUnreadable]:
        """Applies the changes of some entries.

        Raises:
            RejectedUpdateError: The message does not fit and had no effect.
        """
        self._reject_duplicate(message)
        if self._needs_snapshot:  # and was asked for
            raise RejectedUpdateError(Rejection.REPLY_TO_EARLIER_WATCH, needs_new_watch=False)
        rows = self._without_markers(message.rows, names_all_tables=self.awaiting_reply)
        if message.since != self.index or message.index < message.since:
            raise self._reject(Rejection.GAP)
        if self._partial:
            raise self._reject(Rejection.UPDATE_INSIDE_SNAPSHOT)
        events = self._apply(rows, message.rows[0].octets, message.index, is_snapshot=False)
        self.awaiting_reply = False
        self._recent_hashes.append(hash(message))
        return events

    def apply_snapshot(self, message: messages.WatchSnapshot) -> list[RowsChanged | RowUnreadable]:
        """Takes a part of a snapshot; the last one replaces all rows.

        Raises:
            RejectedUpdateError: The message does not fit and had no effect.
        """
        self._reject_duplicate(message)
        if message.part:
            partial = self._partial
            if partial is None or message.index != partial.index or message.part != partial.parts:
                raise self._reject(Rejection.PARTS_OUT_OF_ORDER)
            rows = list(message.rows)
            self._check_tables(rows)
        else:
            rows = self._without_markers(message.rows, names_all_tables=True)
            self._check_age(message.index)
            partial = PartialSnapshot(message.index, message.rows[0].octets)
            self._partial = partial
            self.awaiting_reply = False
        if len(partial.rows) + len(rows) > MAX_SNAPSHOT_ROWS:
            raise self._reject(Rejection.TOO_MANY_ROWS)
        partial.rows += rows
        partial.parts += 1
        self._recent_hashes.append(hash(message))
        return self._replace_rows(partial) if message.last else []

    def _replace_rows(self, snapshot: PartialSnapshot) -> list[RowsChanged | RowUnreadable]:
        removals = self._tables.removals(kept={(row.table, row.key) for row in snapshot.rows})
        events = self._apply([*removals, *snapshot.rows], snapshot.digest, snapshot.index, is_snapshot=True)
        self._partial = None
        self._needs_snapshot = False
        return events

    def _apply(
        self, rows: list[messages.RowChange], digest: bytes | None, index: int, is_snapshot: bool
    ) -> list[RowsChanged | RowUnreadable]:
        applied = self._tables.apply(rows, digest)
        if applied is None:
            raise self._reject(Rejection.DIGEST_MISMATCH)
        self.index = index
        return [*applied.unreadable, RowsChanged(index, applied.updates, is_snapshot)]

    # --- checks ---

    def _reject(self, rejection: Rejection) -> RejectedUpdateError:
        self._needs_snapshot = True
        self._partial = None
        return RejectedUpdateError(rejection, needs_new_watch=True)

    def _reject_duplicate(self, message: messages.WatchUpdate | messages.WatchSnapshot) -> None:
        if hash(message) in self._recent_hashes:
            raise RejectedUpdateError(Rejection.DUPLICATE, needs_new_watch=False)

    def _check_age(self, index: int) -> None:
        """Rejects a snapshot older than the cache, which is a delayed one.

        Where one watch after another is answered so, it is the cache that was wrong.
        """
        if index < self.index:
            self._older_snapshots += self.awaiting_reply
            if self._older_snapshots < OLDER_SNAPSHOTS_TO_BELIEVE:
                raise self._reject(Rejection.OLDER_SNAPSHOT)
        self._older_snapshots = 0

    def _without_markers(
        self, rows: tuple[messages.RowChange, ...], names_all_tables: bool
    ) -> list[messages.RowChange]:
        """Returns the rows after the digest markers (`server.change_feed`), which name the watched tables.

        Only the first message of a reply to a WatchRequest has to name all of them.
        """
        marker_count = next((position for position, row in enumerate(rows) if row.key), len(rows))
        named = tuple(marker.table for marker in rows[:marker_count])
        if named != self.watched:
            names_first_table = named == self.watched[:1]
            if names_first_table and names_all_tables:  # the reply to an earlier watch goes on
                raise RejectedUpdateError(Rejection.REPLY_TO_EARLIER_WATCH, needs_new_watch=False)
            if not names_first_table:
                raise self._reject(Rejection.OTHER_TABLES)
        data_rows = list(rows[marker_count:])
        self._check_tables(data_rows)
        return data_rows

    def _check_tables(self, rows: list[messages.RowChange]) -> None:
        if any(row.table not in self._watched_set or not row.key for row in rows):
            raise self._reject(Rejection.OTHER_TABLES)
