"""Agreed releases and halts: when a stage opens, how a build is rolled back, and that it never returns."""

import math

from brookreach.disruption import build_assignments, commands, internal_tables, releases, tables
from brookreach.disruption.build_assignments import stage_size
from tests.disruption.fleet import FleetTestCase

SOAK_MS = 5000


class ReleaseTestCase(FleetTestCase):
    """Ten nodes in two zones, on build 1; `all=3`."""

    nodes = 10

    def setUp(self):
        super().setUp()
        for at in range(self.nodes):
            self.report_node(f"n{at}", zone="ab"[at % 2])
        self.set_budgets(all=3)

    def start_release(self, build=2, previous_build=1, node_shares=(200, 400, 1000), traffic_caps=(50, 300, 1000)):
        return self.send(commands.StartRelease(build, previous_build, node_shares, traffic_caps, SOAK_MS, 2, 1))

    def cast_vote(self, marshal, verdict, stage=1, build=2):
        return self.send(commands.CastVote(build, stage, verdict), marshal, "marshal")

    def release(self, build=2):
        return self.row(tables.RELEASES, str(build))

    def granted_targets(self):
        return [row.target for _, row in self.group.view.rows(tables.PERMITS) if row.state == "given"]

    def follow_assignment(self, node):
        """Its agent starts the build that the node's assignment names."""
        assignment = self.row(tables.BUILD_ASSIGNMENTS, node)
        self.restart_node(node, build=assignment.build if assignment else None)

    def follow_all_permits(self, limit=100):
        """All nodes that get a permit restart; returns them in the order in which they left."""
        order = []
        while len(order) < limit and (targets := self.granted_targets()):
            order += targets
            for node in targets:
                self.follow_assignment(node)
        return order

    def nodes_on(self, build):
        return sorted(name for name, row in self.group.view.rows(tables.NODES) if row.build == build)

    def next_stage(self, stage, build=2):
        went = self.follow_all_permits()
        self.cast_vote("m0", "on", stage, build)
        self.now += SOAK_MS
        self.group.advance_time(self.now)
        return went


class StagesTest(ReleaseTestCase):
    def test_stage_sizes_round_as_the_platform_does(self):
        for thousandths in (0, 1, 10, 200, 333, 400, 1000):
            for total in (1, 3, 10, 33, 100, 999, 5000):
                if thousandths * total % 1000 != 10:  # there floats fall on either side
                    self.assertEqual(stage_size(thousandths, total), math.ceil(thousandths * total / 1000 - 0.01))

    def test_stage_opens_after_soak_time_and_promote_votes(self):
        self.assertEqual(self.start_release(), "")
        self.assertEqual((self.release().stage, releases.traffic_cap(self.group.view, 2)), (1, 50))
        went = self.follow_all_permits()
        self.assertEqual((len(went), self.nodes_on(2)), (2, sorted(went)))
        self.now += SOAK_MS
        self.group.advance_time(self.now)
        self.assertEqual(self.release().stage, 1)  # no vote
        self.report_node(went[0], "cold")
        self.cast_vote("m0", "on")
        self.report_node(went[0])
        self.now += SOAK_MS - 2
        self.group.advance_time(self.now)
        self.assertEqual(self.release().stage, 1)  # one was cold meanwhile
        self.group.advance_time(self.now + 2)
        self.assertEqual((self.release().stage, releases.traffic_cap(self.group.view, 2)), (2, 300))
        self.assertEqual(len(self.next_stage(2)), 2)
        self.assertEqual(len(self.next_stage(3)), 6)
        self.assertEqual((self.release().state, len(self.nodes_on(2))), ("released", 10))
        self.assertEqual(releases.traffic_cap(self.group.view, 2), 1000)

    def test_restarts_respect_budgets_and_unplanned_outages(self):
        self.start_release(node_shares=(1000,), traffic_caps=(1000,))
        self.assertEqual(len(self.granted_targets()), 3)
        for node in ("n0", "n1", "n2", "n3", "n4"):
            if node not in self.granted_targets():
                self.report_node(node, "down")
        self.follow_assignment(self.granted_targets()[0])
        self.assertEqual(
            len([node for node in self.granted_targets() if self.row(tables.NODES, node).status == "ready"]), 2
        )

    def test_unstartable_releases_are_rejected_with_the_reason(self):
        for rejection, expected in (
            (self.start_release(build=1), "earlier build 1 is the same"),
            (self.start_release(node_shares=(500, 200, 1000)), "each greater than the one before"),
            (self.start_release(node_shares=(500, 900, 950)), "the last 1000"),
            (self.start_release(traffic_caps=(50, 1000)), "2 caps for 3 shares"),
            (self.start_release(), ""),
            (self.start_release(), "build 2 is on"),
            (self.start_release(build=3), "one release at a time"),
            (self.cast_vote("m0", "on", stage=2), "stage 1 is open"),
            (self.cast_vote("m0", "on", build=3), "in no release"),
        ):
            self.assertIn(expected, rejection)

    def test_node_that_does_not_start_the_build_is_restarted_three_times(self):
        self.start_release(node_shares=(100, 1000), traffic_caps=(10, 1000))
        node = self.granted_targets()[0]
        for _ in range(build_assignments.MAX_RESTART_ATTEMPTS):
            self.assertEqual(self.granted_targets(), [node])
            self.restart_node(node, build=1)
        self.assertEqual((self.granted_targets(), self.row(tables.BUILD_ASSIGNMENTS, node).attempts), ([], 3))

    def test_many_nodes_are_assigned_in_bounded_records(self):
        for at in range(10, 400):
            self.report_node(f"n{at}", zone="ab"[at % 2])
        sizes = []
        self.group.on_step = lambda step: sizes.append(len(step.updates))
        self.start_release(node_shares=(900, 1000), traffic_caps=(900, 1000))
        self.now += 1
        self.group.advance_time(self.now)
        self.assertEqual(self.row(internal_tables.PROGRESS, "2").assigned, 360)
        self.assertLess(max(sizes), 8 * build_assignments.MAX_NODES_PER_RECORD)
        self.assertGreaterEqual(len(sizes), 4)


