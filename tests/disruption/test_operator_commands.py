"""Operators' commands by the program's own command line: three replicas and agents as processes, loopback.

A schedule, a gang, a release and a halt survive the loss of the leader; what is rejected changes nothing.
"""

import re
import signal
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

from click.testing import CliRunner

from brookreach.cli.main import main
from tests.disruption.processes import REPLICAS, LocalFleet, LocalFleetTestCase

DEPLOY = Path(__file__).parent.parent.parent / "deploy"
SCHEDULE_FILE = """
[schedule]
version = {version}
unit = "gCO2e/kWh"
[[zone]]
name = "1"
[[row]]
zone = "1"
from = {day}T00:00:00Z
to = {later}T00:00:00Z
grams = 200
"""
GANG_ENTRY = """
[[gang]]
name = "{name}"
members = {members}
room = 2
work_ms = 600_000
cost_ms = 1000
load_ms = 1000
deadline = {deadline}
"""


class OperatorFleet(LocalFleet):
    def write_schedule(self, name, version, ago=0):
        """A file of ten days, from today or from some days ago: one that has ended is rejected."""
        day = datetime.now(UTC).date() - timedelta(ago)
        return self.write_file(name, SCHEDULE_FILE.format(version=version, day=day, later=day + timedelta(10)))

    def write_file(self, name, text):
        (self.folder / name).write_text(text)
        return str(self.folder / name)

    async def ask_operator(self, *words, code=0):
        got, text = await self.command("ask", str(self.file), *words)
        assert got == code, (words, text)
        assert "Traceback" not in text, text
        return text


class AsksTest(LocalFleetTestCase):
    def test_work_survives_failover_and_rejected_commands_change_nothing(self):
        self.run_fleet(OperatorFleet)

    async def check_fleet(self, fleet):
        await self.create_group(fleet)
        for name in REPLICAS:
            fleet.start_replica(name)
        fleet.start("agents", "fleet", "agent", str(fleet.file), str(fleet.folder / "n1.json"), "--room", "4")
        await fleet.wait_until(
            lambda: fleet.log("agents").count("ready, life") >= len(fleet.node_names), "agents are heard"
        )
        await fleet.ask_operator("budgets")
        await self.propose_work(fleet)
        before = await fleet.read_tables()
        self.assert_agreed(before)
        await self.assert_rejected(fleet, before)
        lost = fleet.leader()
        fleet.processes[lost].send_signal(signal.SIGKILL)
        fleet.processes[lost].wait()
        await fleet.wait_until(fleet.leader, "another leads")
        after = await fleet.read_tables()
        self.assert_agreed(after)
        for table in ("schedule", "gangs", "releases", "halt", "assigned", "rooms"):
            self.assertEqual(after[table], before[table], table)
        await self.propose_after_failover(fleet)
        self.assertNotIn("Traceback", "".join(fleet.log(name) for name in fleet.processes))

    async def propose_work(self, fleet):
        self.assertIn(
            "schedule 1 is in force", await fleet.ask_operator("schedule", fleet.write_schedule("power.toml", 1))
        )
        gangs = fleet.write_file(
            "gangs.toml",
            "".join(
                GANG_ENTRY.format(name=name, members=2, deadline="2090-01-01T00:00:00Z") for name in ("one", "two")
            ),
        )
        text = await fleet.ask_operator("gang", gangs, "--name", "two")
        self.assertRegex(text, r"two: agreed at place \d+")
        self.assertNotIn("one", text)
        await fleet.ask_operator("retire", fleet.node_names[0], "2090-01-01T00:00:00+02:00")
        self.assertIn(
            "build 900 on, stage 1 of 2",
            await fleet.ask_operator("release", "900", "--earlier", "1", "--shares", "500,1000", "--caps", "300,1000"),
        )
        text = await fleet.ask_operator("halt", "--reason", "storm")
        self.fence = int(re.search(r"halt (\d+)", text).group(1))

    def assert_agreed(self, tables):
        """Each row that was agreed is there."""
        self.assertEqual(tables["schedule"]["all"]["version"], 1)
        self.assertEqual(set(tables["gangs"]), {"two"})
        self.assertEqual(tables["gangs"]["two"]["state"], "waiting")  # its members' agents aren't here
        self.assertEqual(
            {key: (row["state"], row["stage"]) for key, row in tables["releases"].items()}, {"900": ("halted", 1)}
        )
        self.assertEqual(tables["halt"]["all"]["fence"], self.fence)
        self.assertEqual([bool(row["retires_ms"]) for _, row in sorted(tables["nodes"].items())].count(True), 1)

    async def assert_rejected(self, fleet, before):
        """One clear line and exit code 1 each, and no row changes."""
        over = self.single_line(
            await fleet.ask_operator("schedule", fleet.write_schedule("over.toml", 2, ago=20), code=1)
        )
        self.assertRegex(over, r"refused at part 3 of 3: version 2 ended at .*schedule 1 is in force")
        many = GANG_ENTRY.format(name="x", members=200, deadline="2090-01-01T00:00:00Z")
        self.assertIn(
            "can never run",
            self.single_line(await fleet.ask_operator("gang", fleet.write_file("bad.toml", many), code=1)),
        )
        self.assertIn(
            "halt",
            self.single_line(
                await fleet.ask_operator(
                    "release", "901", "--earlier", "1", "--shares", "1000", "--caps", "1000", code=1
                )
            ),
        )
        after = await fleet.read_tables()
        for table in before.keys() - {"sessions"}:
            self.assertEqual(after[table], before[table], table)

    def single_line(self, text):
        self.assertEqual(text.count("\n"), 1, text)
        return text

    async def propose_after_failover(self, fleet):
        """The next leader takes commands of each application, too."""
        self.assertIn("sent back", await fleet.ask_operator("send-back", "900", "--reason", "test"))
        self.assertIn("two failed", await fleet.ask_operator("cancel", "two", "--reason", "test"))
        await fleet.ask_operator("retire", fleet.node_names[0], "withdraw")
        self.assertIn("no longer counts", await fleet.ask_operator("drop-schedule", "1"))


