"""What connections without a known sender may hold together, and which of them makes way.

300 connections that knew no key claimed a frame of 1 MiB each, sent nearly all of it and stayed: a replica went from 33 to
321 MB, and closed other replicas' new connections, for which the table had no room.
"""

import unittest

from brookreach.coordination.server.unidentified import UnidentifiedConnection, UnidentifiedConnections


class UnidentifiedConnectionsTest(unittest.TestCase):
    def setUp(self):
        self.table = UnidentifiedConnections(max_connections=3, max_bytes=100)
        self.given_up = []

    def add(self, name):
        connection = UnidentifiedConnection(lambda: self.given_up.append(name))
        self.table.add(connection)
        return connection

    def test_the_oldest_makes_way_for_a_new_one(self):
        for name in "abcd":
            self.add(name)
        self.assertEqual((self.given_up, len(self.table)), (["a"], 3))

    # Guards against unfinished frames that are each within their bound, and together use up the memory.
    def test_the_oldest_make_way_for_bytes(self):
        first, second, third = (self.add(name) for name in "abc")
        self.table.set_buffered(first, 10)
        self.table.set_buffered(second, 40)
        self.table.set_buffered(third, 50)
        self.assertEqual(self.given_up, [])
        self.table.set_buffered(third, 55)
        self.assertEqual(self.given_up, ["a"])
        self.table.set_buffered(third, 101)
        self.assertEqual((self.given_up, len(self.table)), (["a", "b", "c"], 0))

    def test_an_identified_one_counts_no_more(self):
        first = self.add("a")
        self.table.set_buffered(first, 90)
        self.table.remove(first)
        self.table.set_buffered(first, 95)
        self.table.remove(first)
        second = self.add("b")
        self.table.set_buffered(second, 100)
        self.assertEqual((self.given_up, len(self.table)), ([], 1))

    def test_a_frame_that_is_handled_gives_its_bytes_back(self):
        first, second = self.add("a"), self.add("b")
        self.table.set_buffered(first, 90)
        self.table.set_buffered(first, 0)
        self.table.set_buffered(second, 100)
        self.assertEqual(self.given_up, [])


if __name__ == "__main__":
    unittest.main()
