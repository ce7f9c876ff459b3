"""A drill, or a part of one, that ends without a report is named; and drills beside each other share no port."""

import socket
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio
from click.testing import CliRunner

from brookreach.cli.drill import drill
from brookreach.coordination.client.errors import TooManyRequestsError
from brookreach.simulation.carbon_aware import process_drill
from brookreach.simulation.processes import operators
from brookreach.simulation.processes.ports import NoFreePortError, PortAllocator
from brookreach.simulation.processes.program import ProgramProcess, run_process_drill
from brookreach.simulation.report import (
    DRILL_COMPLETES_RULE,
    MissingReportError,
    Report,
    require_report,
    run_concurrently,
)

FIRST, LAST = 29600, 29619  # blocks of ten


class FailingPlay:
    def __init__(self, error):
        self.error = error

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.fail)

    async def fail(self):
        raise self.error


def played_with(error, seeds=2):
    return run_process_drill("power", range(7, 7 + seeds), 3, None, lambda *_: FailingPlay(error))


class NotReportedTest(unittest.TestCase):
    def test_each_seed_that_ends_by_an_error_is_named(self):
        report = played_with(KeyError("power"))
        self.assertFalse(report.passed)
        self.assertEqual(
            [(one.rule, one.case, one.seed) for one in report.violations],
            [(DRILL_COMPLETES_RULE, "power", 7), (DRILL_COMPLETES_RULE, "power", 8)],
        )
        for word in ("power did not report", "KeyError: 'power'", "simulation/test_drill_reports.py"):
            self.assertIn(word, report.as_text())

    def test_too_many_processes_are_bad_input_and_no_missing_report(self):
        made = mock.Mock(side_effect=NoFreePortError("fewer processes are allowed"))
        self.assertRaisesRegex(
            NoFreePortError, "fewer processes", run_process_drill, "power", range(7, 8), 3, None, made
        )

    def test_the_command_names_it_and_exits_1(self):
        with mock.patch.object(process_drill, "Play", side_effect=OSError("no socket")):
            ended = CliRunner().invoke(drill, ["power", "--seeds", "1", "--processes", "3"])
        self.assertEqual(ended.exit_code, 1, ended.output)
        self.assertIn(
            "BROKEN the drill reports: case power, seed 1, 0 ms: power did not report: OSError: no socket", ended.output
        )

    def test_a_part_that_fails_or_was_not_started_is_named(self):
        good = Report("gangs", 1, 1)
        outcomes = run_concurrently({"gangs": lambda: good, "power": lambda: {}["power"]}, 1)
        self.assertIs(require_report(outcomes, "gangs"), good)
        with self.assertRaises(MissingReportError) as failed:
            require_report(outcomes, "power")
        self.assertEqual(failed.exception.part, "power")
        self.assertRegex(str(failed.exception), "^power did not report: KeyError: 'power' .*line")
        self.assertRaisesRegex(
            MissingReportError, "^outages did not report: only gangs, power", require_report, outcomes, "outages"
        )

    def test_a_command_that_fails_or_hangs_is_named(self):
        with tempfile.TemporaryDirectory() as name:
            child = ProgramProcess("k1.found", Path(name) / "k1", ("no-such-command",))
            self.assertRaisesRegex(
                MissingReportError,
                "k1.found did not report: `no-such-command` ends with 2",
                child.run_to_completion,
                300.0,
            )
            self.assertRaisesRegex(MissingReportError, "takes longer than 0 s", child.run_to_completion, 0.0)
            self.assertFalse(child.is_running)


class OpenQuestionsTest(unittest.IsolatedAsyncioTestCase):
    """A client whose keepers are slow to answer may have no place for another question."""

    async def test_it_waits_for_a_place(self):
        operator = object.__new__(operators.Operator)
        operator.replies, tries = {1: "agreed"}, []

        def say(piece, order):
            tries.append(order)
            if len(tries) < 3:
                raise TooManyRequestsError("64 are open")
            return 1

        operator.submit = say
        self.assertEqual(await operator.request("power", "steer", 60.0), "agreed")
        self.assertEqual(tries, ["steer"] * 3)
        operator.submit = mock.Mock(side_effect=TooManyRequestsError("64 are open"))
        self.assertIsNone(await operator.request("power", "steer", 0.05))


class PortsTest(unittest.TestCase):
    def test_blocks_of_two_drills_differ_until_one_ends(self):
        with PortAllocator(FIRST, LAST, block=10) as one, PortAllocator(FIRST, LAST, block=10) as other:
            self.assertEqual((one.allocate(), other.allocate()), (FIRST + 1, FIRST + 11))
            self.assertRaisesRegex(NoFreePortError, "in use by other drills", PortAllocator, FIRST, LAST, 10)
        with PortAllocator(FIRST, LAST, block=10) as again:
            self.assertEqual(again.allocate(), FIRST + 1)

    def test_a_port_on_which_a_stranger_listens_is_passed_over(self):
        with socket.create_server(("127.0.0.1", FIRST + 2)), PortAllocator(FIRST, LAST, block=10) as ports:
            self.assertEqual([ports.allocate(), ports.allocate()], [FIRST + 1, FIRST + 3])


if __name__ == "__main__":
    unittest.main()
