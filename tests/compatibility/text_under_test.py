"""The only module of these tests that imports from brookreach: the present text, by roles and not by its names."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from types import SimpleNamespace
from typing import Any, get_args

import msgspec

from brookreach import applications as installed_applications
from brookreach.cli import files as configuration_files
from brookreach.coordination import errors, timing
from brookreach.coordination.client.client import Client
from brookreach.coordination.protocol import frames
from brookreach.coordination.protocol import messages as message_table
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.raft import types
from brookreach.coordination.server import replica
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.machine import StateMachine as StateMachine
from brookreach.coordination.storage import memory, sqlite
from brookreach.verdict import wave_records
from brookreach.xds import store as service_store

__all__ = ["StateMachine", "configuration_files", "service_store", "wave_records"]

Entry = message_table.Entry
StoreError, StateError, FrameError = errors.StorageError, errors.ReplicaHaltedError, errors.InvalidFrameError
Question, Stamp = message_table.ProposeRequest, LogRecord
NoWork = types.Ready
SESSION_APPLICATION, SESSION_VERSION = sessions.APPLICATION, sessions.VERSION
CONTROL_MESSAGES, CLIENT_MESSAGES, SERVER_MESSAGES = (
    message_table.REPLICA_MESSAGES,
    message_table.CLIENT_MESSAGES,
    message_table.SERVER_MESSAGES,
)
FRAME_ERROR_NAMES, MOST_FRAME = message_table.INVALID_FRAME_REASONS, message_table.MAX_FRAME_BYTES
ServiceState = service_store.StoredView
seal_frame, open_frame, Frame = frames.seal_frame, frames.open_frame, frames.Frame
stamp_question = sessions.encode_proposal


def Timing(*, beat_ms: float, election_ms: float, lease_ms: float, cut_entries: int) -> timing.Timing:
    """A group's times by the keys of its file."""
    return timing.Timing(
        heartbeat_ms=beat_ms,
        election_timeout_ms=election_ms,
        lease_ms=lease_ms,
        snapshot_interval_entries=cut_entries,
    )


@dataclass(frozen=True)
class Save:
    """What a file is to hold; a snapshot is its index, term, members and octets."""

    term: int
    vote: str
    after: int
    entries: list[Entry]
    snapshot: tuple[int, int, tuple[str, ...], bytes] | None = None

    def present(self) -> types.PendingSave:
        snapshot = types.Snapshot(*self.snapshot) if self.snapshot else None
        return types.PendingSave(self.term, self.vote, self.after, self.entries, snapshot)


@dataclass(frozen=True)
class Stored:
    """What a file holds."""

    term: int
    vote: str
    seats: tuple[str, ...]
    index: int
    index_term: int
    snapshot: bytes
    entries: tuple[Entry, ...]

    @classmethod
    def of(cls, state: types.StoredState) -> Stored:
        one = state.snapshot
        return cls(state.term, state.voted_for, one.members, one.index, one.term, one.data, state.entries)

    def present(self) -> types.StoredState:
        snapshot = types.Snapshot(self.index, self.index_term, self.seats, self.snapshot)
        return types.StoredState(self.term, self.vote, snapshot, self.entries)


class MemoryStore:
    """A replica's disk in memory."""

    def __init__(self, members: tuple[str, ...]) -> None:
        self.storage: Any = memory.InMemoryStorage(members)

    def load(self) -> Stored:
        return Stored.of(self.storage.load())

    def save(self, save: Save | types.PendingSave) -> None:
        self.storage.save(save.present() if isinstance(save, Save) else save)


class Store(MemoryStore):
    """A replica's file."""

    def __init__(self, path: Path, group: str, name: str) -> None:
        self.storage = sqlite.SqliteStorage(path, group, name)

    def found(self, members: tuple[str, ...]) -> None:
        self.storage.bootstrap(members)

    def close(self) -> None:
        self.storage.close()


class Replica(replica.Replica):
    """A replica by the calls of these tests."""

    def __init__(self, name: str, applications: tuple[Any, ...], stored: Stored, *more: Any) -> None:
        super().__init__(name, applications, stored.present(), *more)

    def hear(self, now: float, wall_ms: int, source: str, body: message_table.Body) -> None:
        self.handle_message(now, wall_ms, source, body)

    def passed(self, now: float, wall_ms: int) -> None:
        self.tick(now, wall_ms)

    def wake_ms(self) -> float:
        return self.next_wakeup_ms()

    def taken(self, now: float, ready: types.Ready) -> None:
        self.advance(now, ready)

    @property
    def leads(self) -> bool:
        return self.is_leader

    @property
    def lead(self) -> Any:
        return None if self.leader is None else SimpleNamespace(open=self.leader.is_open)

    @property
    def refusals(self) -> Counter[Any]:
        return self.rejections


class GroupClient(Client):
    """A client by the names of its methods that these tests use."""

    ask, hear, passed = Client.propose, Client.handle_message, Client.advance_time
    out, news = Client.take_outgoing, Client.take_events

    @property
    def joined(self) -> bool:
        """Whether a connection to a replica stands, with a session."""
        return self.connected

    @property
    def keeper(self) -> str:
        """The replica that it talks to."""
        return self.replica


@dataclass(frozen=True)
class Application:
    """One application of the state machine: its name on the wire, its orders and the rows of its tables."""

    name: str
    version: int
    orders: tuple[type, ...]
    tables: Mapping[str, type]


def installed() -> tuple[Any, ...]:
    """The applications as a replica takes them."""
    return installed_applications.load_applications()


def applications() -> dict[str, Application]:
    """All applications by name, with the sessions' own."""
    found = [Application(SESSION_APPLICATION, SESSION_VERSION, get_args(sessions.COMMANDS), sessions.TABLES)]
    found += [Application(one.name, one.version, get_args(one.commands), one.tables) for one in installed()]
    return {one.name: one for one in found}


def messages() -> dict[str, tuple[type, ...]]:
    """The messages by who may send them."""
    return {"control": CONTROL_MESSAGES, "client": CLIENT_MESSAGES, "server": SERVER_MESSAGES}


def tag(type_: type) -> str:
    """The string by which a message or order is known on the wire."""
    return str(msgspec.inspect.type_info(type_).tag)


def rows(machine: StateMachine) -> dict[str, dict[str, Any]]:
    """All rows of a state machine as builtins, by table and key."""
    view = machine.view
    return {table: {key: plain(row) for key, row in view.rows(table)} for table in view.types}


def plain(value: Any) -> Any:
    """As it comes back from JSON: structs without names, tuples as lists, octets as hex."""
    return msgspec.json.decode(msgspec.json.encode(_hexed(msgspec.to_builtins(value, builtin_types=(bytes,)))))


def _hexed(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {key: _hexed(one) for key, one in value.items()}
    if isinstance(value, list | tuple):
        return [_hexed(one) for one in value]
    return value


def read_state(stored: Stored) -> StateMachine:
    """The state that a stored snapshot and the log after it give."""
    machine = StateMachine(installed())
    if stored.snapshot:
        machine.restore(stored.snapshot)
    for entry in stored.entries:
        machine.apply(entry)
    return machine


def order_octets(order: Mapping[str, Any]) -> bytes:
    """An order given by its tag and fields, as octets."""
    return msgspec.msgpack.encode(dict(order))