class FilesTest(unittest.TestCase):
    """Errors in files and arguments are reported before any replica is contacted."""

    def output_of(self, *words, code=1):
        done = CliRunner().invoke(main, words)
        self.assertEqual(done.exit_code, code, done.output)
        return done.output

    def test_invalid_files_and_arguments_are_reported_in_one_line(self):
        with tempfile.TemporaryDirectory() as folder:
            fleet = OperatorFleet(Path(folder))
            good = GANG_ENTRY.format(name="x", members=2, deadline="2090-01-01T00:00:00Z")
            power = Path(fleet.write_schedule("power.toml", 1)).read_text()
            gone = str(fleet.folder / "none.toml")
            cases = [
                ("gang", good + "price = 3\n", ("price", "gang[0]")),
                ("gang", good.replace("Z", ""), ("gang[0].deadline: 2090-01-01 00:00:00 has no offset",)),
                ("gang", good.replace("2090", "1990"), ("gang[0]", "deadline_ms", "is the soonest")),
                ("gang", good + good, ("gang[1].name: 'x' stands twice",)),
                ("gang", good + 'zones = ["", "b"]\n', ("Submit", "zones[0]")),
                ("schedule", power.replace("T00:00:00Z", "T00:00:00"), ("row[0]", "has no offset")),
                (
                    "schedule",
                    power.replace("gCO2e/kWh", "lb/MWh"),
                    ("schedule.unit: 'lb/MWh'; 'gCO2e/kWh' is allowed",),
                ),
                ("schedule", power.replace("grams = 200", "grams = 9000"), ("row[0]", "0 to 3000")),
                ("schedule", "[[", ("no TOML",)),
            ]
            for what, text, parts in cases:
                with self.subTest(what=what, parts=parts):
                    told = self.output_of("fleet", "ask", gone, what, fleet.write_file("bad.toml", text))
                    self.assertEqual(told.count("\n"), 1, told)
                    for part in parts:
                        self.assertIn(part, told)
            self.assertIn(
                "no gang 'y'; x stand there",
                self.output_of("fleet", "ask", gone, "gang", fleet.write_file("g.toml", good), "--name", "y"),
            )
            self.assertIn("has no offset", self.output_of("fleet", "ask", gone, "retire", "s-0", "2090-01-01T00:00"))
            self.assertIn(
                "'some'; thousandths",
                self.output_of(
                    "fleet", "ask", gone, "release", "7", "--earlier", "6", "--shares", "some", "--caps", "1000", code=2
                ),
            )
            self.assertIn(
                "caps[0]",
                self.output_of(
                    "fleet", "ask", gone, "release", "7", "--earlier", "6", "--shares", "1000", "--caps", "1001"
                ),
            )

    def test_check_recognizes_both_kinds_of_file(self):
        for name, kind in (("gangs.toml", "a list of gangs"), ("power.toml", "a power schedule")):
            self.assertIn(kind, self.output_of("check", str(DEPLOY / name), code=0))


if __name__ == "__main__":
    unittest.main()
