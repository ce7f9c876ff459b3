"""Gangs that wait for room, permits by outages' budgets, operators' files. By hand-made records."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

from brookreach.disruption.application import APPLICATION as DISRUPTION
from brookreach.disruption.commands import AnnounceRetirement, BudgetEntry, Halt, ReportNode, Resume, SetBudgets
from brookreach.disruption.tables import HALT, PERMITS, NodeRow
from brookreach.files import InvalidFileError
from brookreach.gang_scheduling import disruption_permits, estimates, gang_file
from brookreach.gang_scheduling.commands import ReconcileNode, RegisterAgent, ReportStarted, SubmitGang
from brookreach.gang_scheduling.gang_state import GangState
from brookreach.gang_scheduling.tables import QUEUE, SLOTS
from brookreach.simulation.gang_scheduling import drill
from tests.gang_scheduling.harness import HOUR_MS, MINUTE_MS, START_MS, Harness


class CapacityTest(unittest.TestCase):
    """All or nothing, and everybody gets on."""

    def test_gang_without_capacity_waits_with_a_reason_until_there_is(self) -> None:
        harness = Harness({"n1": 2, "n2": 2})
        harness.set_node("n2", status="draining")
        harness.submit(members=4)
        row = harness.gang()
        self.assertEqual(row.state, "waiting")
        self.assertEqual(
            row.reason, "waits for room: 4 members of 1 each, 2 places on nodes that stay, and none by others' end"
        )
        self.assertEqual(harness.view.count(SLOTS), 0)
        harness.set_node("n2", status="ready")
        harness.advance(6000)
        self.assertEqual(harness.gang().state, GangState.PLACING)

    def test_partial_placement_times_out(self) -> None:
        harness = Harness({"n1": 1, "n2": 1})
        harness.submit()
        harness.propose(harness.nodes()[0], "agent", ReportStarted("g", 0, harness.member(0).fencing_token))
        late = harness.nodes()[1]
        harness.advance(estimates.PLACEMENT_TIMEOUT_MS + 40_000 - 1)
        self.assertEqual(harness.gang().state, GangState.PLACING)
        harness.advance(1)
        self.assertEqual(harness.gang().state, GangState.WAITING)
        self.assertIn(f"members 1 on {late}", harness.gang().last_failure)
        harness.run_tasks()
        harness.run_tasks()
        self.assertEqual(harness.gang().state, GangState.RUNNING)

    def test_two_gangs_that_need_each_others_capacity_both_progress(self) -> None:
        """Each on a node that retires, each with room only where the other is."""
        harness = Harness({"n1": 2, "n2": 2})
        harness.submit("g", members=1, capacity=2, work=2 * HOUR_MS)
        harness.submit("h", members=1, capacity=2, work=2 * HOUR_MS)
        for name in "gh":
            harness.run_tasks(name)
        harness.announce_retirement(START_MS + 20 * MINUTE_MS, "n1", "n2")
        for _ in range(270):
            harness.advance(5000)
            for name in "gh":
                if harness.gang(name).state == GangState.CHECKPOINTING:
                    harness.confirm_all(harness.now_ms - START_MS, name)
            if harness.now_ms - START_MS >= 15 * MINUTE_MS and "n3" not in harness.sessions:
                harness.set_node("n3", NodeRow("a", 1, "s", 2, "ready", START_MS, 1))
                harness.register_agent("n3")
            if harness.now_ms - START_MS >= 20 * MINUTE_MS and "n1" in harness.sessions:
                for node in ("n1", "n2"):
                    harness.set_node(node, status="gone")
                    harness.end_session(node)
            for name in "gh":
                harness.run_tasks(name)
        states = sorted((harness.gang(name).state, harness.gang(name).lost_work_ms < 5 * MINUTE_MS) for name in "gh")
        self.assertEqual(states, [(GangState.RUNNING, True), (GangState.WAITING, True)])
        first = next(name for name in "gh" if harness.gang(name).state == GangState.RUNNING)
        harness.advance_until(GangState.CHECKPOINTING, 4 * HOUR_MS, first)
        for _ in range(4):
            if harness.gang(first).state == GangState.CHECKPOINTING:
                harness.confirm_all(2 * HOUR_MS, first)
        harness.run_tasks(first)
        harness.advance(6000)
        other = "h" if first == "g" else "g"
        self.assertEqual(harness.nodes(other), ["n3"])

    def test_backfilling_does_not_starve_a_large_gang(self) -> None:
        harness = Harness({"n1": 4})
        harness.submit("now", members=2, work=HOUR_MS)
        harness.run_tasks("now")
        harness.submit("large", members=4, work=HOUR_MS)
        self.assertIn(
            f"room by {(START_MS + HOUR_MS + 10_000) // MINUTE_MS * MINUTE_MS + MINUTE_MS}",
            harness.gang("large").reason,
        )
        harness.submit("short", members=1, work=30 * MINUTE_MS)
        harness.submit("long", members=1, work=3 * HOUR_MS)
        self.assertEqual(
            [harness.gang(n).state for n in ("large", "short", "long")],
            [GangState.WAITING, GangState.PLACING, GangState.WAITING],
        )
        self.assertEqual(harness.gang("long").reason, "waits for room, behind large")
        for name in ("short", "now"):
            harness.run_tasks(name)
            harness.advance_until(GangState.CHECKPOINTING, 2 * HOUR_MS, name)
            harness.confirm_all(HOUR_MS, name)
            harness.run_tasks(name)
        harness.advance(6000)
        self.assertEqual([harness.gang(n).state for n in ("large", "long")], [GangState.PLACING, GangState.WAITING])

    def test_number_of_records_while_waiting_is_bounded(self) -> None:
        harness = Harness({"n1": 1})
        for at in range(6):
            harness.submit(f"g{at}", members=1, work=HOUR_MS)
        harness.run_tasks("g0")
        before = harness.log_index
        harness.advance(10 * MINUTE_MS)
        self.assertLess(harness.log_index - before, 10 * MINUTE_MS // 5000 + 60)
        self.assertEqual(harness.view.count(QUEUE), 5)


def budgets(max_unavailable: int) -> SetBudgets:
    return SetBudgets((BudgetEntry("node", "all", max_unavailable, 0),))


class DisruptionPermitsTest(unittest.TestCase):
    """With the permits of outages: their budgets, their halts."""

    def test_migration_waits_for_the_budget_and_for_the_end_of_a_halt(self) -> None:
        harness = Harness({})
        harness.application.permits = disruption_permits.DisruptionPermits()

        def propose_disruption(by: str, kind: str, order: Any) -> None:
            context = harness.next_context(by, kind, harness.sessions.get(by, 0))
            harness.view.apply_updates(DISRUPTION.apply(harness.view, order, context))

        for name in ("n1", "n2", "n3"):
            harness.sessions[name] = harness.log_index + 1
            propose_disruption(name, "agent", ReportNode(name, "a", 1, "s", 1, "ready", True, 1, 0))
            harness.propose(name, "agent", RegisterAgent(1))
        propose_disruption("ops", "operator", budgets(0))
        harness.submit(work=8 * HOUR_MS)
        harness.run_tasks()
        retiring = harness.nodes()[0]
        propose_disruption("ops", "operator", AnnounceRetirement(retiring, harness.now_ms + 20 * MINUTE_MS))
        harness.propose("ops", "operator", ReconcileNode(retiring))
        harness.advance(3000)
        self.assertEqual([row.state for _, row in harness.view.rows(PERMITS)], ["waiting"])
        propose_disruption("ops", "operator", Halt("look first"))
        propose_disruption("ops", "operator", budgets(1))
        harness.advance(3000)
        self.assertEqual(
            (harness.gang().state, [row.state for _, row in harness.view.rows(PERMITS)]),
            (GangState.RUNNING, ["waiting"]),
        )
        propose_disruption("ops", "operator", Resume(harness.view.get(HALT, "all").fence, "seen"))
        harness.advance(1000)
        self.assertEqual(harness.gang().state, GangState.CHECKPOINTING)
        harness.confirm_all(1000)
        harness.run_tasks()
        self.assertEqual((harness.gang().state, harness.nodes()[0]), (GangState.RUNNING, "n2"))
        self.assertEqual([row.state for _, row in harness.view.rows(PERMITS)], ["ended"])


class GangFileTest(unittest.TestCase):
    """Operators' TOML."""

    def read(self, text: str) -> list[SubmitGang]:
        with tempfile.TemporaryDirectory() as place:
            path = Path(place) / "gangs.toml"
            path.write_text(text)
            return gang_file.read_gang_file(path, START_MS)

    def test_example_is_valid_and_errors_name_the_offending_value(self) -> None:
        names = [one.gang for one in gang_file.read_gang_file(Path("deploy/gangs.toml"), START_MS)]
        self.assertEqual(names, ["graduatorie", "settembre"])
        good = '[[gang]]\nname = "a"\nmembers = 2\nroom = 1\nwork_ms = 9\ncost_ms = 1\nload_ms = 1\n'
        self.assertEqual(self.read(good), [SubmitGang("a", 2, 1, 9, 1, 1)])
        for text, word in (
            (good + good, r"gang\[1\].name: 'a' stands twice"),
            (good + "x = 1\n", "unknown field `x`"),
            (good.replace("members = 2", "members = 0"), "members"),
            (good + "deadline = 2030-01-01T00:00:00\n", "has no offset"),
            (good + "deadline = 2020-01-01T00:00:00Z\n", "is the soonest"),
        ):
            with self.assertRaisesRegex(InvalidFileError, word):
                self.read(text)


class DrillRegressionTest(unittest.TestCase):
    def test_seed_1454_late_notice_takes_no_gang_off_a_node_that_stands(self):
        """Seed 1454: room was looked for as if no work were lost, then the gang went back and had none."""
        report = drill.run(1454, 1, "")
        self.assertEqual(report.violations, [])


if __name__ == "__main__":
    unittest.main()