class BackTest(ReleaseTestCase):
    def test_rollback_in_reverse_within_budgets_and_for_good(self):
        self.start_release()
        order = self.next_stage(1) + self.next_stage(2)
        self.assertEqual((self.release().stage, len(self.granted_targets())), (3, 3))
        in_flight = self.granted_targets()
        self.send(commands.RollBackRelease(2, "slow"))
        self.assertEqual((self.release().state, releases.traffic_cap(self.group.view, 2)), ("going back", 0))
        for node in in_flight:  # they had not heard of it when they started
            self.restart_node(node, build=2)
        back = self.follow_all_permits()
        self.assertEqual(sorted(back), sorted(in_flight + order))
        self.assertEqual(sorted(back[-len(order) : -2]), sorted(order[2:]))  # the last stage's first, then the second's
        self.assertEqual((self.release().state, self.nodes_on(2)), ("sent back", []))
        self.assertIn("never returns", self.start_release())
        self.assertIn("earlier build 2 is sent back", self.start_release(build=3, previous_build=2))
        self.assertIn("no vote is open", self.cast_vote("m9", "on"))
        self.report_node("n7", build=2, incarnation=99)  # an old image: it is restarted into the one before
        self.assertEqual((self.granted_targets(), self.row(tables.BUILD_ASSIGNMENTS, "n7").build), (["n7"], 1))
        self.follow_assignment("n7")
        self.assertEqual(self.nodes_on(2), [])
        self.assertEqual(self.start_release(build=3), "")

    def test_rollback_votes_of_different_balancers_halt_all_but_the_rollback(self):
        self.start_release()
        self.follow_all_permits()
        self.send(commands.RequestDrain("d", self.nodes_on(1)[0], 9, ""))
        self.report_node(self.nodes_on(1)[0], incarnation=2)
        self.cast_vote("m0", "back")
        self.cast_vote("m0", "back")
        self.cast_vote("m0", "on")  # back stays back
        self.assertEqual((self.release().state, self.row(internal_tables.PROGRESS, "2").promote_votes), ("on", 0))
        self.cast_vote("m1", "back")
        halt = self.row(tables.HALT, "all")
        self.assertEqual((self.release().state, halt.by, halt.allows_rollback), ("going back", "verdict", True))
        self.send(commands.RequestDrain("e", "n0", 9, ""))
        self.assertEqual((len(self.follow_all_permits()), self.permit_state("e")), (2, "waiting"))
        self.assertEqual(self.release().state, "sent back")
        self.assertIn("not the one that stands", self.send(commands.Resume(halt.fence + 1, "")))
        self.assertEqual(self.send(commands.Resume(halt.fence, "")), "")
        self.assertEqual(self.permit_state("e"), "given")

    def test_rollback_after_the_last_stage_but_not_before_later_releases(self):
        self.start_release(node_shares=(1000,), traffic_caps=(1000,))
        self.next_stage(1)
        self.start_release(build=3, previous_build=2, node_shares=(1000,), traffic_caps=(1000,))
        self.assertIn("build 3 came after it and is on", self.send(commands.RollBackRelease(2, "")))
        self.send(commands.RollBackRelease(3, ""))
        self.follow_all_permits()
        self.assertEqual(self.send(commands.RollBackRelease(2, "")), "")
        self.follow_all_permits()
        self.assertEqual((self.nodes_on(1), self.release(3).state), (sorted(f"n{at}" for at in range(10)), "sent back"))


