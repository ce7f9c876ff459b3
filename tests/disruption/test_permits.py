"""Permits and budgets: what may go, when it is over, and what counts before it."""

import random

from brookreach.disruption import commands, internal_tables, permits, tables
from tests.disruption.fleet import FleetTestCase


class PermitsTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        for at in range(4):
            self.report_node(f"n{at}", zone="ab"[at % 2])
        self.set_budgets(all=1)

    def test_a_permit_ends_when_its_node_is_back_in_a_later_life_ready_and_warm(self):
        self.request_drain("d", "n0")
        permit = permits.find_granted(self.group.view, "d")
        self.assertEqual((permit.incarnation, permit.fence), (1, self.group.index))
        for standing in ("draining", "down", "ready"):  # ready in the life that was to go: it may go yet
            self.report_node("n0", standing)
            self.assertEqual(self.permit_state("d"), "given")
        self.report_node("n0", "cold", incarnation=2)
        self.report_node("n0", "ready", warm=False)
        self.assertEqual(self.permit_state("d"), "returning")
        self.report_node("n0", "ready")
        self.assertEqual(self.permit_state("d"), "ended")

    def test_no_time_and_no_session_s_end_ends_a_permit(self):
        self.request_drain("d", "n0")
        self.end_session("n0")
        self.now += 10 * permits.OVERDUE_AFTER_MS
        self.request_drain("e", "n1")
        self.assertEqual((self.permit_state("d"), self.permit_state("e")), ("given", "waiting"))
        self.assertTrue(self.row(tables.PERMITS, "d").overdue)
        self.assertEqual(
            self.row(internal_tables.COUNTS, "node/all"), internal_tables.CountRow(4, 1)
        )  # once, though down and away
        self.restart_node("n0")
        self.assertEqual((self.permit_state("d"), self.permit_state("e")), ("ended", "given"))

    def test_taken_back_it_ends_in_the_same_life_only_by_an_agent_that_heard_of_it(self):
        self.request_drain("d", "n0")
        before = self.group.index
        self.send(commands.WithdrawPermit("d", "not now"))
        self.report_node("n0", applied_index=before)  # it was said on its way here, and may yet be followed by going
        self.assertEqual(self.permit_state("d"), "returning")
        self.assertIn("on its way back already", self.send(commands.WithdrawPermit("d", "")))
        self.report_node("n0", applied_index=before + 1)
        self.assertEqual(self.permit_state("d"), "ended")

    def test_taken_back_while_it_waits_it_is_out_of_the_queue(self):
        self.request_drain("d", "n0")
        self.request_drain("e", "n1")
        self.send(commands.WithdrawPermit("e", ""))
        self.restart_node("n0")
        self.assertEqual(self.permit_state("e"), "taken back")
        self.assertIn("is over", self.request_drain("e", "n1"))

    def test_a_drain_asked_for_by_two_operators_is_one_permit_and_the_second_is_told_of_it(self):
        self.request_drain("d", "n0")
        told = self.request_drain("mine", "n0", client="ben")
        self.assertIn("n0 has d already, by ann, given", told)
        self.assertIsNone(self.row(tables.PERMITS, "mine"))
        self.assertEqual(self.request_drain("d", "n0"), "")  # the same one again
        self.assertIn("stands for the drain of n0", self.request_drain("d", "n1", client="ben"))

    def test_only_its_own_agent_speaks_for_a_node_and_only_its_last_life_and_session(self):
        self.assertIn(
            "the agent of n1 may say it",
            self.send(commands.ReportNode("n1", "a", 1, "s", 1, "down", 1, False, 0), "n0", "agent"),
        )
        self.assertIn("operators may say it", self.send(commands.Halt(""), "n0", "agent"))
        self.report_node("n0", incarnation=3)
        self.assertIn("life 2 is over, begin 4", self.report_node("n0", incarnation=2))
        old = self.group.sessions["n0"]
        self.report_node("n1")
        self.group.sessions["n0"] = old + 10_000
        self.report_node("n0")
        self.group.sessions["n0"] = old
        self.assertIn(f"{old + 10_000} speaks for it", self.report_node("n0"))

    def test_gone_for_good_ends_its_permit_and_it_comes_back_as_a_new_life_only(self):
        self.request_drain("d", "n0")
        self.send(commands.Decommission("node", "n0", "burnt"))
        self.assertEqual(
            (self.permit_state("d"), self.row(internal_tables.COUNTS, "node/all")),
            ("ended", internal_tables.CountRow(3, 0)),
        )
        self.assertIn("begin 2", self.report_node("n0"))
        self.assertEqual(self.report_node("n0", incarnation=2), "")
        self.assertEqual(self.row(internal_tables.COUNTS, "node/all"), internal_tables.CountRow(4, 0))

    def test_marshals_ask_too_and_all_restarted_at_once_leave_the_permit_counted(self):
        self.send(commands.SetBudgets((commands.BudgetEntry("marshal", "all", 1, 1),)))
        for at in range(3):
            self.report_balancer(f"m{at}")
        self.assertEqual(self.send(commands.RequestRestart("r0", "m0", 5), "m0", "marshal"), "")
        self.assertEqual(self.send(commands.RequestRestart("r1", "m1", 5), "m1", "marshal"), "")
        self.assertIn("m2 itself may say it", self.send(commands.RequestRestart("x", "m2", 5), "m1", "marshal"))
        for at in range(3):
            self.end_session(f"m{at}", "marshal")
        self.assertEqual(
            (self.permit_state("r0"), self.permit_state("r1")), ("given", "taken back")
        )  # who asked r1 is no more
        self.assertEqual(self.row(internal_tables.COUNTS, "marshal/all"), internal_tables.CountRow(3, 3))
        for at in (1, 2):
            self.report_balancer(f"m{at}")
        self.send(commands.RequestRestart("r2", "m1", 5), "m1", "marshal")
        self.assertEqual(self.permit_state("r2"), "waiting")
        self.report_balancer("m0")
        self.assertEqual((self.permit_state("r0"), self.permit_state("r2")), ("ended", "given"))


class BudgetsTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        for at in range(6):
            self.report_node(f"n{at}", zone="ab"[at % 2], build=1 + at // 3, service=f"s{at % 3}")

    def test_without_a_budget_for_all_nothing_goes(self):
        self.assertIn("no budget for scope all", self.request_drain("d", "n0"))
        self.assertIn("no node 'n9'", self.request_drain("d", "n9"))

    def test_what_is_out_unplanned_counts_first_in_each_scope(self):
        for scope, node, other in (("zone_a", "n2", "n1"), ("build_1", "n2", "n3"), ("service_s0", "n3", "n1")):
            with self.subTest(scope=scope):
                self.set_budgets(all=4, **{scope: 1})
                self.report_node(node, "down")
                self.request_drain(f"{scope}-in", "n0")
                self.request_drain(f"{scope}-beside", other)
                self.assertEqual(
                    (self.permit_state(f"{scope}-in"), self.permit_state(f"{scope}-beside")), ("waiting", "given")
                )
                self.report_node(node, "ready")
                self.assertEqual(self.permit_state(f"{scope}-in"), "given")
                for back in ("n0", other):
                    self.restart_node(back)

    def test_least_ready_holds_when_places_are_left(self):
        self.set_budgets(all=(5, 4))
        for at in range(4):
            self.request_drain(f"d{at}", f"n{at}")
        self.assertEqual([self.permit_state(f"d{at}") for at in range(4)], ["given", "given", "waiting", "waiting"])

    def test_one_that_is_out_already_takes_no_further_place(self):
        self.set_budgets(all=1)
        self.report_node("n0", "down")
        self.request_drain("d0", "n0")
        self.request_drain("d1", "n1")
        self.assertEqual((self.permit_state("d0"), self.permit_state("d1")), ("given", "waiting"))
        self.report_node("n1", "down")  # more out than allowed: not even one that is out already
        self.send(commands.WithdrawPermit("d1", ""))
        self.request_drain("d2", "n1")
        self.assertEqual(self.permit_state("d2"), "waiting")

    def test_budgets_are_replaced_as_a_whole_and_none_stands_twice(self):
        self.set_budgets(all=1, zone_a=1)
        self.set_budgets(all=2)
        self.assertEqual([key for key, _ in self.group.view.rows(tables.BUDGETS)], ["node/all"])
        twice = commands.SetBudgets(
            (commands.BudgetEntry("node", "all", 1, 0), commands.BudgetEntry("node", "all", 2, 0))
        )
        self.assertIn("node/all", self.send(twice))
        self.assertEqual(self.row(tables.BUDGETS, "node/all").max_unavailable, 2)

    def test_counts_are_what_a_recount_says_whatever_happens(self):
        self.set_budgets(all=2, zone_a=1)
        for at in range(6):
            self.request_drain(f"d{at}", f"n{at}", urgency=at)
        self.restart_node("n5", build=7, zone="c")
        self.end_session("n1")
        self.send(commands.Decommission("node", "n2", ""))
        self.report_node("n3", "down", build=9)
        self.send(commands.WithdrawPermit("d4", ""))
        self.assert_counts_hold()


class AnyOrderTest(FleetTestCase):
    def test_whatever_is_asked_in_whatever_order_is_taken_or_refused_and_counts_hold(self):
        """Any other exception than a Refusal would halt every keeper."""
        taken = 0
        for seed in range(6):
            self.setUp()
            chance = random.Random(seed)
            for _ in range(350):
                node, build = f"n{chance.randrange(6)}", chance.randrange(1, 6)
                standing = chance.choice(["ready", "ready", "ready", "cold", "draining", "down", "gone"])
                name = chance.choice([f"d{chance.randrange(9)}", f"release:{build}:{node}:{self.group.index}"])
                shares = chance.choice([(1000,), (300, 1000), (1000, 300)])
                order, kind = chance.choice(
                    [
                        (
                            commands.SetBudgets(
                                (commands.BudgetEntry(chance.choice(["node", "marshal"]), "all", build, 0),)
                            ),
                            "operator",
                        ),
                        (commands.RequestDrain(name, node, build, ""), "operator"),
                        (commands.WithdrawPermit(name, ""), "operator"),
                        (commands.RequestRestart(name, node, 5, ""), "marshal"),
                        (commands.Decommission("node", node, ""), "operator"),
                        (commands.Halt("", build > 2), "operator"),
                        (commands.RollBackRelease(build, ""), "operator"),
                        (commands.Resume(self.group.index - chance.randrange(9), ""), "operator"),
                        (commands.StartRelease(build, build - 1, shares, shares, 9, 2, 1), "operator"),
                        (
                            commands.CastVote(build, chance.randrange(1, 3), chance.choice(["on", "back", "hold"])),
                            "marshal",
                        ),
                        (commands.AnnounceRetirement(node, 5), "agent"),
                        (commands.WithdrawRetirement(node), "agent"),
                    ]
                    + 12
                    * [
                        (
                            commands.ReportNode(
                                node,
                                chance.choice("ab"),
                                build,
                                "s",
                                1,
                                standing,
                                chance.randrange(1, 9),
                                standing == "ready",
                                self.group.index,
                            ),
                            "agent",
                        )
                    ]
                    + [(commands.ReportBalancer(node, "a", 1, "s", standing, standing == "ready", 0), "marshal")]
                )
                if chance.random() < 0.2 or node not in self.group.sessions:
                    self.group.begin_session(node)
                taken += not self.send(order, node if kind != "operator" else "ann", kind, chance.randrange(1, 400_000))
                if chance.random() < 0.1:
                    self.end_session(node)
            self.assert_counts_hold()
        self.assertGreater(taken, 450)
