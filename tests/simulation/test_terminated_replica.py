"""A replica that is told to stop ends with 0 once it listens; before that the signal itself may end it.

What was seen: on a busy core `drill fleet --processes 3` broke "SIGTERM ends it with 0" on seed 9, on 2 of 3 runs, exit code -15. The log of
the life that ended was empty on one and had none of its lines on the other: it had not begun to listen, so the signal came while
Python was importing modules, where no handler stands yet and nothing is owed.
"""

import signal
import tempfile
import unittest
from pathlib import Path
from types import SimpleNamespace

import anyio

from brookreach.simulation.coordination.process_drill import ProcessRun
from brookreach.simulation.processes.application_drill import SIGTERM_RULE
from brookreach.simulation.processes.program import ProgramProcess

LISTENS = "k1 keeper: k1 listens, 3 seats, place 0\n"


class Replica(ProgramProcess):
    """One whose lives have logged this, and whose last one ends with a code."""

    def __init__(self, folder, lives, code):
        super().__init__("k1", folder / "k1", ())
        self.code = code
        for text in lives:
            self._log_start = self.log_path.stat().st_size if self.log_path.exists() else 0
            with self.log_path.open("a") as log:
                log.write(text)

    def terminate(self):
        return self.code

    def start(self):
        pass


class TerminatedTest(unittest.TestCase):
    def broken(self, lives, code):
        found = []
        with tempfile.TemporaryDirectory() as folder:
            run = ProcessRun.__new__(ProcessRun)
            run._processes = SimpleNamespace(by_name={"k1": Replica(Path(folder), lives, code)})
            run._report = SimpleNamespace(record_check=lambda rule: None)
            run._report_violation = lambda rule, text: found.append(rule)
            anyio.run(run._terminate, "k1", 0.0)
        return found

    def test_once_it_listens_it_ends_with_0(self):
        self.assertEqual(self.broken([LISTENS], 0), [])
        for code in (-signal.SIGTERM, 1, 2):
            self.assertEqual(self.broken([LISTENS], code), [SIGTERM_RULE])

    def test_before_that_the_signal_may_end_it_and_nothing_else(self):
        self.assertEqual(self.broken([""], -signal.SIGTERM), [])
        self.assertEqual(self.broken([LISTENS, ""], -signal.SIGTERM), [])
        self.assertEqual(self.broken([LISTENS, ""], 1), [SIGTERM_RULE])
        self.assertEqual(self.broken(["", LISTENS], -signal.SIGTERM), [SIGTERM_RULE])


if __name__ == "__main__":
    unittest.main()
