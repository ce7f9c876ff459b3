"""The queue, what gangs call, and the drill: who waits for whom, and that storms hold the invariants."""

import unittest

from brookreach.coordination.state_machine.application import Context, StagedChanges
from brookreach.disruption import commands, permit_requests, permits, tables
from brookreach.disruption.targets import MS_PER_URGENCY as STEP
from brookreach.simulation.disruption import drill
from brookreach.simulation.disruption.fleet_drain import drain_time_ratios
from tests.disruption.fleet import FleetTestCase


class QueueTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        for at in range(8):
            self.report_node(f"n{at}", zone="ab"[at % 2], service="st"[at // 4])

    def granted_permits(self):
        return sorted(name for name, row in self.group.view.rows(tables.PERMITS) if row.state == "given")

    def test_urgency_precedes_age_within_the_stated_bound(self):
        self.set_budgets(all=1)
        self.request_drain("first", "n0")
        self.request_drain("old", "n2", urgency=0)
        self.now += 9 * STEP - 3  # an ask of urgency 9 so much later still ranks before, one a little later behind
        self.request_drain("new", "n4", urgency=9)
        self.now += 4
        self.request_drain("newer", "n6", urgency=9)
        order = []
        for node in ("n0", "n4", "n2"):
            self.restart_node(node)
            order += self.granted_permits()
        self.assertEqual(order, ["new", "old", "newer"])

    def test_request_blocked_in_its_zone_does_not_block_others(self):
        self.set_budgets(all=2, zone_a=1)
        for name, node in (("a0", "n0"), ("a1", "n2"), ("b0", "n1")):
            self.request_drain(name, node)
        self.assertEqual(self.granted_permits(), ["a0", "b0"])

    def test_starving_request_reserves_a_place(self):
        """It needs zone a and service s. Others hold the one or the other by turns, for ever."""
        self.set_budgets(all=4, zone_a=1, service_s=1)
        self.request_drain("s", "n1")  # zone b, service s
        self.request_drain("victim", "n0")  # zone a, service s
        self.now += 2 * STEP
        self.request_drain("a", "n4")  # zone a, service t: passes, for what blocks the victim was there before it
        self.assertEqual(self.granted_permits(), ["a", "s"])
        self.request_drain("s2", "n3")
        self.restart_node("n1")  # service s is free, zone a is held by a later one: the place in s is the victim's
        self.assertEqual(self.granted_permits(), ["a"])
        self.request_drain("b", "n5")  # zone b, service t: in no scope of its but all, where there is room for both
        self.assertEqual(self.granted_permits(), ["a", "b"])
        self.restart_node("n4")
        self.assertEqual(self.granted_permits(), ["b", "victim"])

    def test_reservation_ignores_overdue_permits(self):
        self.set_budgets(all=4, zone_a=1, service_s=1)
        self.request_drain("s", "n1")
        self.request_drain("victim", "n0")
        self.now += 2 * STEP
        self.request_drain("a", "n4")
        self.request_drain("s2", "n3")
        self.restart_node("n1")
        self.end_session("n4")
        self.assertEqual(self.granted_permits(), ["a"])
        self.group.advance_time(self.now + permits.OVERDUE_AFTER_MS)
        self.assertEqual(self.granted_permits(), ["a", "s2"])

    def test_fleet_drains_within_the_bound_zone_by_zone(self):
        self.assertLess(max(drain_time_ratios(seed, 120).until_returned for seed in (1, 2)), 1.2)

    def test_cost_of_a_record_grows_by_queues_and_not_by_entries(self):
        for at in range(8, 200):
            self.report_node(f"n{at}", zone="ab"[at % 2], service="st"[at // 4 % 2])
        self.set_budgets(all=3, zone_a=2)
        for at in range(200):
            self.request_drain(f"d{at}", f"n{at}")
        read, rows_of = [], self.group.view.iterate

        def counted(table, prefix=""):
            for one in rows_of(table, prefix):
                read.append(table)
                yield one

        self.group.view.iterate = counted
        self.restart_node("n1")
        self.assertLess(len(read), 40)
        self.assertEqual(len(self.granted_permits()), 3)


class CallsTest(FleetTestCase):
    """What gang scheduling calls within its own records."""

    def setUp(self):
        super().setUp()
        for at in range(4):
            self.report_node(f"n{at}")
        self.set_budgets(all=2)
        self.context = Context(900, self.now, "ann", "operator", 1)

    def test_migrations_of_a_gang_are_granted_together_or_not_at_all(self):
        draft = StagedChanges(self.group.view)
        three = {f"gangs:g:{at}": f"n{at}" for at in range(3)}
        self.assertFalse(permit_requests.request_all(draft, self.context, "move", three, 5, ""))
        self.assertEqual(draft.updates(), [])
        two = dict(list(three.items())[:2])
        self.assertTrue(permit_requests.request_all(draft, self.context, "move", two, 5, ""))
        self.assertEqual(permits.find_granted(draft, "gangs:g:0").fence, 900)
        self.assertEqual(
            permit_requests.request(draft, self.context, "gangs:g:2", "move", "n2", 5, "").state, "waiting"
        )
        permit_requests.complete_migration(draft, self.context, "gangs:g:0")
        self.assertIsNotNone(permits.find_granted(draft, "gangs:g:2"))

    def test_operators_can_not_withdraw_migrations_nor_gangs_complete_drains(self):
        draft = StagedChanges(self.group.view)
        permit_requests.request(draft, self.context, "gangs:g:0", "move", "n0", 5, "")
        permit_requests.request(draft, self.context, "d", "drain", "n1", 5, "")
        with self.assertRaisesRegex(Exception, "seen ready and warm"):
            permit_requests.complete_migration(draft, self.context, "d")
        self.group.view.apply_updates(draft.updates())
        self.assertIn("its gang takes it back", self.send(commands.WithdrawPermit("gangs:g:0", "")))


class DrillTest(unittest.TestCase):
    def test_storms_hold_all_invariants_and_are_reproducible(self):
        first, again = drill.run(1, 3), drill.run(1, 3)
        self.assertEqual(first.text(), again.text())
        self.assertTrue(first.good, first.text())
        self.assertGreater(first.figures["permits given"], 10)

    def test_injected_defects_are_found(self):
        for plant in ("any-fence", "old-life-is-back"):
            with self.subTest(plant=plant):
                self.assertFalse(drill.run(1, 60, plant).good)
