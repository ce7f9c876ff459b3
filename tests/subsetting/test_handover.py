"""One balancer's handover is make-before-break despite late, repeated, lost or outdated messages."""

import functools
import unittest

from brookreach.subsetting import demand
from brookreach.subsetting.effects import (
    DrainService,
    HandoverAck,
    HandoverQuery,
    LoadService,
    RequestFullView,
    UnloadService,
)
from brookreach.subsetting.fleet_view import Balancer, Service, apply_change, diff_views, make_view
from brookreach.subsetting.full_placement import place_services
from brookreach.subsetting.handover import SubsetHandover
from brookreach.subsetting.settings import Caps, Settings
from tests.subsetting.harness import fleet

SETTINGS = Settings()
SERVICE = Service("s", 4)


def view(version, balancers, services=(SERVICE,)):
    return make_view(version, list(balancers), list(services))


@functools.cache
def find_handover():
    """Returns a balancer that acquires the service on joining a fleet of 30, the one that loses it, and the holders."""
    before = fleet(30, zones=3)
    old = place_services(view(1, before), SETTINGS).holders["s"]
    for index in range(200):
        new = Balancer(f"new{index}", "r0", "z0")
        holders = place_services(view(2, [*before, new]), SETTINGS).holders["s"]
        if new.name in holders:
            (loser,) = set(old) - set(holders)
            return new, loser, holders
    raise AssertionError("no joining balancer acquires the service")


