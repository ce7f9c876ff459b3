"""Stand-ins on loopback for what a marshal talks to, written from the protocol: nodes, discovery, platform.

They own what is said on their connections. They never decide, and never listen elsewhere than they are told.
`Site` plays all of a configuration's parties, for a first try (`brookreach site`) and the check of a start.
"""

from __future__ import annotations

import contextlib
import json
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import anyio.abc
from anyio.abc import TaskStatus

from brookreach.net import pgwire
from brookreach.net.message_buffer import BufferPool, MessageBuffer
from brookreach.net.result import INSERT_TAG, SELECT_TAG
from brookreach.net.statement import harmless_response
from brookreach.net.stream import parse_address

ROW = [
    *pgwire.encode_message(b"T", b"\0\1data\0" + bytes(18)),
    *pgwire.encode_message(b"D", b"\0\1\0\0\0\2\x9f\3"),
    *pgwire.encode_message(b"C", b"SELECT 1\0"),
]
WORDS = [b"".join(pgwire.encode_message(b"C", words)) for words in (SELECT_TAG, INSERT_TAG)]
Replies = Mapping[str, list[bytes | memoryview]]
SERVED: Replies = {"row": [*ROW, pgwire.READY_FOR_QUERY], "error": [pgwire.error_response(b"XX000", "no")]}
GONE = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
Answer = Callable[[str, str, bytes], Awaitable[tuple[int, str, bool]]]


def into(inbound: MessageBuffer, data: bytes) -> None:
    """Bytes as a socket would have put them there."""
    while data:
        space = inbound.free_space()
        part = data[: len(space)]
        space[: len(part)] = part
        inbound.received(len(part))
        data = data[len(part) :]


class NodeStand:
    """A node: answers each query by the word that its statement holds, or as `always` says; what does nothing at once.

    `heard` are the last queries written to it, `served` how many there were.
    """

    def __init__(self, replies: Replies = SERVED, always: str = "", kept: int = 1000) -> None:
        self.heard: list[str] = []
        self.links, self.served, self.welcomes = 0, 0, True
        self.replies, self.always, self.kept = replies, always, kept

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        self.links += 1
        inbound = MessageBuffer(1 << 20, BufferPool(1 << 22))
        with contextlib.suppress(*GONE):
            async with stream:
                while inbound.next_startup_message() is None:
                    into(inbound, await stream.receive())
                if not self.welcomes:
                    await stream.receive()
                await stream.send(pgwire.STARTUP_RESPONSE)
                while True:
                    message = inbound.next_message()
                    if message is None:
                        into(inbound, await stream.receive())
                        continue
                    if (harmless_reply := harmless_response(message[1][:-1])) is not None:
                        await stream.send(harmless_reply)
                        continue
                    text = bytes(message[1][:-1]).decode()
                    self.served += 1
                    self.heard.append(text)
                    del self.heard[: -self.kept]
                    word = self.always or (text.split("'")[1] if "'" in text else "")
                    if word == "reset":
                        return
                    while word == "nothing":  # nor what is behind it: answers come in order
                        await stream.receive()
                    reply = b"".join(self.replies.get(word, self.replies["error"]))
                    if text.startswith("INSERT"):
                        reply = reply.replace(WORDS[0], WORDS[1])
                    await stream.send(reply)


async def request(stream: anyio.abc.ByteStream, data: bytes) -> tuple[str, str, bytes, bytes]:
    """The next call on a connection, `data` being what came behind the one before: its method, target and
    body, and what came behind it."""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, data = data.partition(b"\r\n\r\n")
    method, target, _ = head.split(b"\r\n")[0].decode().split()
    lines = head.lower().split(b"\r\n")
    size = sum(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
    while len(data) < size:
        data += await stream.receive()
    return method, target, data[:size], data[size:]


class HttpStand:
    """Discovery or the platform: `answer(method, target, body)` gives status, body and whether it ends."""

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.calls: list[str] = []

    async def serve(self, stream: anyio.abc.ByteStream) -> None:
        with contextlib.suppress(*GONE):
            async with stream:
                data = b""
                while True:
                    method, target, body, data = await request(stream, data)
                    self.calls.append(f"{method} {target} {body.decode()}".strip())
                    del self.calls[:-1000]
                    status, text, ends = await self.answer(method, target, body)
                    if status == 0:
                        return
                    told = f"Content-Length: {len(text)}" if ends else "Content-Length: 1000000"
                    await stream.send(f"HTTP/1.1 {status} OK\r\n{told}\r\n\r\n{text}".encode())
                    while not ends:
                        await anyio.sleep(1.0)
                        await stream.send(b"{}\n")  # a sign of life


class Site:
    """All that a marshal's configuration names, at the addresses that it names.

    The list and the build stay as the configuration tells them; each query is answered with a row.
    """

    def __init__(self, told: Mapping[str, Any]) -> None:
        self.told, self.known, self.news = told, told["known"], told["deployer"]["news"]
        self.nodes = {one["host_port"]: NodeStand(always="row") for one in self.known["members"]}
        self.discovery, self.platform = HttpStand(self.listing), HttpStand(self.said)
        self.parties: dict[tuple[str, int], NodeStand | HttpStand] = {
            **{parse_address(at): node for at, node in self.nodes.items()},
            parse_address(told["discovery"]): self.discovery,
            parse_address(told["deployer"]["address"]): self.platform,
        }

    async def listing(self, method: str, target: str, body: bytes) -> tuple[int, str, bool]:
        if "after=" not in target:
            return 200, json.dumps(self.known), True
        await anyio.sleep(float(target.rpartition("=")[2]) / 1000.0)
        return 200, json.dumps(self.known | {"complete": False, "members": []}), True

    async def said(self, method: str, target: str, body: bytes) -> tuple[int, str, bool]:
        if target == "/api/feed":
            return 200, json.dumps({"type": "ROLLOUT", "object": self.news}) + "\n", False
        return 200, json.dumps(self.news), True

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Until cancelled; has started when all listen. Raises OSError where an address is taken."""
        async with contextlib.AsyncExitStack() as held, anyio.create_task_group() as tasks:
            for (host, port), party in self.parties.items():
                listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
                await held.enter_async_context(listener)
                tasks.start_soon(listener.serve, party.serve)
            task_status.started()


async def asked(at: tuple[str, int], text: str) -> str:
    """One query on a connection of its own; the tags of what comes back up to ReadyForQuery, or `end`."""
    inbound, said = MessageBuffer(1 << 20, BufferPool(1 << 22)), ""
    try:
        async with await anyio.connect_tcp(*at) as stream:
            await stream.send(pgwire.startup_message("portal", "crm"))
            await stream.send(b"".join(pgwire.query_message(text.encode())))
            readies = 0
            while readies < 2:  # that of the welcome, that of the answer
                message = inbound.next_message()
                if message is None:
                    into(inbound, await stream.receive())
                    continue
                readies += message[0] == b"Z"
                said += message[0].decode() if readies else ""
    except (*GONE, OSError):
        return said + " end"
    return said[1:]
