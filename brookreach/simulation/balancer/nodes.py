"""Nodes of one run: what they do goes by the scenario, and every attempt that reaches them is noted."""

from __future__ import annotations

import random
import re
import socket
import time

import anyio
import anyio.abc

from brookreach.net import pgwire
from brookreach.net.result import INSERTED, SELECTED
from brookreach.simulation.balancer.connection import NO_LINGER
from brookreach.simulation.balancer.messages import MessageStream
from brookreach.simulation.balancer.record import Attempt, AttemptEnd, Record
from brookreach.simulation.balancer.scenario import NodeKind
from brookreach.simulation.stand_ins import GONE

STATEMENT = re.compile(rb"id=([0-9A-Za-z.]+),c=\w+,d=(\d+)")
PROMPT_S = (0.001, 0.02)
SLOW_S = (0.05, 0.9)
LATE_WELCOME_S = (0.02, 0.4)
IDLE_S = (0.01, 0.1)  # until a node closes an idle connection
SECOND_ANSWER_S = (0.001, 0.02)
LATEST_SECOND_ANSWER_S = 0.025  # some milliseconds, also where the drill itself is held up
MISBEHAVIOUR_CHANCE = 0.3  # with which a node that refuses, fails or resets does so
THROTTLED_BYTES = 8
LARGE_BYTES, PADDING = 60_000, b"."
REFUSAL = pgwire.error(pgwire.PUSHED_BACK, "queue full")
ERROR = pgwire.error(b"XX000", "failed")


def row_answer(value: bytes, is_insert: bool) -> bytes:
    """Return the messages of one row that holds `value`, up to ReadyForQuery."""
    body = b"\0\1" + len(value).to_bytes(4, "big") + value
    parts = [
        *pgwire.framed(b"T", b"\0\1data\0" + bytes(18)),
        *pgwire.framed(b"D", body),
        *pgwire.framed(b"C", INSERTED if is_insert else SELECTED),
    ]
    return b"".join(parts) + pgwire.READY


def value_for(name: str, node: int) -> bytes:
    """Return the value with which a node serves a request: it tells both. A large one has padding behind it."""
    return f"{name} by {node}".encode()


class NodeStandIn:
    """One node.

    Attributes:
        number: Its number, also in the values that it serves.
        build: The build that it runs.
        kind: What it does.
    """

    def __init__(self, number: int, build: int, kind: NodeKind, record: Record, seed: int):
        self.number, self.build, self.kind = number, build, kind
        self._record = record
        self._rng = random.Random(f"node {number} of {seed}")

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection to its end."""
        try:
            async with stream:
                await self._serve_connection(stream)
        except GONE:
            return
        except pgwire.BrokenStream as error:
            self._record.surplus_messages.append(f"node {self.number} got what is not the protocol: {error}")

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        messages = MessageStream(stream)
        await messages.receive_startup()
        if self.kind == NodeKind.LATE_WELCOME:
            await anyio.sleep(self._rng.uniform(*LATE_WELCOME_S))
        await stream.send(pgwire.WELCOME)
        while True:
            with anyio.move_on_after(self._idle_s()) as idle:
                _, body = await messages.receive()
            if idle.cancelled_caught:
                return
            attempt = self._note(body, messages.began_at)
            if attempt is None:
                await stream.send(pgwire.EMPTY)
                continue
            if not await self._answer(stream, messages, attempt, body.startswith(b"INSERT")):
                return

    def _idle_s(self) -> float:
        return self._rng.uniform(*IDLE_S) if self.kind == NodeKind.CLOSING_IDLE else float("inf")

    def _note(self, body: bytes, began_at: float) -> Attempt | None:
        found = STATEMENT.search(body)
        if found is None:
            return None
        told_ms = float(found.group(2))
        attempt = Attempt(found.group(1).decode(), self.number, self.build, began_at, time.monotonic(), told_ms)
        self._record.attempts.append(attempt)
        return attempt

    async def _answer(
        self, stream: anyio.abc.SocketStream, messages: MessageStream, attempt: Attempt, is_insert: bool
    ) -> bool:
        """Answer one attempt; return whether the connection goes on."""
        misbehaves = self._rng.random() < MISBEHAVIOUR_CHANCE
        if self.kind in (NodeKind.HANGING, NodeKind.SILENT_LINK):
            await self._hang(messages, attempt)
            return False
        if self.kind == NodeKind.RESETTING and misbehaves:
            attempt.end = AttemptEnd.RESET
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            return False
        await anyio.sleep(self._rng.uniform(*(SLOW_S if self.kind == NodeKind.SLOW else PROMPT_S)))
        if self.kind == NodeKind.REFUSING and misbehaves:
            attempt.end = AttemptEnd.REFUSED
            await stream.send(REFUSAL)
            return True
        if self.kind == NodeKind.FAILING and misbehaves:
            attempt.end = AttemptEnd.ERROR
            await stream.send(ERROR)
            return True
        attempt.end = AttemptEnd.SERVED
        value = value_for(attempt.name, self.number)
        if self.kind == NodeKind.LARGE:
            value = value.ljust(LARGE_BYTES, PADDING)
        await self._serve_row(stream, row_answer(value, is_insert))
        return True

    async def _serve_row(self, stream: anyio.abc.SocketStream, answer: bytes) -> None:
        if self.kind == NodeKind.THROTTLED:
            for at in range(0, len(answer), THROTTLED_BYTES):
                await stream.send(answer[at : at + THROTTLED_BYTES])
                await anyio.sleep(self._rng.uniform(0.0, 0.01))
            return
        sent_at = time.monotonic()
        await stream.send(answer)
        if self.kind == NodeKind.TWICE:
            await anyio.sleep(self._rng.uniform(*SECOND_ANSWER_S))
            if time.monotonic() < sent_at + LATEST_SECOND_ANSWER_S:  # later ones are no business of this drill
                await stream.send(answer)

    async def _hang(self, messages: MessageStream, attempt: Attempt) -> None:
        """Give no answer until the balancer ends the connection."""
        try:
            await messages.receive()
        finally:
            attempt.abandoned_at = time.monotonic()
