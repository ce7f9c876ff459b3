"""Storage: whole saves; corrupt, edited, foreign and full files; bootstrapping and joining once."""

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

MEMBERS = ("a", "b", "c")


class StorageTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "a.sqlite"

    def store(self, group: str = "g", me: str = "a") -> SqliteStorage:
        store = SqliteStorage(self.path, group, me)
        self.addCleanup(store.close)
        return store

    def filled(self) -> StoredState:
        """A closed file with a snapshot and entries after it."""
        store = self.store()
        store.bootstrap(MEMBERS)
        store.save(PendingSave(1, "b", 0, [Entry(nth, 1, b"x" * 300) for nth in range(1, 41)]))
        store.save(PendingSave(2, "", 40, [Entry(41, 2, b"")], Snapshot(10, 1, MEMBERS, b"state" * 500)))
        stored = store.load()
        store.close()
        return stored

    def replace_file(self, octets: bytes) -> None:
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
        chance, memory, store = random.Random(1), InMemoryStorage(MEMBERS), self.store()
        store.database.execute("PRAGMA synchronous = OFF")  # what lasts is not the question here
        store.bootstrap(MEMBERS)
        last = index = term = 0
        for nth in range(60):
            term += chance.randrange(2)
            after = chance.randrange(index, last + 1)
            entries = [Entry(after + one, term, bytes([nth, one])) for one in range(1, chance.randrange(1, 6))]
            last, snapshot = after + len(entries), None
            if chance.random() < 0.2:
                index = chance.randrange(index, last + 1) if chance.random() < 0.7 else last + 5
                snapshot = Snapshot(index, term, MEMBERS[: chance.randrange(1, 4)], b"%d" % nth)
                if index > last:
                    after, entries, last = index, [], index
            save = PendingSave(term, chance.choice(("", *MEMBERS)), after, entries, snapshot)
            memory.save(save)
            store.save(save)
            self.assertEqual(store.load(), memory.load())
        store.close()
        self.assertEqual(self.store().load(), memory.load())
        self.assertEqual(store.saves, 61)

    def test_bootstrapped_or_joined_once_on_an_empty_file(self) -> None:
        store = self.store()
        self.assertEqual(store.load(), StoredState())
        for wrong in ((), ("a", "a"), ("b", "c"), ("a", "no name")):
            with self.assertRaises(StorageError):
                store.bootstrap(wrong)
        with self.assertRaisesRegex(StorageError, "a is already a member among a, b, c"):
            store.join(MEMBERS)
        store.join(("b", "c"))
        self.assertEqual(store.load(), StoredState(snapshot=Snapshot(members=("b", "c"))))
        with self.assertRaisesRegex(StorageError, "only an empty file"):
            store.bootstrap(MEMBERS)

    def test_file_of_another_replica_cluster_or_program(self) -> None:
        self.filled()
        for group, me in (("g", "b"), ("h", "a")):
            store = SqliteStorage(self.path, group, me)
            with self.assertRaisesRegex(StorageError, "belongs to replica a of cluster g, not to"):
                store.load()
            store.close()
        self.edit("DROP TABLE log")
        with self.assertRaisesRegex(StorageError, "is not a replica's file"):
            self.store().load()

    def test_truncated_at_any_length(self) -> None:
        self.filled()
        whole = self.path.read_bytes()
        for length in range(1, len(whole), 509):
            self.replace_file(whole[:length])
            with self.assertRaises(StorageError, msg=f"{length} of {len(whole)}"):
                store = self.store()
                try:
                    store.load()
                finally:
                    store.close()

    def test_edited_or_flipped_is_detected_or_harmless(self) -> None:
        stored = self.filled()
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
            self.replace_file(whole)
            self.edit(statement)
            store = self.store()
            with self.assertRaises(StorageError, msg=statement):
                store.load()
            store.close()
        chance, found = random.Random(2), 0
        for _ in range(150):
            octets = bytearray(whole)
            octets[chance.randrange(len(octets))] ^= 1 << chance.randrange(8)
            self.replace_file(octets)
            try:
                store = self.store()
                self.assertEqual(store.load(), stored)
                store.close()
            except StorageError:
                found += 1
        self.assertGreater(found, 50)

    def test_one_process_at_a_time(self) -> None:
        self.store().bootstrap(MEMBERS)
        with self.assertRaisesRegex(StorageError, "locked"):
            self.store().load()

    def test_full_disk_leaves_the_last_save(self) -> None:
        store = self.store()
        store.bootstrap(MEMBERS)
        store.save(PendingSave(1, "a", 0, [Entry(1, 1, b"one")]))
        before = store.load()
        pages = store.database.execute("PRAGMA page_count").fetchone()[0]
        store.database.execute(f"PRAGMA max_page_count = {pages}")
        with self.assertRaisesRegex(StorageError, "can't be saved to: database or disk is full"):
            store.save(PendingSave(2, "b", 1, [Entry(2, 2, b"x" * 60_000)]))
        store.close()
        self.assertEqual(self.store().load(), before)

    def test_storage_in_memory_that_fails(self) -> None:
        memory = InMemoryStorage(MEMBERS)
        memory.fail_next()
        with self.assertRaisesRegex(StorageError, "full"):
            memory.save(PendingSave(1, "a", 0, []))
        self.assertEqual((memory.load(), memory.saves), (StoredState(snapshot=Snapshot(members=MEMBERS)), 0))
