"""One marshal's scope: make before break, whatever is late, doubled, lost or of another life."""

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

SETTINGS = Settings()
SERVICE = Service("s", 4)


def fleet(count):
    return [Balancer(f"m{index}", f"r{index % 2}", f"z{index % 3}") for index in range(count)]


def view(version, balancers, services=(SERVICE,)):
    return make_view(version, list(balancers), list(services))


@functools.cache
def mover():
    """A marshal that takes a assignment of the service in a fleet of 30, the one that loses it, and the holders then."""
    before = fleet(30)
    old = place_services(view(1, before), SETTINGS).holders["s"]
    for index in range(200):
        new = Balancer(f"new{index}", "r0", "z0")
        now = place_services(view(2, [*before, new]), SETTINGS).holders["s"]
        if new.name in now:
            (loser,) = set(old) - set(now)
            return new, loser, now
    raise AssertionError("nobody")


def serving(name, seen, session=1):
    """A scope that serves what the view places on it."""
    handover = SubsetHandover(name, SETTINGS)
    handover.lease_renewed(session, 10**9)
    for effect in handover.full_view_received(seen, 0):
        if isinstance(effect, LoadService):
            handover.service_loaded(effect.service)
    return handover


class HandoverTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30)
        self.new, self.loser, self.now = mover()
        self.first, self.second = view(1, self.rows), view(2, [*self.rows, self.new])
        self.change = diff_views(self.first, self.second)
        self.handover = serving(self.loser, self.first)

    def answers(self, version=2, session=1, but=()):
        return [HandoverAck(name, self.loser, "s", version, session) for name in self.now if name not in but]

    def test_drains_only_after_all_have_acknowledged(self):
        queries = self.handover.view_change_received(self.change, 0)
        self.assertEqual({(one.to, one.version) for one in queries}, {(name, 2) for name in self.now})
        for ack in self.answers(but=[self.new.name]):
            self.assertEqual(self.handover.ack_received(ack, 10), [])
        self.assertEqual(self.handover.serving, {"s"})
        last = HandoverAck(self.new.name, self.loser, "s", 2, 1)
        self.assertEqual(self.handover.ack_received(last, 20), [DrainService("s")])
        self.assertEqual((self.handover.serving, self.handover.held_services), (set(), {"s"}))
        self.assertEqual(self.handover.ack_received(last, 21), [])  # doubled
        self.assertEqual(self.handover.service_idle("s"), [UnloadService("s")])
        self.assertEqual(self.handover.service_idle("s"), [])
        self.assertEqual(self.handover.held_services, set())

    def test_queries_silent_holders_again(self):
        self.handover.view_change_received(self.change, 0)
        for ack in self.answers(but=[self.new.name]):
            self.handover.ack_received(ack, 10)
        self.assertEqual(self.handover.tick(999), [])
        self.assertEqual(self.handover.tick(1000), [HandoverQuery(self.loser, self.new.name, "s", 2)])

    def test_acks_of_an_earlier_version_or_session_do_not_count(self):
        rows = [Balancer(one.name, one.region, one.zone, 1, 2) for one in [*self.rows, self.new]]
        self.handover.full_view_received(view(3, rows), 0)
        for version, session in ((2, 2), (3, 1)):
            for ack in self.answers(version, session):
                self.assertEqual(self.handover.ack_received(ack, 0), [])
        effects = [self.handover.ack_received(ack, 0) for ack in self.answers(3, 2)]
        self.assertEqual(effects[-1], [DrainService("s")])

    def test_acks_do_not_outlast_a_missed_version(self):
        """In a version between, one that answered may have let go."""
        self.handover.view_change_received(self.change, 0)
        for ack in self.answers(but=[self.new.name]):
            self.handover.ack_received(ack, 0)
        self.handover.full_view_received(view(4, [*self.rows, self.new]), 0)
        self.assertEqual(self.handover.ack_received(HandoverAck(self.new.name, self.loser, "s", 4, 1), 0), [])
        self.assertEqual(self.handover.serving, {"s"})

    def test_acks_outlast_a_version_that_changed_nothing_here(self):
        self.handover.view_change_received(self.change, 0)
        for ack in self.answers(but=[self.new.name]):
            self.handover.ack_received(ack, 0)
        third = view(3, [*self.rows, self.new], [SERVICE, Service("other", 1)])
        self.handover.view_change_received(diff_views(self.second, third), 0)
        self.assertIn(
            DrainService("s"), self.handover.ack_received(HandoverAck(self.new.name, self.loser, "s", 2, 1), 0)
        )

    def test_balancers_with_views_one_change_apart(self):
        """Who has the older view does not answer for the newer one; who has the newer one answers for both."""
        holder = next(name for name in self.now if name != self.new.name)
        older, query = serving(holder, self.first), HandoverQuery(self.loser, holder, "s", 2)
        self.assertEqual(older.query_received(query, 0), [])
        older.view_change_received(self.change, 0)
        self.assertEqual(older.query_received(query, 0), [HandoverAck(holder, self.loser, "s", 2, 1)])
        self.assertEqual(
            older.query_received(HandoverQuery(self.loser, holder, "s", 1), 0),
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

    def test_reverted_while_waiting_and_while_draining(self):
        self.handover.view_change_received(self.change, 0)
        third = view(3, self.rows)
        self.assertEqual(self.handover.view_change_received(diff_views(self.second, third), 0), [])
        self.assertEqual(self.handover.serving, {"s"})
        handover = serving(self.loser, self.first)
        handover.view_change_received(self.change, 0)
        for ack in self.answers():
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

    def test_weights_change_during_handover(self):
        """Each version has its own holders; only the answers for the last one count."""
        self.handover.view_change_received(self.change, 0)
        heavier = [Balancer(one.name, one.region, one.zone, 3) for one in self.rows]
        third = view(3, [*heavier, self.new])
        now = place_services(third, SETTINGS).holders["s"]
        self.handover.view_change_received(diff_views(self.second, third), 0)
        for ack in self.answers():
            self.assertEqual([one for one in self.handover.ack_received(ack, 0) if isinstance(one, DrainService)], [])
        effects = [self.handover.ack_received(HandoverAck(name, self.loser, "s", 3, 1), 0) for name in now]
        self.assertEqual(effects[-1], [] if self.loser in now else [DrainService("s")])


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30)
        self.new, self.loser, self.now = mover()
        self.first, self.second = view(1, self.rows), view(2, [*self.rows, self.new])
        self.handover = serving(self.loser, self.first)

    def test_suspended_beyond_its_lease_and_resumed_with_an_old_view(self):
        self.handover.lease_renewed(1, 4_000)
        query = HandoverQuery("m9", self.loser, "s", 1)
        self.assertEqual(len(self.handover.query_received(query, 3_999)), 1)
        self.assertEqual(self.handover.query_received(query, 4_000), [])  # says nothing for itself any more
        self.assertEqual(self.handover.full_view_received(self.second, 60_000), [])  # nor lets go
        for name in self.now:
            self.assertEqual(self.handover.ack_received(HandoverAck(name, self.loser, "s", 2, 1), 60_000), [])
        self.assertEqual(self.handover.serving, {"s"})  # but serves on with what it holds
        self.assertEqual(self.handover.lease_renewed(2, 70_000), [LoadService("s")])
        self.assertEqual(self.handover.query_received(query, 60_001), [])  # until its rows are whole again
        self.handover.service_loaded("s")
        self.assertEqual(self.handover.query_received(query, 60_002), [HandoverAck(self.loser, "m9", "s", 2, 2)])
        self.assertEqual({one.to for one in self.handover.tick(61_000)}, set(self.now))

    def test_empty_fleet_releases_nothing(self):
        """All sessions ended, the keepers' trouble perhaps: who holds a service goes on."""
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
        rows, handover = fleet(9), SubsetHandover("m0", SETTINGS)
        handover.full_view_received(view(1, rows), 0)
        later = diff_views(view(2, rows), view(3, rows[1:]))
        self.assertEqual(handover.view_change_received(later, 0), [RequestFullView(1)])
        self.assertEqual(handover.view.version, 1)
        handover.full_view_received(view(3, rows[1:]), 0)
        self.assertEqual(handover.view_change_received(later, 0), [])  # doubled
        handover.full_view_received(view(2, rows), 0)  # late
        self.assertEqual(handover.view, view(3, rows[1:]))
        self.assertEqual(handover.version_announced(3), [])
        self.assertEqual(handover.version_announced(4), [RequestFullView(3)])

    def test_change_leads_from_one_view_to_the_next(self):
        old = view(1, fleet(9), [SERVICE, Service("gone", 1)])
        new = view(2, [*fleet(7), Balancer("x", "r0", "z0"), Balancer("m7", "r0", "z0", 2)], [Service("s", 9)])
        self.assertEqual(apply_change(old, diff_views(old, new)), new)


class AllAtOnceTest(unittest.TestCase):
    def test_720_services_changed_at_once(self):
        """What is new is loaded, nothing is let go of before the others have it."""
        rows = fleet(60)
        before = view(1, rows, [Service(f"s{index}", 1, 0, 0, 50) for index in range(720)])
        after = view(2, rows, [Service(f"s{index}", 1, 0, 0, 20 if index % 2 else 2000) for index in range(720)])
        roomy = Settings(caps=Caps(services=720, rpcs=100_000))
        handover = SubsetHandover("m0", roomy)
        handover.lease_renewed(1, 10**9)
        for effect in handover.full_view_received(before, 0):
            handover.service_loaded(effect.service)
        held = set(handover.serving)
        effects = handover.view_change_received(diff_views(before, after), 0)
        loads = {one.service for one in effects if isinstance(one, LoadService)}
        self.assertEqual(loads, set(place_services(after, roomy).services_of("m0")) - held)
        self.assertEqual(handover.serving, held)
        self.assertFalse([one for one in effects if isinstance(one, DrainService | UnloadService)])
        self.assertGreater(len(loads), 100)
        self.assertEqual(demand.required_balancers(Service("s", 1, 0, 0, 2000), roomy), 40)
