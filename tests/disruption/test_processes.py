"""Three replicas, two balancers and agents as processes of the program, on loopback; nodes, discovery and clients here.

Checked are the queries of nodes, the answers to operators and the logs of balancers.
"""

import re
import signal
import time
import unittest

import anyio

from tests.disruption.processes import DRAIN_GRACE_S, REPLICAS, LocalFleet, LocalFleetTestCase


class ProcessesTest(LocalFleetTestCase):
    def test_drain_halt_and_withdrawal_survive_failover(self):
        self.run_fleet(LocalFleet)

    async def check_fleet(self, fleet):
        await self.create_group(fleet)
        async with anyio.create_task_group() as tasks:
            await tasks.start(fleet.site.run)
            for name in REPLICAS:
                fleet.start_replica(name)
            for name in fleet.balancers:
                fleet.start(name, "run", str(fleet.folder / f"{name}.json"), "--fleet", str(fleet.file))
            fleet.start("agents", "fleet", "agent", str(fleet.file), str(fleet.folder / "n1.json"))
            for name in fleet.balancers:
                await fleet.wait_until(lambda name=name: "session" in fleet.log(name), f"{name} joins")
                tasks.start_soon(fleet.send_queries, name)
            await fleet.wait_until(
                lambda: fleet.log("agents").count("ready, life") >= len(fleet.node_names), "agents are heard"
            )
            await fleet.wait_until(
                lambda: all(fleet.query_count(node) for node in fleet.node_names), "all nodes have RPCs"
            )
            await self.check_drain(fleet)
            await self.check_halt(fleet)
            await self.check_failover(fleet)
            await self.check_withdrawal(fleet)
            await self.check_shutdown(fleet)
            tasks.cancel_scope.cancel()

    async def check_drain(self, fleet):
        refused = await fleet.run_ask("drain", "s-0", "--name", "early", code=1)
        self.assertIn("no budget", refused)  # nothing goes before budgets stand
        self.assertEqual((await fleet.command("ask", str(fleet.file), "budgets"))[0], 0)
        self.assertIn("d1 given", await fleet.run_ask("drain", "s-0", "--name", "d1"))
        for name in fleet.balancers:
            await fleet.wait_until(lambda name=name: "s-0 drains" in fleet.log(name), f"{name} is told")
        told_at = time.monotonic()
        await anyio.sleep(DRAIN_GRACE_S)
        before, others = fleet.query_count("s-0"), fleet.query_count("s-1")
        await fleet.wait_until(lambda: fleet.query_count("s-1") > others + 8, "other nodes serve")
        self.assertEqual(fleet.query_count("s-0"), before, f"{time.monotonic() - told_at} s after both were told")
        self.assertIn("d2 waiting", await fleet.run_ask("drain", "s-1", "--name", "d2"))  # the budget is one

    async def check_halt(self, fleet):
        self.fence = int(re.search(r"halt (\d+)", await fleet.run_ask("halt")).group(1))
        self.assertIn("d3 waiting", await fleet.run_ask("drain", "s-2", "--name", "d3", "--urgency", "9"))

    async def check_failover(self, fleet):
        lost = fleet.leader()
        fleet.processes[lost].send_signal(signal.SIGKILL)
        fleet.processes[lost].wait()
        await fleet.wait_until(fleet.leader, "another leads")
        tables = await fleet.read_tables()
        self.assertEqual(tables["halt"]["all"]["fence"], self.fence)
        self.assertEqual(
            {name: row["state"] for name, row in tables["permits"].items()},
            {"d1": "given", "d2": "waiting", "d3": "waiting"},
        )
        self.assertEqual({row["standing"] for row in tables["marshals"].values()}, {"ready"})
        fleet.start_replica(lost)

    async def check_withdrawal(self, fleet):
        served = fleet.query_count("s-0")
        await fleet.run_ask("take-back", "d1")
        for name in fleet.balancers:
            await fleet.wait_until(lambda name=name: "s-0 is as discovery has it" in fleet.log(name), f"{name} is told")
        await fleet.wait_until(lambda: fleet.query_count("s-0") > served, "s-0 serves again")
        self.assertIn("refused", await fleet.run_ask("resume", str(self.fence + 1), code=1))
        self.assertEqual((await fleet.read_tables())["permits"]["d3"]["state"], "waiting")  # the halt stands
        await fleet.run_ask("resume", str(self.fence))
        states = {name: row["state"] for name, row in (await fleet.read_tables())["permits"].items()}
        self.assertEqual(states, {"d1": "ended", "d2": "waiting", "d3": "given"})  # the urgent one goes first

    async def check_shutdown(self, fleet):
        """SIGTERM: a balancer ends, the leader transfers its leadership, all exit with 0."""
        for name in ("n2", fleet.leader()):
            fleet.processes[name].terminate()
            await fleet.wait_until(lambda name=name: fleet.processes[name].poll() is not None, f"{name} ends")
            self.assertEqual(fleet.processes[name].returncode, 0, fleet.log(name))
        tables = await fleet.read_tables()
        self.assertEqual(tables["marshals"]["n2"]["standing"], "down")
        self.assertNotIn("fault", "".join(fleet.log(name) for name in fleet.processes))
        self.assertNotIn("Traceback", "".join(fleet.log(name) for name in fleet.processes))


if __name__ == "__main__":
    unittest.main()
