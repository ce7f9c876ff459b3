"""The outside of the mutation tests: scripted peers on real sockets.

The balancer's messages are read by `mutation_reader`.
"""

import contextlib
import socket
import struct

import anyio
import anyio.lowlevel

from brookreach.net.stream import parse_address
from brookreach.simulation.stand_ins import GONE

from .mutants import FIN, RESET
from .mutation_reader import WELCOME, frame, frames, row, value

# Queries that do nothing, as balancers send them after others, and a node's messages for each.
HARMLESS = {
    b"": [frame(b"I", b""), frame(b"Z", b"I")],
    b"SET application_name TO DEFAULT": [frame(b"C", b"SET\0"), frame(b"Z", b"I")],
}


async def until_spun(true):
    """Wait for a condition, without a pause at first: most come within a turn or two."""
    for _ in range(20):
        if true():
            return
        await anyio.lowlevel.checkpoint()
    while not true():
        await anyio.sleep(0.001)


def ours(deployment, port):
    """The balancer's end of a connection whose other end has this port, or None."""
    for one in deployment.runtime.poller.watched.values():
        with contextlib.suppress(OSError):
            if one.sock.getpeername()[1] == port:
                return one
    return None


class Peer:
    """A client on a plain socket, which never blocks; `one` is the balancer's end of its connection."""

    def __init__(self, deployment):
        self.deployment, self.came, self.ended, self.one = deployment, b"", False, None
        self.sock = socket.create_connection(parse_address(deployment.at["listen"]))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock.setblocking(False)

    @classmethod
    async def met(cls, deployment):
        """A client that the balancer has accepted."""
        peer = cls(deployment)
        port = peer.sock.getsockname()[1]
        await until_spun(lambda: ours(deployment, port) is not None)
        peer.one = ours(deployment, port)
        return peer

    async def write(self, data):
        """Write all of it, or what is taken until the balancer ends the connection."""
        while data and not self.ended:
            try:
                data = data[self.sock.send(data) :]
            except BlockingIOError:
                await anyio.lowlevel.checkpoint()
            except OSError:
                return

    async def settled(self):
        """Wait until the balancer has read all that was written and answered all that it received of it."""
        one, again = self.one, self.deployment.runtime.clients
        await until_spun(
            lambda: one.closed or one.is_quiet() and not (one.answers or one.unsent or one in again.resumable)
        )
        self.read()

    def read(self):
        with contextlib.suppress(BlockingIOError):
            try:
                while part := self.sock.recv(1 << 16):
                    self.came += part
                self.ended = True
            except ConnectionError:
                self.ended = True

    async def end(self, reset=False):
        """End with FIN or reset, and wait until the balancer has ended its side too."""
        if reset:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.sock.close()
        else:
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        await until_spun(lambda: self.one.closed)
        if not reset:
            self.read()
            self.sock.close()


class ScriptedNode:
    """A node that answers each query with `script(text)`: a `Mutant`, or a list of messages.

    `heard` holds the queries, `made` the bytes written for each; `welcome(link)` returns the startup response.
    """

    def __init__(self, deployment, script=row):
        self.deployment, self.script, self.heard, self.made, self.links = deployment, script, [], {}, 0
        self.welcome = lambda link: [WELCOME]

    async def serve(self, stream):
        self.links += 1
        number = self.links
        with contextlib.suppress(*GONE):
            async with stream:
                data = b""
                while not (found := list(frames(data, tagged=False))):
                    data += await stream.receive()
                data = data[8 + len(found[0][1]) - 4 :]
                await self.say(stream, self.welcome(number))
                while True:
                    while not (found := list(frames(data))):
                        data += await stream.receive()
                    tag, body = found[0]
                    data = data[5 + len(body) :]
                    text = bytes(body[:-1])
                    if text in HARMLESS:  # answered in their order, and never changed
                        await stream.send(b"".join(HARMLESS[text]))
                        continue
                    self.heard.append(text)
                    said = self.script(text)
                    self.made.setdefault(value(text), []).append(said.data if hasattr(said, "data") else b"".join(said))
                    await self.say(stream, said)

    async def say(self, stream, said):
        """Write each piece when the balancer has read the last."""
        pieces, ending = (said.pieces, said.ending) if hasattr(said, "pieces") else ((b"".join(said),), "")
        await say(self.deployment, stream, pieces, ending)


async def say(deployment, stream, pieces, ending):
    """Write pieces, each when the balancer has read the last; then end as `ending` says. Raises what GONE names."""
    here = stream.extra(anyio.abc.SocketAttribute.local_address), stream.extra(anyio.abc.SocketAttribute.remote_address)
    one = next(iter(theirs(deployment, *here)), None) if len(pieces) > 1 else None
    for piece in pieces:
        await stream.send(piece)
        for _ in range(3 if len(pieces) > 1 else 0):  # the readers of discovery and the platform are tasks of their own
            await anyio.lowlevel.checkpoint()
        while one is not None and not (one.closed or one.is_quiet()):
            await anyio.lowlevel.checkpoint()
    if ending == RESET:
        raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        with contextlib.suppress(OSError):  # the balancer was first to end it, and it is closed already
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await anyio.aclose_forcefully(stream)
    elif ending == FIN:
        await stream.send_eof()
    while ending:
        await stream.receive()  # until the balancer ends its side


def theirs(deployment, local, remote):
    """The balancer's end of the connection with these addresses."""
    for one in deployment.runtime.poller.watched.values():
        with contextlib.suppress(OSError):
            if (one.sock.getpeername(), one.sock.getsockname()) == (local, remote):
                yield one
