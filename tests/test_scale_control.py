"""`scale control` and `scale storm`: work counted in ratios, under the virtual clock and between real processes."""

import json
import random
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from brookreach.cli.main import main
from brookreach.cli.scale_control import collect_results
from brookreach.coordination.timing import Timing
from brookreach.scale import control, control_counts, control_table, storm, storm_table
from brookreach.scale.control import last_ms
from brookreach.scale.control_cluster import NotSettled, Size, shares
from brookreach.scale.control_day import FULL_DAY, RACK, Agreed, share
from brookreach.scale.hollow_process import Progress
from brookreach.scale.hollow_protocol import Figures, Step

HERE = Path(__file__).parent.parent


class WorkTests(unittest.TestCase):
    NODES = 60

    def counted(self, marshals):
        return control_counts.count(marshals, self.NODES, 3, Timing())

    def test_a_start_of_all_tells_each_marshal_of_each_and_of_all_nodes_at_most_once(self):
        """The bounds are what is told today: the square of the marshals, and marshals x nodes. To be tightened."""
        for marshals in (8, 16, 32):
            found = self.counted(marshals)
            self.assertLessEqual(found.start_marshal_rows, marshals**2)  # 64, 256, 1,024
            self.assertLessEqual(found.start_node_rows, marshals * self.NODES)  # 480, 960, 1,920
            self.assertGreater(found.start_node_rows, 0)  # the counter counts

    def test_a_record_costs_a_marshal_the_same_whatever_their_number(self):
        few, many = self.counted(8), self.counted(32)
        self.assertEqual((few.rows_a_record, many.rows_a_record), (1.0, 1.0))  # told to each, once
        self.assertLess(many.bytes_a_record / few.bytes_a_record, 1.05)
        self.assertLess(many.idle_bytes_in / few.idle_bytes_in, 1.05)

    def test_the_bytes_of_a_start_are_what_the_fitted_line_says_at_a_size_that_it_has_not_seen(self):
        quiet = lambda done, of: None  # noqa: E731
        line = control_counts.slopes(control_counts.run((8, 16, 32), (50, 80), 3, Timing(), quiet))[0]
        seen = control_counts.count(24, 120, 3, Timing()).start_bytes
        self.assertLess(abs(line.at({"marshals": 24.0, "nodes": 120.0}) / seen - 1.0), 0.05)


class ProcessesTests(unittest.TestCase):
    """The program's own command line, with real keepers on loopback."""

    def played(self, *words_):
        done = subprocess.run(
            [sys.executable, "-m", "brookreach", "scale", *words_, "--json"],
            cwd=HERE,
            capture_output=True,
            timeout=600,
            check=False,
        )
        self.assertEqual(done.returncode, 0, done.stderr.decode())
        return json.loads(done.stdout)

    def test_control(self):
        told = self.played("control", "--quick")
        first, second = told["runs"]
        day = share(first["changes"])
        self.assertEqual((first["marshals"], second["marshals"]), (8, 16))
        for run in (first, second):
            self.assertEqual((run["failed"], run["unreached"]), (0, 0))
            self.assertEqual(run["records"], day.records + 1)  # and the budgets
            self.assertLessEqual(run["rows_a_record"], 1.0)  # none is told twice
            self.assertLess(run["bytes_a_record"], 250.0)
        ratio = second["bytes_a_record"] / first["bytes_a_record"]
        self.assertLess(ratio, 1.3)
        self.assertEqual({slope["points"] for slope in told["slopes"]}, {2})

    def test_a_start_of_all(self):
        first, second = self.played("storm", "--quick", "--what", "start")["runs"]
        for run in (first, second):
            self.assertLessEqual(run["marshal_rows"], run["marshals"] ** 2)
            self.assertLessEqual(run["rows"] - run["marshal_rows"], run["marshals"] * run["nodes"])
            self.assertLessEqual(run["worst_bytes"], run["bytes_in"])
        self.assertLess(second["bytes_in"] / first["bytes_in"], 2.6)  # twice the marshals: 2 and a square's part


