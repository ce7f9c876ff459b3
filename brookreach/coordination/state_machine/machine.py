"""The replicated state machine: applies log entries in order, each with the same result on every replica.

It owns the sessions with their answers, the agreed time, and snapshots; what commands mean is the applications' part.
It reads no clock, skips no entry that it can't read, and raises `ReplicaHaltedError` where an application fails:
otherwise replicas could differ without knowing it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from brookreach.coordination.errors import CommandRejectedError, ReplicaHaltedError
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.protocol.messages import Entry, RejectionReason, RowChange
from brookreach.coordination.state_machine import sessions, snapshots
from brookreach.coordination.state_machine.application import Application, Command, Context, RowUpdate
from brookreach.coordination.state_machine.applied_command import AppliedCommand
from brookreach.coordination.state_machine.executor import ApplicationExecutor
from brookreach.coordination.state_machine.registry import ApplicationRegistry, Rejection
from brookreach.coordination.state_machine.sessions import (
    ANSWERS,
    SESSIONS,
    AnswerRow,
    SessionEnded,
    SessionRow,
    SessionStarted,
    TimePassed,
)
from brookreach.coordination.state_machine.tables import StoredRow, Tables

_record_decoder = msgspec.msgpack.Decoder(LogRecord, strict=True)


class StateMachine:
    """The state at one index of the log, and the commands that change it.

    Attributes:
        applied: Index of the last applied log entry; 0: none.
        at_ms: The agreed time, ms since 1970. It never goes back.
        versions: The greatest version of commands that can be read, by application.
        view: The tables; the same object for good, also after `restore`.
    """

    def __init__(self, applications: Sequence[Application]):
        """Starts with empty tables.

        Args:
            applications: In the order in which they may write each other's tables: a later one those before it.
        """
        registry = ApplicationRegistry(applications)
        self.applied = 0
        self.at_ms = 0
        self.versions = registry.versions
        self.view = Tables(registry.tables)
        self._registry = registry
        self._executor = ApplicationExecutor(registry, self.view)
        self._session_clients: dict[int, str] = {}
        self._next_timer_ms: int | None = None
        self._next_timer_known = False

    def check_proposal(self, application: str, version: int, body: bytes) -> Rejection | None:
        """Returns why a client's command must not enter the log, where it would halt every replica; None: it may."""
        return self._registry.check_proposal(application, version, body)

    def session(self, client: str) -> int:
        """Returns the number of a client's session; 0: it has none."""
        row = self.view.get(SESSIONS, client)
        return 0 if row is None else row.session

    def holder(self, session: int) -> str:
        """Returns the name of a session's client; "": the session has ended."""
        return self._session_clients.get(session, "")

    def sessions(self) -> tuple[int, ...]:
        """Returns the numbers of all sessions, the oldest first."""
        return tuple(sorted(self._session_clients))

    def next_timer_ms(self) -> int | None:
        """Returns the agreed time at which a `TimePassed` is to be proposed, one at a time; None: never."""
        if not self._next_timer_known:
            self._next_timer_ms = self._executor.next_timer_ms(self.applied)
            self._next_timer_known = True
        return self._next_timer_ms

    def snapshot(self) -> bytes:
        """Returns the state as bytes, for `restore`."""
        return snapshots.encode_snapshot(self.applied, self.at_ms, self.versions, self.view)

    def restore(self, octets: bytes) -> None:
        """Replaces the state by that of a snapshot, of this replica or another.

        Raises:
            ReplicaHaltedError: The snapshot can't be read; the state is as it was.
        """
        tables = Tables(self.view.types)
        applied, at_ms = snapshots.decode_snapshot(octets, self.versions, tables)
        for client, row in tables.rows(SESSIONS):
            answer = tables.get(ANSWERS, client)
            if answer is None or answer.session != row.session:
                raise ReplicaHaltedError(f"a snapshot at index {applied}: session {row.session} has no answers")
        self.view.replace_contents(tables)
        self.applied = applied
        self.at_ms = at_ms
        self._next_timer_known = False
        self._session_clients = {row.session: client for client, row in tables.rows(SESSIONS)}

    def apply(self, entry: Entry) -> AppliedCommand:
        """Applies the next log entry.

        Returns:
            What came of it. `index` is where the command took effect: for a retry, where its first copy did.

        Raises:
            ReplicaHaltedError: The replica can't go on; the state is as it was.
        """
        if entry.index != self.applied + 1:
            raise ReplicaHaltedError(f"entry {entry.index} of the log follows {self.applied}")
        if not entry.octets:  # the first entry of a leader's term
            self.applied = entry.index
            return _accepted(entry.index)
        try:
            record = _record_decoder.decode(entry.octets)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ReplicaHaltedError(f"entry {entry.index} can't be read: {error}") from error
        at_ms = max(self.at_ms, record.at_ms)
        result = self._apply_record(entry.index, at_ms, record)
        self.applied = entry.index
        self.at_ms = at_ms
        return result

    def _apply_record(self, index: int, at_ms: int, record: LogRecord) -> AppliedCommand:
        if record.application == sessions.MEMBERSHIP:
            return _accepted(index)
        command = self._registry.decode(index, record)
        if record.application == sessions.APPLICATION:
            if record.client:  # `check_proposal` should have kept it out of the log
                text = f"{sessions.APPLICATION} is the group's own"
                return _rejected(index, record, "refused", text)
            return self._apply_session_command(index, at_ms, command)
        if not record.client and not record.session:
            context = Context(index, at_ms, client="", client_kind="", session=0)
            ok, text, rows = self._execute(record, command, context)
            return AppliedCommand(index, 0, record.seq, ok, text, self._write(rows))
        return self._apply_request(index, at_ms, record, command)

    def _apply_request(self, index: int, at_ms: int, record: LogRecord, command: Command) -> AppliedCommand:
        """Applies a client's command, each request of a session once, however often and late its copies come."""
        session_row = self.view.get(SESSIONS, record.client)
        if session_row is None or session_row.session != record.session:
            text = f"session {record.session} of {record.client} has ended"
            return _rejected(index, record, "no session", text)
        last = self.view.get(ANSWERS, record.client)
        digest = sessions.request_digest(record.application, record.version, record.body)
        if record.seq and record.seq == last.seq and digest == last.digest:
            return AppliedCommand(last.index, record.session, record.seq, last.ok, last.text, ())
        if record.seq == last.seq:
            return _rejected(index, record, "out of order", f"another question {record.seq}")
        if record.seq != last.seq + 1:
            return _rejected(index, record, "out of order", f"question {record.seq} after {last.seq}")
        context = Context(index, at_ms, record.client, session_row.kind, record.session)
        ok, text, rows = self._execute(record, command, context)
        answer = AnswerRow(record.session, record.seq, digest, index, ok, text)
        rows.append(self.view.encode(RowUpdate(ANSWERS, record.client, answer)))
        return AppliedCommand(index, record.session, record.seq, ok, text, self._write(rows))

    def _execute(self, record: LogRecord, command: Command, context: Context) -> tuple[bool, str, list[StoredRow]]:
        """Returns whether the application accepted the command, its text otherwise, and the rows to write."""
        try:
            return True, "", self._executor.apply(record.application, command, context)
        except CommandRejectedError as error:
            return False, str(error), []

    def _apply_session_command(self, index: int, at_ms: int, command: Command) -> AppliedCommand:
        match command:
            case SessionStarted():
                return self._start_session(index, at_ms, command)
            case SessionEnded():
                return self._end_session(index, at_ms, command)
            case TimePassed():
                context = Context(index, at_ms, client="", client_kind="", session=0)
                return _accepted(index, changes=self._write(self._executor.advance_time(context)))
            case _:
                raise ReplicaHaltedError(f"entry {index}: {command!r} is no session command")

    def _start_session(self, index: int, at_ms: int, command: SessionStarted) -> AppliedCommand:
        client = command.client
        older = self.session(client)
        if not older and self.view.count(SESSIONS) >= sessions.MAX_SESSIONS:
            text = f"{sessions.MAX_SESSIONS} sessions, no more are allowed"
            return AppliedCommand(index, 0, 0, False, text, (), "busy")
        rows = self._rows_of_session_end(index, at_ms, client) if older else []
        rows.append(self.view.encode(RowUpdate(SESSIONS, client, SessionRow(index, command.kind, at_ms))))
        rows.append(self.view.encode(RowUpdate(ANSWERS, client, AnswerRow(index, 0, "", 0, True, ""))))
        self._session_clients.pop(older, None)
        self._session_clients[index] = client
        return _accepted(index, session=index, changes=self._write(rows))

    def _end_session(self, index: int, at_ms: int, command: SessionEnded) -> AppliedCommand:
        client = self.holder(command.session)
        if not client:
            text = f"session {command.session} has ended"
            return AppliedCommand(index, command.session, 0, False, text, (), "no session")
        rows = self._rows_of_session_end(index, at_ms, client)
        rows += [self.view.encode(RowUpdate(table, client, None)) for table in sessions.TABLES]
        del self._session_clients[command.session]
        return _accepted(index, session=command.session, text=command.reason, changes=self._write(rows))

    def _rows_of_session_end(self, index: int, at_ms: int, client: str) -> list[StoredRow]:
        row = self.view.get(SESSIONS, client)
        return self._executor.end_session(Context(index, at_ms, client, row.kind, row.session))

    def _write(self, rows: Iterable[StoredRow]) -> tuple[RowChange, ...]:
        """Writes rows; returns the changes that clients may see."""
        changes = self.view.write(rows)
        if changes:
            self._next_timer_known = False
        return tuple(change for change in changes if change.table not in sessions.UNWATCHED_TABLES)


def _accepted(index: int, session: int = 0, text: str = "", changes: tuple[RowChange, ...] = ()) -> AppliedCommand:
    """Returns the result of a command of the cluster itself."""
    return AppliedCommand(index, session, 0, True, text, changes)


def _rejected(index: int, record: LogRecord, reason: RejectionReason, text: str) -> AppliedCommand:
    """Returns the result of a record that was not taken as a request."""
    return AppliedCommand(index, record.session, record.seq, False, text, (), reason)
