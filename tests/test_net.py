"""The network side against small stand-ins on loopback, as traces; none depends on the machine's speed."""

import contextlib
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import unittest
import unittest.mock
from functools import partial

import anyio

from brookreach import interface as ifc
from brookreach.net import pgwire, statement
from brookreach.net.discovery import BAD_JSON
from brookreach.net.limits import limits_from
from brookreach.net.stream import address

from .helpers import NEWS, REPLIES, SETTINGS, Town, TraceCase, into


def played(story):
    """Play an async story in a town of its own; the trace."""
    async def play():
        town = Town()
        with anyio.fail_after(30):
            async with town.open():
                await story(town)
        return town.trace

    return anyio.run(play)


async def until(true):
    while not true():
        await anyio.sleep(0.001)


class BytesTest(TraceCase):
    def test_messages_cut_at_every_byte(self):
        data = b"".join([*REPLIES["row with notices"], *REPLIES["error"]])
        whole = None
        for cut in range(len(data) + 1):
            inbound, seen = pgwire.Inbound(1 << 20, pgwire.Pool(1 << 22), first=16), []
            for part in (data[:cut], data[cut:]):
                into(inbound, part)
                while (message := inbound.message()) is not None:
                    seen.append((message[0], bytes(message[1])))
            whole = whole or seen
            self.assertEqual((cut, seen), (cut, whole))
        self.assertEqual(b"".join(tag for tag, _ in whole), b"NTDSCZEZ")

    def test_memory_goes_by_what_has_come(self):
        inbound = pgwire.Inbound(1 << 20, pgwire.Pool(1 << 22))
        into(inbound, b"Q" + (1 << 19).to_bytes(4, "big") + bytes(1000))
        self.assertIsNone(inbound.message())
        self.assertLess(len(inbound.data), 4096)
        for length in (0, 3, (1 << 20) + 1, 0xFFFFFFFF):
            inbound = pgwire.Inbound(1 << 20, pgwire.Pool(1 << 22))
            into(inbound, b"Q" + length.to_bytes(4, "big"))
            with self.assertRaises(pgwire.BrokenStream):
                inbound.message()

    def test_statements(self):
        trace = []
        for text in ("SELECT 1 /* id=0a,c=look,d=480 */", "insert into x /* d=480.5, id=0a, c=book, r=1, h=2500 */ ;",
                     "SELECT '/* id=1,c=x,d=1 */' /* id=0b,c=look,d=9,k=7f */", "SELECT 1", "DELETE /* id=0a,d=1 */",
                     "SELECT 1 /* c=look,d=1 */", "SELECT 1 /* id=0a,c=look */", "SELECT 1 /* id=0a,c=look,d=x */",
                     "SELECT 1 /* id=0a,d=nan */", "SELECT 1 /* id=0a,d=-5 */", "SELECT 1 /* id=a b,d=5 */"):
            try:
                one = statement.statement(memoryview(text.encode()), 512)
                trace.append(f"{text}: {one.method.decode()} wait {one.wait_ms} cost {one.cost_ms} repeat "
                             f"{one.repeat} write {one.write} key {one.key}")
                trace.append("  " + b"".join(one.passed_on(77.9))[5:-1].decode())
            except statement.BadStatement as error:
                trace.append(f"{text}: {error.state.decode()} {error}")
        self.compare("statements", trace)


