"""The tables of rows: the replicated state itself, or a client's copy of some of it.

A table holds rows of one type in the order of their keys. Each row is kept both decoded and as the encoded change
that messages carry; the encoding is the same on every replica. A row that would decode to something else is never
stored: what stands in the table is what its bytes say.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from brookreach.coordination.errors import InvalidRowError, RowTooLargeError
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES, MAX_KEY_LENGTH, RowChange
from brookreach.coordination.state_machine.application import Row, RowUpdate

ROW_OVERHEAD_BYTES = 16  # of a change beside its table, key and row, at most
ROW_DIGEST_BYTES = 16

_encoder = msgspec.msgpack.Encoder(order="deterministic")


class StoredRow(msgspec.Struct, frozen=True):
    """A row with its encoded form. In a deletion `row` and `change.octets` are None."""

    row: Row | None
    change: RowChange


def encoded_size(change: RowChange) -> int:
    """Returns an upper bound on the bytes of a change within a message."""
    octets = len(change.octets) if change.octets is not None else 0
    return ROW_OVERHEAD_BYTES + len(change.table) + len(change.key.encode()) + octets


def row_digest(change: RowChange) -> int:
    """Returns a digest of one row as an integer, so that a table's digest is the sum over its rows in any order."""
    return int.from_bytes(hashlib.blake2b(_encoder.encode(change), digest_size=ROW_DIGEST_BYTES).digest(), "big")


