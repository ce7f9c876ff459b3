"""What moves when one marshal comes, goes or changes its weight, and how evenly services lie."""

import unittest

from brookreach.subsetting import rendezvous
from brookreach.subsetting.fleet_view import Balancer, Service, make_view
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.settings import Caps, Settings
from tests.subsetting.harness import NO_CAPS, fleet, many_services, moved


class ChurnTest(unittest.TestCase):
    def setUp(self):
        self.rows, self.services = fleet(120), many_services(100)
        self.before = place_services(make_view(1, self.rows, self.services), NO_CAPS)

    def test_leaving_balancer_moves_its_own_share(self):
        for removed in self.rows[::10]:
            others = [one for one in self.rows if one is not removed]
            after = place_services(make_view(2, others, self.services), NO_CAPS)
            self.assertEqual(moved(self.before, after), 2 * len(self.before.services_of(removed.name)))

    def test_joining_balancer_takes_its_own_share(self):
        after = place_services(make_view(2, [*self.rows, Balancer("new", "r0", "z0")], self.services), NO_CAPS)
        self.assertEqual(moved(self.before, after), 2 * len(after.services_of("new")))
        assignments = sum(map(len, self.before.holders.values()))
        self.assertLess(len(after.services_of("new")), 3 * assignments / 120)

    def test_with_tight_caps_still_about_its_share(self):
        tight = Settings(caps=Caps(services=9, rpcs=300))
        before = place_services(make_view(1, self.rows, self.services), tight)
        own = other = 0
        for removed in self.rows[::6]:
            after = place_services(make_view(2, [one for one in self.rows if one is not removed], self.services), tight)
            own += 2 * len(before.services_of(removed.name))
            other += moved(before, after)
        self.assertLess(other / own, 1.5)

    def test_changed_weight_moves_only_services_of_that_balancer(self):
        heavy = [Balancer(one.name, one.region, one.zone, 3) if one.name == "m5" else one for one in self.rows]
        after = place_services(make_view(2, heavy, self.services), NO_CAPS)
        self.assertGreater(len(after.services_of("m5")), len(self.before.services_of("m5")))
        self.assertEqual(
            moved(self.before, after), 2 * (len(after.services_of("m5")) - len(self.before.services_of("m5")))
        )

    def test_only_concerned_services_are_placed_again(self):
        placer = IncrementalPlacer(NO_CAPS)
        placer.update(make_view(1, self.rows, self.services))
        counted = placer.work.services_placed
        self.assertEqual(counted, 100)
        placer.update(make_view(2, self.rows[1:], self.services))
        self.assertEqual(placer.work.services_placed - counted, len(self.before.services_of("m0")))
        self.assertEqual(placer.work.full_rebuilds, 1)

    def test_zone_disappears_and_returns(self):
        placer = IncrementalPlacer(NO_CAPS)
        placer.update(make_view(1, self.rows, self.services))
        others = [one for one in self.rows if one.zone != "z3"]
        without = placer.update(make_view(2, others, self.services))
        for names in without.holders.values():
            self.assertGreaterEqual(len(names), 6)
            self.assertLessEqual({int(one[1:]) % 6 for one in names}, {0, 1, 2, 4, 5})
        share = sum(len(names) for names in self.before.holders.values()) / 6
        self.assertLess(moved(self.before, without), 2.5 * share)
        self.assertEqual(placer.update(make_view(3, self.rows, self.services)), self.before)


class BalanceTest(unittest.TestCase):
    def test_heavier_balancers_hold_in_proportion(self):
        rows = [Balancer(f"m{index}", "r", "z", 1 + index % 3) for index in range(90)]
        placement = place_services(make_view(1, rows, [Service(f"s{index}", 1) for index in range(600)]), NO_CAPS)
        sums = [0, 0, 0]
        for names in placement.holders.values():
            for name in names:
                sums[int(name[1:]) % 3] += 1
        self.assertAlmostEqual(sums[1] / sums[0], 2, delta=0.3)
        self.assertAlmostEqual(sums[2] / sums[0], 3, delta=0.4)

    def test_score_depends_on_weight_in_proportion(self):
        key = rendezvous.make_key("s")
        wins = sum(
            rendezvous.score(key, b"a%d" % index, 3) > rendezvous.score(key, b"b%d" % index, 1) for index in range(4000)
        )
        self.assertAlmostEqual(wins / 4000, 0.75, delta=0.03)
        self.assertGreaterEqual(rendezvous.score(key, b"m", 5), rendezvous.score(key, b"m", 4))
        self.assertNotEqual(rendezvous.make_key("a", "bc"), rendezvous.make_key("ab", "c"))
