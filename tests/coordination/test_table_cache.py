"""A client's cache of the watched tables: it is never between two states, and what does not fit is requested again."""

import unittest

import msgspec

from brookreach.coordination.client import events
from brookreach.coordination.protocol import messages
from brookreach.coordination.server.change_feed import digest_markers
from brookreach.coordination.state_machine.tables import row_digest
from tests.coordination.client_harness import FakeLeader, exchange, make_client
from tests.coordination.machine_harness import Add, PotRow


class TableCacheTest(unittest.TestCase):
    def test_rows_of_a_later_version_are_left_out_and_reported(self):
        leader, client = FakeLeader(), make_client(watched=("pots", "lids"))
        exchange(0.0, client, leader)
        row = messages.RowChange("pots", "a", msgspec.msgpack.encode((5, "m1", 0, (), True, "more")))
        index = client.cache.index
        client.handle_message(
            1.0,
            client.replica,
            messages.WatchUpdate(index, index + 1, (*digest_markers(["lids"], row_digest(row)), row)),
        )
        self.assertEqual((client.cache.get("pots", "a"), list(client.cache.unreadable)), (None, [("pots", "a")]))
        self.assertIn(
            ("pots", "a"),
            [(event.table, event.key) for event in client.take_events() if isinstance(event, events.RowUnreadable)],
        )
        client.handle_message(
            2.0,
            client.replica,
            messages.WatchUpdate(
                index + 1, index + 2, (*digest_markers(["lids"], 0), messages.RowChange("pots", "a", None))
            ),
        )
        self.assertEqual(client.cache.unreadable, {})

    def test_rows_that_lead_to_another_digest_change_nothing_and_are_requested_again(self):
        leader, client = FakeLeader(), make_client(watched=("pots", "lids"))
        exchange(0.0, client, leader)
        client.propose(1.0, "pots", Add("a", 1))
        exchange(1.0, client, leader)
        before, index = client.cache.digest(), client.cache.index
        row = messages.RowChange("pots", "a", None)
        for rows in ((), (row,), (messages.RowChange("pots", "b", b"\xc1"),)):
            client.handle_message(
                2.0, client.replica, messages.WatchUpdate(index, index + 1, (*digest_markers(["lids"], 5), *rows))
            )
            self.assertEqual((client.cache.digest(), client.cache.index, client.cache.unreadable), (before, index, {}))
            self.assertEqual(
                [
                    message.since
                    for message in exchange(client.next_wakeup_ms(), client, leader)
                    if isinstance(message, messages.WatchRequest)
                ],
                [0],
            )
            self.assertTrue(client.cache.up_to_date)
        self.assertEqual(client.rejections, {"other sum": 3})

    def test_messages_that_do_not_fit_are_rejected_by_name(self):
        leader, client = FakeLeader(), make_client()
        exchange(0.0, client, leader)
        row = messages.RowChange("pots", "a", msgspec.msgpack.encode(PotRow(1, "m1")))
        total = row_digest(row)
        for name, message in (
            ("gap", messages.WatchUpdate(0, 2, (*digest_markers(["pots"], total), row))),
            ("gap", messages.WatchUpdate(1, 0, (*digest_markers(["pots"], total), row))),
            ("other tables", messages.WatchUpdate(1, 2, (*digest_markers(["lids"], total), row))),
            ("other tables", messages.WatchUpdate(1, 2, ())),
            ("parts out of order", messages.WatchSnapshot(2, 1, True, (row,))),
            ("older than held", messages.WatchSnapshot(0, 0, True, digest_markers(["pots"], 0))),
        ):
            client.rejections.clear()
            client.handle_message(1.0, client.replica, message)
            self.assertEqual((client.rejections, client.cache.index), ({name: 1}, 1))
            exchange(client.next_wakeup_ms(), client, leader)
        client.handle_message(
            900.0, client.replica, messages.WatchSnapshot(2, 0, False, digest_markers(["pots"], total))
        )
        client.handle_message(900.0, client.replica, messages.WatchSnapshot(2, 2, True, (row,)))
        self.assertEqual((client.rejections["parts out of order"], client.cache.index), (1, 1))

    def test_watched_tables_must_have_types(self):
        with self.assertRaisesRegex(ValueError, "no type for table 'lamps'; there are lids, pots"):
            make_client(watched=("lamps",))
