"""Gangs that wait for room, permits by outages' budgets, operators' files. By hand-made records."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import Any

from brookreach.disruption.application import APPLICATION as OUTAGES
from brookreach.disruption.commands import BudgetFor, Halt, NodeSeen, Resume, RetirementNotice, SetBudgets
from brookreach.disruption.tables import HALT, PERMITS, NodeRow
from brookreach.files import BadFile
from brookreach.gang_scheduling import disruption_permits, gang_file, transitions
from brookreach.gang_scheduling.commands import Here, Noticed, Started, Submit
from brookreach.gang_scheduling.tables import PLACES, QUEUE
from brookreach.simulation.gang_scheduling import drill
from tests.gang_scheduling.harness import HOUR, MINUTE, Rig, T


class Room(unittest.TestCase):
    """All or nothing, and everybody gets on."""

    def test_room_for_no_gang_waits_with_words_and_is_placed_when_there_is(self) -> None:
        rig = Rig({"n1": 2, "n2": 2})
        rig.node("n2", standing="draining")
        rig.submit(members=4)
        row = rig.gang()
        self.assertEqual(row.state, "waiting")
        self.assertEqual(
            row.reason, "waits for room: 4 members of 1 each, 2 places on nodes that stay, and none by others' end"
        )
        self.assertEqual(rig.view.count(PLACES), 0)
        rig.node("n2", standing="ready")
        rig.wait(6000)
        self.assertEqual(rig.gang().state, "placing")

    def test_no_gang_stays_in_part_for_longer_than_stated(self) -> None:
        rig = Rig({"n1": 1, "n2": 1})
        rig.submit()
        rig.say(rig.nodes()[0], "agent", Started("g", 0, rig.member(0).fence))
        late = rig.nodes()[1]
        rig.wait(transitions.PLACE_MS + 40_000 - 1)
        self.assertEqual(rig.gang().state, "placing")
        rig.wait(1)
        self.assertEqual(rig.gang().state, "waiting")
        self.assertIn(f"members 1 on {late}", rig.gang().fell)
        rig.start()
        rig.start()
        self.assertEqual(rig.gang().state, "running")

    def test_two_that_need_each_others_room_both_get_on(self) -> None:
        """Each on a node that retires, each with room only where the other is."""
        rig = Rig({"n1": 2, "n2": 2})
        rig.submit("g", members=1, room=2, work=2 * HOUR)
        rig.submit("h", members=1, room=2, work=2 * HOUR)
        for name in "gh":
            rig.start(name)
        rig.notice(T + 20 * MINUTE, "n1", "n2")
        for _ in range(270):
            rig.wait(5000)
            for name in "gh":
                if rig.gang(name).state == "checkpointing":
                    rig.confirm_all(rig.now - T, name)
            if rig.now - T >= 15 * MINUTE and "n3" not in rig.sessions:
                rig.node("n3", NodeRow("a", 1, "s", 2, "ready", T, 1))
                rig.join("n3")
            if rig.now - T >= 20 * MINUTE and "n1" in rig.sessions:
                for node in ("n1", "n2"):
                    rig.node(node, standing="gone")
                    rig.end(node)
            for name in "gh":
                rig.start(name)
        states = sorted((rig.gang(name).state, rig.gang(name).lost_ms < 5 * MINUTE) for name in "gh")
        self.assertEqual(states, [("running", True), ("waiting", True)])
        first = next(name for name in "gh" if rig.gang(name).state == "running")
        rig.until("checkpointing", 4 * HOUR, first)
        for _ in range(4):
            if rig.gang(first).state == "checkpointing":
                rig.confirm_all(2 * HOUR, first)
        rig.start(first)
        rig.wait(6000)
        other = "h" if first == "g" else "g"
        self.assertEqual(rig.nodes(other), ["n3"])

    def test_small_ones_do_not_starve_a_large_one(self) -> None:
        rig = Rig({"n1": 4})
        rig.submit("now", members=2, work=HOUR)
        rig.start("now")
        rig.submit("large", members=4, work=HOUR)
        self.assertIn(f"room by {(T + HOUR + 10_000) // MINUTE * MINUTE + MINUTE}", rig.gang("large").reason)
        rig.submit("short", members=1, work=30 * MINUTE)
        rig.submit("long", members=1, work=3 * HOUR)
        self.assertEqual([rig.gang(n).state for n in ("large", "short", "long")], ["waiting", "placing", "waiting"])
        self.assertEqual(rig.gang("long").reason, "waits for room, behind large")
        for name in ("short", "now"):
            rig.start(name)
            rig.until("checkpointing", 2 * HOUR, name)
            rig.confirm_all(HOUR, name)
            rig.start(name)
        rig.wait(6000)
        self.assertEqual([rig.gang(n).state for n in ("large", "long")], ["placing", "waiting"])

    def test_rounds_and_looks_come_to_rest(self) -> None:
        rig = Rig({"n1": 1})
        for at in range(6):
            rig.submit(f"g{at}", members=1, work=HOUR)
        rig.start("g0")
        before = rig.index
        rig.wait(10 * MINUTE)
        self.assertLess(rig.index - before, 10 * MINUTE // 5000 + 60)
        self.assertEqual(rig.view.count(QUEUE), 5)


def budgets(most: int) -> SetBudgets:
    return SetBudgets((BudgetFor("node", "all", most, 0),))


class Agreed(unittest.TestCase):
    """With the permits of outages: their budgets, their halts."""

    def test_a_move_waits_for_the_budget_and_for_the_end_of_a_halt(self) -> None:
        rig = Rig({})
        rig.piece.permits = disruption_permits.Agreed()

        def outages(by: str, kind: str, order: Any) -> None:
            context = rig.context(by, kind, rig.sessions.get(by, 0))
            rig.view.apply_updates(OUTAGES.apply(rig.view, order, context))

        for name in ("n1", "n2", "n3"):
            rig.sessions[name] = rig.index + 1
            outages(name, "agent", NodeSeen(name, "a", 1, "s", 1, "ready", True, 1, 0))
            rig.say(name, "agent", Here(1))
        outages("ops", "operator", budgets(0))
        rig.submit(work=8 * HOUR)
        rig.start()
        leaves = rig.nodes()[0]
        outages("ops", "operator", RetirementNotice(leaves, rig.now + 20 * MINUTE))
        rig.say("ops", "operator", Noticed(leaves))
        rig.wait(3000)
        self.assertEqual([row.state for _, row in rig.view.rows(PERMITS)], ["waiting"])
        outages("ops", "operator", Halt("look first"))
        outages("ops", "operator", budgets(1))
        rig.wait(3000)
        self.assertEqual((rig.gang().state, [row.state for _, row in rig.view.rows(PERMITS)]), ("running", ["waiting"]))
        outages("ops", "operator", Resume(rig.view.get(HALT, "all").fence, "seen"))
        rig.wait(1000)
        self.assertEqual(rig.gang().state, "checkpointing")
        rig.confirm_all(1000)
        rig.start()
        self.assertEqual((rig.gang().state, rig.nodes()[0]), ("running", "n2"))
        self.assertEqual([row.state for _, row in rig.view.rows(PERMITS)], ["ended"])


class Files(unittest.TestCase):
    """Operators' TOML."""

    def read(self, text: str) -> list[Submit]:
        with tempfile.TemporaryDirectory() as place:
            path = Path(place) / "gangs.toml"
            path.write_text(text)
            return gang_file.read(path, T)

    def test_the_example_is_good_and_errors_name_what_stands_there(self) -> None:
        names = [one.gang for one in gang_file.read(Path("deploy/gangs.toml"), T)]
        self.assertEqual(names, ["graduatorie", "settembre"])
        good = '[[gang]]\nname = "a"\nmembers = 2\nroom = 1\nwork_ms = 9\ncost_ms = 1\nload_ms = 1\n'
        self.assertEqual(self.read(good), [Submit("a", 2, 1, 9, 1, 1)])
        for text, word in (
            (good + good, r"gang\[1\].name: 'a' stands twice"),
            (good + "x = 1\n", "unknown field `x`"),
            (good.replace("members = 2", "members = 0"), "members"),
            (good + "deadline = 2030-01-01T00:00:00\n", "has no offset"),
            (good + "deadline = 2020-01-01T00:00:00Z\n", "is the soonest"),
        ):
            with self.assertRaisesRegex(BadFile, word):
                self.read(text)


class Drilled(unittest.TestCase):
    def test_a_notice_too_late_takes_no_gang_off_a_node_that_stands(self):
        """Seed 1454: room was looked for as if no work were lost, then the gang went back and had none."""
        report = drill.run(1454, 1, "")
        self.assertEqual(report.violations, [])


if __name__ == "__main__":
    unittest.main()