class NodesTest(TraceCase):
    def test_outcomes(self):
        async def story(asked, town):
            client = await town.client()
            await town.answer(client)
            await town.ask(client, *asked)
        trace = []
        for asked in [(word, method) for word in [*REPLIES, "reset"] for method in ("look", "book")]:
            trace += played(partial(story, asked))
        self.compare("outcomes", trace)

    def test_never_up(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            town.node.welcomes = False
            town.trace.append("the node takes the connection and never welcomes it: nothing was written")
            await town.ask(client, "row", "book")
            town.trace.append(f"  queries written: {len(town.node.heard)}")
        self.compare("never_up", played(story))

    def test_time_and_leaving(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "nothing", "book", wait=150)
            await until(lambda: any("TIMEOUT" in line for line in town.trace))
            told = int(town.node.heard[-1].split("d=")[2].split(" ")[0])
            town.trace.sort()  # which of the two comes first is chance
            town.trace.append(f"  the node was told no more than is left: {0 < told <= 150}")
            town.trace.append("the client leaves while its RPC is under way")
            other = await town.client()
            await town.answer(other)
            await other[0].send(b"".join(pgwire.query(b"SELECT 'nothing' /* id=0b,c=look,d=200 */")))
            await until(lambda: len(town.node.heard) == 2)
            await other[0].aclose()
            await until(lambda: "TIMEOUT, final" in town.trace[-1])
        self.compare("leaving", played(story))

    def test_stale_idle_and_drain(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "row")
            town.trace.append("the node ends the idle connection: the next RPC goes over a new one")
            nodes = town.parts.driver.nodes
            link = nodes.endpoints[1].idle[0]
            link.sock.shutdown(2)
            await town.ask(client, "row", "book")
            town.trace.append(f"  connections {town.node.links}, held {nodes.links}")
            town.trace.append("told draining: its idle connections are closed, nothing goes there")
            town.state, town.revision = "leaving", 2
            town.pause.set()
            await until(lambda: nodes.links == 0)
            await town.ask(client, "row")
            town.trace.append(f"  queries written: {len(town.node.heard)}")
        self.compare("stale", played(story))

    def test_listing_changes_while_connecting(self):
        async def story(town):
            town.node.welcomes = False
            client = await town.client()
            await town.answer(client)
            nodes = town.parts.driver.nodes
            await client[0].send(b"".join(pgwire.query(b"INSERT 'row' /* id=0a,c=book,d=900 */")))
            await until(lambda: nodes.links == 1)
            for link in list(town.parts.poller.watched.values()):
                if getattr(link, "endpoint", None):
                    nodes.cap_fell(7)  # decided under a higher cap
                    into(link.inbound, pgwire.READY)
                    link.at = 1
                    link.came()
            await until(lambda: any("MOOT" in line for line in town.trace))
            town.trace.append(f"  queries written: {len(town.node.heard)}")
            town.trace = [line for line in town.trace if "NO_CONNECT" not in line][:2]
        self.compare("cap_fell", played(story))


class ClientsTest(TraceCase):
    def test_startup_and_what_does_nothing(self):
        async def story(town):
            client = await town.client(start=False)
            for code in (pgwire.SSL, pgwire.GSSENC):
                await client[0].send(pgwire.INT.pack(8) + pgwire.INT.pack(code))
                town.trace.append(f"encryption asked for: {await client[0].receive(1)}")
            first = pgwire.hello("portal", "crm") + b"".join(pgwire.query(b""))
            for at in range(len(first)):
                await client[0].send(first[at:at + 1])
            town.trace.append(f"startup: {await town.answer(client)}")
            town.trace.append(f"empty query right behind it: {await town.answer(client)}")
            for text in (b" ; ", b"SET x TO 1", b"DISCARD ALL"):
                await client[0].send(b"".join(pgwire.query(text)))
                town.trace.append(f"{text}: {await town.answer(client)}")
            town.trace.append("three RPCs at once: answers come in their order")
            await client[0].send(b"".join(b"".join(pgwire.query(b"SELECT '%b' /* id=%d,c=look,d=900 */" % (word, at)))
                                          for at, word in enumerate((b"row", b"error", b"row"))))
            for _ in range(3):
                town.trace.append(f"  {await town.answer(client)}")
            await client[0].send(pgwire.TERMINATE)
            town.trace.append(f"terminate: {await town.answer(client)}")
        trace = played(story)
        self.compare("startup", [line for line in trace if "module" not in line])

    def test_bad_input(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            for text in (b"SELECT 1", b"SELECT 'row' /* id=0a,c=none,d=9 */", b"SELECT 'row' /* id=0a,c=look */"):
                await client[0].send(b"".join(pgwire.query(text)))
                town.trace.append(f"{text.decode()}: {await town.answer(client)}")
            town.trace.append("extended protocol: one error, then nothing until Sync")
            for tag in (b"P", b"B", b"E", b"S"):
                await client[0].send(b"".join(pgwire.framed(tag, b"\0\0")))
            town.trace.append(f"  {await town.answer(client)}")
            await client[0].send(b"".join(pgwire.framed(b"F", b"\0")))
            town.trace.append(f"function call: {await town.answer(client)}")
            for name, data in (("unknown message", b"?\0\0\0\4"), ("nonsense length", b"Q\xff\xff\xff\xff")):
                client = await town.client()
                await town.answer(client)
                await client[0].send(data)
                town.trace.append(f"{name}: {await town.answer(client)}")
            for name, data in (("endless startup", b"\0\1\0\0" + bytes(8000)), ("startup of old", b"\0\0\0\x08\0\2\0\0")):
                client = await town.client(start=False)
                await client[0].send(data)
                town.trace.append(f"{name}: {await town.answer(client)}")
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "row")
        self.compare("bad_input", played(story))

    def test_a_crowd_makes_way(self):
        async def story(town):
            busy, idle = await town.client(), await town.client()
            for client, text in ((busy, b"INSERT 'nothing' /* id=0b,c=book,d=2900 */"), (idle, b"")):
                await town.answer(client)
                await client[0].send(b"".join(pgwire.query(text)))
            await town.answer(idle)
            most, home = town.parts.limits.clients, town.parts.clients
            crowd = [await town.client(start=at % 2 == 1) for at in range(most + 20)]
            late = await town.client()
            await town.answer(late)
            await town.ask(late, "row")
            town.trace.append(f"most {most}, open {len(home.open)}, of them silent {len(home.silent)}")
            for client in crowd[1::2]:
                await client[0].send(pgwire.INT.pack(90)[:3])  # half a message is silence too
            await until(lambda: not home.silent)
            town.trace.append(f"silence has an end: {await town.answer(crowd[-1])}, open {len(home.open)}")
            await idle[0].send(b"".join(pgwire.query(b"")))
            town.trace.append(f"idle: {await town.answer(idle)}; under way: {await town.answer(busy)}")
            town.trace.append(f"rows {len(home.half)} half, {len(home.stuck)} stuck, pool {home.pool.free}")
        self.compare("crowd", [line for line in played(story) if "module" not in line])

    def test_one_connection_takes_no_more_than_its_share(self):
        async def story(town):
            client, home = await town.client(), town.parts.clients
            await town.answer(client)
            turns, look = [0], home.catch_up

            def counted():
                turns[0] += 1
                return look()

            town.parts.driver.between = counted
            await client[0].send(b"".join(pgwire.query(b"")) * 400)
            said = [await town.answer(client) for _ in range(400)]
            town.trace.append(f"400 commands at once: {set(said)}, in many turns: {turns[0] >= 40}")
            await client[0].send(b"".join(b"".join(pgwire.query(b"SELECT %d /* id=0a,c=none,d=9 */" % at))
                                          for at in range(20)))
            said = [await town.answer(client) for _ in range(9)]
            town.trace.append(f"20 unknown classes at once: {', '.join(said)}")
            first, second = await town.client(), await town.client()
            for one in (first, second):
                await town.answer(one)
            await first[0].send(b"".join(pgwire.query(b"SELECT 'nothing' /* id=0c,c=look,d=300 */")))
            await until(lambda: len(town.node.heard) == 1)
            await town.ask(second, "row", number="0c")
            town.trace.append(f"the first with that id: {await town.answer(first)}")
            await town.ask(second, "row", number="0c")
            await second[0].send(b"Q" + (60 << 20).to_bytes(4, "big") + bytes(5000))
            town.trace.append(f"60 MB: {await town.answer(second)}; pool {home.pool.free}")
        self.compare("share", [line for line in played(story) if "module" not in line])

    def test_module_fails(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "row")
            town.may_fail = True
            town.parts.driver.marshal.handle = lambda now, event: 1 / 0
            await client[0].send(b"".join(pgwire.query(b"SELECT 'row' /* id=0b,c=look,d=900 */")))
            town.trace.append(f"the module fails: {await town.answer(client)}")
            await town.ask(client, "row", "book")
        trace = played(story)
        self.compare("module_fails", trace)

    def test_stop(self):
        async def story(town):
            busy, idle = await town.client(), await town.client()
            await town.answer(busy)
            await town.answer(idle)
            await busy[0].send(b"".join(pgwire.query(b"SELECT 'nothing' /* id=0b,c=book,d=1400 */")))
            await until(lambda: len(town.node.heard) == 1)
            os.kill(os.getpid(), signal.SIGTERM)
            late = await town.client()
            await town.answer(late)
            await town.ask(late, "row")
            town.trace.append(f"idle: {await town.answer(idle)}")
            town.trace.append(f"under way: {await town.answer(busy)}, then {await town.answer(busy)}")
            for client in (idle, busy, late):
                await client[0].aclose()
            with self.assertRaises(OSError):
                await town.client()
        self.compare("stop", [line for line in played(story) if "module" not in line])


def spoilt(data, seed, count):
    """So many spoilt copies of some bytes: cut, flipped, repeated, with a length of its own."""
    chance = random.Random(seed)
    for _ in range(count):
        at, kind = chance.randrange(1, len(data)), chance.randrange(4)
        if kind == 0:
            yield data[:at]
        elif kind == 1:
            yield data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1:]
        elif kind == 2:
            yield data[:at] + data[chance.randrange(at):]
        else:
            yield data[:at] + chance.randbytes(4) + data[at:]


