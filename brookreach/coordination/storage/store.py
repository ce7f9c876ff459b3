"""What lasts of one keeper: its promise, log and last snapshot, in one sqlite file; and the same in memory.

It owns that a save is whole or not there, and that a file which is not what was confirmed is found when it is
read. It must never mend such a file, nor take one of another keeper or group: a keeper that forgot a promise
may break the group's word.

The journal is a rollback journal whose head is zeroed at each commit (and synced, with synchronous=FULL), not
a write-ahead log: there a torn end of the file would silently be an earlier state, here it is no database.
"""

from __future__ import annotations

import contextlib
import hashlib
import sqlite3
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from brookreach.coordination.ports import PendingSave, StorageError, StoredState
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.raft.membership import proper

SCHEMA = 1
TABLES = """
CREATE TABLE about (one INTEGER PRIMARY KEY CHECK (one = 1), format INTEGER, party TEXT, keeper TEXT,
                    sum BLOB);
CREATE TABLE promise (one INTEGER PRIMARY KEY CHECK (one = 1), term INTEGER, vote TEXT, last INTEGER,
                      sum BLOB);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), place INTEGER, term INTEGER, seats BLOB,
                       octets BLOB, sum BLOB);
CREATE TABLE log (place INTEGER PRIMARY KEY, term INTEGER, octets BLOB, sum BLOB);
"""


def _sum(table: str, row: tuple[Any, ...]) -> bytes:
    return hashlib.blake2b(msgspec.msgpack.encode((table, row)), digest_size=16).digest()


def first_save(me: str, seats: tuple[str, ...], joins: bool) -> PendingSave:
    """What an empty disk is founded or joined with; raises StorageError."""
    if not proper(seats):
        raise StorageError(f"seats {', '.join(seats) or 'none'}: 1 to 16 names, none twice, are allowed")
    if joins == (me in seats):
        raise StorageError(f"{me} {'has a seat already' if joins else 'has no seat'} among {', '.join(seats)}")
    return PendingSave(0, "", 0, [], (0, 0, seats, b""))


