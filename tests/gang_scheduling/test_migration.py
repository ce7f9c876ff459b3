"""Gangs that leave nodes that retire: the hard cases, by hand-made records."""

from __future__ import annotations

import unittest

from brookreach.coordination.state_machine.application import CommandRejectedError
from brookreach.disruption.tables import PERMITS
from brookreach.gang_scheduling import members
from brookreach.gang_scheduling.agent_tasks import TaskKind, tasks_for_node
from brookreach.gang_scheduling.commands import ReportStarted
from brookreach.gang_scheduling.gang_state import GangState, MemberState
from brookreach.gang_scheduling.tables import AGENTS
from tests.gang_scheduling.harness import HOUR_MS, MINUTE_MS, START_MS, Harness

SPARE = "n2"  # of three nodes with room for one each, where nothing is placed at first


class MigrationTest(unittest.TestCase):
    """Off nodes that retire."""

    def running(
        self, nodes: dict[str, int], max_migrations: int = 8, members: int = 2, work: int = 8 * HOUR_MS
    ) -> Harness:
        harness = Harness(nodes, max_migrations)
        harness.submit(members=members, work=work)
        harness.run_tasks()
        return harness

    def test_only_the_affected_member_migrates_after_a_checkpoint_with_a_permit(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1})
        staying, retiring = harness.nodes()[1], harness.nodes()[0]
        other = harness.member(1)
        harness.set_node(retiring, retires_ms=harness.now_ms + 20 * MINUTE_MS)
        self.assertEqual([row.target for _, row in harness.view.rows(PERMITS)], [retiring])
        harness.advance(2000)
        self.assertEqual(harness.gang().state, GangState.CHECKPOINTING)
        self.assertIn(f"{retiring} leaves at", harness.gang().reason)
        harness.confirm_all(1500)
        self.assertEqual((harness.gang().state, harness.nodes()), (GangState.MOVING, [SPARE, staying]))
        self.assertEqual([one.kind for one in tasks_for_node(harness.view, retiring)], [TaskKind.STOP])
        self.assertEqual(tasks_for_node(harness.view, SPARE), [])  # not before the old one has let go
        harness.run_tasks()
        self.assertEqual((harness.gang().state, harness.gang().lost_work_ms), (GangState.RUNNING, 0))
        self.assertEqual(harness.member(1).fencing_token, other.fencing_token)
        self.assertEqual(harness.view.count(PERMITS), 0)
        harness.assert_sums()

    def test_without_a_permit_it_checkpoints_late_and_restores_from_that(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1}, max_migrations=0)
        retiring, retires = harness.nodes()[0], harness.now_ms + 20 * MINUTE_MS
        harness.set_node(retiring, retires_ms=retires)
        harness.advance_until(GangState.CHECKPOINTING, 20 * MINUTE_MS)
        self.assertGreater(harness.now_ms, retires - 30_000)
        self.assertIn("no leave to move yet", harness.gang().reason)
        harness.advance(9000)
        harness.confirm_all(19 * MINUTE_MS)
        self.assertEqual((harness.gang().state, harness.nodes()[0]), (GangState.RUNNING, retiring))
        harness.advance_until(GangState.MOVING, MINUTE_MS)
        self.assertEqual(harness.now_ms, retires)
        self.assertLess(harness.gang().lost_work_ms, 30_000)
        harness.end_session(retiring)
        harness.advance(members.RELEASE_DELAY_MS)
        harness.run_tasks()
        self.assertEqual(
            (harness.gang().state, harness.gang().checkpointed_work_ms), (GangState.RUNNING, 19 * MINUTE_MS)
        )

    def test_withdrawn_notice_ends_the_permit(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1}, max_migrations=0)
        retiring = harness.nodes()[0]
        harness.set_node(retiring, retires_ms=harness.now_ms + 20 * MINUTE_MS)
        harness.set_node(retiring, retires_ms=harness.now_ms + 20 * MINUTE_MS)  # doubled
        self.assertEqual(harness.view.count(PERMITS), 1)
        harness.set_node(retiring, retires_ms=0)
        self.assertEqual(
            (harness.view.count(PERMITS), harness.gang().state, harness.gang().requested_epoch),
            (0, GangState.RUNNING, 0),
        )

    def test_distant_notice_waits_for_the_next_scheduled_checkpoint(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1}, work=300 * HOUR_MS)
        harness.set_node(harness.nodes()[0], retires_ms=harness.now_ms + 200 * HOUR_MS)
        harness.advance(MINUTE_MS)
        self.assertEqual((harness.gang().state, harness.view.count(PERMITS)), (GangState.RUNNING, 0))
        harness.advance_until(GangState.CHECKPOINTING, 24 * HOUR_MS)
        self.assertIn("move", harness.gang().reason)

    def test_notice_too_late_restores_from_the_last_checkpoint(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1}, max_migrations=0)
        harness.advance(10 * MINUTE_MS)
        retiring = harness.nodes()[0]
        harness.set_node(retiring, retires_ms=harness.now_ms - 1)
        self.assertEqual(
            (harness.gang().state, harness.gang().lost_work_ms, harness.nodes()[0]),
            (GangState.MOVING, 10 * MINUTE_MS, SPARE),
        )
        self.assertIn(f"{retiring} out: back", harness.gang().reason)

    def test_notice_brought_forward_during_a_checkpoint(self) -> None:
        for lead, state in ((12_000, GangState.CHECKPOINTING), (6000, GangState.MOVING)):
            harness = self.running({"n1": 1, "n2": 1, "n3": 1})
            retiring = harness.nodes()[0]
            harness.set_node(retiring, retires_ms=harness.now_ms + 20 * MINUTE_MS)
            harness.advance(2000)
            self.assertEqual(harness.gang().state, GangState.CHECKPOINTING)
            asked = harness.gang().requested_ms
            harness.set_node(retiring, retires_ms=asked + lead)
            self.assertEqual(harness.gang().state, state)
            if state == GangState.MOVING:
                self.assertIn("before a checkpoint could end", harness.gang().reason)
                self.assertEqual(
                    (harness.gang().epoch, harness.nodes()[0], harness.gang().requested_epoch), (0, SPARE, 1)
                )
            else:
                harness.confirm_all(1500)
                self.assertEqual((harness.gang().epoch, harness.gang().state), (1, GangState.MOVING))

    def test_member_that_confirms_and_dies_does_not_undo_the_epoch(self) -> None:
        for confirms in (True, False):
            harness = self.running({"n1": 1, "n2": 1, "n3": 1}, work=300 * HOUR_MS)
            harness.advance_until(GangState.CHECKPOINTING, 24 * HOUR_MS)
            failed = harness.nodes()[0]
            if confirms:
                harness.confirm(0, 7000)
            harness.end_session(failed)
            if not confirms:
                self.assertEqual((harness.gang().state, harness.gang().epoch), (GangState.MOVING, 0))
                continue
            self.assertEqual((harness.gang().state, harness.gang().epoch), (GangState.CHECKPOINTING, 0))
            harness.confirm(1, 7000)
            self.assertEqual(
                (harness.gang().state, harness.gang().epoch, harness.gang().checkpointed_work_ms),
                (GangState.MOVING, 1, 7000),
            )
            self.assertEqual(
                (harness.nodes()[0], harness.member(0).state, harness.member(1).state),
                (SPARE, MemberState.FENCING, MemberState.RUNNING),
            )

    def test_successor_starts_only_after_the_previous_incarnation_is_released(self) -> None:
        for way in ("time", "here", "life"):
            harness = self.running({"n1": 1, "n2": 1, "n3": 1})
            failed, fence = harness.nodes()[0], harness.member(0).fencing_token
            harness.end_session(failed)
            self.assertEqual(
                (harness.member(0).state, harness.member(0).previous_node, harness.member(0).previous_fencing_token),
                (MemberState.FENCING, failed, fence),
            )
            harness.advance(members.RELEASE_DELAY_MS - 1)
            self.assertEqual(harness.member(0).state, MemberState.FENCING)
            if way == "time":
                harness.advance(1)
            elif way == "here":
                harness.register_agent(failed)
            else:
                harness.set_node(failed, incarnation=2)
                harness.advance(1)
            self.assertEqual((harness.member(0).state, harness.nodes()[0]), (MemberState.STARTING, SPARE))

    def test_agent_that_resumes_after_its_gang_migrated_is_rejected(self) -> None:
        harness = self.running({"n1": 1, "n2": 1, "n3": 1})
        failed, session, fence = (
            harness.nodes()[0],
            harness.sessions[harness.nodes()[0]],
            harness.member(0).fencing_token,
        )
        harness.end_session(failed)
        harness.advance(members.RELEASE_DELAY_MS)
        harness.run_tasks()
        before = harness.gang(), harness.member(0)
        harness.sessions[failed] = session
        for report in (ReportStarted("g", 0, fence), ReportStarted("g", 0, harness.member(0).fencing_token)):
            with self.assertRaisesRegex(CommandRejectedError, "has not said Here"):
                harness.propose(failed, "agent", report)
        self.assertIsNone(harness.view.get(AGENTS, failed))
        self.assertEqual((harness.gang(), harness.member(0)), before)

    def test_two_gangs_that_hold_a_permit_each_and_want_another_both_migrate(self) -> None:
        harness = Harness({f"n{n}": 1 for n in range(1, 9)}, max_migrations=3)
        for name in "gh":
            harness.submit(name, members=2, work=8 * HOUR_MS)
            harness.run_tasks(name)
        harness.announce_retirement(harness.now_ms + 20 * MINUTE_MS, *harness.nodes("g"), *harness.nodes("h"))
        self.assertEqual(sorted(row.state for _, row in harness.view.rows(PERMITS)), ["given"] * 3 + ["waiting"])
        for _ in range(40):
            harness.advance(3000)
            for name in "gh":
                if harness.gang(name).state == GangState.CHECKPOINTING:
                    harness.confirm_all(harness.now_ms - START_MS, name)
                harness.run_tasks(name)
        self.assertEqual(
            {harness.view.get("nodes", node).retires_ms for node in harness.nodes("g") + harness.nodes("h")}, {0}
        )
        self.assertEqual((harness.gang("g").lost_work_ms, harness.gang("h").lost_work_ms), (0, 0))


if __name__ == "__main__":
    unittest.main()