class FuzzTest(TraceCase):
    """Spoilt bytes on each of the four readers: what is not whole changes nothing, and the marshal serves on."""

    def test_clients(self):
        async def story(town):
            whole = pgwire.hello("portal", "crm") + b"".join(pgwire.query(b"SELECT 'row' /* id=0a,c=look,d=40 */"))
            for data in spoilt(whole, 1, 150):
                stream, _ = await town.client(start=False)
                await stream.send(data)
                with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError), anyio.move_on_after(0.02):
                    while True:
                        await stream.receive()
                await stream.aclose()
            await until(lambda: not town.parts.clients.open and not town.parts.driver.open)
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "row")
            self.assertEqual((town.trace[-1], town.parts.clients.pool.free), (
                "look 'row': row 9f03, complete", town.parts.limits.large))
        played(story)

    def test_nodes(self):
        async def story(town):
            client = await town.client()
            await town.answer(client)
            whole, answers = b"".join(REPLIES["row"]), set()
            with unittest.mock.patch.dict(REPLIES):
                for data in spoilt(whole, 2, 150):
                    REPLIES["spoilt"] = [data]
                    await town.ask(client, "spoilt", wait=40)
                    answers.add(town.trace[-1].split(": ")[1].split(" ")[0])
                    self.assertRegex(town.trace[-1], r"row [0-9a-f]{4}, complete$|error (XX000|53300 D=500)$")
            self.assertEqual(answers, {"row", "error"})
            while town.trace[-1] != "look 'row': row 9f03, complete":  # time-outs have it push back for a while
                await anyio.sleep(0.1)
                await town.ask(client, "row")
        played(story)

    def test_discovery_and_platform(self):
        async def story(town):
            parts, refused = town.parts, [0, 0]
            news = json.dumps({"type": "ROLLOUT", "object": NEWS}).encode()
            tally = {"version": 7, "kind": "look", "requests": 57, "failures": 2, "avgMs": 18.5, "observedAgoMs": 900}
            for data in spoilt(town.members().encode(), 3, 400):
                before = dict(parts.discovery.numbers), parts.discovery.version
                try:
                    parts.discovery.read(json.loads(data))
                except BAD_JSON:
                    refused[0] += 1
                    self.assertEqual(before, (parts.discovery.numbers, parts.discovery.version))
            for whole in (news, json.dumps({"type": "SAMPLE", "object": tally}).encode()):
                for data in spoilt(whole, 4, 400):
                    try:
                        parts.platform._line(data)
                    except BAD_JSON:
                        refused[1] += 1
            self.assertTrue(all(refused), refused)
            await until(lambda: not parts.driver.queue)  # and the module bears what was taken
        played(story)


