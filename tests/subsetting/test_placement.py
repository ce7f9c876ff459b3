"""Placement depends only on view and settings, respects the caps, uses free capacity, and handles edge cases."""

import subprocess
import sys
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from brookreach.subsetting import demand, rendezvous
from brookreach.subsetting.fleet_view import Balancer, InvalidViewError, Service, make_view
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.incremental_placement import IncrementalPlacer
from brookreach.subsetting.placement import Shortfall
from brookreach.subsetting.settings import Caps, Settings, Subset
from brookreach.subsetting.zone_counts import order_zones, zone_quotas
from tests.subsetting.harness import DEFAULT_SETTINGS, TIGHT_SETTINGS, fleet, many_services, views


class AgreementTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.lists(views, min_size=1, max_size=4), st.sampled_from([DEFAULT_SETTINGS, TIGHT_SETTINGS]))
    def test_placement_does_not_depend_on_earlier_views(self, view_sequence, given_settings):
        placer = IncrementalPlacer(given_settings)
        for view in view_sequence:
            self.assertEqual(placer.update(view), place_services(view, given_settings))

    @settings(max_examples=30, deadline=None)
    @given(views, st.randoms(use_true_random=False))
    def test_order_of_rows_does_not_matter(self, view, random_source):
        balancers = list(view.balancers)
        services = list(view.services)
        random_source.shuffle(balancers)
        random_source.shuffle(services)
        self.assertEqual(
            place_services(make_view(1, balancers, services), TIGHT_SETTINGS), place_services(view, TIGHT_SETTINGS)
        )

    def test_another_hash_seed_gives_the_same_placement(self):
        code = (
            "from brookreach.subsetting.full_placement import place_services; from tests.subsetting.harness import *; "
            "print(sorted(place_services(make_view(1, fleet(30), many_services(40)), TIGHT_SETTINGS).holders.items()))"
        )
        outputs = {
            subprocess.run(
                [sys.executable, "-c", code],
                env={"PYTHONHASHSEED": seed},
                capture_output=True,
                text=True,
                timeout=60,
                check=True,
            ).stdout
            for seed in ("1", "77")
        }
        self.assertEqual(len(outputs), 1)
        self.assertIn("m", outputs.pop())

    def test_sessions_and_versions_move_nothing(self):
        view = make_view(1, fleet(30), many_services(40))
        again = make_view(9, [Balancer(m.name, m.region, m.zone, m.weight, 7) for m in fleet(30)], many_services(40))
        self.assertEqual(place_services(view, TIGHT_SETTINGS), place_services(again, TIGHT_SETTINGS))


class CoverageTest(unittest.TestCase):
    @settings(max_examples=80, deadline=None)
    @given(views)
    def test_caps_hold_and_only_full_balancers_cause_shortfalls(self, view):
        placer = IncrementalPlacer(TIGHT_SETTINGS)
        placement = placer.update(view)
        for balancer in view.balancers:
            load = placer.load(balancer.name)
            self.assertTrue(load.fits_within(demand.capacity_limit(TIGHT_SETTINGS.caps, balancer.weight)), load)
        for service in view.services:
            required = demand.required_balancers(service, TIGHT_SETTINGS)
            names = placement.holders[service.name]
            self.assertLessEqual(len(names), required)
            self.assertEqual(
                placement.shortfalls.get(service.name),
                Shortfall(required, len(names)) if len(names) < required else None,
            )
        self._check_shortfalls(view, placement)

    def _check_shortfalls(self, view, placement):
        """Balancers that do not hold a service with a shortfall lack capacity after the services placed before it."""
        order = {s.name: rendezvous.score(rendezvous.make_key("order"), s.name.encode(), 1) for s in view.services}
        loads = {s.name: demand.load_per_balancer(s, TIGHT_SETTINGS) for s in view.services}
        for name in placement.shortfalls:
            for balancer in view.balancers:
                if balancer.name in placement.holders[name]:
                    continue
                load = loads[name]
                for other, names in placement.holders.items():
                    if balancer.name in names and order[other] < order[name]:
                        load = load.add(loads[other])
                self.assertFalse(load.fits_within(demand.capacity_limit(TIGHT_SETTINGS.caps, balancer.weight)))

    @settings(max_examples=40, deadline=None)
    @given(st.integers(2, 6), st.integers(2, 5), st.integers(1, 8))
    def test_zones_differ_by_at_most_one(self, zones, zone_size, count):
        rows = [Balancer(f"m{z}-{index}", f"r{z % 2}", f"z{z}") for z in range(zones) for index in range(zone_size)]
        placement = place_services(make_view(1, rows, many_services(count)), DEFAULT_SETTINGS)
        zone_of = {row.name: row.zone for row in rows}
        for name, names in placement.holders.items():
            required = demand.required_balancers({s.name: s for s in many_services(count)}[name], DEFAULT_SETTINGS)
            if required > zones * zone_size:
                continue
            by_zone = [sum(1 for holder in names if zone_of[holder] == f"z{z}") for z in range(zones)]
            self.assertEqual(sum(by_zone), required)
            self.assertLessEqual(max(by_zone) - min(by_zone), 1)

    def test_survives_a_zone_and_any_two_balancers(self):
        """After the loss of a zone and two balancers, six holders in six zones leave three, and in two zones one."""
        for zones, min_survivors in ((6, 3), (3, 2), (2, 1)):
            placement = place_services(make_view(1, fleet(60, zones), many_services(50)), DEFAULT_SETTINGS)
            zone_of = {row.name: row.zone for row in fleet(60, zones)}
            for names in placement.holders.values():
                for zone in set(zone_of.values()):
                    survivors = [holder for holder in names if zone_of[holder] != zone]
                    self.assertGreaterEqual(len(survivors) - 2, min_survivors)

    def test_both_regions_hold_every_service(self):
        rows = [
            Balancer(f"m{index}", "east" if index < 50 else "west", f"z{index % 10 if index < 50 else 'w'}")
            for index in range(60)
        ]
        placement = place_services(make_view(1, rows, many_services(40)), DEFAULT_SETTINGS)
        for names in placement.holders.values():
            self.assertTrue(any(int(name[1:]) >= 50 for name in names), names)

    def test_zones_alternate_between_regions(self):
        zones = [("east", "a"), ("east", "b"), ("east", "c"), ("west", "d")]
        order = order_zones("s", zones)
        self.assertEqual({region for region, _ in order[:2]}, {"east", "west"})
        self.assertEqual(sorted(order), zones)
        self.assertEqual(zone_quotas(order, 9, dict.fromkeys(zones, 2)), dict.fromkeys(zones, 2))
        self.assertEqual(zone_quotas(order, 0, dict.fromkeys(zones, 2)), dict.fromkeys(zones, 0))


