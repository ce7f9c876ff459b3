"""Endpoint subsets cover every endpoint and zone, stay balanced and within bounds, and move little on changes."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.subsetting import demand
from brookreach.subsetting.endpoint_subset import Endpoint, assign_subsets
from brookreach.subsetting.fleet_view import Service
from brookreach.subsetting.settings import Settings, Subset

SMALL = Subset(nodes=20, holders=3, max_holders=6, zone_nodes=2)


def endpoints_of(count, zones=3):
    return [Endpoint(f"n{index}", f"r{index % 2}", f"z{index % zones}") for index in range(count)]


def balancer_names(count):
    return [f"m{index}" for index in range(count)]


class SubsetTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(21, 200), st.integers(1, 6), st.integers(0, 9))
    def test_every_endpoint_has_enough_and_not_too_many_holders(self, count, zones, extra_balancers):
        required = demand.required_balancers(Service("s", count), Settings(subset=SMALL))
        assigned = assign_subsets("s", balancer_names(required + extra_balancers), endpoints_of(count, zones), SMALL)
        self.assertEqual(assigned.under_replicated, ())
        holders = {endpoint.name: 0 for endpoint in endpoints_of(count, zones)}
        for names in assigned.endpoints_by_balancer.values():
            self.assertLessEqual(len(names), SMALL.nodes)
            self.assertEqual(len(set(names)), len(names))
            for name in names:
                holders[name] += 1
        self.assertGreaterEqual(min(holders.values()), SMALL.holders)
        self.assertLessEqual(max(holders.values()), SMALL.max_holders)

    def test_subsets_are_balanced_and_cover_each_zone(self):
        roomy = Subset(nodes=200, holders=4, max_holders=8, zone_nodes=4)
        assigned = assign_subsets("s", balancer_names(40), endpoints_of(1500, 6), roomy)
        sizes = [len(names) for names in assigned.endpoints_by_balancer.values()]
        mean = 1500 * 4 / 40
        self.assertLessEqual(max(sizes), mean * 5 / 4 + 1)
        self.assertGreaterEqual(min(sizes), mean * 3 / 4)
        zone_of = {endpoint.name: endpoint.zone for endpoint in endpoints_of(1500, 6)}
        for names in assigned.endpoints_by_balancer.values():
            for zone in range(6):
                self.assertGreaterEqual(sum(1 for name in names if zone_of[name] == f"z{zone}"), 4)

    def test_small_zone_is_filled_up(self):
        endpoints = [Endpoint(f"n{index}", "r", "b" if index < 6 else "a") for index in range(100)]
        assigned = assign_subsets("s", balancer_names(18), endpoints, SMALL)
        small_zone = [f"n{index}" for index in range(6)]
        counts = [sum(1 for name in names if name in small_zone) for names in assigned.endpoints_by_balancer.values()]
        self.assertGreaterEqual(sorted(counts)[len(counts) // 2], 2)
        self.assertLessEqual(
            max(sum(name in names for names in assigned.endpoints_by_balancer.values()) for name in small_zone), 6
        )

    def test_new_endpoint_or_balancer_moves_its_own_share(self):
        before = assign_subsets("s", balancer_names(40), endpoints_of(600), SMALL)
        self.assertTrue(
            before.under_replicated
        )  # 40 balancers of 20 endpoints cannot hold 3 copies of 600: the result lists the rest
        roomy = Subset(nodes=100, holders=3, max_holders=6, zone_nodes=2)
        before = assign_subsets("s", balancer_names(40), endpoints_of(600), roomy).endpoints_by_balancer
        with_endpoint = assign_subsets("s", balancer_names(40), endpoints_of(601), roomy).endpoints_by_balancer
        self.assertLessEqual(sum(len(set(before[name]) ^ set(with_endpoint[name])) for name in before), 15)
        with_balancer = assign_subsets("s", balancer_names(41), endpoints_of(600), roomy).endpoints_by_balancer
        moves = sum(len(set(before[name]) ^ set(with_balancer[name])) for name in before)
        self.assertLessEqual(moves, 3 * len(with_balancer["m40"]))

    def test_small_service_is_held_completely(self):
        assigned = assign_subsets("s", balancer_names(6), endpoints_of(20), SMALL)
        self.assertEqual({len(names) for names in assigned.endpoints_by_balancer.values()}, {20})
        self.assertEqual(assign_subsets("s", ["m0"], endpoints_of(1), SMALL).under_replicated, ("n0",))
        self.assertEqual(assign_subsets("s", [], endpoints_of(30), SMALL).endpoints_by_balancer, {})

    def test_order_of_rows_does_not_matter(self):
        ascending = assign_subsets("s", balancer_names(30), endpoints_of(150), SMALL)
        descending = assign_subsets("s", balancer_names(30)[::-1], endpoints_of(150)[::-1], SMALL)
        self.assertEqual(ascending, descending)
