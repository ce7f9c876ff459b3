"""Three keepers, two marshals and agents as processes of the program, on loopback; nodes, discovery and clients here.

What is looked at is what nodes heard, what operators were answered and what marshals logged.
"""

import re
import signal
import time
import unittest

import anyio

from tests.disruption.processes import GRACE_S, KEEPERS, Town, TownCase


class ProcessesTest(TownCase):
    def test_a_drain_is_agreed_halted_and_taken_back_over_the_loss_of_a_leader(self):
        self.played(Town)

    async def play(self, town):
        await self.founded(town)
        async with anyio.create_task_group() as tasks:
            await tasks.start(town.site.run)
            for name in KEEPERS:
                town.keep(name)
            for name in town.marshals:
                town.start(name, "run", str(town.folder / f"{name}.json"), "--fleet", str(town.file))
            town.start("agents", "fleet", "agent", str(town.file), str(town.folder / "n1.json"))
            for name in town.marshals:
                await town.until(lambda name=name: "session" in town.log(name), f"{name} joins")
                tasks.start_soon(town.load, name)
            await town.until(lambda: town.log("agents").count("ready, life") >= len(town.names), "agents are heard")
            await town.until(lambda: all(town.heard(node) for node in town.names), "all nodes have RPCs")
            await self.drained(town)
            await self.halted(town)
            await self.leader_lost(town)
            await self.taken_back(town)
            await self.ended(town)
            tasks.cancel_scope.cancel()

    async def drained(self, town):
        refused = await town.ask("drain", "s-0", "--name", "early", code=1)
        self.assertIn("no budget", refused)  # nothing goes before budgets stand
        self.assertEqual((await town.command("ask", str(town.file), "budgets"))[0], 0)
        self.assertIn("d1 given", await town.ask("drain", "s-0", "--name", "d1"))
        for name in town.marshals:
            await town.until(lambda name=name: "s-0 drains" in town.log(name), f"{name} is told")
        told_at = time.monotonic()
        await anyio.sleep(GRACE_S)
        before, others = town.heard("s-0"), town.heard("s-1")
        await town.until(lambda: town.heard("s-1") > others + 8, "other nodes serve")
        self.assertEqual(town.heard("s-0"), before, f"{time.monotonic() - told_at} s after both were told")
        self.assertIn("d2 waiting", await town.ask("drain", "s-1", "--name", "d2"))  # the budget is one

    async def halted(self, town):
        self.fence = int(re.search(r"halt (\d+)", await town.ask("halt")).group(1))
        self.assertIn("d3 waiting", await town.ask("drain", "s-2", "--name", "d3", "--urgency", "9"))

    async def leader_lost(self, town):
        lost = town.leader()
        town.processes[lost].send_signal(signal.SIGKILL)
        town.processes[lost].wait()
        await town.until(town.leader, "another leads")
        tables = await town.shown()
        self.assertEqual(tables["halt"]["all"]["fence"], self.fence)
        self.assertEqual(
            {name: row["state"] for name, row in tables["permits"].items()},
            {"d1": "given", "d2": "waiting", "d3": "waiting"},
        )
        self.assertEqual({row["standing"] for row in tables["marshals"].values()}, {"ready"})
        town.keep(lost)

    async def taken_back(self, town):
        served = town.heard("s-0")
        await town.ask("take-back", "d1")
        for name in town.marshals:
            await town.until(lambda name=name: "s-0 is as discovery has it" in town.log(name), f"{name} is told")
        await town.until(lambda: town.heard("s-0") > served, "s-0 serves again")
        self.assertIn("refused", await town.ask("resume", str(self.fence + 1), code=1))
        self.assertEqual((await town.shown())["permits"]["d3"]["state"], "waiting")  # the halt stands
        await town.ask("resume", str(self.fence))
        states = {name: row["state"] for name, row in (await town.shown())["permits"].items()}
        self.assertEqual(states, {"d1": "ended", "d2": "waiting", "d3": "given"})  # the urgent one goes first

    async def ended(self, town):
        """SIGTERM: a marshal goes as ever, the leader hands over, all end well."""
        for name in ("n2", town.leader()):
            town.processes[name].terminate()
            await town.until(lambda name=name: town.processes[name].poll() is not None, f"{name} ends")
            self.assertEqual(town.processes[name].returncode, 0, town.log(name))
        tables = await town.shown()
        self.assertEqual(tables["marshals"]["n2"]["standing"], "down")
        self.assertNotIn("fault", "".join(town.log(name) for name in town.processes))
        self.assertNotIn("Traceback", "".join(town.log(name) for name in town.processes))


if __name__ == "__main__":
    unittest.main()