def serving(name, current_view, session=1):
    """Returns the handover of a balancer that serves the services which the view places on it."""
    handover = SubsetHandover(name, SETTINGS)
    handover.lease_renewed(session, 10**9)
    for effect in handover.full_view_received(current_view, 0):
        if isinstance(effect, LoadService):
            handover.service_loaded(effect.service)
    return handover


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30, zones=3)
        self.new, self.loser, self.holders = find_handover()
        self.first = view(1, self.rows)
        self.second = view(2, [*self.rows, self.new])
        self.change = diff_views(self.first, self.second)
        self.handover = serving(self.loser, self.first)

    def acks(self, version=2, session=1, excluded=()):
        return [HandoverAck(name, self.loser, "s", version, session) for name in self.holders if name not in excluded]

    def test_drains_only_after_all_have_acknowledged(self):
        queries = self.handover.view_change_received(self.change, 0)
        self.assertEqual({(query.to, query.version) for query in queries}, {(name, 2) for name in self.holders})
        for ack in self.acks(excluded=[self.new.name]):
            self.assertEqual(self.handover.ack_received(ack, 10), [])
        self.assertEqual(self.handover.serving, {"s"})
        last = HandoverAck(self.new.name, self.loser, "s", 2, 1)
        self.assertEqual(self.handover.ack_received(last, 20), [DrainService("s")])
        self.assertEqual((self.handover.serving, self.handover.held_services), (set(), {"s"}))
        self.assertEqual(self.handover.ack_received(last, 21), [])  # duplicate
        self.assertEqual(self.handover.service_idle("s"), [UnloadService("s")])
        self.assertEqual(self.handover.service_idle("s"), [])
        self.assertEqual(self.handover.held_services, set())

    def test_queries_silent_holders_again(self):
        self.handover.view_change_received(self.change, 0)
        for ack in self.acks(excluded=[self.new.name]):
            self.handover.ack_received(ack, 10)
        self.assertEqual(self.handover.tick(999), [])
        self.assertEqual(self.handover.tick(1000), [HandoverQuery(self.loser, self.new.name, "s", 2)])

    def test_acks_of_an_earlier_version_or_session_do_not_count(self):
        rows = [Balancer(row.name, row.region, row.zone, 1, 2) for row in [*self.rows, self.new]]
        self.handover.full_view_received(view(3, rows), 0)
        for version, session in ((2, 2), (3, 1)):
            for ack in self.acks(version, session):
                self.assertEqual(self.handover.ack_received(ack, 0), [])
        effects = [self.handover.ack_received(ack, 0) for ack in self.acks(3, 2)]
        self.assertEqual(effects[-1], [DrainService("s")])

    def test_acks_do_not_outlast_a_missed_version(self):
        """A holder that acknowledged may have released the service under the version in between."""
        self.handover.view_change_received(self.change, 0)
        for ack in self.acks(excluded=[self.new.name]):
            self.handover.ack_received(ack, 0)
        self.handover.full_view_received(view(4, [*self.rows, self.new]), 0)
        self.assertEqual(self.handover.ack_received(HandoverAck(self.new.name, self.loser, "s", 4, 1), 0), [])
        self.assertEqual(self.handover.serving, {"s"})

    def test_acks_outlast_a_version_that_changed_nothing_here(self):
        self.handover.view_change_received(self.change, 0)
        for ack in self.acks(excluded=[self.new.name]):
            self.handover.ack_received(ack, 0)
        third = view(3, [*self.rows, self.new], [SERVICE, Service("other", 1)])
        self.handover.view_change_received(diff_views(self.second, third), 0)
        self.assertIn(
            DrainService("s"), self.handover.ack_received(HandoverAck(self.new.name, self.loser, "s", 2, 1), 0)
        )

    def test_holder_with_an_older_view_does_not_acknowledge(self):
        """A holder does not acknowledge a version newer than its view; it acknowledges its own and earlier ones."""
        holder = next(name for name in self.holders if name != self.new.name)
        handover = serving(holder, self.first)
        query = HandoverQuery(self.loser, holder, "s", 2)
        self.assertEqual(handover.query_received(query, 0), [])
        handover.view_change_received(self.change, 0)
        self.assertEqual(handover.query_received(query, 0), [HandoverAck(holder, self.loser, "s", 2, 1)])
        self.assertEqual(
            handover.query_received(HandoverQuery(self.loser, holder, "s", 1), 0),
            [HandoverAck(holder, self.loser, "s", 2, 1)],
        )

    def test_new_holder_acknowledges_only_once_loaded(self):
        new = SubsetHandover(self.new.name, SETTINGS)
        new.lease_renewed(1, 10**9)
        query = HandoverQuery(self.loser, self.new.name, "s", 2)
        self.assertEqual(new.full_view_received(self.second, 0), [LoadService("s")])
        self.assertEqual(new.query_received(query, 0), [])
        new.service_loaded("s")
        self.assertEqual(new.query_received(query, 0), [HandoverAck(self.new.name, self.loser, "s", 2, 1)])

    def test_reverted_placement_keeps_service_while_waiting_and_while_draining(self):
        self.handover.view_change_received(self.change, 0)
        third = view(3, self.rows)
        self.assertEqual(self.handover.view_change_received(diff_views(self.second, third), 0), [])
        self.assertEqual(self.handover.serving, {"s"})
        handover = serving(self.loser, self.first)
        handover.view_change_received(self.change, 0)
        for ack in self.acks():
            handover.ack_received(ack, 0)
        self.assertEqual(handover.serving, set())
        self.assertEqual(handover.view_change_received(diff_views(self.second, third), 0), [])
        self.assertEqual(handover.serving, {"s"})
        self.assertEqual(handover.service_idle("s"), [])

    def test_new_holder_that_is_removed_again_unloads_at_once(self):
        new = SubsetHandover(self.new.name, SETTINGS)
        new.lease_renewed(1, 10**9)
        new.full_view_received(self.second, 0)
        self.assertEqual(new.full_view_received(view(3, self.rows), 0), [UnloadService("s")])
        self.assertEqual(new.service_loaded("s"), [])
        self.assertEqual(new.serving, set())

    def test_only_acks_of_the_latest_version_count_when_weights_change(self):
        """Each version has its own holders; only acknowledgements of the latest version count."""
        self.handover.view_change_received(self.change, 0)
        heavier = [Balancer(row.name, row.region, row.zone, 3) for row in self.rows]
        third = view(3, [*heavier, self.new])
        holders = place_services(third, SETTINGS).holders["s"]
        self.handover.view_change_received(diff_views(self.second, third), 0)
        for ack in self.acks():
            effects = self.handover.ack_received(ack, 0)
            self.assertEqual([effect for effect in effects if isinstance(effect, DrainService)], [])
        effects = [self.handover.ack_received(HandoverAck(name, self.loser, "s", 3, 1), 0) for name in holders]
        self.assertEqual(effects[-1], [] if self.loser in holders else [DrainService("s")])


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30, zones=3)
        self.new, self.loser, self.holders = find_handover()
        self.first = view(1, self.rows)
        self.second = view(2, [*self.rows, self.new])
        self.handover = serving(self.loser, self.first)

    def test_suspended_beyond_its_lease_and_resumed_with_an_old_view(self):
        self.handover.lease_renewed(1, 4_000)
        query = HandoverQuery("m9", self.loser, "s", 1)
        self.assertEqual(len(self.handover.query_received(query, 3_999)), 1)
        self.assertEqual(self.handover.query_received(query, 4_000), [])  # no acknowledgement without a lease
        self.assertEqual(self.handover.full_view_received(self.second, 60_000), [])  # and no release either
        for name in self.holders:
            self.assertEqual(self.handover.ack_received(HandoverAck(name, self.loser, "s", 2, 1), 60_000), [])
        self.assertEqual(self.handover.serving, {"s"})  # still serves with the rows it holds
        self.assertEqual(self.handover.lease_renewed(2, 70_000), [LoadService("s")])
        self.assertEqual(self.handover.query_received(query, 60_001), [])  # until its rows are reloaded
        self.handover.service_loaded("s")
        self.assertEqual(self.handover.query_received(query, 60_002), [HandoverAck(self.loser, "m9", "s", 2, 2)])
        self.assertEqual({query.to for query in self.handover.tick(61_000)}, set(self.holders))

    def test_empty_fleet_releases_nothing(self):
        """If all sessions have ended, perhaps by a fault of the keepers, balancers keep serving what they hold."""
        self.assertEqual(self.handover.full_view_received(view(2, []), 0), [])
        self.assertEqual(self.handover.tick(10_000), [])
        self.assertEqual(self.handover.serving, {"s"})

    def test_removed_service_is_drained(self):
        self.assertEqual(self.handover.full_view_received(view(2, self.rows, []), 0), [DrainService("s")])

    def test_balancer_without_lease_releases_nothing(self):
        handover = SubsetHandover("m0", SETTINGS)
        self.assertEqual(handover.tick(0), [])
        self.assertEqual(handover.full_view_received(view(2, self.rows, []), 0), [])


