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
from brookreach.coordination.client.connection import ClientConnection
from brookreach.coordination.client.errors import ClusterUnreachableError
from brookreach.coordination.client.events import (
    ClientEvent,
    ClientRejected,
    OutcomeUnknown,
    ReplyReceived,
    RowsChanged,
    SessionEstablished,
    SessionLost,
)
from brookreach.coordination.clock import now_ms
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row, View

BEHIND_S = 0.3


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
        self.timeout_s, self.leader = wait_s, ""
        self.client = Client(name, kind, tuple(keepers), told.times(), random.Random(), tables)
        self.connection = ClientConnection(self.client, told.group.name, key, keepers, self._heard)
        self.answers: dict[int, ReplyReceived | OutcomeUnknown] = {}
        self.has_snapshot, self.last_error = False, ""
        self.changed = anyio.Event()

    def _heard(self, event: ClientEvent) -> None:
        match event:
            case ReplyReceived() | OutcomeUnknown():
                self.answers[event.seq] = event
            case SessionEstablished():
                self.leader, self.last_error = event.replica, ""
            case RowsChanged():
                self.has_snapshot = True
            case SessionLost():
                self.last_error = event.reason
            case ClientRejected():
                self.last_error = f"{event.reason}: {event.text}"
        self.changed.set()
        self.changed = anyio.Event()

    async def propose(self, piece: str, order: Command) -> ReplyReceived:
        """Raises ClusterUnreachableError where it is not known what became of it."""
        seq = self.client.propose(now_ms(), piece, order)
        self.connection.wake()
        with anyio.move_on_after(self.timeout_s):
            while seq not in self.answers:
                await self.changed.wait()
        answer = self.answers.get(seq)
        if isinstance(answer, ReplyReceived):
            return answer
        why = answer.reason if answer else f"no answer within {self.timeout_s} s"
        raise ClusterUnreachableError(f"{self._why(why)}; it may have been agreed all the same: brookreach fleet show")

    async def read_view(self, index: int = 0) -> View:
        """The tables as they stood at that place, or later; raises ClusterUnreachableError."""
        mirror = self.client.cache
        with anyio.move_on_after(self.timeout_s):
            while not self.has_snapshot:
                await self.changed.wait()
        if not self.has_snapshot:
            raise ClusterUnreachableError(self._why(f"nothing was told within {self.timeout_s} s"))
        with anyio.move_on_after(BEHIND_S):  # what changes follows its answer, if any does
            while mirror.index < index:
                await self.changed.wait()
        return mirror

    def _why(self, text: str) -> str:
        if self.last_error:
            return f"{text} ({self.last_error})"
        return text if self.leader else f"{text}: no keeper that leads was reached"


@contextlib.asynccontextmanager
async def one_shot_client(
    path: Path, name: str, kind: messages.ClientKind, tables: Mapping[str, type[Row]], wait_s: float
) -> AsyncIterator[OneShotClient]:
    """Raises BadFile."""
    told = configuration.read(path)
    one = OneShotClient(told, configuration.read_key(path, told), name, kind, tables, wait_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(one.connection.run)
        try:
            yield one
        finally:
            with anyio.CancelScope(shield=True):
                await one.connection.close(0.5)
            tasks.cancel_scope.cancel()