class InputTests(unittest.TestCase):
    def refused(self, *words_):
        """Its one line of error."""
        done = CliRunner().invoke(main, ["scale", *words_])
        self.assertEqual(done.exit_code, 2, done.output)
        return done.output.strip().splitlines()[-1]

    def test_sizes_that_are_not_allowed_are_named(self):
        line = self.refused("control", "--marshals", "100,many")
        self.assertIn("--marshals", line)
        self.assertIn("'many' in '100,many': 2 to 1500 is allowed", line)
        self.assertIn("each number once", self.refused("storm", "--marshals", "8,8"))
        self.assertIn("'1' in '1'", self.refused("control", "--marshals", "1"))
        self.assertIn("--keepers", self.refused("control", "--keepers", "4"))
        self.assertIn("--nodes", self.refused("storm", "--nodes", "5"))

    def test_what_would_not_fit_the_memory_is_not_begun(self):
        line = self.refused("control", "--marshals", "890", "--nodes", "12000")
        for part in ("--marshals", "890 marshals with 12000 nodes", "--memory-mb 2048", "fewer marshals or nodes"):
            self.assertIn(part, line)

    def test_a_lease_that_ends_at_each_election_is_refused(self):
        line = self.refused("storm", "--lease-ms", "1000", "--election-ms", "900")
        self.assertIn("1000 with --election-ms 900; 2700 or more is allowed", line)

    def test_a_line_that_is_no_command_ends_a_hollow_process_with_2(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "group.toml"
            subprocess.run([sys.executable, "-m", "brookreach", "fleet", "key", f"{folder}/key"], cwd=HERE, check=True)
            file.write_text(
                '[group]\nname = "g"\nkey = "key"\n[[keeper]]\nname = "k1"\nlisten = "127.0.0.1:19999"\ndisk = "k1"\n'
            )
            done = subprocess.run(
                [sys.executable, "-m", "brookreach", "scale", "hollow", str(file), "--count", "2"],
                cwd=HERE,
                input=b'{"type":"Begin","at_once":-}\n',
                capture_output=True,
                timeout=120,
                check=False,
            )
        self.assertEqual(done.returncode, 2, done.stderr)
        self.assertIn(b"Begin, Mark, Report and End are allowed", done.stderr)
        self.assertEqual(len(done.stderr.splitlines()), 1)


class PartsTests(unittest.TestCase):
    def test_a_share_of_a_day_keeps_its_proportions(self):
        self.assertEqual(share(1_100), FULL_DAY)
        self.assertEqual(FULL_DAY.records, 1_100 + 3 * 1_600 + 2 * (30 + RACK))
        self.assertEqual((share(110).restarts, share(110).failures), (160, 3))

    def test_each_marshal_has_one_zone(self):
        for marshals in (6, 47, 48, 100, 101):
            dealt = shares(Size(marshals, 50, 3))
            self.assertEqual(sum(count for _, _, count in dealt), marshals)
            firsts = [first for _, first, _ in dealt]
            self.assertEqual(firsts, [sum(count for _, _, count in dealt[:at]) for at in range(len(dealt))])

    def test_progress_is_that_of_the_slowest(self):
        chance, names = random.Random(4), ("a", "b", "c")
        progress, places = Progress(names), dict.fromkeys(names, 0)
        for _ in range(300):
            name = chance.choice(names)
            places[name] = chance.randrange(40)
            progress.moved(name, places[name])
            self.assertEqual(progress.lowest, min(places.values()))
        lowest = [step.index for step in progress.steps]
        self.assertTrue(all(one != other for one, other in zip(lowest, lowest[1:], strict=False)))

    def test_the_last_marshal_of_the_slowest_process_counts(self):
        steps = [[Step(10.0, 5), Step(40.0, 9)], [Step(12.0, 4), Step(90.0, 12)]]
        self.assertEqual(last_ms(steps, Agreed(8.0, 5)), 82.0)
        self.assertEqual(last_ms(steps, Agreed(8.0, 9)), 82.0)
        self.assertIsNone(last_ms(steps, Agreed(8.0, 10)))  # one process never had it
        self.assertEqual(last_ms([[Step(5.0, 30), Step(11.0, 30)]], Agreed(8.0, 20)), 3.0)  # not what was before

    def test_the_worst_instant_is_that_of_all_processes_together(self):
        def report(buckets):
            return Figures(0.0, 0.0, 0, 0, 0, 0, {}, 0, 0.0, 0, (), buckets)

        self.assertEqual(storm.worst([report({1: 5, 2: 7}), report({2: 1, 3: 6}), report({3: 4})]), 10)

    def test_a_square_is_found_where_there_is_one(self):
        def run(marshals):
            return storm.StormRun("w", marshals, 9, 3, 10 + 3 * marshals + marshals**2, 1, 1, marshals**2, 1.0, 0, 1)

        line, rows = storm_table.slopes([run(marshals) for marshals in (10, 20, 40, 70)])
        self.assertAlmostEqual(line.per_unit["marshals"], 3.0, places=6)
        self.assertAlmostEqual(line.per_unit["marshals squared"], 1.0, places=6)
        self.assertAlmostEqual(rows.per_unit["marshals squared"], 1.0, places=6)
        self.assertEqual(storm_table.slopes([run(10), run(20)]), [])  # a line through two points would hide it

    def test_what_was_measured_before_a_failure_is_kept(self):
        def runs():
            yield 1
            yield 2
            raise NotSettled("299 of 300")

        self.assertEqual(collect_results(runs()), ([1, 2], "299 of 300"))
        self.assertEqual(collect_results(iter((3,))), ([3], ""))

        def stopped():
            yield 4
            raise KeyboardInterrupt

        self.assertEqual(collect_results(stopped()), ([4], "it was told to end"))

    def test_a_disturbed_run_is_no_point_of_a_slope(self):
        def run(marshals, lost):
            windows = tuple(control.Window(at, at, 100, 100, 10, "k1", at) for at in (0.0, 1000.0, 3000.0))
            return control.worked_out(Size(marshals, 50, 3), windows, control.Outcome(), [], 800 * marshals, lost)

        found = control_table.slopes([run(8, 0), run(16, 0), run(32, 5)])
        self.assertEqual({one.points for one in found}, {2})
        self.assertIn("left out of the fitted lines: 32 marshals", control_table.text([run(8, 0), run(32, 5)]))

    def test_a_leader_that_changed_has_no_share(self):
        windows = [
            control.Window(at, 1.0, 100, 100, 10, leader, 1.0)
            for at, leader in ((0.0, "k1"), (1000.0, "k1"), (2000.0, "k2"))
        ]
        run = control.worked_out(Size(8, 50, 3), tuple(windows), control.Outcome(), [], 800, 1)
        self.assertNotEqual(run.leader_share, run.leader_share)
        self.assertEqual(run.resident_bytes, 100.0)


if __name__ == "__main__":
    unittest.main()