class GapTest(unittest.TestCase):
    def test_gap_requests_the_full_view_and_keeps_the_present_one(self):
        rows = fleet(9, zones=3)
        handover = SubsetHandover("m0", SETTINGS)
        handover.full_view_received(view(1, rows), 0)
        later = diff_views(view(2, rows), view(3, rows[1:]))
        self.assertEqual(handover.view_change_received(later, 0), [RequestFullView(1)])
        self.assertEqual(handover.view.version, 1)
        handover.full_view_received(view(3, rows[1:]), 0)
        self.assertEqual(handover.view_change_received(later, 0), [])  # duplicate
        handover.full_view_received(view(2, rows), 0)  # late
        self.assertEqual(handover.view, view(3, rows[1:]))
        self.assertEqual(handover.version_announced(3), [])
        self.assertEqual(handover.version_announced(4), [RequestFullView(3)])

    def test_change_leads_from_one_view_to_the_next(self):
        old = view(1, fleet(9, zones=3), [SERVICE, Service("gone", 1)])
        new = view(2, [*fleet(7, zones=3), Balancer("x", "r0", "z0"), Balancer("m7", "r0", "z0", 2)], [Service("s", 9)])
        self.assertEqual(apply_change(old, diff_views(old, new)), new)


class AllAtOnceTest(unittest.TestCase):
    def test_720_services_resized_at_once_release_nothing_early(self):
        """New services are loaded at once; none is released before the other holders have acknowledged."""
        rows = fleet(60, zones=3)
        before = view(1, rows, [Service(f"s{index}", 1, 0, 0, 50) for index in range(720)])
        after = view(2, rows, [Service(f"s{index}", 1, 0, 0, 20 if index % 2 else 2000) for index in range(720)])
        roomy = Settings(caps=Caps(services=720, rpcs=100_000))
        handover = SubsetHandover("m0", roomy)
        handover.lease_renewed(1, 10**9)
        for effect in handover.full_view_received(before, 0):
            handover.service_loaded(effect.service)
        held = set(handover.serving)
        effects = handover.view_change_received(diff_views(before, after), 0)
        loads = {effect.service for effect in effects if isinstance(effect, LoadService)}
        self.assertEqual(loads, set(place_services(after, roomy).services_of("m0")) - held)
        self.assertEqual(handover.serving, held)
        self.assertFalse([effect for effect in effects if isinstance(effect, DrainService | UnloadService)])
        self.assertGreater(len(loads), 100)
        self.assertEqual(demand.required_balancers(Service("s", 1, 0, 0, 2000), roomy), 40)
