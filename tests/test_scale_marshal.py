"""`brookreach scale marshal`: work counted by size, its load, its figures, its process, its words for bad input.

Counts are calls and lines of the uncompiled decisions, the same on every machine; times are asserted nowhere.
"""

import json
import shutil
import subprocess
import sys
import tempfile
import unittest
from functools import cache
from pathlib import Path
from unittest import mock

import anyio
import click
from click.testing import CliRunner

from brookreach import facts
from brookreach import interface as ifc
from brookreach.cli.lazy import LazyGroup
from brookreach.cli.main import main
from brookreach.roster import Roster
from brookreach.scale import marshal_build, marshal_process, marshal_report, marshal_run, marshal_situations
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.figures import fit, percentiles
from brookreach.scale.marshal_build import Build
from brookreach.scale.marshal_decisions import counted
from brookreach.scale.marshal_lists import measure as measure_lists
from brookreach.scale.marshal_load import Load
from brookreach.scale.marshal_sizes import BadSize, Grid, Size, parse

FEW, MANY = 150, 1200  # nodes; the second is eight times the first
RPCS = 300
QUIET, TRIAL, COLD, DRAINS = (kind.name for kind in marshal_situations.SITUATIONS)


@cache
def costs(nodes, methods=3, tenants=0):
    return {cost.situation: cost for cost in counted(Size(nodes, methods, tenants), RPCS, 1)}


def growth(situation, of):
    return of(costs(MANY)[situation]) / of(costs(FEW)[situation])


class WorkTest(unittest.TestCase):
    """Calls and lines at eight times the nodes. Flat figures are held tightly; where one grows today, its growth
    of today (in brackets: from, to) is the most that is allowed."""

    def test_an_rpc_while_nothing_goes_on_is_flat(self):
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc.p50), 1.01)  # 430, 430
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc.p99), 1.01)  # 557, 557

    def test_most_rpcs_while_nodes_are_cold_or_drain_are_flat(self):
        self.assertLessEqual(growth(COLD, lambda cost: cost.rpc.p50), 1.01)  # 430, 430
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.rpc.p50), 1.01)  # 430, 430

    def test_an_rpc_on_trial_grows_no_more_than_today(self):
        self.assertLessEqual(growth(TRIAL, lambda cost: cost.rpc.p50), 6.1)  # 961, 5,768: each step counts the nodes
        self.assertLessEqual(growth(TRIAL, lambda cost: cost.rpc.p99), 5.1)  # 1,193, 6,004

    def test_one_rpc_in_a_hundred_while_nodes_are_cold_or_drain_grows_no_more_than_today(self):
        self.assertLessEqual(growth(COLD, lambda cost: cost.rpc.p99), 7.2)  # 3,790, 26,869: nodes sorted anew
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.rpc.p99), 7.1)  # 3,800, 26,480

    def test_a_second_pick_grows_no_more_than_today(self):
        self.assertLessEqual(growth(QUIET, lambda cost: cost.rpc_again), 7.3)  # 7,415, 53,615: looks at all nodes

    def test_beats_and_lists_grow_no_more_than_nodes(self):
        for situation in (QUIET, TRIAL, COLD, DRAINS):
            self.assertLessEqual(growth(situation, lambda cost: cost.beat), 7.4)  # 1,086, 7,910
        self.assertLessEqual(growth(DRAINS, lambda cost: cost.list_change), 7.4)  # 551, 3,981

    def test_methods(self):
        few, many = costs(FEW), costs(FEW, 240)
        self.assertLessEqual(many[QUIET].rpc.p50 / few[QUIET].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[COLD].rpc.p50 / few[COLD].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[DRAINS].rpc.p50 / few[DRAINS].rpc.p50, 1.01)  # 430, 430
        self.assertLessEqual(many[TRIAL].rpc.p50 / few[TRIAL].rpc.p50, 1.45)  # 961, 1,339: each step looks at charts
        self.assertLessEqual(many[QUIET].beat / few[QUIET].beat, 1.25)  # 1,086, 1,323

    def test_no_decision_looks_at_tenants(self):
        self.assertEqual(costs(FEW, tenants=1000), costs(FEW))

    def test_the_counts_see_rows_that_are_looked_at_for_each_rpc(self):
        survey = Roster.survey

        def always(roster, now):
            roster.survey_at = 0.0
            survey(roster, now)

        with mock.patch.object(Roster, "survey", always):
            found = [counted(Size(nodes, 3, 0), 100, 1)[0] for nodes in (FEW, MANY)]
        self.assertGreater(found[1].rpc.p50 / found[0].rpc.p50, 5.0)


