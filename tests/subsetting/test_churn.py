"""What moves when one marshal comes, goes or changes its weight, and how evenly services lie."""

import unittest

from brookreach.subsetting import rendezvous
from brookreach.subsetting.fleet_view import Marshal, Service, view_of
from brookreach.subsetting.full_placement import place
from brookreach.subsetting.incremental_placement import Placer
from brookreach.subsetting.settings import Caps, Settings
from tests.subsetting.harness import NO_CAPS, fleet, many_services, moved


class ChurnTest(unittest.TestCase):
    def setUp(self):
        self.rows, self.services = fleet(120), many_services(100)
        self.before = place(view_of(1, self.rows, self.services), NO_CAPS)

    def test_one_that_leaves_moves_its_own_share(self):
        for gone in self.rows[::10]:
            rest = [one for one in self.rows if one is not gone]
            after = place(view_of(2, rest, self.services), NO_CAPS)
            self.assertEqual(moved(self.before, after), 2 * len(self.before.of(gone.name)))

    def test_one_that_joins_takes_its_own_share(self):
        after = place(view_of(2, [*self.rows, Marshal("new", "r0", "z0")], self.services), NO_CAPS)
        self.assertEqual(moved(self.before, after), 2 * len(after.of("new")))
        assignments = sum(map(len, self.before.holders.values()))
        self.assertLess(len(after.of("new")), 3 * assignments / 120)

    def test_with_tight_caps_still_about_its_share(self):
        tight = Settings(caps=Caps(services=9, rpcs=300))
        before = place(view_of(1, self.rows, self.services), tight)
        own = other = 0
        for gone in self.rows[::6]:
            after = place(view_of(2, [one for one in self.rows if one is not gone], self.services), tight)
            own += 2 * len(before.of(gone.name))
            other += moved(before, after)
        self.assertLess(other / own, 1.5)

    def test_a_weight_moves_only_what_is_about_that_marshal(self):
        heavy = [Marshal(one.name, one.region, one.zone, 3) if one.name == "m5" else one for one in self.rows]
        after = place(view_of(2, heavy, self.services), NO_CAPS)
        self.assertGreater(len(after.of("m5")), len(self.before.of("m5")))
        self.assertEqual(moved(self.before, after), 2 * (len(after.of("m5")) - len(self.before.of("m5"))))

    def test_a_large_fleet_places_again_only_what_one_change_concerns(self):
        placer = Placer(NO_CAPS)
        placer.take(view_of(1, self.rows, self.services))
        counted = placer.work.services
        self.assertEqual(counted, 100)
        placer.take(view_of(2, self.rows[1:], self.services))
        self.assertEqual(placer.work.services - counted, len(self.before.of("m0")))
        self.assertEqual(placer.work.rebuilds, 1)

    def test_a_zone_goes_and_comes_back(self):
        placer = Placer(NO_CAPS)
        placer.take(view_of(1, self.rows, self.services))
        rest = [one for one in self.rows if one.zone != "z3"]
        without = placer.take(view_of(2, rest, self.services))
        for names in without.holders.values():
            self.assertGreaterEqual(len(names), 6)
            self.assertLessEqual({int(one[1:]) % 6 for one in names}, {0, 1, 2, 4, 5})
        share = sum(len(names) for names in self.before.holders.values()) / 6
        self.assertLess(moved(self.before, without), 2.5 * share)
        self.assertEqual(placer.take(view_of(3, self.rows, self.services)), self.before)


class BalanceTest(unittest.TestCase):
    def test_heavier_marshals_hold_in_proportion(self):
        rows = [Marshal(f"m{at}", "r", "z", 1 + at % 3) for at in range(90)]
        placement = place(view_of(1, rows, [Service(f"s{at}", 1) for at in range(600)]), NO_CAPS)
        sums = [0, 0, 0]
        for names in placement.holders.values():
            for name in names:
                sums[int(name[1:]) % 3] += 1
        self.assertAlmostEqual(sums[1] / sums[0], 2, delta=0.3)
        self.assertAlmostEqual(sums[2] / sums[0], 3, delta=0.4)

    def test_a_score_is_even_and_of_its_weight_only(self):
        key = rendezvous.key_of("s")
        wins = sum(rendezvous.score(key, b"a%d" % at, 3) > rendezvous.score(key, b"b%d" % at, 1) for at in range(4000))
        self.assertAlmostEqual(wins / 4000, 0.75, delta=0.03)
        self.assertGreaterEqual(rendezvous.score(key, b"m", 5), rendezvous.score(key, b"m", 4))
        self.assertNotEqual(rendezvous.key_of("a", "bc"), rendezvous.key_of("ab", "c"))
