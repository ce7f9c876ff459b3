"""Gangs: placed, checkpointed, ended; what is refused; where a member may go. By hand-made records."""

from __future__ import annotations

import unittest
from typing import Any

from msgspec.structs import replace

from brookreach.coordination.state_machine.application import CommandRejectedError, RowUpdate
from brookreach.disruption.tables import RELEASES, ReleaseRow
from brookreach.gang_scheduling import checkpoint_interval, transitions
from brookreach.gang_scheduling.agent_tasks import TaskKind, tasks_for_node
from brookreach.gang_scheduling.commands import CancelGang, RegisterAgent, ReportCosts, ReportFailed, ReportStarted
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.tables import GANGS, MEMBERS, RESERVED_CAPACITY, TotalsRow
from tests.gang_scheduling.harness import HOUR_MS, MINUTE_MS, START_MS, Harness


class LifecycleTest(unittest.TestCase):
    """From waiting to done."""

    def test_gang_is_placed_completely_runs_and_is_done(self) -> None:
        harness = Harness({"n1": 2, "n2": 2})
        self.assertEqual(harness.submit(members=3, work=10 * MINUTE_MS).state, GangState.PLACING)
        self.assertEqual(harness.nodes(), ["n2", "n2", "n1"])
        harness.run_tasks()
        self.assertEqual(harness.gang().state, GangState.RUNNING)
        harness.advance_until(GangState.CHECKPOINTING, 11 * MINUTE_MS)
        self.assertIn("all work is done", harness.gang().reason)
        harness.confirm_all(10 * MINUTE_MS)
        self.assertEqual((harness.gang().state, harness.gang().checkpointed_work_ms), (GangState.DONE, 10 * MINUTE_MS))
        self.assertEqual(
            {one.kind for node in ("n1", "n2") for one in tasks_for_node(harness.view, node)}, {TaskKind.STOP}
        )
        harness.run_tasks()
        self.assertEqual(harness.view.count(RESERVED_CAPACITY), 0)
        harness.advance(8 * 24 * HOUR_MS)
        self.assertEqual((harness.view.count(GANGS), harness.view.count(MEMBERS)), (0, 0))

    def test_epoch_counts_only_when_every_member_confirmed_it(self) -> None:
        harness = Harness({"n1": 1, "n2": 1})
        harness.submit(work=30 * 24 * HOUR_MS)
        harness.run_tasks()
        harness.advance_until(GangState.CHECKPOINTING, 24 * HOUR_MS)
        harness.confirm(0, 5000)
        for but, word in (
            ({"epoch": 7}, "not asked"),
            ({"fencing_token": 1}, "fence 1"),
            ({"node_incarnation": 9}, "life 9"),
        ):
            with self.assertRaisesRegex(CommandRejectedError, word):
                harness.confirm(1, 5000, **but)
        self.assertEqual((harness.gang().state, harness.gang().epoch), (GangState.CHECKPOINTING, 0))
        harness.confirm(1, 4000)
        self.assertEqual(
            (harness.gang().state, harness.gang().epoch, harness.gang().checkpointed_work_ms),
            (GangState.RUNNING, 1, 4000),
        )

    def test_abandoned_epoch_is_never_confirmed_later(self) -> None:
        harness = Harness({"n1": 1, "n2": 1})
        harness.submit(work=30 * 24 * HOUR_MS)
        harness.run_tasks()
        harness.advance_until(GangState.CHECKPOINTING, 24 * HOUR_MS)
        harness.confirm(0, 5000)
        harness.advance(71_000)
        self.assertEqual(
            (harness.gang().state, harness.gang().requested_epoch, harness.gang().failures), (GangState.RUNNING, 1, 1)
        )
        self.assertIn("members 1 did not confirm", harness.gang().reason)
        harness.advance_until(GangState.CHECKPOINTING, 24 * HOUR_MS)
        with self.assertRaisesRegex(CommandRejectedError, "not asked"):
            harness.confirm(1, 5000, epoch=1)
        harness.confirm_all(6000)
        self.assertEqual(
            (harness.gang().epoch, harness.gang().checkpointed_work_ms, harness.gang().failures), (2, 6000, 0)
        )

    def test_interval_is_youngs_and_dalys(self) -> None:
        self.assertEqual(checkpoint_interval.daly_ms(10_000, 10**9), 4_465_470)
        self.assertEqual(checkpoint_interval.daly_ms(10_000, 3000), 3000)
        row = Harness({"n1": 9}).submit(members=1)
        seldom, often = TotalsRow(10**12, 10), TotalsRow(10**12, 1000)
        self.assertGreater(
            checkpoint_interval.interval_ms(row, seldom), 8 * checkpoint_interval.interval_ms(row, often)
        )

    def test_costs_are_smoothed_and_only_its_agents_report_them(self) -> None:
        harness = Harness({"n1": 2, "n2": 2})
        harness.submit()
        harness.propose("n1", "agent", ReportCosts("g", 20_000, 0))
        self.assertEqual((harness.gang().checkpoint_cost_ms, harness.gang().restore_cost_ms), (12_500, 20_000))
        with self.assertRaisesRegex(CommandRejectedError, "no member"):
            harness.propose("n2", "agent", ReportCosts("g", 1, 1))


