"""`brookreach scale marshal`: sizes, the command, its parts, its process, its words for bad input."""

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

from brookreach.balancer_settings_reader import read_balancer_settings
from brookreach.cli.lazy import LazyGroup
from brookreach.cli.main import main
from brookreach.scale import marshal_build, marshal_process, marshal_report, marshal_run, marshal_situations
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.marshal_build import Build
from brookreach.scale.marshal_decisions import counted
from brookreach.scale.marshal_lists import measure as measure_lists
from brookreach.scale.marshal_process import ListRate, ProcessCost
from brookreach.scale.marshal_sizes import BadSize, Grid, Size, parse
from brookreach.scale.marshal_slopes import part_slopes

FEW, MANY = 150, 1200  # nodes; the second is eight times the first
RPCS = 300
QUIET, TRIAL, COLD, DRAINS = (kind.name for kind in marshal_situations.SITUATIONS)


@cache
def costs(nodes, methods=3, tenants=0):
    return {cost.situation: cost for cost in counted(Size(nodes, methods, tenants), RPCS, 1)}


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
        start = read_balancer_settings(1, told)
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


class DisturbedTest(unittest.TestCase):
    """A process that could not be measured as meant takes nothing of the rest with it."""

    def test_no_line_goes_through_a_process_that_did_not_watch(self):
        def process(nodes, idle_cpu, watched):
            rate = ListRate(0.5, 10.0) if watched else None
            return ProcessCost(Size(nodes, 3, 0), 0.5, 0.2, 26.0, idle_cpu, 27.0, 1, rate, rate)

        processes = [process(150, 0.25, True), process(1000, 9.0, False), process(300, 0.25, True)]
        slopes = {slope.name: slope for slope in part_slopes([], processes)}
        self.assertEqual(slopes["process: idle"].points, 2)
        self.assertAlmostEqual(slopes["process: idle"].per_unit["nodes"], 0.0)
        self.assertAlmostEqual(slopes["process: one change"].constant, 25.0)

    def test_a_process_without_an_answer_is_a_fault_and_the_rest_is_told(self):
        answer = mock.patch.object(marshal_process, "_first_answer", side_effect=marshal_process.NoAnswer("none"))
        sizes = ("--nodes", "20,30", "--methods", "2", "--tenants", "0", "--rpcs", "100")
        with answer:
            found = CliRunner().invoke(main, ("scale", "marshal", "--quick", *sizes, "--json"))
        told = json.loads(found.output)
        self.assertEqual((found.exit_code, len(told["timed"]), told["processes"]), (1, 2, []))
        self.assertRegex(told["faults"][0], "^a process at .*nodes=20.*: none$")
        with answer:
            found = CliRunner().invoke(main, ("scale", "marshal", "--quick", *sizes))
        self.assertEqual(found.exit_code, 1)
        self.assertIn("a process at", found.output)


class BuildTest(unittest.TestCase):
    def test_a_compiled_build_counts_only_while_it_is_of_this_source(self):
        with tempfile.TemporaryDirectory() as folder:
            here = Build(Path(folder), False)
            made = Path(folder) / "build" / "lib" / "brookreach"
            with mock.patch.object(marshal_build, "source", lambda: here):
                self.assertEqual(marshal_build.present(), here)
                shutil.copytree(marshal_build.PACKAGE, made, ignore=shutil.ignore_patterns("__pycache__"))
                self.assertEqual(marshal_build.present(), here)  # copied, not compiled
                (made / "policy" / "balancer.cpython.so").touch()
                self.assertEqual(marshal_build.present(), Build(made.parent, True))
                with (made / "policy" / "cusum.py").open("a") as file:
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
