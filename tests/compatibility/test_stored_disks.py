"""A replica's file of an older version is read whole, gone on with, or refused by name; never lost."""

import shutil
import sqlite3
import tempfile
import unittest
from pathlib import Path

import msgspec

from . import disks, replicas, stored
from . import text_under_test as text

NOTICE = {"type": "RetirementNotice", "node": "n4", "at_ms": 1_900_000_000_000}
NODE_RETIRES_MS = 8  # its position in the row of a node


class StoredDisks(unittest.TestCase):
    maxDiff = 2000

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.told = stored.read_json(stored.FIRST, "rows.json")

    def copied(self, name: str) -> Path:
        return Path(shutil.copy(stored.DATA / stored.FIRST / name, self.folder / name))

    def loaded(self, path: Path) -> text.Stored:
        store = disks.opened(path)
        try:
            return store.load()
        finally:
            store.close()

    def same_as_told(self, machine):
        for table, rows in self.told["rows"].items():
            self.assertEqual(text.rows(machine)[table], rows, table)
        self.assertEqual((machine.applied, machine.at_ms), (self.told["applied"], self.told["at_ms"]))
        self.assertEqual(machine.view.digest(), self.told["digest"])

    def orders(self, entries):
        """The application, tag and octets of each entry's order."""
        found = []
        for entry in entries:
            application, *_, octets = msgspec.msgpack.decode(entry.octets)
            found.append((application, msgspec.msgpack.decode(octets)["type"], octets))
        return found

    def test_every_row_of_the_log_and_of_the_snapshot_stands(self):
        for name in (disks.LOG, disks.SNAPSHOT):
            found = self.loaded(self.copied(name))
            self.assertEqual((found.term, found.vote, found.seats), (1, disks.OWNER, replicas.NAMES))
            self.same_as_told(text.read_state(found))

    def test_the_log_holds_every_order_and_the_snapshot_rows_of_every_table(self):
        found = self.loaded(self.copied(disks.LOG))
        tags = {(application, tag) for application, tag, _ in self.orders(found.entries)}
        present = {(name, text.tag(type_)) for name, one in text.applications().items() for type_ in one.orders}
        self.assertEqual(present, tags)
        machine = text.StateMachine(text.installed())
        machine.restore(self.loaded(self.copied(disks.SNAPSHOT)).snapshot)
        tables = {table for one in text.applications().values() for table in one.tables}
        self.assertEqual(tables, set(self.told["rows"]))
        self.assertEqual([table for table, rows in text.rows(machine).items() if not rows], [])

    def test_every_field_of_the_log_s_orders_is_written_back(self):
        types = {(name, text.tag(type_)): type_ for name, one in text.applications().items() for type_ in one.orders}
        orders = self.orders(self.loaded(self.copied(disks.LOG)).entries)
        self.assertGreater(len(orders), len(types))
        for application, tag, octets in orders:
            order = msgspec.msgpack.decode(octets, type=types[application, tag], strict=True)
            written = msgspec.msgpack.decode(msgspec.msgpack.encode(order))
            for name, value in msgspec.msgpack.decode(octets).items():
                self.assertEqual(written[name], value, f"{tag} {name}")

    def test_snapshot_is_written_back_with_the_same_bytes(self):
        octets = self.loaded(self.copied(disks.SNAPSHOT)).snapshot
        machine = text.StateMachine(text.installed())
        machine.restore(octets)
        self.assertEqual(machine.snapshot(), octets)

    def test_a_file_written_by_the_present_text_has_the_same_rows_of_sqlite(self):
        """Names of tables are part of the checksums beside the rows."""
        for name in (disks.LOG, disks.SNAPSHOT):
            old = self.copied(name)
            found = self.loaded(old)
            entries = list(found.entries)
            snapshot = (found.index, found.index_term, found.seats, found.snapshot) if found.index else None
            new = self.folder / f"new-{name}"
            store = disks.opened(new)
            store.found(found.seats)
            store.save(text.Save(found.term, found.vote, 0, self.whole_log()[: found.index] + entries, snapshot))
            store.close()
            self.assertEqual(self.dump(new), self.dump(old))

    def whole_log(self):
        return list(self.loaded(self.copied(disks.LOG)).entries)

    def dump(self, path):
        base = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            return list(base.iterdump())
        finally:
            base.close()

    def test_goes_on_as_a_group_and_is_opened_again(self):
        for name in (disks.LOG, disks.SNAPSHOT):
            path = self.copied(name)
            store = disks.opened(path)
            begin = store.load()
            group = replicas.Group({"k1": store, "k2": disks.in_memory(begin), "k3": disks.in_memory(begin)}, "ops3")
            group.leader()
            for host in group.hosts.values():
                self.assertEqual(host.replica.refusals, {})
            before = text.rows(group.hosts["k1"].machine)
            self.assertEqual(before["gangs"], self.told["rows"]["gangs"])
            self.assertTrue(group.ask("outages", NOTICE).ok)
            group.run(200)
            now = text.rows(group.hosts["k1"].machine)
            self.assertEqual(now["nodes"]["n4"][NODE_RETIRES_MS], NOTICE["at_ms"])
            before["nodes"]["n4"][NODE_RETIRES_MS] = NOTICE["at_ms"]
            self.assertEqual({table: now[table] for table in self.unmoved()}, {t: before[t] for t in self.unmoved()})
            digests = {host.machine.view.digest() for host in group.hosts.values()}
            self.assertEqual(len(digests), 1)
            store.close()
            found = self.loaded(path)
            self.assertGreater(found.term, begin.term)
            self.assertEqual(text.read_state(found).view.digest(), digests.pop())

    def unmoved(self):
        """Tables that the new order and the sessions' ends do not touch."""
        return ("nodes", "marshals", "permits", "halt", "releases", "budgets", "assigned", "gangs", "members", "rooms")

    def test_a_save_that_was_broken_off_leaves_what_was(self):
        """The file and its journal are copied in the middle of a transaction, as a lost process leaves them."""
        path = self.copied(disks.LOG)
        before = self.loaded(path)
        base = sqlite3.connect(path, isolation_level=None)
        base.execute("PRAGMA cache_spill = 1")
        base.execute("PRAGMA cache_size = 1")
        base.execute("BEGIN IMMEDIATE")
        base.execute("DELETE FROM log WHERE place > 10")
        for place in range(11, 200):
            base.execute("INSERT INTO log VALUES (?, 2, ?, x'00')", (place, b"x" * 4000))
        half = self.folder / "half.sqlite"
        shutil.copy(path, half)
        shutil.copy(f"{path}-journal", f"{half}-journal")
        base.execute("ROLLBACK")
        base.close()
        self.assertNotEqual(half.read_bytes(), (stored.DATA / stored.FIRST / disks.LOG).read_bytes())
        found = self.loaded(half)
        self.assertEqual(found, before)
        self.same_as_told(text.read_state(found))

    def test_torn_or_changed_is_refused_and_left_as_it_is(self):
        for name, error in ((disks.TORN, "k1|torn|malformed"), (disks.CHANGED, "is torn or was changed: log at 40")):
            path = self.copied(name)
            octets = path.read_bytes()
            with self.assertRaisesRegex(text.StoreError, error) as raised:
                self.loaded(path)
            self.assertIn(str(path), str(raised.exception))
            self.assertEqual(path.read_bytes(), octets)


if __name__ == "__main__":
    unittest.main()
