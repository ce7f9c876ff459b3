"""A short talk with the group, for a command line: join, ask or look, leave.

It owns how long one waits. It must never take an outcome for known that is not.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Mapping
from pathlib import Path

import anyio

from brookreach.coordination import configuration
from brookreach.coordination.client.client import Client
from brookreach.coordination.client.connection import ClientConnection, now_ms
from brookreach.coordination.client.events import (
    ClientEvent,
    ClientRejected,
    OutcomeUnknown,
    ReplyReceived,
    RowsChanged,
    SessionEstablished,
    SessionLost,
)
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row, View

BEHIND_S = 0.3


class ClusterUnreachableError(Exception):
    """Nobody answered in time, or the group won't have this client; its text is for the operator."""


class OneShotClient:
    def __init__(
        self,
        told: configuration.ClusterConfiguration,
        key: bytes,
        name: str,
        kind: messages.ClientKind,
        tables: Mapping[str, type[Row]],
        wait_s: float,
    ):
        keepers = told.addresses()
        self.wait_s, self.keeper = wait_s, ""
        self.client = Client(name, kind, tuple(keepers), told.times(), random.Random(), tables)
        self.dial = ClientConnection(self.client, told.group.name, key, keepers, self._heard)
        self.answers: dict[int, ReplyReceived | OutcomeUnknown] = {}
        self.whole, self.trouble = False, ""
        self.moved = anyio.Event()

    def _heard(self, event: ClientEvent) -> None:
        match event:
            case ReplyReceived() | OutcomeUnknown():
                self.answers[event.seq] = event
            case SessionEstablished():
                self.keeper, self.trouble = event.keeper, ""
            case RowsChanged():
                self.whole = True
            case SessionLost():
                self.trouble = event.why
            case ClientRejected():
                self.trouble = f"{event.why}: {event.text}"
        self.moved.set()
        self.moved = anyio.Event()

    async def ask(self, piece: str, order: Command) -> ReplyReceived:
        """Raises ClusterUnreachableError where it is not known what became of it."""
        seq = self.client.ask(now_ms(), piece, order)
        self.dial.stir()
        with anyio.move_on_after(self.wait_s):
            while seq not in self.answers:
                await self.moved.wait()
        answer = self.answers.get(seq)
        if isinstance(answer, ReplyReceived):
            return answer
        why = answer.why if answer else f"no answer within {self.wait_s} s"
        raise ClusterUnreachableError(f"{self._why(why)}; it may have been agreed all the same: brookreach fleet show")

    async def view(self, index: int = 0) -> View:
        """The tables as they stood at that place, or later; raises ClusterUnreachableError."""
        mirror = self.client.mirror
        with anyio.move_on_after(self.wait_s):
            while not self.whole:
                await self.moved.wait()
        if not self.whole:
            raise ClusterUnreachableError(self._why(f"nothing was told within {self.wait_s} s"))
        with anyio.move_on_after(BEHIND_S):  # what changes follows its answer, if any does
            while mirror.index < index:
                await self.moved.wait()
        return mirror

    def _why(self, text: str) -> str:
        if self.trouble:
            return f"{text} ({self.trouble})"
        return text if self.keeper else f"{text}: no keeper that leads was reached"


@contextlib.asynccontextmanager
async def one_shot_client(
    path: Path, name: str, kind: messages.ClientKind, tables: Mapping[str, type[Row]], wait_s: float
) -> AsyncIterator[OneShotClient]:
    """Raises BadFile."""
    told = configuration.read(path)
    one = OneShotClient(told, configuration.read_key(path, told), name, kind, tables, wait_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.dial.run)
        try:
            yield one
        finally:
            with anyio.CancelScope(shield=True):
                await one.dial.end(0.5)
            tasks.cancel_scope.cancel()
