"""A client for one command of an operator: it opens a session, proposes commands or reads tables, and closes it.

Every call waits up to one timeout. A command whose outcome is unknown raises, and its text says so.
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

CATCH_UP_S = 0.3  # within which the changes of a command follow its reply
CLOSE_TIMEOUT_S = 0.5


class OneShotClient:
    """A client whose calls wait for the cluster; its `connection` has to be run beside them.

    Attributes:
        client: The client without I/O.
        connection: Runs it on sockets.
        answers: Outcomes of proposals by their numbers.
        leader: The replica that opened the session, or "".
        last_error: Why there is no session at present, or "".
        has_snapshot: Whether the watched tables have arrived.
    """

    def __init__(
        self,
        cluster: configuration.ClusterConfiguration,
        key: bytes,
        name: str,
        kind: messages.ClientKind,
        tables: Mapping[str, type[Row]],
        timeout_s: float,
    ):
        addresses = cluster.addresses()
        self.client = Client(name, kind, tuple(addresses), cluster.times(), random.Random(), tables)
        self.connection = ClientConnection(self.client, cluster.group.name, key, addresses, self._handle_event)
        self.answers: dict[int, ReplyReceived | OutcomeUnknown] = {}
        self.leader = ""
        self.last_error = ""
        self.has_snapshot = False
        self._timeout_s = timeout_s
        self._changed = anyio.Event()

    async def propose(self, application: str, command: Command) -> ReplyReceived:
        """Proposes a command and returns its outcome.

        Raises:
            ClusterUnreachableError: The outcome is unknown.
        """
        request_id = self.client.propose(now_ms(), application, command)
        self.connection.wake()
        with anyio.move_on_after(self._timeout_s):
            while request_id not in self.answers:
                await self._changed.wait()
        answer = self.answers.get(request_id)
        if isinstance(answer, ReplyReceived):
            return answer
        reason = self._explain(answer.reason if answer else f"no answer within {self._timeout_s} s")
        raise ClusterUnreachableError(f"{reason}; it may have been agreed all the same: brookreach fleet show")

    async def read_view(self, index: int = 0) -> View:
        """Returns the watched tables, as of `index` or later if that follows soon.

        Raises:
            ClusterUnreachableError: The tables have not arrived in time.
        """
        cache = self.client.cache
        with anyio.move_on_after(self._timeout_s):
            while not self.has_snapshot:
                await self._changed.wait()
        if not self.has_snapshot:
            raise ClusterUnreachableError(self._explain(f"nothing was told within {self._timeout_s} s"))
        with anyio.move_on_after(CATCH_UP_S):  # a command that changed no row is followed by nothing
            while cache.index < index:
                await self._changed.wait()
        return cache

    def _handle_event(self, event: ClientEvent) -> None:
        match event:
            case ReplyReceived() | OutcomeUnknown():
                self.answers[event.seq] = event
            case SessionEstablished():
                self.leader = event.replica
                self.last_error = ""
            case RowsChanged():
                self.has_snapshot = True
            case SessionLost():
                self.last_error = event.reason
            case ClientRejected():
                self.last_error = f"{event.reason}: {event.text}"
        self._changed.set()
        self._changed = anyio.Event()

    def _explain(self, text: str) -> str:
        if self.last_error:
            return f"{text} ({self.last_error})"
        return text if self.leader else f"{text}: no keeper that leads was reached"


@contextlib.asynccontextmanager
async def one_shot_client(
    path: Path, name: str, kind: messages.ClientKind, tables: Mapping[str, type[Row]], timeout_s: float
) -> AsyncIterator[OneShotClient]:
    """Runs a client of the cluster that the file `path` names, and closes its session at the end.

    Raises:
        InvalidFileError: The file or the key that it names is not valid.
    """
    cluster = configuration.read(path)
    client = OneShotClient(cluster, configuration.read_key(path, cluster), name, kind, tables, timeout_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.connection.run)
        try:
            yield client
        finally:
            with anyio.CancelScope(shield=True):
                await client.connection.close(CLOSE_TIMEOUT_S)
            tasks.cancel_scope.cancel()