class Store:
    """A `seams.Disk`. `saves` counts commits that were synced."""

    def __init__(self, path: Path, group: str, me: str):
        self.path, self.group, self.me, self.saves = path, group, me, 0
        self.last = 0  # where the log ends
        try:
            self.base = sqlite3.connect(path, isolation_level=None, timeout=0.0)
        except sqlite3.Error as error:
            raise self._wrong(str(error)) from None
        try:
            self.base.execute("PRAGMA locking_mode = EXCLUSIVE")  # one process a disk
            self.base.execute("PRAGMA journal_mode = PERSIST")
            self.base.execute("PRAGMA synchronous = FULL")
        except sqlite3.Error as error:
            self.base.close()
            raise self._wrong(str(error)) from None

    def _wrong(self, text: str) -> StorageError:
        return StorageError(f"{self.path}: {text}")

    # --- once ---

    def found(self, seats: tuple[str, ...]) -> None:
        """The group begins with these, this keeper among them. Once in a group's life, on an empty disk."""
        self._begin(first_save(self.me, seats, joins=False))

    def join(self, seats: tuple[str, ...]) -> None:
        """The group with these seats will give this keeper one, under a name that none has had before."""
        self._begin(first_save(self.me, seats, joins=True))

    def _begin(self, save: PendingSave) -> None:
        if self.load().seats:
            raise self._wrong("holds a keeper already; only an empty disk can be founded or joined with")
        try:
            self.base.execute("BEGIN IMMEDIATE")
            for statement in TABLES.split(";"):
                self.base.execute(statement)
            about = (SCHEMA, self.group, self.me)
            self.base.execute("INSERT INTO about VALUES (1, ?, ?, ?, ?)", (*about, _sum("about", about)))
            self._write(save)
            self.base.execute("COMMIT")
        except sqlite3.Error as error:
            raise self._failed(error) from None
        self.saves += 1

    # --- reading ---

    def load(self) -> StoredState:
        """Raises StorageError for anything but what was saved last. Without seats: nothing was saved here."""
        try:
            return self._load()
        except (sqlite3.Error, msgspec.DecodeError) as error:
            raise self._wrong(f"can't be read: {error}") from None

    def _load(self) -> StoredState:
        found = self.base.execute("PRAGMA quick_check").fetchall()
        if found != [("ok",)]:
            raise self._wrong(f"is torn: {found[0][0]}")
        held = {name for (name,) in self.base.execute("SELECT name FROM sqlite_master WHERE type = 'table'")}
        if not held and self.path.stat().st_size:
            raise self._wrong("is torn: not empty, and nothing stands there")
        if not held:
            return StoredState()
        if held != {"about", "promise", "snapshot", "log"}:
            raise self._wrong("is no keeper's file: " + ", ".join(sorted(held)))
        version, group, keeper = self._row("about", "format, party, keeper")
        if version != SCHEMA:
            raise self._wrong(f"is of version {version}; {SCHEMA} is read")
        if (group, keeper) != (self.group, self.me):
            raise self._wrong(f"is of keeper {keeper} of group {group}, not of {self.me} of {self.group}")
        term, vote, last = self._row("promise", "term, vote, last")
        index, index_term, seats, octets = self._row("snapshot", "place, term, seats, octets")
        entries = tuple(self._entries(index, last))
        self.last = last
        who = msgspec.msgpack.decode(seats, type=tuple[str, ...])
        return StoredState(term, vote, who, index, index_term, octets, entries)

    def _row(self, table: str, fields: str) -> tuple[Any, ...]:
        rows = self.base.execute(f"SELECT {fields}, sum FROM {table}").fetchall()
        if len(rows) != 1 or _sum(table, rows[0][:-1]) != rows[0][-1]:
            raise self._wrong(f"is torn or was changed: {table}")
        return tuple(rows[0][:-1])

    def _entries(self, index: int, last: int) -> list[Entry]:
        entries: list[Entry] = []
        for *row, check in self.base.execute("SELECT place, term, octets, sum FROM log ORDER BY place"):
            if row[0] != index + len(entries) + 1 or _sum("log", tuple(row)) != check:
                raise self._wrong(f"is torn or was changed: log at {row[0]}")
            entries.append(Entry(*row))
        if index + len(entries) != last:
            raise self._wrong(f"is torn or was changed: the log's end isn't {last}")
        return entries

    # --- writing ---

    def save(self, save: PendingSave) -> None:
        try:
            self.base.execute("BEGIN IMMEDIATE")
            self._write(save)
            self.base.execute("COMMIT")
        except sqlite3.Error as error:
            raise self._failed(error) from None
        self.saves += 1

    def _failed(self, error: sqlite3.Error) -> StorageError:
        if self.base.in_transaction:
            with contextlib.suppress(sqlite3.Error):
                self.base.execute("ROLLBACK")
        return self._wrong(f"can't be saved to: {error}")

    def _write(self, save: PendingSave) -> None:
        run = self.base.execute
        last = after(save)
        run("DELETE FROM log WHERE place > ?", (save.after,))
        for one in save.entries:
            entry = (one.index, one.term, one.octets)
            run("INSERT INTO log VALUES (?, ?, ?, ?)", (*entry, _sum("log", entry)))
        if save.snapshot is not None:
            place, term, seats, octets = save.snapshot
            row = (place, term, msgspec.msgpack.encode(seats), octets)
            run("REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?, ?)", (*row, _sum("snapshot", row)))
            run("DELETE FROM log WHERE place <= ?", (place,))
        promise = (save.term, save.vote, last)
        run("REPLACE INTO promise VALUES (1, ?, ?, ?, ?)", (*promise, _sum("promise", promise)))
        self.last = last

    def close(self) -> None:
        self.base.close()


def after(save: PendingSave) -> int:
    """Where the log ends once this is saved."""
    last = save.after + len(save.entries)
    return max(last, save.snapshot[0]) if save.snapshot else last


class MemoryStore:
    """A `seams.Disk` for the virtual world, founded or joined with `seats`, if there are any."""

    def __init__(self, seats: tuple[str, ...] = ()):
        self.kept, self.saves = StoredState(seats=seats), 0
        self.entries: list[Entry] = []
        self.failing = ""

    def found(self, seats: tuple[str, ...]) -> None:
        if self.kept.seats:
            raise StorageError("holds a keeper already; only an empty disk can be founded or joined with")
        self.kept = StoredState(seats=seats)

    join = found

    def fail_next(self, text: str = "is full") -> None:
        """The next save fails, and nothing of it lasts."""
        self.failing = text

    def load(self) -> StoredState:
        one = self.kept
        return replace(one, entries=tuple(self.entries))

    def save(self, save: PendingSave) -> None:
        if self.failing:
            text, self.failing = self.failing, ""
            raise StorageError(f"memory disk {text}")
        one = self.kept
        del self.entries[max(0, save.after - one.index) :]
        self.entries.extend(save.entries)
        if save.snapshot:
            index, term, seats, octets = save.snapshot
            self.entries = [entry for entry in self.entries if entry.index > index]
            one = StoredState(0, "", seats, index, term, octets)
        self.kept = replace(one, term=save.term, vote=save.vote)
        self.saves += 1
