"""Corrupted bytes for each of the four readers: of clients, nodes, discovery and the platform."""

import contextlib
import json
import random
import unittest.mock

import anyio

from brookreach.net import pgwire
from brookreach.net.discovery_entries import JSON_ERRORS

from .helpers import NEWS, REPLIES, TraceCase, run_story, until


def spoilt(data, seed, count):
    """Corrupted copies of some bytes: cut, with a bit flipped, with a part repeated, with bytes inserted."""
    chance = random.Random(seed)
    for _ in range(count):
        at, kind = chance.randrange(1, len(data)), chance.randrange(4)
        if kind == 0:
            yield data[:at]
        elif kind == 1:
            yield data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1 :]
        elif kind == 2:
            yield data[:at] + data[chance.randrange(at) :]
        else:
            yield data[:at] + chance.randbytes(4) + data[at:]


class FuzzTest(TraceCase):
    """What is not complete changes nothing, and the balancer serves on."""

    def test_clients(self):
        async def story(deployment):
            whole = pgwire.startup_message("portal", "crm") + b"".join(
                pgwire.query_message(b"SELECT 'row' /* id=0a,c=look,d=40 */")
            )
            for data in spoilt(whole, 1, 150):
                stream, _ = await deployment.client(start=False)
                await stream.send(data)
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError), anyio.move_on_after(0.02):
                    while True:
                        await stream.receive()
                await stream.aclose()
            await until(lambda: not deployment.runtime.clients.connected and not deployment.runtime.driver.open_rpcs)
            client = await deployment.client()
            await deployment.answer(client)
            await deployment.ask(client, "row")
            self.assertEqual(
                (deployment.trace[-1], deployment.runtime.clients.pool.free),
                ("look 'row': row 9f03, complete", deployment.runtime.limits.large_message_bytes),
            )

        run_story(story)

    def test_nodes(self):
        async def story(deployment):
            client = await deployment.client()
            await deployment.answer(client)
            whole, answers = b"".join(REPLIES["row"]), set()
            with unittest.mock.patch.dict(REPLIES):
                for data in spoilt(whole, 2, 150):
                    REPLIES["spoilt"] = [data]
                    await deployment.ask(client, "spoilt", wait=40)
                    answers.add(deployment.trace[-1].split(": ")[1].split(" ")[0])
                    self.assertRegex(deployment.trace[-1], r"row [0-9a-f]{4}, complete$|error (XX000|53300 D=500)$")
            self.assertEqual(answers, {"row", "error"})
            while (
                deployment.trace[-1] != "look 'row': row 9f03, complete"
            ):  # because of timeouts it pushes back for a while
                await anyio.sleep(0.1)
                await deployment.ask(client, "row")

        run_story(story)

    def test_discovery_and_platform(self):
        async def story(deployment):
            runtime, refused = deployment.runtime, [0, 0]
            news = json.dumps({"type": "ROLLOUT", "object": NEWS}).encode()
            tally = {"version": 7, "kind": "look", "requests": 57, "failures": 2, "avgMs": 18.5, "observedAgoMs": 900}
            for data in spoilt(deployment.members().encode(), 3, 400):
                before = dict(runtime.discovery.node_numbers), runtime.discovery.version
                try:
                    runtime.discovery.apply_listing(json.loads(data))
                except JSON_ERRORS:
                    refused[0] += 1
                    self.assertEqual(before, (runtime.discovery.node_numbers, runtime.discovery.version))
            for whole in (news, json.dumps({"type": "SAMPLE", "object": tally}).encode()):
                for data in spoilt(whole, 4, 400):
                    try:
                        runtime.platform._handle_line(data)
                    except JSON_ERRORS:
                        refused[1] += 1
            self.assertTrue(all(refused), refused)
            await until(lambda: not runtime.driver.queue)  # the balancer handles what was taken

        run_story(story)
