"""The durable state of one replica in a SQLite file: its term and vote, its log and its last snapshot.

A save is applied whole or not at all, and a file that does not hold what was confirmed is detected when it is loaded:
every row carries a checksum, and the log's last index is stored beside the vote. A corrupt file is never repaired, and
a file of another replica or cluster is never used, since a replica that forgets its vote can break the cluster's
guarantees.

The file uses a rollback journal whose header is zeroed at each commit (and synced, with synchronous=FULL), not a
write-ahead log: a truncated write-ahead log would silently be an earlier state, a truncated database is detected.

The names of tables and columns are part of the stored format and stay as they are.
"""

from __future__ import annotations

import contextlib
import hashlib
import sqlite3
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState
from brookreach.coordination.storage.bootstrap import initial_save, last_index_after

FORMAT_VERSION = 1
CHECKSUM_BYTES = 16
TABLES = frozenset({"about", "promise", "snapshot", "log"})
SCHEMA = """
CREATE TABLE about (one INTEGER PRIMARY KEY CHECK (one = 1), format INTEGER, party TEXT, keeper TEXT,
                    sum BLOB);
CREATE TABLE promise (one INTEGER PRIMARY KEY CHECK (one = 1), term INTEGER, vote TEXT, last INTEGER,
                      sum BLOB);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), place INTEGER, term INTEGER, seats BLOB,
                       octets BLOB, sum BLOB);
CREATE TABLE log (place INTEGER PRIMARY KEY, term INTEGER, octets BLOB, sum BLOB);
"""

Row = tuple[Any, ...]  # of SQLite's own types


def _checksum(table: str, row: Row) -> bytes:
    return hashlib.blake2b(msgspec.msgpack.encode((table, row)), digest_size=CHECKSUM_BYTES).digest()