class OthersTest(TraceCase):
    def test_new_configuration(self):
        async def story(town):
            client, log = await town.client(), town.parts.report.lines
            await town.answer(client)
            await until(lambda: town.discovery.calls and town.platform.calls)
            await client[0].send(b"".join(pgwire.query(b"SELECT 'nothing' /* id=0b,c=look,d=700 */")))
            await until(lambda: len(town.node.heard) == 1)
            at = {name: town.at[name] for name in ("discovery", "platform")}
            for name, text in (("no JSON", "{"), ("no discovery", town.config(discovery="")),
                               ("no platform", town.config(deployer={})),
                               ("others", town.config(listen="127.0.0.1:1", name="n2"))):
                before = len(log)
                town.configure(text)
                os.kill(os.getpid(), signal.SIGHUP)
                await until(lambda before=before: any("configuration" in line for line in log[before:]))
                said = [line for line in log[before:] if "configuration" in line][0]
                for part in (town.folder, *(str(address(where)) for where in at.values())):
                    said = said.replace(part, "")
                town.trace.append(f"{name}: {said}")
            old = len(town.discovery.calls), len(town.platform.calls)
            await town.move()
            town.state, town.revision = "leaving", 2
            town.configure(town.config())
            os.kill(os.getpid(), signal.SIGHUP)
            os.kill(os.getpid(), signal.SIGHUP)
            await until(lambda: town.parts.discovery.version == 2 and len(town.platform.calls) > old[1])
            town.trace.append(f"moved: discovery {town.discovery.calls[old[0]]}, platform {town.platform.calls[old[1]]}")
            states = [endpoint.listed.entry.state.name for endpoint in town.parts.driver.nodes.endpoints.values()]
            town.trace.append(f"  nodes as told there: {states}")
            town.trace.append(f"RPC under way: {await town.answer(client)}")
        self.compare("configured", [line for line in played(story) if "module" not in line])

    def test_votes(self):
        async def story(town):
            vote = town.parts.platform.vote
            for answer in ((200, json.dumps(NEWS), True), (429, '{"error":"BUSY"}', True),
                           (409, '{"error":"STALE"}', True), (500, "", True), (400, "", True), (302, "", True),
                           (200, "{", True), (200, '{"version":7}', True), (0, "", True), (200, "", False)):
                town.ballot = answer
                town.trace.append(f"{answer[0]} {answer[1] if answer[0] != 200 else ''}")
                before = len(town.trace)
                await vote(ifc.Vote(ifc.Verdict.BACK, 1, 7))
                await until(lambda before=before: any("vote" in line for line in town.trace[before:]))
            ballots = [call for call in town.platform.calls if "ballots" in call]
            town.trace.append(f"calls {len(ballots)}, each {ballots[0]}")
            town.parts.platform.at = ("127.0.0.1", 1)
            await vote(ifc.Vote(ifc.Verdict.BACK, 1, 7))
            await until(lambda: "NO_CONNECT" in town.trace[-1])
        self.compare("votes", played(story))

    def test_feed_and_watch_lost_and_found(self):
        async def story(town):
            driver = town.parts.driver
            told = {**NEWS, "step": 0, "version": 8, "status": "Progressing", "maxWeight": 0.1}
            good_line = json.dumps({"type": "ROLLOUT", "object": told})
            feeds = town.platform.calls
            await until(lambda: feeds.count("GET /api/feed") == 1)
            for bad in ("not json", "[]", '{"type":"ROLLOUT"}', '{"type":"SAMPLE","object":{"version":7}}', "[" * 9999,
                        json.dumps({"type": "ROLLOUT", "object": {**told, "step": 2}}), "\xff{",
                        good_line.replace("0.1", "1e999"), good_line.replace("0.1", "[]")):
                before = feeds.count("GET /api/feed")
                town.feed = (200, f"{{}}\n{bad}\n{good_line}\n", False)
                town.parts.platform.feeding.cancel()  # as when the platform ends it
                await until(lambda before=before: feeds.count("GET /api/feed") > before + 1)
                town.trace.append(f"feed with {bad[:60]}: opened anew, build {driver.news.build}")
            town.feed = (200, good_line + "\n", False)
            await until(lambda: driver.news.build == 8)
            town.trace.append(f"a feed that reads whole: build {driver.news.build} cap {driver.news.cap}")
            good = town.members
            town.members = lambda: '{"revision":3,"complete":true,"members":[{"id":"s-1","phase":"new"}]}'
            calls = len(town.discovery.calls)
            town.pause.set()
            await until(lambda: town.discovery.calls[calls:].count("GET /registry/instances") > 1)
            town.trace.append(f"bad lists: the last good one is kept, version {town.parts.discovery.version}")
            town.members, town.revision = good, 4
            await until(lambda: town.parts.discovery.version == 4)
            town.trace.append("found again by a whole list")
            client = await town.client()
            await town.answer(client)
            await town.ask(client, "row")
        self.compare("lost_and_found", played(story))

    def test_limits(self):
        trace = []
        for memory in (32, 64, 192):
            for sockets in (256, 384, 1024):
                one = limits_from({"memory_mb": memory, "sockets": sockets}, SETTINGS)
                self.assertGreater(one.clients, sockets // 3)  # clients may hold as many for RPCs alone
                self.assertLess(one.clients + one.links + 20, sockets)
                trace.append(f"{memory} MB, {sockets} descriptors: clients {one.clients}, links {one.links}, "
                             f"large {one.large // 1024} KiB each")
        self.compare("limits", trace)

    def test_bad_configuration_is_one_plain_line(self):
        whole = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "0",
                 "limits": {"sockets": 256, "memory_mb": 64}, "deployer": {"address": "127.0.0.1:3", "news": NEWS},
                 "known": {"revision": 1, "complete": True, "members": []}, "settings": SETTINGS}
        trace = []
        with tempfile.TemporaryDirectory() as folder:
            for name, text in (("absent", None), ("no JSON", "{"), ("a list", "[]"), ("no limits", {"limits": {}}),
                               ("few sockets", {"limits": {"sockets": 30, "memory_mb": 64}}),
                               ("seed", {"seed": "xyz"}), ("listen", {"listen": "here"}),
                               ("settings", {"settings": {}}), ("news", {"deployer": {"address": "127.0.0.1:3"}})):
                path = os.path.join(folder, "config.json")
                if text is not None:
                    with open(path, "w") as file:
                        file.write(text if isinstance(text, str) else json.dumps(whole | text))
                done = subprocess.run([sys.executable, "-m", "brookreach"], capture_output=True, text=True,
                                      env={**os.environ, "PROXY_CONFIG": path})
                said = done.stderr.replace(folder, "").splitlines()
                trace.append(f"{name}: exit {done.returncode}, {' | '.join(said)}")
        self.compare("bad_configuration", trace)


if __name__ == "__main__":
    unittest.main()
