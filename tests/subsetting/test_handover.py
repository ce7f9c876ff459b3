"""One marshal's scope: make before break, whatever is late, doubled, lost or of another life."""

import functools
import unittest

from brookreach.subsetting import demand
from brookreach.subsetting.effects import Answer, AskWhole, Drain, Drop, Load, Question
from brookreach.subsetting.fleet_view import Marshal, Service, changed, difference, view_of
from brookreach.subsetting.full_placement import place
from brookreach.subsetting.handover import ScopeState
from brookreach.subsetting.settings import Caps, Settings

SETTINGS = Settings()
SERVICE = Service("s", 4)


def fleet(count):
    return [Marshal(f"m{at}", f"r{at % 2}", f"z{at % 3}") for at in range(count)]


def view(version, marshals, services=(SERVICE,)):
    return view_of(version, list(marshals), list(services))


@functools.cache
def mover():
    """A marshal that takes a assignment of the service in a fleet of 30, the one that loses it, and the holders then."""
    before = fleet(30)
    old = place(view(1, before), SETTINGS).holders["s"]
    for at in range(200):
        new = Marshal(f"new{at}", "r0", "z0")
        now = place(view(2, [*before, new]), SETTINGS).holders["s"]
        if new.name in now:
            (loser,) = set(old) - set(now)
            return new, loser, now
    raise AssertionError("nobody")


def serving(name, seen, session=1):
    """A scope that serves what the view places on it."""
    state = ScopeState(name, SETTINGS)
    state.leased(session, 10**9)
    for effect in state.heard_whole(seen, 0):
        if isinstance(effect, Load):
            state.loaded(effect.service)
    return state


class HandOverTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30)
        self.new, self.loser, self.now = mover()
        self.first, self.second = view(1, self.rows), view(2, [*self.rows, self.new])
        self.change = difference(self.first, self.second)
        self.state = serving(self.loser, self.first)

    def answers(self, version=2, session=1, but=()):
        return [Answer(name, self.loser, "s", version, session) for name in self.now if name not in but]

    def test_lets_go_only_after_all_have_answered(self):
        asked = self.state.heard_change(self.change, 0)
        self.assertEqual({(one.to, one.version) for one in asked}, {(name, 2) for name in self.now})
        for answer in self.answers(but=[self.new.name]):
            self.assertEqual(self.state.answered(answer, 10), [])
        self.assertEqual(self.state.serving, {"s"})
        last = Answer(self.new.name, self.loser, "s", 2, 1)
        self.assertEqual(self.state.answered(last, 20), [Drain("s")])
        self.assertEqual((self.state.serving, self.state.held), (set(), {"s"}))
        self.assertEqual(self.state.answered(last, 21), [])  # doubled
        self.assertEqual(self.state.idle("s"), [Drop("s")])
        self.assertEqual(self.state.idle("s"), [])
        self.assertEqual(self.state.held, set())

    def test_asks_again_those_who_are_silent(self):
        self.state.heard_change(self.change, 0)
        for answer in self.answers(but=[self.new.name]):
            self.state.answered(answer, 10)
        self.assertEqual(self.state.tick(999), [])
        self.assertEqual(self.state.tick(1000), [Question(self.loser, self.new.name, "s", 2)])

    def test_answers_of_an_earlier_version_or_life_do_not_count(self):
        rows = [Marshal(one.name, one.region, one.zone, 1, 2) for one in [*self.rows, self.new]]
        self.state.heard_whole(view(3, rows), 0)
        for version, session in ((2, 2), (3, 1)):
            for answer in self.answers(version, session):
                self.assertEqual(self.state.answered(answer, 0), [])
        said = [self.state.answered(answer, 0) for answer in self.answers(3, 2)]
        self.assertEqual(said[-1], [Drain("s")])

    def test_answers_do_not_outlast_a_version_that_was_missed(self):
        """In a version between, one that answered may have let go."""
        self.state.heard_change(self.change, 0)
        for answer in self.answers(but=[self.new.name]):
            self.state.answered(answer, 0)
        self.state.heard_whole(view(4, [*self.rows, self.new]), 0)
        self.assertEqual(self.state.answered(Answer(self.new.name, self.loser, "s", 4, 1), 0), [])
        self.assertEqual(self.state.serving, {"s"})

    def test_answers_outlast_a_version_that_changed_nothing_here(self):
        self.state.heard_change(self.change, 0)
        for answer in self.answers(but=[self.new.name]):
            self.state.answered(answer, 0)
        third = view(3, [*self.rows, self.new], [SERVICE, Service("other", 1)])
        self.state.heard_change(difference(self.second, third), 0)
        self.assertIn(Drain("s"), self.state.answered(Answer(self.new.name, self.loser, "s", 2, 1), 0))

    def test_two_with_views_one_change_apart(self):
        """Who has the older view does not answer for the newer one; who has the newer one answers for both."""
        holder = next(name for name in self.now if name != self.new.name)
        older, question = serving(holder, self.first), Question(self.loser, holder, "s", 2)
        self.assertEqual(older.asked(question, 0), [])
        older.heard_change(self.change, 0)
        self.assertEqual(older.asked(question, 0), [Answer(holder, self.loser, "s", 2, 1)])
        self.assertEqual(older.asked(Question(self.loser, holder, "s", 1), 0), [Answer(holder, self.loser, "s", 2, 1)])

    def test_the_new_one_answers_only_when_its_rows_are_whole(self):
        new = ScopeState(self.new.name, SETTINGS)
        new.leased(1, 10**9)
        question = Question(self.loser, self.new.name, "s", 2)
        self.assertEqual(new.heard_whole(self.second, 0), [Load("s")])
        self.assertEqual(new.asked(question, 0), [])
        new.loaded("s")
        self.assertEqual(new.asked(question, 0), [Answer(self.new.name, self.loser, "s", 2, 1)])

    def test_undone_while_it_waits_and_while_it_drains(self):
        self.state.heard_change(self.change, 0)
        third = view(3, self.rows)
        self.assertEqual(self.state.heard_change(difference(self.second, third), 0), [])
        self.assertEqual(self.state.serving, {"s"})
        state = serving(self.loser, self.first)
        state.heard_change(self.change, 0)
        for answer in self.answers():
            state.answered(answer, 0)
        self.assertEqual(state.serving, set())
        self.assertEqual(state.heard_change(difference(self.second, third), 0), [])
        self.assertEqual(state.serving, {"s"})
        self.assertEqual(state.idle("s"), [])

    def test_a_new_one_that_is_not_wanted_after_all_drops_at_once(self):
        new = ScopeState(self.new.name, SETTINGS)
        new.leased(1, 10**9)
        new.heard_whole(self.second, 0)
        self.assertEqual(new.heard_whole(view(3, self.rows), 0), [Drop("s")])
        self.assertEqual(new.loaded("s"), [])
        self.assertEqual(new.serving, set())

    def test_weights_that_change_under_way(self):
        """Each version has its own holders; only the answers for the last one count."""
        self.state.heard_change(self.change, 0)
        heavier = [Marshal(one.name, one.region, one.zone, 3) for one in self.rows]
        third = view(3, [*heavier, self.new])
        now = place(third, SETTINGS).holders["s"]
        self.state.heard_change(difference(self.second, third), 0)
        for answer in self.answers():
            self.assertEqual([one for one in self.state.answered(answer, 0) if isinstance(one, Drain)], [])
        said = [self.state.answered(Answer(name, self.loser, "s", 3, 1), 0) for name in now]
        self.assertEqual(said[-1], [] if self.loser in now else [Drain("s")])


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.rows = fleet(30)
        self.new, self.loser, self.now = mover()
        self.first, self.second = view(1, self.rows), view(2, [*self.rows, self.new])
        self.state = serving(self.loser, self.first)

    def test_sleeps_through_its_lease_and_wakes_with_an_old_scope(self):
        self.state.leased(1, 4_000)
        question = Question("m9", self.loser, "s", 1)
        self.assertEqual(len(self.state.asked(question, 3_999)), 1)
        self.assertEqual(self.state.asked(question, 4_000), [])  # says nothing for itself any more
        self.assertEqual(self.state.heard_whole(self.second, 60_000), [])  # nor lets go
        for name in self.now:
            self.assertEqual(self.state.answered(Answer(name, self.loser, "s", 2, 1), 60_000), [])
        self.assertEqual(self.state.serving, {"s"})  # but serves on with what it holds
        self.assertEqual(self.state.leased(2, 70_000), [Load("s")])
        self.assertEqual(self.state.asked(question, 60_001), [])  # until its rows are whole again
        self.state.loaded("s")
        self.assertEqual(self.state.asked(question, 60_002), [Answer(self.loser, "m9", "s", 2, 2)])
        self.assertEqual({one.to for one in self.state.tick(61_000)}, set(self.now))

    def test_an_empty_fleet_lets_go_of_nothing(self):
        """All sessions ended, the keepers' trouble perhaps: who holds a service goes on."""
        self.assertEqual(self.state.heard_whole(view(2, []), 0), [])
        self.assertEqual(self.state.tick(10_000), [])
        self.assertEqual(self.state.serving, {"s"})

    def test_a_service_that_is_no_longer_configured_is_let_go_of(self):
        self.assertEqual(self.state.heard_whole(view(2, self.rows, []), 0), [Drain("s")])

    def test_a_marshal_that_knows_no_lease_lets_go_of_nothing(self):
        state = ScopeState("m0", SETTINGS)
        self.assertEqual(state.tick(0), [])
        self.assertEqual(state.heard_whole(view(2, self.rows, []), 0), [])


