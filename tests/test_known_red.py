"""CI passes over just the failures that KNOWN-RED.txt names, and refuses a list that is wrong or out of date."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

CI = Path(__file__).resolve().parent.parent / ".ci"
sys.path.insert(0, str(CI))
import known_red  # noqa: E402

sys.path.remove(str(CI))

SAMPLE = """
import unittest

class Sample(unittest.TestCase):
    def test_good(self): pass
    def test_red(self): self.fail("as known")
    def test_parts(self):
        for one in range(3):
            with self.subTest(one): self.assertEqual(one, 1)
    def test_error(self): raise KeyError("x")
    @unittest.expectedFailure
    def test_unexpected(self): pass
    @unittest.skip("not here")
    def test_skipped(self): pass
"""
GOOD = """
import unittest

class Sample(unittest.TestCase):
    def test_good(self): pass
"""
# The settings of pytest are the project's, but for the number of workers.
ENVIRONMENT = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
ENVIRONMENT["PYTEST_XDIST_AUTO_NUM_WORKERS"] = "2"
REDS = ("test_error", "test_parts", "test_red", "test_unexpected")


RUN = "$ brookreach drill sample --seed 7 | 7 | 2 rules broken | 40\n"


def line(test, cause="the cause", issue="issue 40"):
    return f"tests.test_sample.Sample.{test} | {cause} | {issue}\n"


class RunTest(unittest.TestCase):
    """The command in a project of its own, with the tests named in it alone."""

    def run_ci(self, listed=None, without=(), sample=SAMPLE, folders=()):
        with tempfile.TemporaryDirectory() as folder:
            root = Path(folder)
            (root / ".ci").mkdir()
            (root / "tests").mkdir()
            (root / ".ci" / "known_red.py").write_text((CI / "known_red.py").read_text())
            for name in without:
                sample = sample.replace(f"def {name}(self)", f"def not_{name}(self)")
            (root / "tests" / "__init__.py").touch()
            (root / "tests" / "test_sample.py").write_text(sample)
            for name, package in folders:
                (root / "tests" / name).mkdir()
                (root / "tests" / name / "test_sample.py").write_text(GOOD)
                if package:
                    (root / "tests" / name / "__init__.py").touch()
            if listed is not None:
                (root / "KNOWN-RED.txt").write_text(listed)
            (root / "pyproject.toml").write_text((CI.parent / "pyproject.toml").read_text())
            command = [sys.executable, str(root / ".ci" / "known_red.py")]
            ended = subprocess.run(command, cwd=root, env=ENVIRONMENT, capture_output=True, text=True, timeout=300)
        told, self.closing = ended.stdout.splitlines(), ""
        if ended.returncode != 2:
            self.closing = told.pop()
            self.assertRegex(self.closing, r"^\d+ tests, \d+ subtests: \d+ passed, \d+ failed$")
        return ended.returncode, told, ended.stderr

    def test_without_a_list_each_failure_counts(self):
        code, told, _ = self.run_ci()
        self.assertEqual((code, told), (1, [f"failed: tests.test_sample.Sample.{one}" for one in REDS]))
        self.assertEqual(self.closing, "6 tests, 3 subtests: 1 passed, 4 failed")
        self.assertEqual(self.run_ci(without=REDS)[:2], (0, []))
        self.assertEqual(self.closing, "2 tests, 0 subtests: 1 passed, 0 failed")

    def test_listed_failures_are_printed_and_passed_over(self):
        code, told, _ = self.run_ci(
            line("test_red") + "\n" + line("test_parts", "another"), without=("test_error", "test_unexpected")
        )
        self.assertEqual(code, 0)
        self.assertEqual(
            told,
            [f"known red, passed over: {one.strip()}" for one in (line("test_red"), line("test_parts", "another"))],
        )

    def test_a_listed_command_is_printed_beside_the_tests_and_not_run(self):
        listed = RUN + line("test_red") + RUN.replace("7", "8")
        code, told, _ = self.run_ci(listed, without=("test_error", "test_unexpected", "test_parts"))
        self.assertEqual(code, 0)
        not_run = [f"known red, not run here: {one[2:].strip()}" for one in (RUN, RUN.replace("7", "8"))]
        self.assertEqual(told, [*not_run, f"known red, passed over: {line('test_red').strip()}"])
        self.assertEqual(self.closing, "3 tests, 0 subtests: 1 passed, 1 failed")

    def test_a_listed_command_passes_over_no_test(self):
        code, told, _ = self.run_ci(RUN, without=("test_error", "test_unexpected", "test_parts"))
        self.assertEqual((code, told[1:]), (1, ["failed: tests.test_sample.Sample.test_red"]))

    def test_only_the_listed_ones(self):
        code, told, _ = self.run_ci(line("test_red"), without=("test_error", "test_unexpected"))
        self.assertEqual((code, told[1:]), (1, ["failed: tests.test_sample.Sample.test_parts"]))

    def test_a_listed_test_that_passes_or_is_skipped_must_come_off(self):
        for name in ("test_good", "test_skipped"):
            code, told, _ = self.run_ci(line(name), without=REDS)
            self.assertEqual(
                (code, told),
                (1, [f"KNOWN-RED.txt lists tests.test_sample.Sample.{name}, which did not fail: take its line off"]),
            )

    def test_a_list_that_is_wrong_is_refused_before_any_test(self):
        cases = (
            (line("test_red", cause="x" * 400), "line 1: 4.. characters; 400 at most are allowed"),
            (RUN * 2, "line 2: brookreach drill sample --seed 7 | 7 stands there twice"),
            (RUN.replace("| 7", "| any"), "line 1: seed 'any' stands there; a whole number is allowed"),
            (RUN.replace("| 7", ""), "line 1: .* `\\$ command | seed | what was seen | issue` is allowed"),
            (RUN.removeprefix("$ "), "line 1: .* `test id | cause | issue` is allowed"),
            (line("test_none"), "tests.test_sample.Sample.test_none: no such test"),
            ("tests.test_sample.Sample | a class | issue 40\n", "tests.test_sample.Sample: no such test"),
            (line("test_red") * 2, "line 2: tests.test_sample.Sample.test_red stands there twice"),
            ("tests.test_sample.Sample.test_red | no issue\n", "line 1: .* `test id | cause | issue` is allowed"),
            (line("test_red", cause=""), "line 1: .* is allowed"),
        )
        for listed, why in cases:
            with self.subTest(listed):
                code, told, errors = self.run_ci(listed)
                self.assertEqual((code, told), (2, []))
                self.assertRegex(errors, f"^KNOWN-RED.txt: {why}".replace("|", r"\|"))

    def test_a_file_that_can_not_be_read_or_no_test_at_all_fails(self):
        code, told, _ = self.run_ci(sample="import none_such\n")
        self.assertEqual((code, told), (1, ["failed: unittest.loader._FailedTest.tests.test_sample"]))
        self.assertEqual(self.run_ci(sample="")[:2], (1, ["no test ran"]))

    def test_a_class_that_can_not_be_set_up_is_not_passed_over(self):
        sample = SAMPLE + "    @classmethod\n    def setUpClass(cls): raise OSError('in use')\n"
        code, told, _ = self.run_ci(line("test_red"), sample=sample)
        self.assertEqual(code, 1)
        self.assertIn("failed: setUpClass (tests.test_sample.Sample)", told)

    def test_folders_are_searched_and_both_runners_must_find_the_same(self):
        self.assertEqual(self.run_ci(sample=GOOD, folders=[("inner", True)])[:2], (0, []))
        self.assertEqual(self.closing, "2 tests, 0 subtests: 2 passed, 0 failed")
        code, told, _ = self.run_ci(sample=GOOD, folders=[("loose", False)])
        self.assertEqual(code, 1)
        self.assertTrue(told and all(one.endswith("not found by unittest") for one in told), told)
        loaded = "def load_tests(loader, tests, pattern): return unittest.TestSuite([Hidden('runTest')])\n"
        hidden = "class Hidden(unittest.TestCase):\n    def runTest(self): pass\n"
        code, told, _ = self.run_ci(sample=GOOD + hidden + loaded)
        self.assertEqual(code, 1)
        self.assertIn("failed: tests.test_sample.Sample.test_good: not found by unittest", told)

    def test_a_worker_that_dies_is_not_passed_over(self):
        dies = GOOD.replace("test_good(self): pass", "test_red(self): __import__('os')._exit(1)")
        code, told, _ = self.run_ci(line("test_red"), sample=dies)
        self.assertEqual(code, 1)
        self.assertIn("failed: worker crashed in tests.test_sample.Sample.test_red", told)


class ListTest(unittest.TestCase):
    def test_the_list_of_this_project_is_in_form(self):
        path = CI.parent / known_red.FILE
        known_red.read(path.read_text() if path.exists() else "")


if __name__ == "__main__":
    unittest.main()