class SqliteStorage:
    """A `Storage` in a file that one process at a time can open.

    Attributes:
        saves: How many saves were committed and synced, the initial one among them.
    """

    def __init__(self, path: Path, cluster: str, name: str):
        """Open or create the file.

        Raises:
            StorageError: If it can't be opened.
        """
        self.path = path
        self.saves = 0
        self._cluster = cluster
        self._name = name
        try:
            self.database = sqlite3.connect(path, isolation_level=None, timeout=0.0)
        except sqlite3.Error as error:
            raise self._error(str(error)) from error
        try:
            self.database.execute("PRAGMA locking_mode = EXCLUSIVE")
            self.database.execute("PRAGMA journal_mode = PERSIST")
            self.database.execute("PRAGMA synchronous = FULL")
        except sqlite3.Error as error:
            self.database.close()
            raise self._error(str(error)) from error

    def _error(self, text: str) -> StorageError:
        return StorageError(f"{self.path}: {text}")

    def _corruption(self, where: str) -> StorageError:
        return self._error(f"is torn or was changed: {where}")

    def close(self) -> None:
        """Close the file, so that another process may open it."""
        self.database.close()

    # --- Initialization ---

    def bootstrap(self, members: tuple[str, ...]) -> None:
        """Initialize an empty file for a member of a new cluster; once in the cluster's life.

        Raises:
            StorageError: If the file is not empty, or these can't be the members.
        """
        self._initialize(initial_save(self._name, members, joins=False))

    def join(self, members: tuple[str, ...]) -> None:
        """Initialize an empty file for a replica that a cluster is going to add, under a name never used before.

        Raises:
            StorageError: If the file is not empty, or the replica is already one of the members.
        """
        self._initialize(initial_save(self._name, members, joins=True))

    def _initialize(self, save: PendingSave) -> None:
        if self.load().snapshot.members:
            raise self._error("is already initialized: only an empty file can be bootstrapped or joined")
        with self._transaction():
            for statement in SCHEMA.split(";"):
                self.database.execute(statement)
            about = (FORMAT_VERSION, self._cluster, self._name)
            self._execute("INSERT INTO about VALUES (1, ?, ?, ?, ?)", (*about, _checksum("about", about)))
            self._write(save)

    # --- Reading ---

    def load(self) -> StoredState:
        """Return what was saved last; a state without members if nothing was saved here.

        Raises:
            StorageError: If the file is corrupt, or of another replica, cluster or format.
        """
        try:
            return self._load()
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise self._error(f"can't be read: {error}") from error

    def _load(self) -> StoredState:
        problems = self.database.execute("PRAGMA quick_check").fetchall()
        if problems != [("ok",)]:
            raise self._corruption(str(problems[0][0]))
        if not self._has_tables():
            return StoredState()
        self._check_owner()
        term, voted_for, last_index = self._read_row("promise", "term, vote, last")
        index, snapshot_term, members, data = self._read_row("snapshot", "place, term, seats, octets")
        snapshot = Snapshot(index, snapshot_term, msgspec.msgpack.decode(members, type=tuple[str, ...]), data)
        return StoredState(term, voted_for, snapshot, self._read_entries(index, last_index))

    def _has_tables(self) -> bool:
        """Whether the file is initialized; it must have all tables or be empty."""
        query = "SELECT name FROM sqlite_master WHERE type = 'table'"
        tables = {name for (name,) in self.database.execute(query)}
        if not tables and self.path.stat().st_size:
            raise self._corruption("not empty, but without tables")
        if tables and tables != TABLES:
            raise self._error(f"is not a replica's file: tables {', '.join(sorted(tables))}")
        return bool(tables)

    def _check_owner(self) -> None:
        version, cluster, name = self._read_row("about", "format, party, keeper")
        if version != FORMAT_VERSION:
            raise self._error(f"has format {version}; {FORMAT_VERSION} is supported")
        if (cluster, name) != (self._cluster, self._name):
            raise self._error(f"belongs to replica {name} of cluster {cluster}, not to {self._name} of {self._cluster}")

    def _read_row(self, table: str, columns: str) -> Row:
        rows = self.database.execute(f"SELECT {columns}, sum FROM {table}").fetchall()
        if len(rows) != 1:
            raise self._corruption(f"{len(rows)} rows in {table}")
        *row, checksum = rows[0]
        if _checksum(table, tuple(row)) != checksum:
            raise self._corruption(table)
        return tuple(row)

    def _read_entries(self, snapshot_index: int, last_index: int) -> tuple[Entry, ...]:
        entries: list[Entry] = []
        query = "SELECT place, term, octets, sum FROM log ORDER BY place"
        for index, term, data, checksum in self.database.execute(query):
            if index != snapshot_index + len(entries) + 1:
                raise self._corruption(f"no log entry before {index}")
            if _checksum("log", (index, term, data)) != checksum:
                raise self._corruption(f"log at {index}")
            entries.append(Entry(index, term, data))
        if snapshot_index + len(entries) != last_index:
            raise self._corruption(f"the log ends at {snapshot_index + len(entries)}, not at {last_index}")
        return tuple(entries)

    # --- Writing ---

    def save(self, save: PendingSave) -> None:
        """Return once the changes are synced.

        Raises:
            StorageError: If they can't be saved; then none of them is.
        """
        with self._transaction():
            self._write(save)

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        try:
            self.database.execute("BEGIN IMMEDIATE")
            yield
            self.database.execute("COMMIT")
        except sqlite3.Error as error:
            if self.database.in_transaction:
                with contextlib.suppress(sqlite3.Error):
                    self.database.execute("ROLLBACK")
            raise self._error(f"can't be saved to: {error}") from error
        self.saves += 1

    def _execute(self, statement: str, values: Row) -> None:
        self.database.execute(statement, values)

    def _write(self, save: PendingSave) -> None:
        self._execute("DELETE FROM log WHERE place > ?", (save.truncate_after,))
        for entry in save.entries:
            row: Row = (entry.index, entry.term, entry.octets)
            self._execute("INSERT INTO log VALUES (?, ?, ?, ?)", (*row, _checksum("log", row)))
        if save.snapshot is not None:
            self._write_snapshot(save.snapshot)
        row = (save.term, save.voted_for, last_index_after(save))
        self._execute("REPLACE INTO promise VALUES (1, ?, ?, ?, ?)", (*row, _checksum("promise", row)))

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        row = (snapshot.index, snapshot.term, msgspec.msgpack.encode(snapshot.members), snapshot.data)
        self._execute("REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)", (*row, _checksum("snapshot", row)))
        self._execute("DELETE FROM log WHERE place <= ?", (snapshot.index,))