class GapTest(unittest.TestCase):
    def test_a_gap_is_asked_for_and_the_last_good_view_stands(self):
        rows, state = fleet(9), ScopeState("m0", SETTINGS)
        state.heard_whole(view(1, rows), 0)
        later = difference(view(2, rows), view(3, rows[1:]))
        self.assertEqual(state.heard_change(later, 0), [AskWhole(1)])
        self.assertEqual(state.view.version, 1)
        state.heard_whole(view(3, rows[1:]), 0)
        self.assertEqual(state.heard_change(later, 0), [])  # doubled
        state.heard_whole(view(2, rows), 0)  # late
        self.assertEqual(state.view, view(3, rows[1:]))
        self.assertEqual(state.heard_version(3), [])
        self.assertEqual(state.heard_version(4), [AskWhole(3)])

    def test_a_change_leads_from_one_view_to_the_next(self):
        old = view(1, fleet(9), [SERVICE, Service("gone", 1)])
        new = view(2, [*fleet(7), Marshal("x", "r0", "z0"), Marshal("m7", "r0", "z0", 2)], [Service("s", 9)])
        self.assertEqual(changed(old, difference(old, new)), new)


class AllAtOnceTest(unittest.TestCase):
    def test_720_services_changed_at_once(self):
        """What is new is loaded, nothing is let go of before the others have it."""
        rows = fleet(60)
        before = view(1, rows, [Service(f"s{at}", 1, 0, 0, 50) for at in range(720)])
        after = view(2, rows, [Service(f"s{at}", 1, 0, 0, 20 if at % 2 else 2000) for at in range(720)])
        roomy = Settings(caps=Caps(services=720, rpcs=100_000))
        state = ScopeState("m0", roomy)
        state.leased(1, 10**9)
        for effect in state.heard_whole(before, 0):
            state.loaded(effect.service)
        held = set(state.serving)
        effects = state.heard_change(difference(before, after), 0)
        loads = {one.service for one in effects if isinstance(one, Load)}
        self.assertEqual(loads, set(place(after, roomy).of("m0")) - held)
        self.assertEqual(state.serving, held)
        self.assertFalse([one for one in effects if isinstance(one, Drain | Drop)])
        self.assertGreater(len(loads), 100)
        self.assertEqual(demand.wanted(Service("s", 1, 0, 0, 2000), roomy), 40)
