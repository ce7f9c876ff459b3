"""The agreed state's tables, or a client's copy of some: rows in the order of their keys, strictly read.

It owns which type of row each table has, and each row's octets, which are the same on every process. It must
never take a row that would read back as another, and never know what a row means.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

import msgspec
from sortedcontainers import SortedDict

from brookreach.coordination.errors import InvalidRowError, RowTooLargeError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Row, RowUpdate

MAX_KEY_LENGTH = 200  # as words.Key; "" is no row's key
ROW_OVERHEAD_BYTES = 16  # bytes of a change beside its names and octets, at most
ROW_DIGEST_BYTES = 16  # bytes of a sum over rows

_out = msgspec.msgpack.Encoder(order="deterministic")


def encoded_size(change: messages.RowChange) -> int:
    """Its bytes in a message, from above."""
    octets = len(change.octets) if change.octets is not None else 0
    return ROW_OVERHEAD_BYTES + len(change.table) + len(change.key.encode()) + octets


def row_digest(change: messages.RowChange) -> int:
    """Stands for one row in a sum over rows, in which order is nothing."""
    return int.from_bytes(hashlib.blake2b(_out.encode(change), digest_size=ROW_DIGEST_BYTES).digest(), "big")


class Tables:
    """A `piece.View`. A table that nobody has named is empty."""

    def __init__(self, types: Mapping[str, type[Row]]):
        self.types = dict(sorted(types.items()))
        self._readers = {name: msgspec.msgpack.Decoder(type_, strict=True) for name, type_ in self.types.items()}
        self._held: dict[str, Any] = {name: SortedDict() for name in self.types}  # key: row, its change
        self._weights = dict.fromkeys(self.types, 0)
        self.digest_sums = dict.fromkeys(self.types, 0)  # of the traces of each table's rows

    def get(self, table: str, key: str) -> Any:
        found = self._held.get(table, {}).get(key)
        return None if found is None else found[0]

    def rows(self, table: str, prefix: str = "") -> list[tuple[str, Any]]:
        """A list of its own: what is put meanwhile doesn't move it."""
        held = self._held.get(table)
        if held is None:
            return []
        if not prefix:
            return [(key, row) for key, (row, _) in held.items()]
        return list(self.iterate(table, prefix))

    def iterate(self, table: str, prefix: str = "") -> Iterator[tuple[str, Any]]:
        """The same one by one, for who takes the first few only. Nothing may be put meanwhile."""
        held = self._held.get(table, {})
        for key in held.irange(prefix) if held else ():
            if not key.startswith(prefix):
                return
            yield key, held[key][0]

    def count(self, table: str) -> int:
        return len(self._held.get(table, ()))

    def table_size(self, table: str) -> int:
        """Bytes of all its rows as changes, from above."""
        return self._weights[table]

    def changes(self, table: str) -> list[messages.RowChange]:
        """All its rows, as messages carry them."""
        return [change for _, change in self._held[table].values()]

    def encode(self, put: RowUpdate) -> tuple[Any, messages.RowChange]:
        """The row as it would stand, and its change; raises InvalidRowError or TooLarge, and changes nothing."""
        self._known(put.table, put.key)
        if put.row is None:
            return None, messages.RowChange(put.table, put.key, None)
        if type(put.row) is not self.types[put.table]:
            raise InvalidRowError(f"{put.table}: a {type(put.row).__name__}, no {self.types[put.table].__name__}")
        try:
            octets = _out.encode(put.row)
        except OverflowError as error:
            raise RowTooLargeError(f"{put.table} {put.key!r}: a number past 64 bits: {error}") from None
        except (TypeError, ValueError) as error:
            raise InvalidRowError(f"{put.table} {put.key!r}: {error}") from None
        return self.decode(put.table, put.key, octets)

    def decode(self, table: str, key: str, octets: bytes | None) -> tuple[Any, messages.RowChange]:
        """The same from a row's octets. What stands is what they say, so a copy of it can't differ."""
        self._known(table, key)
        if octets is None:
            return None, messages.RowChange(table, key, None)
        if len(octets) > messages.MAX_COMMAND_BYTES:
            raise RowTooLargeError(f"{table} {key!r}: {len(octets)} bytes; {messages.MAX_COMMAND_BYTES} are allowed")
        try:
            row = self._readers[table].decode(octets)
        except (msgspec.DecodeError, RecursionError) as error:
            raise InvalidRowError(f"{table} {key!r} is no {self.types[table].__name__}: {error}") from None
        return row, messages.RowChange(table, key, octets)

    def _known(self, table: str, key: str) -> None:
        if table not in self.types:
            raise InvalidRowError(f"no table {table!r}; there are {', '.join(self.types)}")
        if not isinstance(key, str):
            raise InvalidRowError(f"{table}: {key!r} is no key")
        if not 1 <= len(key) <= MAX_KEY_LENGTH:
            raise RowTooLargeError(f"{table}: a key of {len(key)} characters; 1 to {MAX_KEY_LENGTH} are allowed")
        try:
            key.encode()
        except UnicodeEncodeError:
            raise InvalidRowError(f"{table}: {key!r} can't be sent") from None

    def write(self, made: Iterable[tuple[Any, messages.RowChange]]) -> tuple[messages.RowChange, ...]:
        """Puts in what `made` or `read` gave; hands back what is not as it was before, in that order."""
        moved: dict[tuple[str, str], messages.RowChange] = {}
        for row, change in made:
            held, place = self._held[change.table], (change.table, change.key)
            old = held.get(change.key)
            if (old[1].octets if old else None) == change.octets:
                continue
            if old:
                self._weights[change.table] -= encoded_size(old[1])
                self.digest_sums[change.table] -= row_digest(old[1])
            if change.octets is None:
                del held[change.key]
            else:
                held[change.key] = row, change
                self._weights[change.table] += encoded_size(change)
                self.digest_sums[change.table] += row_digest(change)
            moved.pop(place, None)
            moved[place] = change
        return tuple(moved.values())

    def apply_updates(self, puts: Iterable[RowUpdate]) -> tuple[messages.RowChange, ...]:
        """All of them, or none and an error."""
        return self.write([self.encode(put) for put in puts])

    def stored(self, table: str, key: str) -> tuple[Any, messages.RowChange]:
        """What `lay` needs to put it back as it is."""
        return self._held[table].get(key) or (None, messages.RowChange(table, key, None))

    def digest(self) -> str:
        """The same on every process whose rows are the same."""
        told = hashlib.sha256()
        for name, held in self._held.items():
            told.update(_out.encode((name, [(key, change.octets) for key, (_, change) in held.items()])))
        return told.hexdigest()

    def replace_contents(self, other: Tables) -> None:
        """Takes over the rows of another with the same types."""
        self._held, self._weights, self.digest_sums = other._held, other._weights, other.digest_sums
