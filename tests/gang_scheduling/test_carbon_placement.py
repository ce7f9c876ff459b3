"""Flexible gangs that wait: plans of one run, few in a record, in turns; none waits without end."""

import unittest
from unittest import mock

from brookreach.carbon_aware import commands
from brookreach.carbon_aware.application import APPLICATION
from brookreach.carbon_aware.tables import RESERVATIONS, SLOT_MS
from brookreach.coordination.state_machine.application import Context
from brookreach.gang_scheduling import carbon_placement
from brookreach.gang_scheduling.application import GangSchedulingApplication
from brookreach.gang_scheduling.commands import SubmitGang
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.tables import GANGS
from tests.gang_scheduling.harness import HOUR_MS, MINUTE_MS, Harness

MANY, FEW = 60, 15  # names come to rounds unevenly


class CarbonPlacementTest(unittest.TestCase):
    def setUp(self):
        self.harness = Harness({f"n{at}": 50 for at in range(4)})
        self.harness.application = GangSchedulingApplication(self.harness.application.permits, carbon_placement.prefer)
        self.start_ms = self.harness.now_ms // HOUR_MS * HOUR_MS
        self.calls, self.max_calls, real = 0, 0, carbon_placement.choose_placement

        def counted(*arguments):
            self.calls += 1
            return real(*arguments)

        patch = mock.patch.object(carbon_placement, "choose_placement", counted)
        patch.start()
        self.addCleanup(patch.stop)

    def agree_on_schedule(self, *grams):
        spans = [
            ("a", self.start_ms + at * HOUR_MS, self.start_ms + (at + 1) * HOUR_MS, one) for at, one in enumerate(grams)
        ]
        for order in commands.upload_commands(1, (("a", 0),), spans):
            context = Context(self.harness.log_index, self.harness.now_ms, "anna", "operator", 1)
            self.harness.view.apply_updates(APPLICATION.apply(self.harness.view, order, context))

    def submit(self, name, work_ms=HOUR_MS, hours=12):
        self.harness.propose(
            "ops",
            "operator",
            SubmitGang(name, 1, 1, work_ms, 1000, 1000, self.start_ms + hours * HOUR_MS, flexible=True),
        )

    def advance(self, duration_ms):
        """Also notes the most plans that were made in one record."""
        end = self.harness.now_ms + duration_ms
        while (due := self.harness.application.next_timer_ms(self.harness.view)) is not None and due <= end:
            self.harness.now_ms, self.calls = max(self.harness.now_ms, due), 0
            self.harness.view.apply_updates(
                self.harness.application.advance_time(self.harness.view, self.harness.next_context())
            )
            self.max_calls = max(self.max_calls, self.calls)

    def states(self):
        return {row.state for _, row in self.harness.view.rows(GANGS)}

    def reservations(self):
        return dict(self.harness.view.rows(RESERVATIONS))

    def test_one_run_is_planned_even_where_two_would_be_cleaner(self):
        self.agree_on_schedule(500, 500, 100, 500, 100, 500, 500, 500, 500, 500, 500, 500)
        self.submit("x", work_ms=2 * HOUR_MS - MINUTE_MS)
        ((zone, first, end, room),) = self.reservations()["gang:x"].intervals
        self.assertEqual((zone, end - first, room), ("a", 8, 1))
        self.assertEqual(self.states(), {GangState.WAITING})

    def test_many_gangs_are_planned_in_turns_and_start_in_clean_slots(self):
        self.agree_on_schedule(500, 500, 500, 500, 100, 100, 100, 500, 500, 500, 500, 500)
        for at in range(MANY):
            self.submit(f"g{at}")
        self.assertLess(len(self.reservations()), MANY)
        self.advance(2 * MINUTE_MS)
        self.assertEqual(len(self.reservations()), MANY)
        self.assertEqual(self.states(), {GangState.WAITING})
        self.assertLess(self.max_calls, FEW)
        clean_slots = range((self.start_ms + 4 * HOUR_MS) // SLOT_MS, (self.start_ms + 7 * HOUR_MS) // SLOT_MS)
        for row in self.reservations().values():
            self.assertEqual(len(row.intervals), 1)
            self.assertIn(row.intervals[0][1], clean_slots)
        self.harness.now_ms = self.start_ms + 7 * HOUR_MS
        self.advance(2 * MINUTE_MS)
        self.assertNotIn(GangState.WAITING, self.states())

    def test_gangs_that_fail_in_one_record_are_not_planned_in_it(self):
        self.agree_on_schedule(*[500] * 4, *[100] * 4, *[500] * 4)
        asks, self.harness.application = (
            self.harness.application,
            GangSchedulingApplication(self.harness.application.permits),
        )
        for at in range(MANY):
            self.submit(f"g{at}", hours=11)
        self.assertEqual(self.states(), {GangState.PLACING})
        self.harness.application, self.harness.now_ms = asks, self.start_ms + HOUR_MS
        self.advance(5000)
        self.assertEqual(self.states(), {GangState.WAITING})
        self.assertLess(self.max_calls, FEW)
        self.assertGreater(self.max_calls, 0)

    def test_gang_whose_turn_does_not_come_starts_in_time(self):
        self.agree_on_schedule(500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500, 500)
        with mock.patch.object(carbon_placement, "is_turn_of", lambda transaction, name: False):
            self.submit("x", work_ms=2 * HOUR_MS, hours=4)
            self.assertEqual(self.states(), {GangState.WAITING})
            self.harness.now_ms = self.start_ms + 2 * HOUR_MS
            self.advance(MINUTE_MS)
        self.assertNotIn(GangState.WAITING, self.states())


if __name__ == "__main__":
    unittest.main()