class LoadTest(unittest.TestCase):
    def load(self, kind):
        size = Size(40, 3, 0)
        start = facts.start_from(1, configured.settings(size))
        return Load(start, kind(size, start), 1, lambda: 0)

    def test_each_rpc_has_one_answer_and_costs_something(self):
        for kind in marshal_situations.SITUATIONS:
            load = self.load(kind)
            numbers = load.run(1000)
            self.assertEqual((len(numbers), load.open), (1000, {}))
            self.assertGreater(load.answered, 990)
            self.assertEqual(set(load.spent.rpcs) & set(numbers), set(numbers))

    def test_one_seed_is_one_load(self):
        first, again = (self.load(marshal_situations.Trial) for _ in range(2))
        first.run(300), again.run(300)
        self.assertEqual((first.now, first.answered, first.again), (again.now, again.answered, again.again))

    def test_the_median_rpc_of_a_trial_is_judged(self):
        load = self.load(marshal_situations.Trial)
        load.run(1000)
        self.assertGreater(load.marshal.judge.seen, 500)

    def test_nodes_are_cold_in_one_situation_only(self):
        size = Size(100, 3, 0)
        start = facts.start_from(1, configured.settings(size))
        cold = marshal_situations.Cold(size, start)
        rows = [cold.change(now) for now in (1e6, 2e6)]
        self.assertEqual([len(some) for some in rows], [2, 2])
        self.assertFalse({row.node for row in rows[0]} & {row.node for row in rows[1]})
        self.assertTrue(all(row.started_ms for some in rows for row in some))

    def test_drained_nodes_go_and_others_come(self):
        size = Size(200, 3, 0)
        start = facts.start_from(1, configured.settings(size))
        drains = marshal_situations.Drains(size, start)
        states, known = [], {entry.node: entry.state for entry in drains.entries}
        for _ in range(20):
            changed = {row.node: row.state for row in drains.change(0.0)}
            known |= changed
            known = {node: state for node, state in known.items() if state != ifc.NodeState.GONE}
            states.append(list(known.values()))
        self.assertEqual({some.count(ifc.NodeState.DRAINING) for some in states[5:]}, {4})
        self.assertEqual({len(some) for some in states}, {200})


class FiguresTest(unittest.TestCase):
    def test_percentiles_are_values_that_were_measured(self):
        found = percentiles([float(value) for value in range(1, 1001)])
        self.assertEqual((found.count, found.p50, found.p99, found.p999), (1000, 501.0, 991.0, 1000.0))
        with self.assertRaises(ValueError):
            percentiles([])

    def test_a_line_is_found_again(self):
        sizes = [{"nodes": n, "methods": m, "tenants": 0} for n in (150, 12_000) for m in (3, 2400)]
        found = fit("x", "us", sizes, [5.0 + 0.25 * size["nodes"] + 2.0 * size["methods"] for size in sizes])
        self.assertAlmostEqual(found.constant, 5.0)
        self.assertEqual(set(found.per_unit), {"nodes", "methods"})
        self.assertAlmostEqual(found.per_unit["nodes"], 0.25)
        self.assertAlmostEqual(found.at({"nodes": 4000, "methods": 240}), 1485.0, places=6)
        self.assertAlmostEqual(found.explained, 1.0)

    def test_what_no_line_explains_is_said_so(self):
        found = fit("x", "us", [{"nodes": n} for n in (1, 2, 3, 4)], [0.0, 9.0, 9.0, 0.0])
        self.assertAlmostEqual(found.explained, 0.0)

    def test_sizes_that_grow_together_tell_nothing(self):
        with self.assertRaisesRegex(ValueError, "can't tell a constant, nodes, methods apart"):
            fit("x", "us", [{"nodes": n, "methods": 2 * n} for n in (1, 2, 3, 4)], [1.0, 2.0, 3.0, 4.0])
        with self.assertRaisesRegex(ValueError, "2 sizes for 1 values"):
            fit("x", "us", [{"nodes": 1}, {"nodes": 2}], [1.0])


