"""Operators' orders about work, by the program's own command line: three keepers and agents as processes, loopback.

A schedule, a gang, a release and a halt outlive the leader that agreed them; what is wrong changes nothing.
"""

import re
import signal
import tempfile
import unittest
from datetime import UTC, datetime, timedelta
from pathlib import Path

from click.testing import CliRunner

from brookreach.cli.main import main
from tests.disruption.processes import KEEPERS, Town, TownCase

DEPLOY = Path(__file__).parent.parent.parent / "deploy"
POWER = """
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
GANGS = """
[[gang]]
name = "{name}"
members = {members}
room = 2
work_ms = 600_000
cost_ms = 1000
load_ms = 1000
deadline = {deadline}
"""


class Asks(Town):
    def power(self, name, version, ago=0):
        """A file of ten days, from today on or from some days ago: what is over is refused."""
        day = datetime.now(UTC).date() - timedelta(ago)
        return self.put(name, POWER.format(version=version, day=day, later=day + timedelta(10)))

    def put(self, name, text):
        (self.folder / name).write_text(text)
        return str(self.folder / name)

    async def say(self, *words, code=0):
        got, text = await self.command("ask", str(self.file), *words)
        assert got == code, (words, text)
        assert "Traceback" not in text, text
        return text


class AsksTest(TownCase):
    def test_orders_about_work_outlive_a_leader_and_wrong_ones_change_nothing(self):
        self.played(Asks)

    async def play(self, town):
        await self.founded(town)
        for name in KEEPERS:
            town.keep(name)
        town.start("agents", "fleet", "agent", str(town.file), str(town.folder / "n1.json"), "--room", "4")
        await town.until(lambda: town.log("agents").count("ready, life") >= len(town.names), "agents are heard")
        await town.say("budgets")
        await self.agreed(town)
        before = await town.shown()
        self.held(before)
        await self.refused(town, before)
        lost = town.leader()
        town.processes[lost].send_signal(signal.SIGKILL)
        town.processes[lost].wait()
        await town.until(town.leader, "another leads")
        after = await town.shown()
        self.held(after)
        for table in ("schedule", "gangs", "releases", "halt", "assigned", "rooms"):
            self.assertEqual(after[table], before[table], table)
        await self.goes_on(town)
        self.assertNotIn("Traceback", "".join(town.log(name) for name in town.processes))

    async def agreed(self, town):
        self.assertIn("schedule 1 is in force", await town.say("schedule", town.power("power.toml", 1)))
        gangs = town.put(
            "gangs.toml",
            "".join(GANGS.format(name=name, members=2, deadline="2090-01-01T00:00:00Z") for name in ("one", "two")),
        )
        text = await town.say("gang", gangs, "--name", "two")
        self.assertRegex(text, r"two: agreed at place \d+")
        self.assertNotIn("one", text)
        await town.say("retire", town.names[0], "2090-01-01T00:00:00+02:00")
        self.assertIn(
            "build 900 on, stage 1 of 2",
            await town.say("release", "900", "--earlier", "1", "--shares", "500,1000", "--caps", "300,1000"),
        )
        text = await town.say("halt", "--reason", "storm")
        self.fence = int(re.search(r"halt (\d+)", text).group(1))

    def held(self, tables):
        """Each row that was agreed."""
        self.assertEqual(tables["schedule"]["all"]["version"], 1)
        self.assertEqual(set(tables["gangs"]), {"two"})
        self.assertEqual(tables["gangs"]["two"]["state"], "waiting")  # its members' agents aren't here
        self.assertEqual(
            {key: (row["state"], row["stage"]) for key, row in tables["releases"].items()}, {"900": ("halted", 1)}
        )
        self.assertEqual(tables["halt"]["all"]["fence"], self.fence)
        self.assertEqual([bool(row["retires_ms"]) for _, row in sorted(tables["nodes"].items())].count(True), 1)

    async def refused(self, town, before):
        """One clear line and exit 1 each, and nothing else than before stands."""
        over = self.line(await town.say("schedule", town.power("over.toml", 2, ago=20), code=1))
        self.assertRegex(over, r"refused at part 3 of 3: version 2 ended at .*schedule 1 is in force")
        many = GANGS.format(name="x", members=200, deadline="2090-01-01T00:00:00Z")
        self.assertIn("can never run", self.line(await town.say("gang", town.put("bad.toml", many), code=1)))
        self.assertIn(
            "halt",
            self.line(await town.say("release", "901", "--earlier", "1", "--shares", "1000", "--caps", "1000", code=1)),
        )
        after = await town.shown()
        for table in before.keys() - {"sessions"}:
            self.assertEqual(after[table], before[table], table)

    def line(self, text):
        self.assertEqual(text.count("\n"), 1, text)
        return text

    async def goes_on(self, town):
        """The next leader takes orders of each piece, too."""
        self.assertIn("sent back", await town.say("send-back", "900", "--reason", "test"))
        self.assertIn("two failed", await town.say("cancel", "two", "--reason", "test"))
        await town.say("retire", town.names[0], "withdraw")
        self.assertIn("no longer counts", await town.say("drop-schedule", "1"))


class FilesTest(unittest.TestCase):
    """What stands wrong in a file or in words is told before any keeper is sought."""

    def told(self, *words, code=1):
        done = CliRunner().invoke(main, words)
        self.assertEqual(done.exit_code, code, done.output)
        return done.output

    def test_wrong_files_and_words_are_told_in_one_line(self):
        with tempfile.TemporaryDirectory() as folder:
            town = Asks(Path(folder))
            good = GANGS.format(name="x", members=2, deadline="2090-01-01T00:00:00Z")
            power = Path(town.power("power.toml", 1)).read_text()
            gone = str(town.folder / "none.toml")
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
                    told = self.told("fleet", "ask", gone, what, town.put("bad.toml", text))
                    self.assertEqual(told.count("\n"), 1, told)
                    for part in parts:
                        self.assertIn(part, told)
            self.assertIn(
                "no gang 'y'; x stand there",
                self.told("fleet", "ask", gone, "gang", town.put("g.toml", good), "--name", "y"),
            )
            self.assertIn("has no offset", self.told("fleet", "ask", gone, "retire", "s-0", "2090-01-01T00:00"))
            self.assertIn(
                "'some'; thousandths",
                self.told(
                    "fleet", "ask", gone, "release", "7", "--earlier", "6", "--shares", "some", "--caps", "1000", code=2
                ),
            )
            self.assertIn(
                "caps[0]",
                self.told("fleet", "ask", gone, "release", "7", "--earlier", "6", "--shares", "1000", "--caps", "1001"),
            )

    def test_check_knows_both_kinds_of_file(self):
        for name, kind in (("gangs.toml", "a list of gangs"), ("power.toml", "a power schedule")):
            self.assertIn(kind, self.told("check", str(DEPLOY / name), code=0))


if __name__ == "__main__":
    unittest.main()
