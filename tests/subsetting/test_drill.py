"""The drill passes without defects and finds each injected one; `run` does not import the subsetting package."""

import os
import subprocess
import sys
import unittest
from pathlib import Path

from brookreach.simulation.subsetting import drill

FOUND_BY = {
    "no-hold-down": "stillness",
    "break-before-make": "coverage",
    "gap-taken-as-whole": "",
    "cap-ignored": "caps",
    "two-answers-are-enough": "coverage",
}


class SubsettingDrillTest(unittest.TestCase):
    def test_invariants_hold(self):
        report = drill.run(1, 2)
        self.assertEqual(report.violations, [])
        for rule in ("coverage", "stillness", "agreement", "caps"):
            self.assertGreater(report.checked[rule], 50, rule)

    def test_injected_defects_are_found(self):
        self.assertEqual(set(FOUND_BY), set(drill.DEFECTS))
        for defect, rule in FOUND_BY.items():
            with self.subTest(defect):
                report = drill.run(1, 12, defect)
                self.assertFalse(report.passed)
                self.assertIn(rule, {violation.rule for violation in report.violations} | {""})

    def test_balancer_that_the_platform_starts_imports_no_subsetting(self):
        code = (
            "import sys, brookreach.__main__ as m; m.serve(); "
            "print([n for n in sys.modules if n.startswith(('brookreach.subsetting', 'xxhash', 'msgspec'))])"
        )
        environment = {key: value for key, value in os.environ.items() if key != "PROXY_CONFIG"}
        completed = subprocess.run(
            [sys.executable, "-c", code],
            env=environment | {"PYTHONPATH": "."},
            cwd=Path(__file__).parent.parent.parent,
            capture_output=True,
            text=True,
            timeout=60,
            check=False,  # the assertion below prints stderr
        )
        self.assertEqual(completed.stdout.strip(), "[]", completed.stderr)
