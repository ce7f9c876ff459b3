"""Flapping, restarts and reverted sizes must not change the view; lasting changes must enter it after the hold-down."""

import unittest

from brookreach.subsetting.fleet_view import Balancer, Service
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.hold_down import HoldDown
from brookreach.subsetting.settings import Settings, Times
from tests.subsetting.harness import fleet

SETTINGS = Settings()
SERVICE = Service("s", 4)
TIMES = Times(removal_hold_ms=90_000, join_hold_ms=5_000, resize_hold_ms=60_000, batch_interval_ms=1_000)


class HoldDownTest(unittest.TestCase):
    def make_settled(self, count=9):
        hold_down = HoldDown(TIMES)
        for row in fleet(count, zones=3):
            hold_down.session_started(row, 0)
        hold_down.service_changed(SERVICE, 0)
        self.assertIsNone(hold_down.next_version(-1))
        hold_down.next_version(0)
        hold_down.next_version(5_000)
        return hold_down

    def test_simultaneous_start_is_one_version(self):
        hold_down = self.make_settled(500)
        self.assertEqual((hold_down.view.version, len(hold_down.view.balancers)), (2, 500))

    def test_return_within_the_hold_down_moves_nothing(self):
        hold_down = self.make_settled()
        before = self.make_settled().view
        hold_down.session_ended("m3", 10_000)
        self.assertIsNone(hold_down.next_version(99_999))
        hold_down.session_started(Balancer("m3", "r1", "z0", 1, 2), 99_999)
        after = hold_down.next_version(100_000)  # a new session is published without hold-down
        self.assertEqual(after.balancer("m3").session, 2)
        self.assertEqual(place_services(after, SETTINGS), place_services(before, SETTINGS))
        self.assertIsNone(hold_down.next_version(10**6))

    def test_balancer_is_removed_after_the_hold_down(self):
        hold_down = self.make_settled()
        hold_down.session_ended("m3", 10_000)
        hold_down.session_ended("m3", 50_000)  # a repeated end keeps the due time
        self.assertIsNone(hold_down.next_version(99_999))
        self.assertIsNone(hold_down.next_version(100_000).balancer("m3"))

    def test_flapping_new_balancer_is_not_placed(self):
        hold_down = self.make_settled()
        new = Balancer("x", "r0", "z0")
        for start_ms in range(10_000, 60_000, 8_000):
            hold_down.session_started(new, start_ms)
            hold_down.session_ended("x", start_ms + 4_000)
            self.assertIsNone(hold_down.next_version(start_ms + 7_999))
        hold_down.session_started(new, 60_000)
        self.assertEqual(hold_down.next_version(65_000).balancer("x"), new)

    def test_size_reverted_within_9_s_makes_no_version(self):
        hold_down = self.make_settled()
        hold_down.service_changed(Service("s", 400), 10_000)
        hold_down.session_started(Balancer("m3", "r1", "z0", 5), 10_000)
        hold_down.service_changed(SERVICE, 19_000)
        hold_down.session_started(Balancer("m3", "r1", "z0", 1), 19_000)
        self.assertIsNone(hold_down.next_version(10**6))

    def test_new_and_removed_services_wait_for_the_batch_only(self):
        hold_down = self.make_settled()
        hold_down.service_changed(Service("t", 1), 10_100)
        self.assertIsNone(hold_down.next_version(10_999))
        self.assertEqual(len(hold_down.next_version(11_000).services), 2)
        hold_down.service_removed("t", 11_001)
        hold_down.service_changed(Service("t", 1), 11_500)
        self.assertIsNone(hold_down.next_version(12_000))
        hold_down.service_removed("t", 12_001)
        self.assertEqual(len(hold_down.next_version(13_000).services), 1)

    def test_new_sizes_take_effect_after_the_hold_down(self):
        hold_down = self.make_settled()
        hold_down.service_changed(Service("s", 400), 10_000)
        hold_down.session_started(Balancer("m3", "r1", "z0", 5), 10_500)
        self.assertEqual(hold_down.next_version(70_000).services[0].nodes, 400)
        self.assertEqual(hold_down.next_version(71_000).balancer("m3").weight, 5)

    def test_size_that_keeps_changing_takes_effect(self):
        hold_down = self.make_settled()
        for index in range(60):
            hold_down.service_changed(Service("s", 100 + index), 10_000 + 1_000 * index)
            self.assertIsNone(hold_down.next_version(10_000 + 1_000 * index))
        self.assertEqual(hold_down.next_version(70_000).services[0].nodes, 159)

    def test_versions_continue_from_a_given_view(self):
        hold_down = self.make_settled()
        restored = HoldDown(TIMES, hold_down.view)
        restored.session_ended("m1", 0)
        self.assertEqual(restored.next_version(90_000).version, hold_down.view.version + 1)
