"""Nodes of one run: what they do goes by the scenario, and every attempt that reaches them is noted."""

from __future__ import annotations

import contextlib
import random
import re
import socket
import time

import anyio
import anyio.abc

from brookreach.net import pgwire
from brookreach.net.statement import harmless_response
from brookreach.simulation.balancer.connection import NO_LINGER
from brookreach.simulation.balancer.messages import ERROR, REFUSAL, MessageStream, row_answer
from brookreach.simulation.balancer.record import Attempt, AttemptEnd, Record
from brookreach.simulation.balancer.scenario import NodeKind
from brookreach.simulation.balancer.second_answers import draw_second_answer
from brookreach.simulation.stand_ins import GONE

STATEMENT = re.compile(rb"id=([0-9A-Za-z.]+),c=\w+,d=(\d+)")
PROMPT_S = (0.001, 0.02)
SLOW_S = (0.05, 0.9)
LATE_WELCOME_S = (0.02, 0.4)
IDLE_S = (0.01, 0.1)  # until a node closes an idle connection
MISBEHAVIOUR_CHANCE = 0.3  # with which a node that refuses, fails or resets does so
THROTTLED_BYTES = 8
LARGE_BYTES, PADDING = 60_000, b"."


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
        async with stream, anyio.create_task_group() as second_answers:
            try:
                await self._serve_connection(_NodeConnection(stream, second_answers))
            except GONE:
                pass
            except pgwire.ProtocolViolationError as error:
                self._record.surplus_messages.append(f"node {self.number} got what is not the protocol: {error}")
            second_answers.cancel_scope.cancel()

    async def _serve_connection(self, connection: _NodeConnection) -> None:
        await connection.messages.receive_startup()
        if self.kind == NodeKind.LATE_WELCOME:
            await anyio.sleep(self._rng.uniform(*LATE_WELCOME_S))
        await connection.send(pgwire.STARTUP_RESPONSE)
        while True:
            with anyio.move_on_after(self._idle_s()) as idle:
                _, body = await connection.messages.receive()
            if idle.cancelled_caught:
                return
            harmless_reply = harmless_response(memoryview(body)[:-1])
            if harmless_reply is not None:
                await connection.send(harmless_reply)
                continue
            attempt = self._note(body, connection.messages.began_at)
            if not await self._answer(connection, attempt, body.startswith(b"INSERT")):
                return

    def _idle_s(self) -> float:
        return self._rng.uniform(*IDLE_S) if self.kind == NodeKind.CLOSING_IDLE else float("inf")

    def _note(self, body: bytes, began_at: float) -> Attempt:
        found = STATEMENT.search(body)
        if found is None:
            raise pgwire.ProtocolViolationError(f"a query that asks for nothing: {body[:40]!r}")
        told_ms = float(found.group(2))
        attempt = Attempt(found.group(1).decode(), self.number, self.build, began_at, time.monotonic(), told_ms)
        self._record.attempts.append(attempt)
        return attempt

    async def _answer(self, connection: _NodeConnection, attempt: Attempt, is_insert: bool) -> bool:
        """Answer one attempt; return whether the connection goes on."""
        misbehaves = self._rng.random() < MISBEHAVIOUR_CHANCE
        if self.kind in (NodeKind.HANGING, NodeKind.SILENT_LINK):
            await self._hang(connection.messages, attempt)
            return False
        if self.kind == NodeKind.RESETTING and misbehaves:
            attempt.end = AttemptEnd.RESET
            raw = connection.stream.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            return False
        await anyio.sleep(self._rng.uniform(*(SLOW_S if self.kind == NodeKind.SLOW else PROMPT_S)))
        if self.kind == NodeKind.REFUSING and misbehaves:
            attempt.end = AttemptEnd.REFUSED
            await connection.send(REFUSAL)
            return True
        if self.kind == NodeKind.FAILING and misbehaves:
            attempt.end = AttemptEnd.ERROR
            await connection.send(ERROR)
            return True
        attempt.end = AttemptEnd.SERVED
        value = value_for(attempt.name, self.number)
        if self.kind == NodeKind.LARGE:
            value = value.ljust(LARGE_BYTES, PADDING)
        await self._serve_row(connection, row_answer(value, is_insert))
        return True

    async def _serve_row(self, connection: _NodeConnection, answer: bytes) -> None:
        if self.kind == NodeKind.TWICE:
            first, lateness_s, second = draw_second_answer(self._rng, answer)
            await connection.send(first)
            if second:
                connection.send_later(lateness_s, second)
        elif self.kind == NodeKind.THROTTLED:
            for at in range(0, len(answer), THROTTLED_BYTES):
                await connection.send(answer[at : at + THROTTLED_BYTES])
                await anyio.sleep(self._rng.uniform(0.0, 0.01))
        else:
            await connection.send(answer)

    async def _hang(self, messages: MessageStream, attempt: Attempt) -> None:
        """Give no answer until the balancer ends the connection."""
        try:
            while True:
                await messages.receive()
        finally:
            attempt.abandoned_at = time.monotonic()


class _NodeConnection:
    """A node's end of one connection. Each `send` is written whole before the next."""

    def __init__(self, stream: anyio.abc.SocketStream, second_answers: anyio.abc.TaskGroup):
        self.stream, self.messages = stream, MessageStream(stream)
        self._second_answers = second_answers
        self._sending = anyio.Lock()

    async def send(self, data: bytes) -> None:
        async with self._sending:
            await self.stream.send(data)

    def send_later(self, after_s: float, data: bytes) -> None:
        """Send it as well, while the connection stands."""
        self._second_answers.start_soon(self._send_after, after_s, data)

    async def _send_after(self, after_s: float, data: bytes) -> None:
        await anyio.sleep(after_s)
        with contextlib.suppress(*GONE):
            await self.send(data)
