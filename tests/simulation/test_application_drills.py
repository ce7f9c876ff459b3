"""The drills of the pieces between processes, a few breaks each; and that their rules find what breaks them."""

import json
import os
import tempfile
import unittest
from functools import partial
from pathlib import Path
from types import SimpleNamespace

from brookreach.carbon_aware.tables import (
    ACTIVE_SCHEDULE,
    RESERVATIONS,
    SCHEDULE_INTERVALS,
    SLOT_RESERVATIONS,
    ZONE_QUOTAS,
    ActiveScheduleRow,
    IntensityRow,
    ReservationRow,
    SlotReservationRow,
    ZoneQuotaRow,
)
from brookreach.coordination.client.events import RowsChanged
from brookreach.disruption.tables import HALT, PERMITS, HaltRow, PermitRow
from brookreach.simulation.carbon_aware import observer_invariants as power_watch
from brookreach.simulation.carbon_aware import process_drill as power_processes
from brookreach.simulation.disruption import observer_invariants
from brookreach.simulation.disruption import process_drill as outages_processes
from brookreach.simulation.gang_scheduling import process_drill
from brookreach.simulation.gang_scheduling.node_log_invariants import Pause, check_node_logs
from brookreach.simulation.gang_scheduling.node_logs import read_node_logs
from brookreach.simulation.processes.application_drill import BEGINS, Line
from brookreach.simulation.report import gathered, report_of

PLAYS = {
    "outages": (outages_processes, 3, ("leader killed", "a halt on the losing side")),
    "gangs": (process_drill, 4, ("a node retires, the leader is killed",)),
    "power": (power_processes, 3, ("half sent as the leader is killed",)),
}


class ProcessesTest(unittest.TestCase):
    """As many at once as there are cores for them: most of their time is waiting, but not on one core."""

    @classmethod
    def setUpClass(cls):
        plays = {name: partial(drill.run, 1, 1, most, None, kinds) for name, (drill, most, kinds) in PLAYS.items()}
        cls.outcomes = gathered(plays, len(os.sched_getaffinity(0)))

    def good(self, name, *rules):
        report = report_of(self.outcomes, name)
        self.assertTrue(report.good, report.text())
        for rule in rules:
            self.assertGreater(report.checked.get(rule, 0), 0, f"{rule}\n{report.text()}")
        return report.figures

    def test_outages(self):
        figures = self.good(
            "outages",
            "nothing is agreed by the lesser half",
            "no acknowledged order lost",
            "permits by the budgets",
            "nothing new 250 ms after told",
            "no node goes without a permit",
        )
        self.assertGreater(figures["drains played"], 0)
        self.assertGreater(figures["queries heard by nodes"], 0)

    def test_gangs(self):
        figures = self.good(
            "gangs", "a notice moves the gang", "all gangs end", "one incarnation of a member at an instant"
        )
        self.assertGreater(figures["incarnations"], 5)

    def test_power(self):
        figures = self.good(
            "power",
            "half a version is not agreed",
            "what is in force is whole",
            "all gangs end",
            "steered calls within what is offered",
        )
        self.assertGreater(figures["versions sent"], 2)


class Broken:
    """Stands for a drill: what its rules find."""

    def __init__(self):
        self.rules, self.lines, self.late_s = set(), [], 0.0
        self.report = SimpleNamespace(looked=lambda *told: None)

    def look(self, rule, good, text):
        if not good:
            text()
            self.rules.add(rule)

    def say(self, rule, text):
        self.rules.add(rule)

    def count(self, *told):
        pass


class View:
    def __init__(self, **tables):
        self.tables = {name.replace("_", "-"): rows for name, rows in tables.items()}

    def get(self, table, key):
        return self.tables.get(table, {}).get(key)

    def rows(self, table, prefix=""):
        return [(key, row) for key, row in sorted(self.tables.get(table, {}).items()) if key.startswith(prefix)]


def permit(target, fence, state="given", incarnation=1):
    return PermitRow("drain", target, "ann", 5, 1, state, fence, fence, incarnation=incarnation)