class RejectionTest(unittest.TestCase):
    """Words for what is not taken."""

    def test_submission_errors_name_the_value_and_what_is_allowed(self) -> None:
        harness = Harness({"n1": 4, "n2": 4})
        cases: list[tuple[dict[str, Any], str]] = [
            ({"members": 0}, "members: 0; 1 to 256"),
            ({"capacity": 5}, "never run together: 0 nodes"),
            ({"members": 9}, "hold 8 of them empty"),
            ({"zones": ("b",)}, r"zones \['b'\]"),
            ({"deadline_ms": START_MS + 1000}, "soonest"),
            ({"zones": ("a", "a")}, "each may stand there once"),
        ]
        for fields, word in cases:
            with self.assertRaisesRegex(CommandRejectedError, word):
                harness.submit(**fields)
        harness.submit()
        with self.assertRaisesRegex(CommandRejectedError, "of this name stands"):
            harness.submit()
        self.assertEqual(harness.view.count(GANGS), 1)

    def test_only_the_registered_session_of_a_node_reports_for_it(self) -> None:
        harness = Harness({"n1": 1, "n2": 1})
        harness.submit()
        fence, (its, other) = harness.member(0).fencing_token, harness.nodes()
        for by, kind, order, word in (
            (other, "agent", ReportStarted("g", 0, fence), "not where it runs"),
            (its, "agent", ReportStarted("g", 0, fence - 1), "not where it runs"),
            (its, "marshal", ReportStarted("g", 0, fence), "is for agents"),
            (its, "agent", CancelGang("g", "why"), "is for operators"),
        ):
            with self.assertRaisesRegex(CommandRejectedError, word):
                harness.propose(by, kind, order)
        harness.sessions[its] += 5
        with self.assertRaisesRegex(CommandRejectedError, "has not said Here"):
            harness.propose(its, "agent", ReportStarted("g", 0, fence))
        with self.assertRaisesRegex(CommandRejectedError, "has not ended"):
            harness.propose(its, "agent", RegisterAgent(1))

    def test_cancel_stops_members_and_then_removes_the_rows(self) -> None:
        harness = Harness({"n1": 2})
        harness.submit()
        harness.run_tasks()
        harness.propose("ops", "operator", CancelGang("g", "not wanted"))
        self.assertEqual(
            (harness.gang().state, harness.gang().reason), (GangState.FAILED, "cancelled by ops: not wanted")
        )
        with self.assertRaisesRegex(CommandRejectedError, "still being stopped on n1"):
            harness.propose("ops", "operator", CancelGang("g", "again"))
        harness.run_tasks()
        harness.propose("ops", "operator", CancelGang("g", "again"))
        self.assertEqual(
            (harness.view.count(GANGS), harness.view.count(MEMBERS), harness.view.count(RESERVED_CAPACITY)), (0, 0, 0)
        )

    def test_gang_that_fails_repeatedly_is_given_up(self) -> None:
        harness = Harness({"n1": 2})
        harness.submit()
        for _ in range(transitions.MAX_FAILURES):
            harness.run_tasks()
            harness.propose("n1", "agent", ReportFailed("g", 0, harness.member(0).fencing_token, "no such model"))
        self.assertEqual(harness.gang().state, GangState.FAILED)
        self.assertIn("fell 8 times since epoch 0; last: no such model", harness.gang().reason)


class TargetTest(unittest.TestCase):
    """Where a member may go."""

    def test_unfit_nodes_are_no_targets(self) -> None:
        harness = Harness({f"n{n}": 2 for n in range(1, 7)})
        harness.set_node("n1", retires_ms=START_MS + HOUR_MS)
        harness.set_node("n2", status="draining")
        harness.set_node("n3", status="cold")
        harness.set_node("n4", warm_since_ms=START_MS + MINUTE_MS)
        harness.set_node("n5", build=2)
        row = ReleaseRow(2, 1, (500,), (100,), "on", 1, START_MS, 0, 0, 0, 0)
        harness.view.apply_updates([RowUpdate(RELEASES, "2", row)])
        harness.submit(members=2, work=2 * HOUR_MS)
        self.assertEqual(harness.nodes(), ["n6", "n6"])
        harness.submit("late", members=1, work=2 * HOUR_MS)
        self.assertEqual(harness.gang("late").state, GangState.WAITING)
        harness.advance(MINUTE_MS + 5000)
        self.assertEqual(harness.nodes("late"), ["n4"])
        harness.view.apply_updates([RowUpdate(RELEASES, "2", replace(row, state="released"))])
        harness.submit("open", members=2)
        self.assertEqual(harness.nodes("open"), ["n5", "n5"])

    def test_node_that_retires_late_is_a_target_where_nothing_else_is(self) -> None:
        harness = Harness({"n1": 2, "n2": 2})
        harness.set_node("n1", retires_ms=START_MS + 10 * HOUR_MS)
        harness.submit("long", members=2, work=100 * HOUR_MS)
        self.assertEqual(harness.nodes("long"), ["n2", "n2"])
        harness.submit("next", members=2, work=100 * HOUR_MS)
        self.assertEqual(harness.nodes("next"), ["n1", "n1"])

    def test_target_announces_its_own_retirement(self) -> None:
        harness = Harness({"n1": 1, "n2": 1, "n3": 1})
        harness.submit(members=1, work=4 * HOUR_MS)
        harness.run_tasks()
        harness.set_node("n1", retires_ms=START_MS + 20 * MINUTE_MS)
        harness.advance(2000)
        harness.confirm_all(2000)
        self.assertEqual((harness.gang().state, harness.nodes()), (GangState.MOVING, ["n2"]))
        harness.set_node("n2", retires_ms=START_MS + 30 * MINUTE_MS)
        self.assertEqual(harness.nodes(), ["n3"])
        self.assertIn("n2 to n3", harness.gang().reason)
        harness.assert_sums()
        self.assertIsNone(harness.view.get(RESERVED_CAPACITY, "n2"))
        harness.run_tasks()
        self.assertEqual(
            (harness.gang().state, harness.gang().checkpointed_work_ms, harness.gang().lost_work_ms),
            (GangState.RUNNING, 2000, 0),
        )


if __name__ == "__main__":
    unittest.main()
