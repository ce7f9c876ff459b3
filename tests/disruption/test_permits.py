"""Permits and budgets: what is granted, when it ends, and what counts before it."""

import random

from brookreach.disruption import commands, internal_tables, permits, tables
from tests.disruption.fleet import FleetTestCase


class PermitsTest(FleetTestCase):
    def setUp(self):
        super().setUp()
        for at in range(4):
            self.report_node(f"n{at}", zone="ab"[at % 2])
        self.set_budgets(all=1)

    def test_permit_ends_when_its_node_is_ready_in_a_later_incarnation(self):
        self.request_drain("d", "n0")
        permit = permits.find_granted(self.group.view, "d")
        self.assertEqual((permit.incarnation, permit.fence), (1, self.group.index))
        for status in ("draining", "down", "ready"):  # ready in the incarnation that is to leave: it may leave yet
            self.report_node("n0", status)
            self.assertEqual(self.permit_state("d"), "given")
        self.report_node("n0", "cold", incarnation=2)
        self.report_node("n0", "ready", warm=False)
        self.assertEqual(self.permit_state("d"), "returning")
        self.report_node("n0", "ready")
        self.assertEqual(self.permit_state("d"), "ended")

    def test_neither_time_nor_session_end_ends_a_permit(self):
        self.request_drain("d", "n0")
        self.end_session("n0")
        self.now += 10 * permits.OVERDUE_AFTER_MS
        self.request_drain("e", "n1")
        self.assertEqual((self.permit_state("d"), self.permit_state("e")), ("given", "waiting"))
        self.assertTrue(self.row(tables.PERMITS, "d").overdue)
        self.assertEqual(
            self.row(internal_tables.COUNTS, "node/all"), internal_tables.CountRow(4, 1)
        )  # once, though down and disrupted
        self.restart_node("n0")
        self.assertEqual((self.permit_state("d"), self.permit_state("e")), ("ended", "given"))

    def test_withdrawn_permit_ends_in_the_same_incarnation_once_its_agent_knows(self):
        self.request_drain("d", "n0")
        before = self.group.index
        self.send(commands.WithdrawPermit("d", "not now"))
        self.report_node("n0", applied_index=before)  # reported before the withdrawal was known, so it may yet leave
        self.assertEqual(self.permit_state("d"), "returning")
        self.assertIn("on its way back already", self.send(commands.WithdrawPermit("d", "")))
        self.report_node("n0", applied_index=before + 1)
        self.assertEqual(self.permit_state("d"), "ended")

    def test_withdrawn_while_waiting_leaves_the_queue(self):
        self.request_drain("d", "n0")
        self.request_drain("e", "n1")
        self.send(commands.WithdrawPermit("e", ""))
        self.restart_node("n0")
        self.assertEqual(self.permit_state("e"), "taken back")
        self.assertIn("is over", self.request_drain("e", "n1"))

    def test_second_request_for_a_drain_is_rejected_and_names_the_first(self):
        self.request_drain("d", "n0")
        text = self.request_drain("mine", "n0", client="ben")
        self.assertIn("n0 has d already, by ann, given", text)
        self.assertIsNone(self.row(tables.PERMITS, "mine"))
        self.assertEqual(self.request_drain("d", "n0"), "")  # the same one again
        self.assertIn("stands for the drain of n0", self.request_drain("d", "n1", client="ben"))

    def test_only_its_own_agent_reports_a_node_in_its_last_incarnation_and_session(self):
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

    def test_decommission_ends_the_permit_and_requires_a_new_incarnation(self):
        self.request_drain("d", "n0")
        self.send(commands.Decommission("node", "n0", "burnt"))
        self.assertEqual(
            (self.permit_state("d"), self.row(internal_tables.COUNTS, "node/all")),
            ("ended", internal_tables.CountRow(3, 0)),
        )
        self.assertIn("begin 2", self.report_node("n0"))
        self.assertEqual(self.report_node("n0", incarnation=2), "")
        self.assertEqual(self.row(internal_tables.COUNTS, "node/all"), internal_tables.CountRow(4, 0))

    def test_balancers_request_restarts_and_simultaneous_restarts_stay_counted(self):
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
        )  # the session that requested r1 has ended
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

    def test_without_a_budget_for_all_requests_are_rejected(self):
        self.assertIn("no budget for scope all", self.request_drain("d", "n0"))
        self.assertIn("no node 'n9'", self.request_drain("d", "n9"))

    def test_unplanned_outages_count_first_in_each_scope(self):
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

    def test_min_ready_limits_before_max_unavailable(self):
        self.set_budgets(all=(5, 4))
        for at in range(4):
            self.request_drain(f"d{at}", f"n{at}")
        self.assertEqual([self.permit_state(f"d{at}") for at in range(4)], ["given", "given", "waiting", "waiting"])

    def test_unavailable_target_needs_no_further_place(self):
        self.set_budgets(all=1)
        self.report_node("n0", "down")
        self.request_drain("d0", "n0")
        self.request_drain("d1", "n1")
        self.assertEqual((self.permit_state("d0"), self.permit_state("d1")), ("given", "waiting"))
        self.report_node("n1", "down")  # over the budget: not even one that is unavailable already
        self.send(commands.WithdrawPermit("d1", ""))
        self.request_drain("d2", "n1")
        self.assertEqual(self.permit_state("d2"), "waiting")

    def test_budgets_are_replaced_together_and_duplicates_rejected(self):
        self.set_budgets(all=1, zone_a=1)
        self.set_budgets(all=2)
        self.assertEqual([key for key, _ in self.group.view.rows(tables.BUDGETS)], ["node/all"])
        twice = commands.SetBudgets(
            (commands.BudgetEntry("node", "all", 1, 0), commands.BudgetEntry("node", "all", 2, 0))
        )
        self.assertIn("node/all", self.send(twice))
        self.assertEqual(self.row(tables.BUDGETS, "node/all").max_unavailable, 2)

    def test_counts_equal_a_recount_after_mixed_commands(self):
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
    def test_random_commands_are_accepted_or_rejected_and_counts_hold(self):
        """Any exception but CommandRejectedError would halt every replica."""
        taken = 0
        for seed in range(6):
            self.setUp()
            chance = random.Random(seed)
            for _ in range(350):
                node, build = f"n{chance.randrange(6)}", chance.randrange(1, 6)
                status = chance.choice(["ready", "ready", "ready", "cold", "draining", "down", "gone"])
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
                                status,
                                chance.randrange(1, 9),
                                status == "ready",
                                self.group.index,
                            ),
                            "agent",
                        )
                    ]
                    + [(commands.ReportBalancer(node, "a", 1, "s", status, status == "ready", 0), "marshal")]
                )
                if chance.random() < 0.2 or node not in self.group.sessions:
                    self.group.begin_session(node)
                taken += not self.send(order, node if kind != "operator" else "ann", kind, chance.randrange(1, 400_000))
                if chance.random() < 0.1:
                    self.end_session(node)
            self.assert_counts_hold()
        self.assertGreater(taken, 450)
