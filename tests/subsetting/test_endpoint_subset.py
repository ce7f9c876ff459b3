"""Subsets of a large service's nodes: even, covered, bounded, and little moved."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.subsetting import demand
from brookreach.subsetting.endpoint_subset import Node, subsets
from brookreach.subsetting.fleet_view import Service
from brookreach.subsetting.settings import Settings, Subset

SMALL = Subset(nodes=20, holders=3, most_holders=6, zone_nodes=2)


def nodes_of(count, zones=3):
    return [Node(f"n{at}", f"r{at % 2}", f"z{at % zones}") for at in range(count)]


def marshals_of(count):
    return [f"m{at}" for at in range(count)]


class SubsetTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(21, 200), st.integers(1, 6), st.integers(0, 9))
    def test_every_node_is_held_by_enough_and_not_by_too_many(self, count, zones, more):
        wanted = demand.wanted(Service("s", count), Settings(subset=SMALL))
        dealt = subsets("s", marshals_of(wanted + more), nodes_of(count, zones), SMALL)
        self.assertEqual(dealt.thin, ())
        holders = {node.name: 0 for node in nodes_of(count, zones)}
        for held in dealt.held.values():
            self.assertLessEqual(len(held), SMALL.nodes)
            self.assertEqual(len(set(held)), len(held))
            for name in held:
                holders[name] += 1
        self.assertGreaterEqual(min(holders.values()), SMALL.holders)
        self.assertLessEqual(max(holders.values()), SMALL.most_holders)

    def test_loads_differ_by_little_and_each_has_enough_of_each_zone(self):
        wide = Subset(nodes=200, holders=4, most_holders=8, zone_nodes=4)
        dealt = subsets("s", marshals_of(40), nodes_of(1500, 6), wide)
        sizes = [len(held) for held in dealt.held.values()]
        mean = 1500 * 4 / 40
        self.assertLessEqual(max(sizes), mean * 5 / 4 + 1)
        self.assertGreaterEqual(min(sizes), mean * 3 / 4)
        zone_of = {node.name: node.zone for node in nodes_of(1500, 6)}
        for held in dealt.held.values():
            for zone in range(6):
                self.assertGreaterEqual(sum(1 for name in held if zone_of[name] == f"z{zone}"), 4)

    def test_a_thin_zone_is_filled_up(self):
        nodes = [Node(f"n{at}", "r", "b" if at < 6 else "a") for at in range(100)]
        dealt = subsets("s", marshals_of(18), nodes, SMALL)
        thin = [f"n{at}" for at in range(6)]
        counts = [sum(1 for name in held if name in thin) for held in dealt.held.values()]
        self.assertGreaterEqual(sorted(counts)[len(counts) // 2], 2)
        self.assertLessEqual(max(sum(name in held for held in dealt.held.values()) for name in thin), 6)

    def test_a_node_or_marshal_that_comes_moves_about_its_own(self):
        before = subsets("s", marshals_of(40), nodes_of(600), SMALL)
        self.assertTrue(before.thin)  # 40 of 20 are too few for 600 of 3: said by name
        wide = Subset(nodes=100, holders=3, most_holders=6, zone_nodes=2)
        before = subsets("s", marshals_of(40), nodes_of(600), wide).held
        with_node = subsets("s", marshals_of(40), nodes_of(601), wide).held
        self.assertLessEqual(sum(len(set(before[m]) ^ set(with_node[m])) for m in before), 15)
        with_marshal = subsets("s", marshals_of(41), nodes_of(600), wide).held
        shifted = sum(len(set(before[m]) ^ set(with_marshal[m])) for m in before)
        self.assertLessEqual(shifted, 3 * len(with_marshal["m40"]))

    def test_a_small_service_is_held_whole(self):
        dealt = subsets("s", marshals_of(6), nodes_of(20), SMALL)
        self.assertEqual({len(held) for held in dealt.held.values()}, {20})
        self.assertEqual(subsets("s", ["m0"], nodes_of(1), SMALL).thin, ("n0",))
        self.assertEqual(subsets("s", [], nodes_of(30), SMALL).held, {})

    def test_the_order_of_rows_is_nothing(self):
        forth = subsets("s", marshals_of(30), nodes_of(150), SMALL)
        back = subsets("s", marshals_of(30)[::-1], nodes_of(150)[::-1], SMALL)
        self.assertEqual(forth, back)