class SizesTest(unittest.TestCase):
    grid = Grid((150, 1000), (3, 240, 2400), (0, 1000))

    def test_the_default_has_each_axis_and_the_full_grid_all(self):
        self.assertEqual(len(self.grid.full()), 12)
        largest = Size(1000, 2400, 1000)
        alone = [Size(150, 3, 0), Size(1000, 3, 0), Size(150, 240, 0), Size(150, 2400, 0), Size(150, 3, 1000)]
        self.assertEqual(self.grid.axes(), sorted([*alone, largest]))

    def test_bad_sizes(self):
        for call, words in (
            (lambda: parse("nodes", "150,many"), "--nodes holds 'many'; whole numbers with commas"),
            (lambda: parse("nodes", ""), "--nodes holds ''"),
            (lambda: Grid((150, 150), (3,), (0,)), "--nodes is 150,150; whole numbers from 2 to 20,000, ascending"),
            (lambda: Grid((1,), (3,), (0,)), "--nodes holds 1; whole numbers from 2 to 20,000"),
            (lambda: Grid((150,), (3,), (900_000,)), "--tenants holds 900000; whole numbers from 0 to 200,000"),
            (lambda: Grid((150,), (), (0,)), "--methods holds no size"),
        ):
            with self.assertRaises(BadSize) as caught:
                call()
            self.assertIn(words, str(caught.exception))


class CommandTest(unittest.TestCase):
    def invoke(self, *words):
        return CliRunner().invoke(main, words)

    def test_bad_input_is_one_line_and_exit_2(self):
        for words in (
            ("--nodes", "150,x"),
            ("--nodes", "1000,150"),
            ("--methods", "0"),
            ("--tenants", "-1"),
            ("--nodes", "999999999999"),
            ("--quick", "--full"),
        ):
            found = self.invoke("scale", "marshal", *words)
            self.assertEqual((found.exit_code, found.output.count("\n")), (2, 1), found.output)
            self.assertRegex(found.output, "^Error: --")

    def test_a_command_that_is_not_installed_leaves_the_others(self):
        table = {"there": "brookreach.cli.scale_marshal:marshal", "gone": "brookreach.cli.no_such_file:gone"}
        group = LazyGroup("group", lazy_commands=table)
        self.assertEqual(group.list_commands(click.Context(group)), ["there"])
        self.assertEqual(CliRunner().invoke(group, ["gone"]).exit_code, 2)
        self.assertEqual(CliRunner().invoke(group, ["there", "--help"]).exit_code, 0)

    def test_a_quick_run_has_a_row_for_each_size_and_can_be_drawn(self):
        words = ("--quick", "--nodes", "20,60", "--methods", "2,4", "--tenants", "0,3", "--rpcs", "100", "--json")
        found = self.invoke("scale", "marshal", *words)
        self.assertEqual(found.exit_code, 0, found.output)
        told = json.loads(found.output)
        ends = [{"nodes": 20, "methods": 2, "tenants": 0}, {"nodes": 60, "methods": 4, "tenants": 3}]
        for rows in ("timed", "counted", "lists", "processes"):
            self.assertEqual([row["size"] for row in told[rows]], ends, rows)
        for row in told["timed"] + told["counted"]:
            self.assertEqual([cost["situation"] for cost in row["costs"]], [QUIET, TRIAL, COLD, DRAINS])
            self.assertTrue(all(cost["rpc"]["p50"] > 0.0 and cost["answered"] > 0.9 for cost in row["costs"]))
        with tempfile.TemporaryDirectory() as folder:
            report, to = Path(folder) / "report.json", Path(folder) / "report.png"
            report.write_text(found.output)
            drawn = self.invoke("plot", "scale-marshal", str(to), str(report))
            self.assertEqual((drawn.exit_code, to.read_bytes()[:4]), (0, b"\x89PNG"), drawn.output)
            report.write_text('{"seed": 1}')
            drawn = self.invoke("plot", "scale-marshal", str(to), str(report))
            self.assertEqual((drawn.exit_code, drawn.output.count("\n")), (1, 1), drawn.output)
            self.assertIn("is not what `brookreach scale marshal --json` prints", drawn.output)

    def test_a_marshal_loads_nothing_of_it(self):
        code = "import sys, brookreach.__main__; print([n for n in sys.modules if n.startswith('brookreach.scale')])"
        ended = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
        self.assertEqual(ended.stdout, b"[]\n")


