"""The applications that a replica runs: their tables, and the decoders and versions of their commands."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from brookreach.coordination.errors import ReplicaHaltedError
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.protocol.messages import MAX_COMMAND_BYTES, MAX_TEXT_LENGTH, RejectionReason
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import Application, Command, Row

MAX_PROPOSAL_BYTES = MAX_COMMAND_BYTES - sessions.ENTRY_OVERHEAD_BYTES


class Rejection(NamedTuple):
    """Why a request is not taken as a command at all; `text` is for the client."""

    reason: RejectionReason
    text: str


class ApplicationRegistry:
    """The applications in the order in which they may write each other's tables: a later one those before it.

    Attributes:
        applications: By name, in that order.
        versions: The greatest version of commands that can be read, by application; with the session commands.
        tables: The type of row of each table; with the sessions' tables.
        writable_tables: The tables that each application may write.
    """

    def __init__(self, applications: Iterable[Application]):
        """Registers the applications.

        Raises:
            ValueError: Two applications have the same name or table.
        """
        self.applications: dict[str, Application] = {}
        self.versions = {sessions.APPLICATION: sessions.VERSION}
        self.tables: dict[str, type[Row]] = dict(sessions.TABLES)
        self.writable_tables: dict[str, frozenset[str]] = {}
        self._decoders = {sessions.APPLICATION: msgspec.msgpack.Decoder(sessions.COMMANDS, strict=True)}
        for application in applications:
            self._register(application)

    def _register(self, application: Application) -> None:
        name = application.name
        if name in (*self.versions, sessions.MEMBERSHIP):
            raise ValueError(f"a second application {name}")
        if duplicates := sorted(set(self.tables) & set(application.tables)):
            raise ValueError(f"application {name}: table {duplicates[0]} is another's")
        self.tables.update(application.tables)
        self.applications[name] = application
        self.writable_tables[name] = frozenset(self.tables) - frozenset(sessions.TABLES)
        self.versions[name] = application.version
        self._decoders[name] = msgspec.msgpack.Decoder(application.commands, strict=True)

    def check_proposal(self, application: str, version: int, body: bytes) -> Rejection | None:
        """Returns why a client's command must not enter the log, where it would halt every replica; None: it may."""
        if rejection := self._check_version(application, version):
            return rejection
        if len(body) > MAX_PROPOSAL_BYTES:
            return Rejection("refused", f"{len(body)} bytes; {MAX_PROPOSAL_BYTES} are allowed")
        try:
            self._decoders[application].decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return Rejection("refused", f"no order of {application}: {error}"[:MAX_TEXT_LENGTH])
        return None

    def _check_version(self, application: str, version: int) -> Rejection | None:
        if application in (sessions.APPLICATION, sessions.MEMBERSHIP):
            return Rejection("refused", f"records of {application} are the group's own")
        if application not in self.applications:
            return Rejection("too new", f"no piece {application}; known are {', '.join(self.applications)}")
        known = self.versions[application]
        if version > known:
            return Rejection("too new", f"version {version} of piece {application}; up to {known} is read")
        if version < 1:
            return Rejection("refused", f"version {version} of piece {application}; versions begin at 1")
        return None

    def decode(self, index: int, record: LogRecord) -> Command:
        """Returns the command of a log record.

        Raises:
            ReplicaHaltedError: This program can't read it.
        """
        name, version = record.application, record.version
        if name not in self.versions:
            raise ReplicaHaltedError(f"entry {index} is of application {name!r}; known are {', '.join(self.versions)}")
        if not 1 <= version <= self.versions[name]:
            raise ReplicaHaltedError(
                f"entry {index} of application {name} has version {version}; 1 to {self.versions[name]} "
                "are read here: another version of the program wrote it"
            )
        try:
            command: Command = self._decoders[name].decode(record.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ReplicaHaltedError(
                f"entry {index} of application {name}, version {version}, can't be decoded: {error}"
            ) from error
        return command
