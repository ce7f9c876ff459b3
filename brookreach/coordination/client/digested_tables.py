"""Tables whose changes are taken only if they lead to the digest that the sender told with them.

The digest is a sum over the digests of all rows, so it does not depend on their order and is kept up row by row. Rows
that this version of the program can't decode count in it, although they are missing in the tables.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from brookreach.coordination.client.events import RowUnreadable
from brookreach.coordination.errors import InvalidRowError, RowTooLargeError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row, RowUpdate
from brookreach.coordination.state_machine.tables import ROW_DIGEST_BYTES, StoredRow, Tables, row_digest

DIGEST_MODULUS = 1 << 8 * ROW_DIGEST_BYTES

RowKey = tuple[str, str]  # table and key


@dataclass(slots=True)
class AppliedRows:
    """What `DigestedTables.apply` changed."""

    updates: tuple[RowUpdate, ...] = ()
    unreadable: list[RowUnreadable] = field(default_factory=list)


class DigestedTables:
    """Decoded tables with the digest of all rows, also of those that can't be decoded.

    Attributes:
        unreadable: The error's text by table and key for each row that can't be decoded.
    """

    def __init__(self, types: Mapping[str, type[Row]]):
        self.unreadable: dict[RowKey, str] = {}
        self._tables = Tables(types)
        self._names = tuple(types)
        self._unreadable_digests: dict[RowKey, int] = {}

    def get(self, table: str, key: str) -> Any:
        """Returns a row, or None."""
        return self._tables.get(table, key)

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        """Returns the keys that begin with `prefix` with their rows, in the order of the keys."""
        return self._tables.rows(table, prefix)

    def count(self, table: str) -> int:
        """Returns the number of rows that could be decoded."""
        return self._tables.count(table)

    def digest(self) -> str:
        """Returns a digest of the decoded rows."""
        return self._tables.digest()

    def removals(self, kept: Collection[RowKey]) -> list[messages.RowChange]:
        """Returns the changes that remove every row that is not in `kept`."""
        present = [(table, key) for table in self._names for key, _ in self.rows(table)]
        present += self.unreadable
        return [messages.RowChange(table, key, None) for table, key in present if (table, key) not in kept]

    def apply(self, rows: Collection[messages.RowChange], digest: bytes | None) -> AppliedRows | None:
        """Applies all of `rows` if that leads to `digest`; else changes nothing and returns None."""
        previous_rows = [self._tables.stored(row.table, row.key) for row in rows]
        previous_unreadable = dict(self.unreadable)
        previous_digests = dict(self._unreadable_digests)
        applied = AppliedRows()
        decoded = [self._decode(row, applied) for row in rows]
        changed = self._tables.write(decoded)
        if self._digest_sum() != digest:
            self._tables.write(previous_rows)
            self.unreadable = previous_unreadable
            self._unreadable_digests = previous_digests
            return None
        applied.updates = tuple(RowUpdate(row.table, row.key, self.get(row.table, row.key)) for row in changed)
        return applied

    def _decode(self, row: messages.RowChange, applied: AppliedRows) -> StoredRow:
        row_key = row.table, row.key
        self.unreadable.pop(row_key, None)
        self._unreadable_digests.pop(row_key, None)
        try:
            return self._tables.decode(row.table, row.key, row.octets)
        except (InvalidRowError, RowTooLargeError) as error:
            self.unreadable[row_key] = str(error)
            self._unreadable_digests[row_key] = row_digest(row)
            applied.unreadable.append(RowUnreadable(row.table, row.key, str(error)))
            # What stood there before has gone.
            return StoredRow(None, messages.RowChange(row.table, row.key, None))

    def _digest_sum(self) -> bytes:
        total = sum(self._tables.digest_sums.values()) + sum(self._unreadable_digests.values())
        return (total % DIGEST_MODULUS).to_bytes(ROW_DIGEST_BYTES, "big")
