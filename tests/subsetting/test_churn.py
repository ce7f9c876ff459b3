"""Membership and weight changes move no more services than necessary, and placement follows the weights."""

import unittest

from brookreach.subsetting import rendezvous
from brookreach.subsetting.fleet_view import Balancer, Service, make_view
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.settings import Caps, Settings
from tests.subsetting.harness import NO_CAPS, count_moves, fleet, many_services


class ChurnTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(120)
        self.services = many_services(100)
        self.before = place_services(make_view(1, self.rows, self.services), NO_CAPS)

    def test_leaving_balancer_moves_its_own_share(self):
        for removed in self.rows[::10]:
            others = [row for row in self.rows if row is not removed]
            after = place_services(make_view(2, others, self.services), NO_CAPS)
            self.assertEqual(count_moves(self.before, after), 2 * len(self.before.services_of(removed.name)))

    def test_joining_balancer_takes_its_own_share(self):
        after = place_services(make_view(2, [*self.rows, Balancer("new", "r0", "z0")], self.services), NO_CAPS)
        self.assertEqual(count_moves(self.before, after), 2 * len(after.services_of("new")))
        assignments = sum(map(len, self.before.holders.values()))
        self.assertLess(len(after.services_of("new")), 3 * assignments / 120)

    def test_leaving_balancer_moves_little_more_than_its_share_with_tight_caps(self):
        tight = Settings(caps=Caps(services=9, rpcs=300))
        before = place_services(make_view(1, self.rows, self.services), tight)
        own_moves = all_moves = 0
        for removed in self.rows[::6]:
            after = place_services(make_view(2, [row for row in self.rows if row is not removed], self.services), tight)
            own_moves += 2 * len(before.services_of(removed.name))
            all_moves += count_moves(before, after)
        self.assertLess(all_moves / own_moves, 1.5)

    def test_changed_weight_moves_only_services_of_that_balancer(self):
        heavy = [Balancer(row.name, row.region, row.zone, 3) if row.name == "m5" else row for row in self.rows]
        after = place_services(make_view(2, heavy, self.services), NO_CAPS)
        self.assertGreater(len(after.services_of("m5")), len(self.before.services_of("m5")))
        self.assertEqual(
            count_moves(self.before, after), 2 * (len(after.services_of("m5")) - len(self.before.services_of("m5")))
        )

    def test_only_affected_services_are_placed_again(self):
        placer = IncrementalPlacer(NO_CAPS)
        placer.update(make_view(1, self.rows, self.services))
        placed_before = placer.work.services_placed
        self.assertEqual(placed_before, 100)
        placer.update(make_view(2, self.rows[1:], self.services))
        self.assertEqual(placer.work.services_placed - placed_before, len(self.before.services_of("m0")))
        self.assertEqual(placer.work.full_rebuilds, 1)

    def test_lost_and_returned_zone_restores_the_placement(self):
        placer = IncrementalPlacer(NO_CAPS)
        placer.update(make_view(1, self.rows, self.services))
        others = [row for row in self.rows if row.zone != "z3"]
        without_zone = placer.update(make_view(2, others, self.services))
        for names in without_zone.holders.values():
            self.assertGreaterEqual(len(names), 6)
            self.assertLessEqual({int(name[1:]) % 6 for name in names}, {0, 1, 2, 4, 5})
        share = sum(len(names) for names in self.before.holders.values()) / 6
        self.assertLess(count_moves(self.before, without_zone), 2.5 * share)
        self.assertEqual(placer.update(make_view(3, self.rows, self.services)), self.before)


class BalanceTest(unittest.TestCase):
    def test_balancers_hold_services_in_proportion_to_weight(self):
        rows = [Balancer(f"m{index}", "r", "z", 1 + index % 3) for index in range(90)]
        placement = place_services(make_view(1, rows, [Service(f"s{index}", 1) for index in range(600)]), NO_CAPS)
        sums = [0, 0, 0]
        for names in placement.holders.values():
            for name in names:
                sums[int(name[1:]) % 3] += 1
        self.assertAlmostEqual(sums[1] / sums[0], 2, delta=0.3)
        self.assertAlmostEqual(sums[2] / sums[0], 3, delta=0.4)

    def test_probability_of_the_highest_score_is_proportional_to_weight(self):
        key = rendezvous.make_key("s")
        wins = sum(
            rendezvous.score(key, b"a%d" % index, 3) > rendezvous.score(key, b"b%d" % index, 1) for index in range(4000)
        )
        self.assertAlmostEqual(wins / 4000, 0.75, delta=0.03)
        self.assertGreaterEqual(rendezvous.score(key, b"m", 5), rendezvous.score(key, b"m", 4))
        self.assertNotEqual(rendezvous.make_key("a", "bc"), rendezvous.make_key("ab", "c"))
