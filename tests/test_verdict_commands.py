"""Rollouts in the model, the drill with planted defects and the commands that show them."""

import io
import json
import os
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from click.testing import CliRunner

from brookreach.cli.main import main, replace_non_finite
from brookreach.files import replace_file
from brookreach.model import experiment
from brookreach.model.case import CASES, Fault
from brookreach.model.world import Wave
from brookreach.policy import canary_charts
from brookreach.simulation.verdict import drill
from brookreach.verdict import wave_records
from tests.verdict_rig import played


class WavesTest(unittest.TestCase):
    def test_a_seed_gives_the_same_rollout_again(self):
        rows = [json.dumps(replace_non_finite(Wave(CASES["all+20"], 7).run().row())) for _ in range(2)]
        self.assertEqual(*rows)

    def test_known_endings(self):
        """A few rollouts of each kind; thousands were measured for docs/measured/verdict.md."""
        for name, ended in (
            ("good", "released"),
            ("good-busy-0.75", "released"),
            ("good-better", "released"),
            ("good-crawler", "released"),
            ("scheda+36", "back"),
            ("work-2.5", "back"),
            ("all+20-stall", "back"),
            ("late-all+20", "back"),
        ):
            endings = [Wave(CASES[name], seed).run().ended for seed in (1, 2, 3)]
            self.assertEqual(endings, [ended] * 3, name)

    def test_the_next_build_replaces_the_one_on_trial(self):
        self.assertEqual(Wave(replace(CASES["good"], next_ms=9000.0), 1).run().ended, "replaced")

    def test_the_case_says_what_is_bad(self):
        """A case marked on the wrong side makes the drill count right endings as wrong; 1.1 times the work is not bad."""
        self.assertEqual(
            {name for name, case in CASES.items() if case.bad}, {name for name in CASES if not name.startswith("good")}
        )
        self.assertFalse(replace(CASES["good"], fault=Fault(work={"": 1.1})).bad)

    def test_rows_are_resumed(self):
        """A partial last row, as a killed run leaves it, must not fail the next run or make it repeat finished rows."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "rows.jsonl"
            first = experiment.run([("all+20", 1)], 1, path)
            path.write_text(path.read_text() + '{"case": "all+20", "se')
            seen = []
            again = experiment.run([("all+20", 1)], 1, path, lambda done, of: seen.append(done))
            self.assertEqual([row["ended_ms"] for row in first], [row["ended_ms"] for row in again])
            self.assertEqual(seen, [])

    def test_intervals(self):
        """No failure in 100 runs must not read as a rate of exactly 0, and no runs must not divide by zero."""
        low, high = experiment.interval(0, 100)
        self.assertEqual(low, 0.0)
        self.assertTrue(0.03 < high < 0.04)
        self.assertEqual(experiment.interval(0, 0), (0.0, 1.0))


class DrillTest(unittest.TestCase):
    def test_rules_are_kept(self):
        """The drill must find no violation without a planted defect; a rule that it never checks would find none either."""
        report = drill.run(1, 1, names=("good", "scheda+36", "good-restarts"))
        self.assertEqual(report.violations, [])
        self.assertGreaterEqual(
            set(report.checked),
            {"exposure", "drains", "effects", "one final answer", "back from a crossed chart", "thresholds as stated"},
        )

    def test_each_planted_defect_is_found(self):
        """A rule that misses its planted defect guards nothing; a planted defect must not outlast its drill."""
        for plant, rule in (
            ("floorless", "charts stand at 0 or above"),
            ("no-marshals", "thresholds as stated"),
            ("swapped", "only the trial build moves charts"),
            ("hasty", "on not before 3 s"),
        ):
            report = drill.run(1, 2, plant, names=("good", "scheda+36"))
            self.assertIn(rule, {violation.rule for violation in report.violations}, plant)
        self.assertEqual(canary_charts.CusumChart.__name__, "CusumChart")


class CommandsTest(unittest.TestCase):
    def call(self, *words, code=0):
        result = CliRunner().invoke(main, [str(word) for word in words])
        self.assertEqual(result.exit_code, code, result.output)
        return result.output

    def test_plans_and_checks(self):
        """A wrong plan must be refused by both commands, with the wrong key or value named and exit code 1."""
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "plan.toml"
            file.write_text('[wave]\nmarshals = 5\n[[effect]]\nwhat = "all"\nsize = 0.2\n')
            self.assertEqual(json.loads(self.call("verdict", "plan", file, "--json"))["marshals"], 5)
            self.assertIn("stated.miss = 0.05", self.call("check", file, "--show"))
            for text, error in (
                ("[wave]\nmarshal = 3\n", "marshal"),
                ("[wave]\nmarshals = 'x'\n", "$.wave.marshals"),
                ("[wave]\nstages = [0.5, 0.1]\n", "no stage may hold less"),
                ("=", "no TOML"),
                ("[wave]\non_votes = 9\n", "wave.on_votes: 9; 1 to"),
                ("[[method]]\nname='a'\nshare=1.0\nrepeat='x'\n", "method[0].repeat: 'x'"),
                ("[stated]\nmiss = 7.0\n", "stated.miss: 7.0"),
            ):
                file.write_text(text)
                self.assertIn(error, self.call("check", file, code=1))
                self.assertIn(error, self.call("verdict", "plan", file, code=1))
            self.assertIn("can't be read", self.call("check", Path(folder) / "none.toml", code=1))

    def test_records(self):
        """Commands must read a stored record; an unknown build or a file of other content must exit with 1."""
        _, recorders = played("scheda+36", 3)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "n0.waves"
            replace_file(file, wave_records.encode(list(recorders[0].waves)))
            self.assertIn("a record of waves", self.call("check", file))
            self.assertIn("trial nodes:", self.call("verdict", "show", file))
            both = json.loads(self.call("verdict", "replay", file, "--false-alarm", "0.2", "--json"))["builds"][0]
            self.assertLess(both["now"]["threshold"], both["was"]["threshold"])
            self.assertIn("no build 99", self.call("verdict", "show", file, "--build", "99", code=1))
            file.write_bytes(b"nothing")
            self.assertIn("no marshal's configuration", self.call("check", file, code=1))

    def test_waves_drill_and_plots(self):
        """Rows written by `waves` must be readable by `plot`; unknown cases, defects and formats must exit with 1."""
        self.assertIn("no case nothing", self.call("waves", "nothing", code=1))
        with tempfile.TemporaryDirectory() as folder:
            rows, image = Path(folder) / "now.jsonl", Path(folder) / "levels.png"
            result = json.loads(self.call("waves", "all+20", "--seeds", "2", "--jobs", "1", "--rows", rows, "--json"))
            self.assertEqual(result["cases"][0]["waves"], 2)
            self.call("plot", "errors", image, rows)
            self.assertEqual(image.read_bytes()[:4], b"\x89PNG")
            self.assertIn(".png or .svg", self.call("plot", "errors", Path(folder) / "x.gif", rows, code=1))
        self.assertIn("no defect", self.call("drill", "verdict", "--plant", "nothing", code=1))

    def test_a_balancer_imports_no_tools(self):
        """A balancer must start without the command line, plans, the model, numpy and structlog."""
        code = (
            "import sys, brookreach.__main__; print([m for m in sys.modules if m.startswith(("
            "'brookreach.cli', 'brookreach.model', 'brookreach.verdict', 'brookreach.simulation', 'click', 'numpy',"
            "'structlog', 'msgspec', 'matplotlib'))])"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parent.parent,
            env=os.environ | {"PYTHONPATH": "."},
        )
        self.assertEqual(done.stdout.strip(), "[]")

    def test_json_lines(self):
        """A log text with a line break must become one JSON object, whose event has no line break any more."""
        from brookreach.cli.structured import json_writer
        from brookreach.net.report import Report

        old, sys.stderr = sys.stderr, io.StringIO()
        try:
            Report("n1", 10, json_writer("n1")).log("module", "build 2\n stage 0")
            result = json.loads(sys.stderr.getvalue())
        finally:
            sys.stderr = old
        self.assertEqual((result["marshal"], result["kind"], result["event"]), ("n1", "module", "build 2 stage 0"))