class EdgeCaseTest(unittest.TestCase):
    def test_views_without_balancers_or_services(self):
        empty = place_services(make_view(0, [], []), DEFAULT_SETTINGS)
        self.assertEqual((dict(empty.holders), dict(empty.shortfalls)), ({}, {}))
        self.assertEqual(place_services(make_view(1, fleet(3), []), DEFAULT_SETTINGS).services_of("m0"), ())
        unplaced = place_services(make_view(1, [], [Service("s", 4)]), DEFAULT_SETTINGS)
        self.assertEqual((dict(unplaced.holders), dict(unplaced.shortfalls)), ({"s": ()}, {"s": Shortfall(6, 0)}))

    def test_single_balancer(self):
        placement = place_services(make_view(1, fleet(1), [Service("s", 4)]), DEFAULT_SETTINGS)
        self.assertEqual((placement.holders["s"], placement.shortfalls["s"]), (("m0",), Shortfall(6, 1)))

    def test_service_with_one_node_has_as_many_balancers_as_another(self):
        placement = place_services(make_view(1, fleet(60), [Service("s", 1)]), DEFAULT_SETTINGS)
        self.assertEqual(len(placement.holders["s"]), 6)

    def test_service_with_more_nodes_than_a_balancer_may_hold(self):
        small_caps = Settings(caps=Caps(nodes=50), subset=Subset(nodes=40, holders=3))
        service = Service("s", 400)
        placer = IncrementalPlacer(small_caps)
        placement = placer.update(make_view(1, fleet(60), [service]))
        self.assertEqual(len(placement.holders["s"]), demand.required_balancers(service, small_caps))
        self.assertGreaterEqual(len(placement.holders["s"]) * 40, 400 * 3)
        self.assertTrue(all(placer.load(name).nodes <= 40 for name in placement.holders["s"]))

    def test_changing_all_services_at_once_equals_full_placement(self):
        placer = IncrementalPlacer(TIGHT_SETTINGS)
        placer.update(make_view(1, fleet(60), many_services(72)))
        changed = many_services(72, seed=2)
        self.assertEqual(
            placer.update(make_view(2, fleet(60), changed)),
            place_services(make_view(2, fleet(60), changed), TIGHT_SETTINGS),
        )

    def test_invalid_view_is_rejected_with_name_and_value(self):
        with self.assertRaisesRegex(InvalidViewError, "marshal 'm0' occurs 2 times; once is allowed"):
            make_view(1, fleet(1) * 2, [])
        with self.assertRaisesRegex(InvalidViewError, "marshal 'm': weight is 0; 1 or more is allowed"):
            make_view(1, [Balancer("m", "r", "z", 0)], [])
        with self.assertRaisesRegex(InvalidViewError, "service 's': a size is -1; 0 or more is allowed"):
            make_view(1, [], [Service("s", 3, -1)])
