"""A cluster's configuration file and key, and a replica's sockets, tested by bytes."""

import random
import tempfile
import unittest
from dataclasses import asdict
from pathlib import Path

import anyio
import msgspec

from brookreach.coordination import configuration
from brookreach.coordination.protocol import frames, messages
from brookreach.coordination.server.transport import Transport
from brookreach.coordination.timing import Timing
from brookreach.files import InvalidFileError
from brookreach.simulation.processes.ports import HOST, PortAllocator

FILE = """
[group]
name = "g"
key = "g.key"
{group}
[[keeper]]
name = "k1"
listen = "127.0.0.1:19000"
disk = "k1"
[[keeper]]
name = "k2"
listen = "{listen}"
disk = "k2"
[timing]
beat_ms = {beat}
[[budget]]
scope = "{scope}"
kind = "node"
most_out = 1
least_ready = 0
"""


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def read(self, **other):
        told = {"group": "", "listen": "127.0.0.1:19001", "beat": 50.0, "scope": "all"} | other
        path = self.folder / "f.toml"
        path.write_text(FILE.format(**told))
        return path, configuration.read(path)

    def test_a_valid_file(self):
        _, told = self.read()
        self.assertEqual(told.addresses(), {"k1": ("127.0.0.1", 19000), "k2": ("127.0.0.1", 19001)})
        self.assertEqual(told.times(), Timing())
        self.assertEqual(set(msgspec.structs.asdict(told.timing)), set(Timing.__dataclass_fields__))
        self.assertEqual(list(msgspec.structs.asdict(told.timing).values()), list(asdict(Timing()).values()))
        different = [float(number) for number in range(2, 2 + len(told.timing.__struct_fields__))]
        timing = msgspec.structs.replace(told, timing=type(told.timing)(*different)).times()
        self.assertEqual(list(asdict(timing).values()), different)  # each key has a field of its own

    def test_errors_name_the_value(self):
        for other, named in (
            ({"listen": "10.0.0.1:19001"}, "beyond_loopback"),
            ({"listen": "127.0.0.1:19000"}, "twice"),
            ({"listen": "here"}, "keeper[1].listen"),
            ({"beat": 200.0}, "timing.election_ms"),
            ({"beat": 0.0}, "beat_ms"),
            ({"scope": "build:x"}, "budget[0].scope"),
            ({"group": "colour = 1"}, "colour"),
        ):
            with self.assertRaises(InvalidFileError) as caught:
                self.read(**other)
            self.assertIn(named, str(caught.exception))
        self.read(listen="10.0.0.1:19001", group="beyond_loopback = true")

    def test_a_key_that_others_may_read_is_rejected(self):
        path, told = self.read()
        key = self.folder / "g.key"
        with self.assertRaises(InvalidFileError):
            configuration.read_key(path, told)
        configuration.make_key(key)
        self.assertEqual(len(configuration.read_key(path, told)), 32)
        with self.assertRaises(InvalidFileError):  # never written over
            configuration.make_key(key)
        key.chmod(0o640)
        with self.assertRaisesRegex(InvalidFileError, "mode 640"):
            configuration.read_key(path, told)
        key.write_bytes(b"short")
        key.chmod(0o600)
        with self.assertRaisesRegex(InvalidFileError, "5 bytes"):
            configuration.read_key(path, told)


KEY = bytes(range(32))


