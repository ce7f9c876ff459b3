"""A node whose start lies in the future, because its clock runs ahead, counts as cold and nothing else."""

import json
import time
import unittest

import anyio

from .helpers import SimulatedDeployment


class Ahead(SimulatedDeployment):
    """Its node starts `ahead_ms` from now; there may be another one, which is warm."""

    def __init__(self, ahead_ms, beside):
        super().__init__()
        self.beside = beside
        self.started = time.time() * 1000.0 + ahead_ms

    def members(self):
        told = json.loads(super().members())
        one = told["members"][0]
        told["members"] = [one | {"up_since_ms": self.started}] + [one | {"id": "s-2"}] * self.beside
        return json.dumps(told)


class AheadTest(unittest.TestCase):
    def answers(self, ahead_ms, beside):
        deployment = Ahead(ahead_ms, beside)

        async def story():
            with anyio.fail_after(30):
                async with deployment.open():  # a balancer that fails is a fault: it ends the test
                    client = await deployment.client()
                    await deployment.answer(client)
                    await deployment.ask(client, "row")
                    await deployment.ask(client, "row")

        anyio.run(story)
        return [line for line in deployment.trace if line.startswith("look")]

    def test_it_counts_as_started_just_now(self):
        now = self.answers(0.0, beside=False)
        for ahead_ms in (2500.0, 60_000.0, 1e21):
            self.assertEqual(self.answers(ahead_ms, beside=False), now, ahead_ms)

    def test_a_warm_one_beside_it_serves(self):
        for ahead_ms in (2500.0, 60_000.0, 1e21):
            self.assertEqual(self.answers(ahead_ms, beside=True), ["look 'row': row 9f03, complete"] * 2, ahead_ms)


if __name__ == "__main__":
    unittest.main()