class HaltTest(ReleaseTestCase):
    def test_resume_of_an_earlier_halt_is_rejected(self):
        self.send(commands.Halt("one"))
        first = self.group.index
        self.send(commands.Halt("two"), client="ben")
        self.assertIn("by ben (two)", self.send(commands.Resume(first, "")))
        self.assertEqual(self.row(tables.HALT, "all").fence, first + 1)
        self.send(commands.Resume(first + 1, ""))
        self.assertIsNone(self.row(tables.HALT, "all"))
        self.assertIn("nothing is halted", self.send(commands.Resume(first + 1, "")))

    def test_halt_survives_a_snapshot_and_blocks_permits_and_stages(self):
        self.start_release()
        self.send(commands.RequestDrain("mine", self.nodes_on(1)[-1], 9, ""))
        self.follow_all_permits()
        self.cast_vote("m0", "on")
        self.send(commands.Halt("stop"))
        fence = self.group.index
        self.group.restore_from_snapshot()
        self.now += 10 * SOAK_MS
        self.send(commands.RequestDrain("d", "n0", 9, ""))
        self.assertEqual((self.permit_state("d"), self.release().state, self.release().stage), ("waiting", "halted", 1))
        self.assertIn(f"halt {fence} by ann stands", self.start_release(build=9))
        self.send(commands.RollBackRelease(2, ""))  # taken, though nothing restarts for it yet
        self.assertEqual((self.release().state, self.granted_targets()), ("going back", []))
        self.send(commands.Resume(fence, ""))
        self.assertEqual((self.permit_state("d"), len(self.granted_targets())), ("given", 3))

    def test_soak_time_restarts_after_a_resume(self):
        self.start_release()
        self.follow_all_permits()
        self.cast_vote("m0", "on")
        self.now += SOAK_MS - 100
        self.send(commands.Halt(""))
        self.send(commands.Resume(self.group.index, ""))
        self.group.advance_time(self.now + SOAK_MS - 1)
        self.assertEqual(self.release().stage, 1)
        self.group.advance_time(self.now + SOAK_MS)
        self.assertEqual(self.release().stage, 2)

    def test_lost_zones_in_the_second_stage_with_an_active_permit(self):
        self.start_release()
        self.next_stage(1)
        self.assertEqual(self.release().stage, 2)
        out, other = self.granted_targets()
        self.follow_assignment(other)
        lost = [name for name, row in self.group.view.rows(tables.NODES) if row.zone == "a"]
        for name in lost:
            self.end_session(name)
        self.cast_vote("m0", "on", 2)
        self.now += 10 * SOAK_MS
        self.send(commands.RequestDrain("d", "n1" if out != "n1" else "n3", 9, ""))
        self.assertEqual((self.permit_state("d"), self.release().stage, self.granted_targets()), ("waiting", 2, [out]))
        self.assertEqual(self.row(internal_tables.COUNTS, "node/all").unavailable, len(set(lost) | {out}))
        self.follow_assignment(out)  # what is out may come back
        self.assertEqual(self.permit_state("d"), "waiting")
        for name in lost:
            if name != out:
                self.report_node(name)
        self.assertEqual(self.permit_state("d"), "given")
        self.restart_node("n1" if out != "n1" else "n3")
        self.group.advance_time(self.now + 10 * SOAK_MS)
        self.assertEqual(self.release().stage, 3)
