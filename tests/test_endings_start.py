"""Real processes, `python -m brookreach`, from exec to exit.

They are ready in each state of the agent; signals come at each moment of a start and a stop; configurations can't be
read.
"""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import anyio

from .peers_http import GONE, FakeHttpServer, run_with_tasks
from .process_rig import HERE, Process


class ReadyTest(unittest.TestCase):
    """An empty query is answered though the agent sends nothing, a part, or much."""

    def ready(self, agent=None, plays=None, **other):
        async def run(tasks):
            async with Process(agent, **other).open(tasks) as marshal:
                if plays is not None:
                    tasks.start_soon(plays, marshal)
                begun = anyio.current_time()
                client = await marshal.client()
                self.assertEqual(await marshal.answer(client), "IZ")
                await client.aclose()
                self.assertLess(anyio.current_time() - begun, 8.0)
                marshal.signal(signal.SIGTERM)
                self.assertEqual(await marshal.ended(), 0)
                self.assertNotIn(b"fault", marshal.said)

        run_with_tasks(run)

    def test_the_agent_is_silent(self):
        self.ready()

    def test_the_agent_takes_connections_and_never_reads(self):
        self.ready(FakeHttpServer(mute=True))

    def test_the_agent_refuses(self):
        agent = FakeHttpServer()
        agent.listen = lambda tasks: anyio.sleep(0)
        agent.at = ("127.0.0.1", 1)
        self.ready(agent)

    def test_the_agent_drips(self):
        async def drips(marshal):
            call = await marshal.agent.next_request()
            with contextlib.suppress(*GONE):
                await call.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
                while not call.closed.is_set():
                    await call.send(b" ")
                    await anyio.sleep(0.01)

        self.ready(plays=drips)

    def test_a_list_of_150_nodes(self):
        members = [f"s-{nth}" for nth in range(150)]

        async def tells(marshal):
            await (await marshal.agent.next_request()).answer(marshal.told()["known"])

        self.ready(plays=tells, members=members)


class SignalTest(unittest.TestCase):
    def story(self, play, **other):
        async def run(tasks):
            async with Process(**other).open(tasks) as marshal:
                await play(marshal)
            self.assertNotIn(b"fault", marshal.said)
            self.assertNotIn(b"Traceback", marshal.said)

        run_with_tasks(run)

    def test_a_hangup_during_the_imports_does_not_end_it(self):
        async def play(marshal):
            self.assertEqual(await marshal.process.stdout.receive(), b"held\n")
            marshal.signal(signal.SIGHUP)
            await marshal.process.stdin.send(b"go\n")
            client = await marshal.client()
            self.assertEqual(await marshal.answer(client), "IZ")
            await client.aclose()
            marshal.signal(signal.SIGHUP)
            await marshal.line("configuration read")
            marshal.signal(signal.SIGTERM)
            self.assertEqual(await marshal.ended(), 0)

        self.story(play, hold=True)

    def test_a_stop_during_the_imports_ends_it_before_it_listens(self):
        async def play(marshal):
            self.assertEqual(await marshal.process.stdout.receive(), b"held\n")
            marshal.signal(signal.SIGTERM)
            await marshal.process.stdin.send(b"go\n")
            self.assertIn(await marshal.ended(), (0, -signal.SIGTERM))
            self.assertNotIn(b"serves on", marshal.said)

        self.story(play, hold=True)

    def test_a_stop_before_the_first_list_ends_it_before_it_listens(self):
        async def play(marshal):
            await marshal.agent.next_request()  # the agent is called and silent: the listener is not open yet
            marshal.signal(signal.SIGTERM, signal.SIGHUP)
            self.assertEqual(await marshal.ended(), 0)
            self.assertIn(b"stops before it serves", marshal.said)
            self.assertNotIn(b"serves on", marshal.said)
            with self.assertRaises(OSError):
                await anyio.connect_tcp(*marshal.at)

        self.story(play)

    def test_signals_while_it_stops_cost_an_rpc_under_way_nothing(self):
        async def play(marshal):
            client = await marshal.client()
            async with anyio.create_task_group() as asks:
                asks.start_soon(self.asked, marshal, client)
                await marshal.node.asked.wait()
                marshal.signal(signal.SIGTERM)
                await marshal.line("stops, 1 RPCs under way")
                marshal.signal(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
                await marshal.line("configuration read")
                marshal.path.write_text("[" * 100_000)
                marshal.signal(signal.SIGHUP, signal.SIGTERM)
                await marshal.line("configuration not taken")
                marshal.node.free.set()
            await client.aclose()
            self.assertEqual(await marshal.ended(), 0)
            self.assertIn(b"ends, 0 RPCs unanswered", marshal.said)

        self.story(play)

    async def asked(self, marshal, client):
        self.assertEqual(await marshal.answer(client, "SELECT 'x' /* id=0a,c=look,d=2500 */"), "TDCZ")

    def test_configurations_that_can_not_be_read_change_nothing(self):
        """Each gives one line in the log, and an RPC under way gets its answer."""

        async def play(marshal):
            client = await marshal.client()
            async with anyio.create_task_group() as asks:
                asks.start_soon(self.asked, marshal, client)
                await marshal.node.asked.wait()
                await marshal.line("lost")  # its silent agent, which is logged once
                for text in (
                    "[" * 100_000,
                    "{",
                    "[]",
                    "null",
                    "\0",
                    '{"deployer": []}',
                    '{"deployer": {"address": 3}}',
                    json.dumps(marshal.told(discovery="nowhere")),
                    json.dumps(marshal.told(deployer=None)),
                ):
                    marshal.path.write_text(text)
                    marshal.said = b""
                    marshal.signal(signal.SIGHUP)
                    await marshal.line("configuration not taken")
                    self.assertEqual(marshal.said.count(b"\n"), 1, marshal.said)
                marshal.node.free.set()

        self.story(play)

    def test_a_configuration_that_can_not_be_read_at_the_start(self):
        for text in ("[" * 100_000, "{", "[]", '{"name": "n1"}'):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "config.json"
                path.write_text(text)
                done = subprocess.run(
                    [sys.executable, "-m", "brookreach"],
                    cwd=HERE,
                    capture_output=True,
                    env=os.environ | {"PROXY_CONFIG": str(path)},
                    check=False,
                )
            self.assertEqual((done.returncode, done.stderr.count(b"\n")), (2, 1), done.stderr)