class PartsTest(unittest.TestCase):
    def test_lists_reach_the_decisions(self):
        found = measure_lists(Size(30, 3, 5))
        self.assertGreater(found.whole.body_bytes, 20 * found.change.body_bytes)
        for cost in (found.whole, found.change):
            self.assertTrue(cost.read_ms > 0.0 and cost.decide_ms > 0.0 and cost.next_rpc_ms > 0.0)

    def test_a_configuration_of_many_tenants_is_read(self):
        told = configured.settings(Size(2, 3, 500))
        start = facts.start_from(1, told)
        self.assertEqual((len(start.methods), len(start.tenants)), (3, 500))

    def test_a_worker_that_fails_is_one_line(self):
        missing = mock.patch.object(marshal_run, "MODULE", "brookreach.scale.no_such_module")
        failed = self.assertRaisesRegex(marshal_run.WorkerFailed, "timed at .*ended with 1: .*no_such_module")
        with missing, failed:
            marshal_run._asked(marshal_build.source(), "timed", Size(20, 2, 0), 100, 1)

    def test_figures_beside_the_first_row(self):
        self.assertEqual(marshal_report.beside(30.0, 10.0), "30 (3.00)")
        self.assertEqual(marshal_report.beside(12_345.0, 0.0), "12,345")
        self.assertEqual(marshal_report.beside(None, 10.0), "-")


class BuildTest(unittest.TestCase):
    def test_a_compiled_build_counts_only_while_it_is_of_this_source(self):
        with tempfile.TemporaryDirectory() as folder:
            here = Build(Path(folder), False)
            made = Path(folder) / "build" / "lib" / "brookreach"
            with mock.patch.object(marshal_build, "source", lambda: here):
                self.assertEqual(marshal_build.present(), here)
                shutil.copytree(marshal_build.PACKAGE, made, ignore=shutil.ignore_patterns("__pycache__"))
                self.assertEqual(marshal_build.present(), here)  # copied, not compiled
                (made / "decide.cpython.so").touch()
                self.assertEqual(marshal_build.present(), Build(made.parent, True))
                with (made / "charts.py").open("a") as file:
                    file.write("# changed since\n")
                self.assertEqual(marshal_build.present(), here)


class ProcessTest(unittest.TestCase):
    def test_a_process_is_measured_and_ended(self):
        started, opened = [], anyio.open_process

        async def noted(*words, **more):
            started.append(await opened(*words, **more))
            return started[-1]

        build = marshal_build.source()
        with mock.patch.object(marshal_process.anyio, "open_process", noted):
            found = anyio.run(marshal_process.measure, Size(60, 3, 10), build, 1.0)
        self.assertGreater(found.first_answer_s, 0.0)
        self.assertGreater(found.start_cpu_s, 0.0)
        self.assertLessEqual(found.idle_mb, found.peak_mb)
        self.assertGreater(found.idle_mb, 5.0)
        self.assertIsNotNone(found.changes)
        self.assertEqual([process.returncode is not None for process in started], [True])

    def test_one_that_ends_is_said_so(self):
        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "brookreach").mkdir()
            (Path(folder) / "brookreach" / "__init__.py").write_text("raise SystemExit(7)\n")
            with self.assertRaisesRegex(marshal_process.NoAnswer, "ended with 7 before its first answer"):
                anyio.run(marshal_process.measure, Size(20, 2, 0), Build(Path(folder), False), 0.1)

    def test_processor_time_is_of_that_process(self):
        busy = subprocess.Popen([sys.executable, "-c", "while True: pass"])
        try:
            before = marshal_process.cpu_s(busy.pid)
            while marshal_process.cpu_s(busy.pid) < before + 0.05:
                pass
            self.assertGreater(marshal_process.status_mb(busy.pid, "VmRSS"), 1.0)
        finally:
            busy.kill()
            busy.wait()


if __name__ == "__main__":
    unittest.main()
