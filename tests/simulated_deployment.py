"""A real balancer with a stand-in node, discovery and platform, all in one process on loopback."""

import contextlib
import json
import os
import shutil
import socket
import tempfile

import anyio

from brookreach import interface as ifc
from brookreach.net import pgwire
from brookreach.net.message_buffer import BufferPool, MessageBuffer
from brookreach.net.runtime import BalancerRuntime
from brookreach.net.stream import parse_address
from brookreach.simulation import stand_ins
from brookreach.simulation.stand_ins import HttpStand, into

from .simulated_deployment_settings import NEWS, REPLIES, SETTINGS


class RecordedLog:
    """A log that keeps its lines."""

    def __init__(self):
        self.lines = []

    def log(self, kind, text):
        self.lines.append(f"{kind}: {text}")


class SimulatedDeployment:
    """A balancer with one node, discovery and the platform; tests compare `trace` with the recorded one."""

    def __init__(self, settings=None):
        self.settings = settings or SETTINGS
        self.trace = []
        self.node = stand_ins.NodeStand(REPLIES)
        self.faults_allowed = False
        self.discovery = HttpStand(self.respond_as_discovery)
        self.platform = HttpStand(self.respond_as_platform)
        self.node_phase = "active"
        self.revision = 1
        self.list_changed = anyio.Event()
        # Each a status, a body, and whether the response ends behind it.
        self.ballot_response = (200, json.dumps(NEWS), True)
        self.feed_response = (200, "{}\n", False)

    def members(self):
        return json.dumps(
            {
                "revision": self.revision,
                "complete": True,
                "members": [
                    {
                        "id": "s-1",
                        "host_port": self.at["node"],
                        "locality": "a",
                        "flavor": "std",
                        "cell": 0,
                        "phase": self.node_phase,
                        "size": 1.0,
                        "up_since_ms": 0,
                        "revision_no": 7,
                    }
                ],
            }
        )

    async def respond_as_discovery(self, method, target, body):
        if "after=" in target:
            with anyio.move_on_after(2.0):
                await self.list_changed.wait()
            self.list_changed = anyio.Event()
        return 200, self.members(), True

    async def respond_as_platform(self, method, target, body):
        return self.feed_response if target == "/api/feed" else self.ballot_response

    @contextlib.asynccontextmanager
    async def open(self):
        self.at = {}
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for name in ("node", "discovery", "platform"):
                await self.listen(name)
            with socket.socket() as free:
                free.bind(("127.0.0.1", 0))
                self.at["listen"] = f"127.0.0.1:{free.getsockname()[1]}"
            self.folder = tempfile.mkdtemp()
            os.environ["PROXY_CONFIG"] = os.path.join(self.folder, "config.json")
            self.runtime = BalancerRuntime(json.loads(self.config()))
            self.runtime.report = RecordedLog()
            for part in (self.runtime.driver, self.runtime.driver.nodes, self.runtime.discovery, self.runtime.platform):
                part.report = self.runtime.report
            self.trace_events()
            tasks.start_soon(self.runtime.run)
            await self.runtime.serving.wait()
            yield self
            tasks.cancel_scope.cancel()
        shutil.rmtree(self.folder)
        faults = [line for line in self.runtime.report.lines if line.startswith("fault")]
        assert self.faults_allowed or not faults, faults

    def config(self, **other):
        return json.dumps(
            {
                "name": "n1",
                "listen": self.at["listen"],
                "discovery": self.at["discovery"],
                "seed": "5",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                "deployer": {"address": self.at["platform"], "news": NEWS},
                "known": json.loads(self.members()),
                "settings": self.settings,
            }
            | other
        )

    def configure(self, text):
        with open(os.environ["PROXY_CONFIG"], "w") as file:
            file.write(text)

    async def move_services(self):
        """Move discovery and the platform to other addresses."""
        for name in ("discovery", "platform"):
            await self.listen(name)

    async def listen(self, name):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.at[name] = f"127.0.0.1:{listener.extra(anyio.abc.SocketAttribute.local_port)}"
        self.tasks.start_soon(listener.serve, getattr(self, name).serve)

    def trace_events(self):
        """Note the decisions' events of picks, votes and clients in the trace."""
        handle = self.runtime.driver.balancer.handle

        def noted(now, event):
            match event:
                case ifc.PickEnded():
                    self.trace.append(
                        f"  module: pick {event.pick_index} {event.outcome.name}"
                        + (", final" if event.is_final else "")
                    )
                case ifc.RpcCancelled():
                    self.trace.append("  module: client gone")
                case ifc.RolloutStatus(reply=True):
                    self.trace.append(f"  module: vote {event.ending.name}")
            return handle(now, event)

        self.runtime.driver.balancer.handle = noted

    async def client(self, start=True):
        stream = await anyio.connect_tcp(*parse_address(self.at["listen"]))
        if start:
            await stream.send(pgwire.startup_message("portal", "crm"))
        return stream, MessageBuffer(1 << 20, BufferPool(1 << 22))

    async def answer(self, client, until=b"Z"):
        """Return the answer up to ReadyForQuery, or up to the connection's end, as one line."""
        stream, inbound = client
        said = []
        try:
            while True:
                message = inbound.next_message()
                if message is None:
                    into(inbound, await stream.receive())
                    continue
                tag, body = message[0], bytes(message[1])
                if tag == b"E":
                    fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                    severity = "fatal" if fields[b"S"] == fields[b"V"] == "FATAL" else "error"
                    said.append(f"{severity} {fields[b'C']}" + (f" D={fields[b'D']}" if b"D" in fields else ""))
                elif tag == b"D":
                    said.append(f"row {body[6:].hex()}")
                elif tag in (b"I", b"C"):
                    said.append({b"I": "empty", b"C": "complete"}[tag])
                if tag == until:
                    return ", ".join(said) or "ready"
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return ", ".join([*said, "end"])

    async def ask(self, client, word, method="look", wait=1000, number="0a"):
        kind = "SELECT data FROM facts WHERE code =" if method == "look" else "INSERT INTO facts VALUES"
        text = f"{kind} '{word}' /* id={number},c={method},d={wait} */"
        await client[0].send(b"".join(pgwire.query_message(text.encode())))
        answer = await self.answer(client)
        self.trace.append(f"{method} '{word}': {answer}")


def run_story(story):
    """Run an async story in a deployment of its own; return the trace."""

    async def play():
        deployment = SimulatedDeployment()
        with anyio.fail_after(30):
            async with deployment.open():
                await story(deployment)
        return deployment.trace

    return anyio.run(play)


async def until(condition):
    while not condition():
        await anyio.sleep(0.001)
