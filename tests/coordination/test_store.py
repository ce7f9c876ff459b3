"""What lasts of a keeper: whole saves, files torn, edited, of others, full; founding and joining once."""

import random
import sqlite3
import tempfile
import unittest
from pathlib import Path

from brookreach.coordination.errors import StorageError
from brookreach.coordination.protocol.messages import Entry
from brookreach.coordination.raft.types import PendingSave, Snapshot, StoredState
from brookreach.coordination.storage.memory import InMemoryStorage
from brookreach.coordination.storage.sqlite import SqliteStorage

SEATS = ("a", "b", "c")


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "a.keeper"

    def store(self, group: str = "g", me: str = "a") -> SqliteStorage:
        store = SqliteStorage(self.path, group, me)
        self.addCleanup(store.close)
        return store

    def filled(self) -> StoredState:
        """A closed file with a snapshot and entries after it."""
        store = self.store()
        store.bootstrap(SEATS)
        store.save(PendingSave(1, "b", 0, [Entry(nth, 1, b"x" * 300) for nth in range(1, 41)]))
        store.save(PendingSave(2, "", 40, [Entry(41, 2, b"")], Snapshot(10, 1, SEATS, b"state" * 500)))
        kept = store.load()
        store.close()
        return kept

    def put(self, octets: bytes) -> None:
        """In a new file: to write over one may cost a sync."""
        self.path.unlink(missing_ok=True)
        self.path.write_bytes(octets)

    def edit(self, statement: str) -> None:
        base = sqlite3.connect(self.path)
        base.execute("PRAGMA synchronous = OFF")
        with base:
            base.execute(statement)
        base.close()

    def test_same_as_in_memory_after_any_saves(self) -> None:
        chance, disk, store = random.Random(1), InMemoryStorage(SEATS), self.store()
        store.database.execute("PRAGMA synchronous = OFF")  # what lasts is not the question here
        store.bootstrap(SEATS)
        last = index = term = 0
        for nth in range(60):
            term += chance.randrange(2)
            after = chance.randrange(index, last + 1)
            entries = [Entry(after + one, term, bytes([nth, one])) for one in range(1, chance.randrange(1, 6))]
            last, snapshot = after + len(entries), None
            if chance.random() < 0.2:
                index = chance.randrange(index, last + 1) if chance.random() < 0.7 else last + 5
                snapshot = Snapshot(index, term, SEATS[: chance.randrange(1, 4)], b"%d" % nth)
                if index > last:
                    after, entries, last = index, [], index
            save = PendingSave(term, chance.choice(("", *SEATS)), after, entries, snapshot)
            disk.save(save)
            store.save(save)
            self.assertEqual(store.load(), disk.load())
        store.close()
        self.assertEqual(self.store().load(), disk.load())
        self.assertEqual(store.saves, 61)

    def test_founded_or_joined_once_on_an_empty_disk(self) -> None:
        store = self.store()
        self.assertEqual(store.load(), StoredState())
        for wrong in ((), ("a", "a"), ("b", "c"), ("a", "no name")):
            with self.assertRaises(StorageError):
                store.bootstrap(wrong)
        with self.assertRaisesRegex(StorageError, "a is already a member among a, b, c"):
            store.join(SEATS)
        store.join(("b", "c"))
        self.assertEqual(store.load(), StoredState(snapshot=Snapshot(members=("b", "c"))))
        with self.assertRaisesRegex(StorageError, "only an empty file"):
            store.bootstrap(SEATS)

    def test_of_another_keeper_group_or_program(self) -> None:
        self.filled()
        for group, me in (("g", "b"), ("h", "a")):
            store = SqliteStorage(self.path, group, me)
            with self.assertRaisesRegex(StorageError, "belongs to replica a of cluster g, not to"):
                store.load()
            store.close()
        self.edit("DROP TABLE log")
        with self.assertRaisesRegex(StorageError, "is not a replica's file"):
            self.store().load()

    def test_torn_at_any_length(self) -> None:
        self.filled()
        whole = self.path.read_bytes()
        for length in range(1, len(whole), 509):
            self.put(whole[:length])
            with self.assertRaises(StorageError, msg=f"{length} of {len(whole)}"):
                store = self.store()
                try:
                    store.load()
                finally:
                    store.close()

    def test_edited_or_flipped_is_found_or_harmless(self) -> None:
        kept = self.filled()
        whole = self.path.read_bytes()
        for statement in (
            "UPDATE promise SET term = 1",
            "UPDATE promise SET vote = 'b'",
            "DELETE FROM promise",
            "DELETE FROM log WHERE place = 41",
            "DELETE FROM log WHERE place = 20",
            "UPDATE log SET octets = x'00' WHERE place = 20",
            "UPDATE log SET term = 2 WHERE place = 40",
            "UPDATE snapshot SET place = 9",
            "UPDATE about SET format = 2",
            "DELETE FROM snapshot",
        ):
            self.put(whole)
            self.edit(statement)
            store = self.store()
            with self.assertRaises(StorageError, msg=statement):
                store.load()
            store.close()
        chance, found = random.Random(2), 0
        for _ in range(150):
            octets = bytearray(whole)
            octets[chance.randrange(len(octets))] ^= 1 << chance.randrange(8)
            self.put(octets)
            try:
                store = self.store()
                self.assertEqual(store.load(), kept)
                store.close()
            except StorageError:
                found += 1
        self.assertGreater(found, 50)

    def test_one_process_a_disk(self) -> None:
        self.store().bootstrap(SEATS)
        with self.assertRaisesRegex(StorageError, "locked"):
            self.store().load()

    def test_full_disk_leaves_what_was(self) -> None:
        store = self.store()
        store.bootstrap(SEATS)
        store.save(PendingSave(1, "a", 0, [Entry(1, 1, b"one")]))
        before = store.load()
        pages = store.database.execute("PRAGMA page_count").fetchone()[0]
        store.database.execute(f"PRAGMA max_page_count = {pages}")
        with self.assertRaisesRegex(StorageError, "can't be saved to: database or disk is full"):
            store.save(PendingSave(2, "b", 1, [Entry(2, 2, b"x" * 60_000)]))
        store.close()
        self.assertEqual(self.store().load(), before)

    def test_memory_disk_that_fails(self) -> None:
        disk = InMemoryStorage(SEATS)
        disk.fail_next()
        with self.assertRaisesRegex(StorageError, "full"):
            disk.save(PendingSave(1, "a", 0, []))
        self.assertEqual((disk.load(), disk.saves), (StoredState(snapshot=Snapshot(members=SEATS)), 0))