class OutagesRulesTest(unittest.TestCase):
    def watch(self, *states, halt=None):
        """The rules that these permits, one state of the mirror after another, break."""
        town = Broken()
        view = View()
        budgets = observer_invariants.NodeBudgets({"all": 2, "zone:a": 1, "zone:b": 1}, {"x": "a", "y": "a", "z": "b"})
        watch = observer_invariants.DisruptionObserver(town, budgets, view)
        for index, permits in enumerate(states, 100):
            view.tables = {PERMITS: permits, HALT: {"all": halt} if halt else {}}
            watch.on_rows_changed(RowsChanged(index, (), True))
        return town, watch

    def test_what_is_right_breaks_none(self):
        town, watch = self.watch({"p": permit("x", 50)}, {"p": permit("x", 50, "ended"), "q": permit("x", 60)})
        town.lines = [
            Line(1.0, "a", f"x {what}, agreed at place {at}")
            for what, at in (("draining, life 1", 55), ("ready, life 2", 58))
        ]
        watch.check_reports()
        self.assertEqual(town.rules, set())

    def test_permits(self):
        given = {"p": permit("x", 50), "q": permit("y", 60)}
        self.assertEqual(self.watch(given)[0].rules, {"permits by the budgets"})
        self.assertEqual(self.watch({"p": permit("x", 50)}, {})[0].rules, {"no permit forgotten"})
        self.assertEqual(self.watch({"p": permit("x", 50)}, {"p": permit("x", 51)})[0].rules, {"a fence stands"})
        falls = {"p": permit("x", 50, "ended")}, {"p": permit("x", 50, "ended"), "q": permit("x", 40)}
        self.assertEqual(self.watch(*falls)[0].rules, {"a target's fence grows"})
        town, _ = self.watch({"p": permit("x", 50)}, halt=HaltRow(49, "ann", 1, "stop"))
        self.assertEqual(town.rules, {"nothing is given during a halt"})

    def test_acts_of_nodes(self):
        town, watch = self.watch({"p": permit("x", 50)})
        town.lines = [Line(1.0, "a", "x draining, life 2, agreed at place 60")]
        watch.check_reports()
        self.assertEqual(town.rules, {"no node goes without a permit"})
        town, watch = self.watch({"p": permit("x", 50), "q": permit("y", 60, "ended")})
        town.rules.clear()
        town.lines = [
            Line(1.0, "a", f"{one} draining, life 1, agreed at place {at}") for one, at in (("x", 55), ("y", 65))
        ]
        watch.ready_indexes = {("x", 1): 57}  # the life in which it went: that does not bring it back
        watch.check_reports()
        self.assertEqual(town.rules, {"nodes out by the budgets"})
        town.rules.clear()
        watch.ready_indexes = {("x", 2): 57}
        watch.check_reports()
        self.assertEqual(town.rules, set())

    def test_queries_after_told(self):
        for after, begins, broken in ((0.2, False, False), (0.3, False, True), (0.3, True, False)):
            town, watch = self.watch({})
            town.lines = [Line(5.0, "m1", "m1 fleet: x drains, agreed at place 9, told in 0.1 ms")]
            town.lines += [Line(5.1, "m1", BEGINS)] if begins else []
            town.lines += [Line(6.0, "m1", "m1 fleet: x is as discovery has it, agreed at place 12, told")]
            watch.calls = [observer_invariants.Call(5.0 + after, "x", "m1")]
            watch.check_calls()
            self.assertEqual(bool(town.rules), broken, (after, begins))


class GangsRulesTest(unittest.TestCase):
    def rules(self, killed=(), paused=(), now=100.0, **nodes):
        """`nodes`: lines by node: what, at, fence, epoch, until."""
        town = Broken()
        with tempfile.TemporaryDirectory() as folder:
            for node, lines in nodes.items():
                told = [
                    dict(zip(("what", "at", "fence", "epoch", "until"), one, strict=True), gang="g", member=0)
                    for one in lines
                ]
                (Path(folder) / f"{node}.jsonl").write_text("".join(json.dumps(one) + "\n" for one in told))
            logs = read_node_logs(Path(folder), {"n": killed}, now)
            check_node_logs(town, logs, {"g": 1}, {"n": paused})
        return town.rules

    def test_one_at_an_instant(self):
        first = [("start", 10, 5, 0, 50), ("grant", 30, 5, 0, 70)]
        after = [("start", 60, 8, 0, 90)]
        self.assertEqual(self.rules(n=first, o=after), {"one incarnation of a member at an instant"})
        self.assertEqual(self.rules(n=[*first, ("stop", 55, 5, 0, 70)], o=after), set())
        self.assertEqual(self.rules((58.0,), n=first, o=after), set())
        late = [("start", 10, 5, 0, 50), ("stop", 99, 5, 0, 50)]  # it was stopped; its grant had ended
        self.assertEqual(self.rules(n=late, o=after), set())
        self.assertEqual(self.rules(n=[("start", 10, 9, 0, 50)], o=after), {"a member's fence grows"})

    def test_nothing_works_past_its_grant(self):
        late = [("start", 10, 5, 0, 50), ("stop", 5000, 5, 0, 50)]
        self.assertEqual(self.rules(n=late), {"nothing works past its grant"})
        self.assertEqual(self.rules(paused=[Pause(20, 4990)], n=late), set())
        self.assertEqual(self.rules(now=9000.0, n=late[:1]), {"nothing works past its grant"})
        self.assertEqual(self.rules((30.0,), now=9000.0, n=late[:1]), set())

    def test_starts_from_what_is_kept(self):
        kept = [("start", 10, 5, 0, 50), ("saved", 20, 5, 1, 50), ("stop", 30, 5, 1, 50)]
        self.assertEqual(self.rules(n=kept, o=[("start", 40, 8, 1, 90)]), set())
        self.assertEqual(self.rules(n=kept, o=[("start", 40, 8, 2, 90)]), {"starts from what all kept"})


class PowerRulesTest(unittest.TestCase):
    SPANS = (("a", 0, 10, 100), ("a", 10, 20, 200))

    def rules(self, rows, closed=True, calls=10):
        town, view = Broken(), View()
        spans = {f"0000000001/a/{nth:05d}": IntensityRow(*one[1:]) for nth, one in enumerate(self.SPANS[:rows])}
        view.tables = {
            ACTIVE_SCHEDULE: {"all": ActiveScheduleRow(1, "", 20, 7, "ann")},
            SCHEDULE_INTERVALS: spans,
            ZONE_QUOTAS: {"a": ZoneQuotaRow(20)},
            RESERVATIONS: {"m": ReservationRow((), 1, True, 1), "o": ReservationRow((), 1, True, 1)},
            SLOT_RESERVATIONS: {"a/5/m": SlotReservationRow(calls, 1, 0), "a/5/o": SlotReservationRow(10, 1, 0)},
        }
        watch = power_watch.ScheduleObserver(town, view)
        watch.uploaded[1] = power_watch.UploadedVersion(self.SPANS, closed)
        watch.on_changed(RowsChanged(9, (), True))
        return town.rules

    def test_rules(self):
        self.assertEqual(self.rules(2), set())
        self.assertEqual(self.rules(1), {"what is in force is whole"})
        self.assertEqual(self.rules(2, closed=False), {"only what was closed is in force"})
        self.assertEqual(self.rules(2, calls=11), {"steered calls within what is offered"})


if __name__ == "__main__":
    unittest.main()