class Tables:
    """Tables that can be changed; a `View`, in which a table that does not exist is empty.

    Attributes:
        types: The type of row of each table, in the order of the tables' names.
        digest_sums: The sum of `row_digest` over each table's rows.
    """

    def __init__(self, types: Mapping[str, type[Row]]):
        self.types = dict(sorted(types.items()))
        self.digest_sums = dict.fromkeys(self.types, 0)
        self._decoders = {name: msgspec.msgpack.Decoder(type_, strict=True) for name, type_ in self.types.items()}
        # SortedDict[str, StoredRow]; the library has no types
        self._tables: dict[str, Any] = {name: SortedDict() for name in self.types}
        self._sizes = dict.fromkeys(self.types, 0)

    def get(self, table: str, key: str) -> Any:
        """Returns the row of this key, or None."""
        stored = self._tables.get(table, {}).get(key)
        return None if stored is None else stored.row

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        """Returns keys and rows in the order of the keys, in a list that later writes do not change."""
        rows = self._tables.get(table)
        if rows is None:
            return []
        if not prefix:
            return [(key, stored.row) for key, stored in rows.items()]
        return list(self.iterate(table, prefix))

    def iterate(self, table: str, prefix: str = "") -> Iterator[tuple[str, Any]]:
        """Yields what `rows` returns, for callers that stop early. No row may be written meanwhile."""
        rows = self._tables.get(table, {})
        for key in rows.irange(prefix) if rows else ():
            if not key.startswith(prefix):
                return
            yield key, rows[key].row

    def count(self, table: str) -> int:
        """Returns the number of rows."""
        return len(self._tables.get(table, ()))

    def table_size(self, table: str) -> int:
        """Returns the sum of `encoded_size` over the rows."""
        return self._sizes[table]

    def changes(self, table: str) -> list[RowChange]:
        """Returns all rows as messages carry them, in the order of the keys."""
        return [stored.change for stored in self._tables[table].values()]

    def encode(self, update: RowUpdate) -> StoredRow:
        """Returns an update as it would be stored, and changes nothing.

        Raises:
            InvalidRowError: The table does not exist, or the row is not of its type.
            RowTooLargeError: No message can carry the row or its key.
        """
        self._check_key(update.table, update.key)
        if update.row is None:
            return StoredRow(None, RowChange(update.table, update.key, None))
        row_type = self.types[update.table]
        if type(update.row) is not row_type:
            raise InvalidRowError(f"{update.table}: a {type(update.row).__name__}, no {row_type.__name__}")
        try:
            octets = _encoder.encode(update.row)
        except OverflowError as error:
            raise RowTooLargeError(f"{update.table} {update.key!r}: a number past 64 bits: {error}") from error
        except (TypeError, ValueError) as error:
            raise InvalidRowError(f"{update.table} {update.key!r}: {error}") from error
        return self.decode(update.table, update.key, octets)

    def decode(self, table: str, key: str, octets: bytes | None) -> StoredRow:
        """Returns an encoded row, or a deletion, as it would be stored, and changes nothing.

        Raises:
            InvalidRowError: The table does not exist, or the bytes are no row of it.
            RowTooLargeError: No message can carry the row or its key.
        """
        self._check_key(table, key)
        if octets is None:
            return StoredRow(None, RowChange(table, key, None))
        if len(octets) > MAX_COMMAND_BYTES:
            raise RowTooLargeError(f"{table} {key!r}: {len(octets)} bytes; {MAX_COMMAND_BYTES} are allowed")
        try:
            row = self._decoders[table].decode(octets)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidRowError(f"{table} {key!r} is no {self.types[table].__name__}: {error}") from error
        return StoredRow(row, RowChange(table, key, octets))

    def _check_key(self, table: str, key: str) -> None:
        if table not in self.types:
            raise InvalidRowError(f"no table {table!r}; there are {', '.join(self.types)}")
        if not isinstance(key, str):
            raise InvalidRowError(f"{table}: {key!r} is no key")
        if not 1 <= len(key) <= MAX_KEY_LENGTH:
            raise RowTooLargeError(f"{table}: a key of {len(key)} characters; 1 to {MAX_KEY_LENGTH} are allowed")
        try:
            key.encode()
        except UnicodeEncodeError as error:
            raise InvalidRowError(f"{table}: {key!r} can't be sent") from error

    def write(self, rows: Iterable[StoredRow]) -> tuple[RowChange, ...]:
        """Stores rows that `encode`, `decode` or `stored` returned.

        Returns:
            The changes that made a difference, the last one of each key, in the order in which they were made.
        """
        effective: dict[tuple[str, str], RowChange] = {}
        for row in rows:
            change = row.change
            if not self._replace(row):
                continue
            place = (change.table, change.key)
            effective.pop(place, None)
            effective[place] = change
        return tuple(effective.values())

    def _replace(self, new: StoredRow) -> bool:
        """Stores one row; returns whether it differs from what was stored."""
        change = new.change
        rows = self._tables[change.table]
        old = rows.get(change.key)
        if (old.change.octets if old else None) == change.octets:
            return False
        if old:
            self._sizes[change.table] -= encoded_size(old.change)
            self.digest_sums[change.table] -= row_digest(old.change)
        if change.octets is None:
            del rows[change.key]
            return True
        rows[change.key] = new
        self._sizes[change.table] += encoded_size(change)
        self.digest_sums[change.table] += row_digest(change)
        return True

    def apply_updates(self, updates: Iterable[RowUpdate]) -> tuple[RowChange, ...]:
        """Stores all updates, or none of them if `encode` raises; returns what `write` returns."""
        return self.write([self.encode(update) for update in updates])

    def stored(self, table: str, key: str) -> StoredRow:
        """Returns what `write` needs to restore this key to its present content."""
        return self._tables[table].get(key) or StoredRow(None, RowChange(table, key, None))

    def digest(self) -> str:
        """Returns a SHA-256 over all rows: equal on all replicas whose rows are equal."""
        checksum = hashlib.sha256()
        for name, rows in self._tables.items():
            checksum.update(_encoder.encode((name, [(key, stored.change.octets) for key, stored in rows.items()])))
        return checksum.hexdigest()

    def replace_contents(self, other: Tables) -> None:
        """Takes over all rows of tables with the same types; `other` must not be used any more."""
        self._tables = other._tables
        self._sizes = other._sizes
        self.digest_sums = other.digest_sums
