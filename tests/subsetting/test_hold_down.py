"""The settled view: hold-downs, batches, and changes that undo the last."""

import unittest

from brookreach.subsetting.fleet_view import Marshal, Service
from brookreach.subsetting.full_placement import place
from brookreach.subsetting.hold_down import Settling
from brookreach.subsetting.settings import Settings, Times

SETTINGS = Settings()
SERVICE = Service("s", 4)
TIMES = Times(gone_ms=90_000, join_ms=5_000, size_ms=60_000, batch_ms=1_000)


def fleet(count):
    return [Marshal(f"m{at}", f"r{at % 2}", f"z{at % 3}") for at in range(count)]


class SettlingTest(unittest.TestCase):
    def settled(self, count=9):
        settling = Settling(TIMES)
        for row in fleet(count):
            settling.joined(row, 0)
        settling.sized(SERVICE, 0)
        self.assertIsNone(settling.tick(-1))
        settling.tick(0)
        settling.tick(5_000)
        return settling

    def test_a_start_of_all_is_one_version(self):
        settling = self.settled(500)
        self.assertEqual((settling.view.version, len(settling.view.marshals)), (2, 500))

    def test_back_within_the_hold_down_moves_nothing(self):
        settling, before = self.settled(), self.settled().view
        settling.left("m3", 10_000)
        self.assertIsNone(settling.tick(99_999))
        settling.joined(Marshal("m3", "r1", "z0", 1, 2), 99_999)
        after = settling.tick(100_000)  # another session is told at once
        self.assertEqual(after.marshal("m3").session, 2)
        self.assertEqual(place(after, SETTINGS), place(before, SETTINGS))
        self.assertIsNone(settling.tick(10**6))

    def test_gone_for_longer_is_gone(self):
        settling = self.settled()
        settling.left("m3", 10_000)
        settling.left("m3", 50_000)  # said again: the time stands
        self.assertIsNone(settling.tick(99_999))
        self.assertIsNone(settling.tick(100_000).marshal("m3"))

    def test_a_new_one_that_flaps_is_not_placed(self):
        settling, new = self.settled(), Marshal("x", "r0", "z0")
        for at in range(10_000, 60_000, 8_000):
            settling.joined(new, at)
            settling.left("x", at + 4_000)
            self.assertIsNone(settling.tick(at + 7_999))
        settling.joined(new, 60_000)
        self.assertEqual(settling.tick(65_000).marshal("x"), new)

    def test_a_size_undone_within_9_s_is_no_version(self):
        settling = self.settled()
        settling.sized(Service("s", 400), 10_000)
        settling.joined(Marshal("m3", "r1", "z0", 5), 10_000)
        settling.sized(SERVICE, 19_000)
        settling.joined(Marshal("m3", "r1", "z0", 1), 19_000)
        self.assertIsNone(settling.tick(10**6))

    def test_a_new_service_and_one_that_goes_wait_for_the_batch_only(self):
        settling = self.settled()
        settling.sized(Service("t", 1), 10_100)
        self.assertIsNone(settling.tick(10_999))
        self.assertEqual(len(settling.tick(11_000).services), 2)
        settling.ended("t", 11_001)
        settling.sized(Service("t", 1), 11_500)
        self.assertIsNone(settling.tick(12_000))
        settling.ended("t", 12_001)
        self.assertEqual(len(settling.tick(13_000).services), 1)

    def test_another_size_after_its_time(self):
        settling = self.settled()
        settling.sized(Service("s", 400), 10_000)
        settling.joined(Marshal("m3", "r1", "z0", 5), 10_500)
        self.assertEqual(settling.tick(70_000).services[0].nodes, 400)
        self.assertEqual(settling.tick(71_000).marshal("m3").weight, 5)

    def test_a_size_that_never_rests_is_taken_as_it_stands(self):
        settling = self.settled()
        for at in range(60):
            settling.sized(Service("s", 100 + at), 10_000 + 1_000 * at)
            self.assertIsNone(settling.tick(10_000 + 1_000 * at))
        self.assertEqual(settling.tick(70_000).services[0].nodes, 159)

    def test_it_goes_on_from_a_view(self):
        settling = self.settled()
        again = Settling(TIMES, settling.view)
        again.left("m1", 0)
        self.assertEqual(again.tick(90_000).version, settling.view.version + 1)
