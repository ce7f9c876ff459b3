"""Fake HTTP servers for discovery and the platform: a test receives each request and answers it byte by byte, in part
or never; and rigs with one of the two clients."""

import collections
import contextlib
import json
import random
import socket

import anyio

from brookreach.net.discovery import DiscoveryClient
from brookreach.net.limits import limits_from
from brookreach.net.platform import PlatformClient

from .helpers import NEWS, SETTINGS, RecordedLog

GONE = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 256}


def listing(revision, phase="active", whole=True, members=("s-1",)):
    """Return a list in discovery's JSON, or a change of one unless `whole`."""
    return {
        "revision": revision,
        "complete": whole,
        "members": [
            {
                "id": name,
                "host_port": "127.0.0.1:1",
                "locality": "a",
                "flavor": "std",
                "cell": 0,
                "phase": phase,
                "size": 1.0,
                "up_since_ms": 0,
                "revision_no": 7,
            }
            for name in members
        ],
    }


class ReceivedRequest:
    """One request; `connection_number` counts the connections to the server from 1, `closed` is set when it ends."""

    def __init__(self, connection_number, stream, target, body):
        self.connection_number = connection_number
        self.stream = stream
        self.target = target
        self.body = body
        self.closed = anyio.Event()

    async def send(self, data):
        await self.stream.send(data)

    async def answer(self, content, status=200, more=""):
        """Send a complete response with `content` as JSON, and `more` as further header lines."""
        body = json.dumps(content).encode()
        await self.send(f"HTTP/1.1 {status} OK\r\n{more}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    async def answer_twice(self, content):
        """Send the same response twice in one write."""
        body = json.dumps(content).encode()
        await self.send(2 * (f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body))

    async def close(self):
        await self.stream.aclose()

    async def reset(self):
        """End the connection with RST, as a process that dies does."""
        raw = self.stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        await anyio.aclose_forcefully(self.stream)


class FakeHttpServer:
    """A server that listens and hands its requests to the test in the order of their arrival."""

    def __init__(self, mute=False):
        self.mute = mute  # accepts connections and never reads
        self.connection_count = 0
        self.request_count = 0
        self.requests = collections.deque()
        self.arrived = anyio.Event()
        self.connected = anyio.Event()

    async def next_request(self):
        while not self.requests:
            self.arrived = anyio.Event()
            await self.arrived.wait()
        return self.requests.popleft()

    async def listen(self, tasks):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        self.at = ("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        tasks.start_soon(self.serve_all, listener)
        return self

    async def serve_all(self, listener):
        async with listener:
            await listener.serve(self.serve)

    async def serve(self, stream):
        async with stream:
            await self.serve_one(stream)

    async def serve_one(self, stream):
        self.connection_count += 1
        self.connected.set()
        connection_number = self.connection_count
        data = b""
        request = None
        if self.mute:
            await anyio.sleep_forever()
        with contextlib.suppress(*GONE):
            while True:
                while b"\r\n\r\n" not in data:
                    data += await stream.receive()
                head, _, data = data.partition(b"\r\n\r\n")
                size = sum(
                    int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")
                )
                while len(data) < size:
                    data += await stream.receive()
                request = ReceivedRequest(connection_number, stream, head.split()[1].decode(), data[:size])
                data = data[size:]
                self.request_count += 1
                self.requests.append(request)
                self.arrived.set()
        if request is not None:
            request.closed.set()


def limits(service=False, **other):
    """Return a balancer's own limits, except those that a test makes short to avoid waiting."""
    told = limits_from(LIMITS, SETTINGS | ({"registryMode": "ask", "balancers": 200} if service else {}))
    return replaced(told, other)


def replaced(told, other):
    """Return a copy of `Limits` with other values; this works for the compiled class, too."""
    return type(told)(**{name: getattr(told, name) for name in type(told).__dataclass_fields__} | other)


class DiscoveryRig:
    """Discovery's client alone; `lists_received` are the lists that the driver would get."""

    def __init__(self, at, bounds):
        self.lists_received = []
        self.report = RecordedLog()
        self.changed = anyio.Event()
        self.discovery = DiscoveryClient(bounds, self.report, ["a", "b"], ["std"], random.Random(3), self.on_node_list)
        self.discovery.set_address(at)

    def on_node_list(self, node_list, listed):
        self.lists_received.append(node_list)
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for_lists(self, count):
        """Wait for `count` lists; return each one's version and the states of its nodes."""
        while len(self.lists_received) < count:
            await self.changed.wait()
        return [(one.version, [entry.state.name for entry in one.entries]) for one in self.lists_received]


class PlatformRig:
    """The platform's client alone; `events` are those that the driver would get."""

    def __init__(self, at, bounds):
        self.events = []
        self.report = RecordedLog()
        self.changed = anyio.Event()
        self.platform = PlatformClient(bounds, self.report, ["look"], 2, at, random.Random(3), self.on_event)

    def on_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = anyio.Event()

    async def wait_for_events(self, count):
        while len(self.events) < count:
            await self.changed.wait()
        return self.events[count - 1]


ROLLOUT = json.dumps({"type": "ROLLOUT", "object": NEWS}).encode() + b"\n"
FEED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def run_with_tasks(story, most_s=60.0):
    """Run `story(tasks)` to its end and cancel the tasks that it left running."""

    async def run():
        with anyio.fail_after(most_s):
            async with anyio.create_task_group() as tasks:
                await story(tasks)
                tasks.cancel_scope.cancel()

    anyio.run(run)
