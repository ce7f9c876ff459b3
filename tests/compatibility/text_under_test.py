"""The only module of these tests that imports from brookreach: the present text, by roles and not by its names."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, get_args

import msgspec

from brookreach import applications as installed_applications
from brookreach.cli import files as configuration_files
from brookreach.coordination import ports
from brookreach.coordination.client.client import Client
from brookreach.coordination.protocol import frames
from brookreach.coordination.protocol import messages as message_table
from brookreach.coordination.server.replica import Replica as Replica
from brookreach.coordination.state_machine import sessions, snapshots
from brookreach.coordination.state_machine.machine import StateMachine as StateMachine
from brookreach.coordination.storage import store
from brookreach.verdict import notes as wave_records
from brookreach.xds import store as service_store

__all__ = ["GroupClient", "Replica", "StateMachine", "configuration_files", "service_store", "wave_records"]

Store, MemoryStore = store.Store, store.MemoryStore
Entry, Save, Stored, Timing = message_table.Entry, ports.PendingSave, ports.StoredState, ports.Timing
StoreError, StateError, FrameError = ports.StorageError, snapshots.ReplicaHaltedError, message_table.InvalidFrameError
Question, Stamp = message_table.ProposeRequest, ports.LogRecord
NoWork = ports.Ready
SESSION_APPLICATION, SESSION_VERSION = sessions.APPLICATION, sessions.VERSION
CONTROL_MESSAGES, CLIENT_MESSAGES, SERVER_MESSAGES = (
    message_table.REPLICA_MESSAGES,
    message_table.CLIENT_MESSAGES,
    message_table.SERVER_MESSAGES,
)
FRAME_ERROR_NAMES, MOST_FRAME = message_table.INVALID_FRAME_REASONS, message_table.MAX_FRAME_BYTES
ServiceState = service_store.Held
seal_frame, open_frame, Frame = frames.seal_frame, frames.open_frame, frames.Frame
stamp_question = sessions.asked


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
    found += [Application(one.name, one.version, get_args(one.orders), one.tables) for one in installed()]
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