class TransportTest(unittest.TestCase):
    """One replica's sockets, tested by bytes."""

    def play(self, story):
        ports = PortAllocator()
        self.addCleanup(ports.close)
        self.at = (HOST, ports.allocate())

        async def run():
            said = []
            transport = Transport(
                "k1",
                "g",
                KEY,
                {"k1": self.at, "k2": (HOST, ports.allocate())},
                lambda kind, text: said.append(text),
                random.Random(1),
            )
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    await tasks.start(transport.run)
                    await story(transport)
                    tasks.cancel_scope.cancel()
            return transport, said

        return anyio.run(run)

    @staticmethod
    def frame(source, body, key=KEY, target="k1"):
        octets = frames.seal_frame(key, "g", source, target, body)
        return len(octets).to_bytes(4, "big") + octets

    @staticmethod
    async def until(true):
        while not true():
            await anyio.sleep(0.002)

    def test_rejected_frames_have_no_effect_and_the_connection_goes_on(self):
        async def story(transport):
            async with await anyio.connect_tcp(*self.at) as stream:
                renew = messages.KeepAlive(1, 1)
                await stream.send(self.frame("n1", renew))
                await stream.send(self.frame("n1", messages.TimeoutNow(5)))  # not a client's to say
                await stream.send(self.frame("n2", renew))  # one name a connection
                await stream.send(self.frame("n1", renew, target="k2"))
                await stream.send(self.frame("n1", messages.KeepAlive(1, 2)))
                await self.until(lambda: len(transport.inbox.from_clients) == 2)
                self.assertEqual([body.seq for _, body in transport.inbox.from_clients], [1, 2])
                transport.send("n1", messages.KeepAliveReply(2, 3000, 5))
                self.assertGreater(len(await stream.receive()), 16)
                await stream.send(self.frame("n1", renew, key=bytes(32)))
                with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
            await self.until(lambda: list(transport.disconnected) == ["n1"])

        transport, _ = self.play(story)
        self.assertEqual(
            dict(transport.rejected_frames),
            {("n1", "not its to say"): 2, ("n1", "not for me"): 1, ("n1", "bad seal"): 1},
        )

    def test_a_length_that_no_frame_has_ends_its_connection(self):
        async def story(transport):
            async with await anyio.connect_tcp(*self.at) as stream:
                await stream.send(b"\xff\xff\xff\xff")
                with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await stream.receive()
            self.assertEqual(len(transport.unidentified), 0)

        transport, _ = self.play(story)
        self.assertEqual(dict(transport.rejected_frames), {("a stranger", "too long"): 1})

    def test_strangers_that_fill_the_table_keep_nobody_out(self):
        # Guards against connections without a key that keep replicas and clients from theirs.
        async def story(transport):
            strangers = [await anyio.connect_tcp(*self.at) for _ in range(transport.limits.max_unidentified)]
            await self.until(lambda: len(transport.unidentified) == len(strangers))
            async with await anyio.connect_tcp(*self.at) as stream:
                await stream.send(self.frame("n1", messages.KeepAlive(1, 1)))
                await self.until(lambda: "n1" in transport.queues)
                self.assertEqual(transport.unidentified.given_up, 1)
                with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                    await strangers[0].receive()
            for stranger in strangers:
                await stranger.aclose()
            await self.until(lambda: not transport.unidentified)

        self.play(story)

    def test_a_client_that_reconnects_replaces_its_connection(self):
        async def story(transport):
            async with await anyio.connect_tcp(*self.at) as first:
                await first.send(self.frame("n1", messages.KeepAlive(1, 1)))
                await self.until(lambda: "n1" in transport.queues)
                async with await anyio.connect_tcp(*self.at) as second:
                    await second.send(self.frame("n1", messages.KeepAlive(1, 2)))
                    with self.assertRaises((anyio.EndOfStream, anyio.BrokenResourceError)):
                        await first.receive()
                    transport.send("n1", messages.KeepAliveReply(2, 3000, 5))
                    self.assertGreater(len(await second.receive()), 16)
                    self.assertEqual(list(transport.disconnected), ["n1"])

        self.play(story)

    def test_a_replica_is_dialled_when_there_is_something_to_send_and_logged_once(self):
        async def story(transport):
            await anyio.sleep(0.1)
            self.assertEqual(transport.dial_attempts, 0)
            for _ in range(20):
                transport.send("k2", messages.TimeoutNow(1))
                await anyio.sleep(0.02)
            self.assertGreater(transport.dial_attempts, 1)

        _, said = self.play(story)
        self.assertEqual(len([text for text in said if "k2 is not reached" in text]), 1)
