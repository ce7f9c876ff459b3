"""Waiting gangs and power: plans of one run, few in a record, each gang's turn comes, nobody waits without end."""

import unittest
from unittest import mock

from brookreach.carbon_aware import commands
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import HOLDS, SLOT_MS
from brookreach.coordination.state_machine.application import Context
from brookreach.gang_scheduling import carbon_placement
from brookreach.gang_scheduling.application import Gangs
from brookreach.gang_scheduling.commands import Submit
from brookreach.gang_scheduling.tables import GANGS
from tests.gang_scheduling.harness import HOUR, MINUTE, Rig

MANY, FEW = 60, 15  # names come to rounds unevenly


class PlansTest(unittest.TestCase):
    def setUp(self):
        self.rig = Rig({f"n{at}": 50 for at in range(4)})
        self.rig.piece = Gangs(self.rig.piece.permits, carbon_placement.prefer)
        self.begin = self.rig.now // HOUR * HOUR
        self.calls, self.most, real = 0, 0, carbon_placement.choose

        def counted(*words):
            self.calls += 1
            return real(*words)

        patch = mock.patch.object(carbon_placement, "choose", counted)
        patch.start()
        self.addCleanup(patch.stop)

    def agreed(self, *grams):
        spans = [("a", self.begin + at * HOUR, self.begin + (at + 1) * HOUR, one) for at, one in enumerate(grams)]
        for order in commands.parts(1, (("a", 0),), spans):
            context = Context(self.rig.index, self.rig.now, "anna", "operator", 1)
            self.rig.view.apply_updates(APPLICATION.apply(self.rig.view, order, context))

    def submit(self, name, work_ms=HOUR, hours=12):
        self.rig.say(
            "ops", "operator", Submit(name, 1, 1, work_ms, 1000, 1000, self.begin + hours * HOUR, flexible=True)
        )

    def passed(self, ms):
        """And at most how many were asked about in one record."""
        end = self.rig.now + ms
        while (due := self.rig.piece.next_timer_ms(self.rig.view)) is not None and due <= end:
            self.rig.now, self.calls = max(self.rig.now, due), 0
            self.rig.view.apply_updates(self.rig.piece.advance_time(self.rig.view, self.rig.context()))
            self.most = max(self.most, self.calls)

    def states(self):
        return {row.state for _, row in self.rig.view.rows(GANGS)}

    def holds(self):
        return dict(self.rig.view.rows(HOLDS))

    def test_one_run_even_where_two_would_be_cleaner(self):
        self.agreed(500, 500, 100, 500, 100, 500, 500, 500, 500, 500, 500, 500)
        self.submit("x", work_ms=2 * HOUR - MINUTE)
        ((zone, first, end, room),) = self.holds()["gang:x"].spans
        self.assertEqual((zone, end - first, room), ("a", 8, 1))
        self.assertEqual(self.states(), {"waiting"})

    def test_many_are_planned_in_turns_and_begin_when_it_is_clean(self):
        self.agreed(500, 500, 500, 500, 100, 100, 100, 500, 500, 500, 500, 500)
        for at in range(MANY):
            self.submit(f"g{at}")
        self.assertLess(len(self.holds()), MANY)
        self.passed(2 * MINUTE)
        self.assertEqual(len(self.holds()), MANY)
        self.assertEqual(self.states(), {"waiting"})
        self.assertLess(self.most, FEW)
        clean_slots = range((self.begin + 4 * HOUR) // SLOT_MS, (self.begin + 7 * HOUR) // SLOT_MS)
        for row in self.holds().values():
            self.assertEqual(len(row.spans), 1)
            self.assertIn(row.spans[0][1], clean_slots)
        self.rig.now = self.begin + 7 * HOUR
        self.passed(2 * MINUTE)
        self.assertNotIn("waiting", self.states())

    def test_those_that_fall_in_one_record_are_not_planned_in_it(self):
        self.agreed(*[500] * 4, *[100] * 4, *[500] * 4)
        asks, self.rig.piece = self.rig.piece, Gangs(self.rig.piece.permits)
        for at in range(MANY):
            self.submit(f"g{at}", hours=11)
        self.assertEqual(self.states(), {"placing"})
        self.rig.piece, self.rig.now = asks, self.begin + HOUR
        self.passed(5000)
        self.assertEqual(self.states(), {"waiting"})
        self.assertLess(self.most, FEW)
        self.assertGreater(self.most, 0)

    def test_one_whose_turn_does_not_come_begins_in_time(self):
        self.agreed(500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500)
        with mock.patch.object(carbon_placement, "its_turn", lambda desk, name: False):
            self.submit("x", work_ms=2 * HOUR, hours=4)
            self.assertEqual(self.states(), {"waiting"})
            self.rig.now = self.begin + 2 * HOUR
            self.passed(MINUTE)
        self.assertNotIn("waiting", self.states())


if __name__ == "__main__":
    unittest.main()
