"""The agreed state: entries of the log go in, in order, and each changes it alike on every keeper.

It owns the order of things: sessions and their answers, the agreed time, what a piece may write, snapshots.
It must never look at a clock, skip a record that it can't read, or go on after a piece has failed: then
processes would differ without knowing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec

from brookreach.coordination.errors import InvalidRowError, ReplicaHaltedError, RowTooLargeError
from brookreach.coordination.ports import AppliedCommand, LogRecord
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine import sessions, snapshots
from brookreach.coordination.state_machine.application import (
    Application,
    CommandRejectedError,
    Context,
    RowUpdate,
    StagedChanges,
    View,
)
from brookreach.coordination.state_machine.sessions import (
    ANSWERS,
    APPLICATION,
    MEMBERSHIP,
    SESSIONS,
    AnswerRow,
    SessionRow,
    SessionStarted,
    TimePassed,
)
from brookreach.coordination.state_machine.tables import Tables

MOST_TEXT = 400  # as words.Text
Made = list[tuple[Any, messages.RowChange]]

_stamped = msgspec.msgpack.Decoder(LogRecord, strict=True)


class StateMachine:
    """Pieces stand in the order in which they may write each other's tables: a later one those before it."""

    def __init__(self, pieces: Sequence[Application]):
        self.applied, self.at_ms = 0, 0
        self._pieces: dict[str, Application] = {}
        self._may: dict[str, frozenset[str]] = {}
        self._readers = {APPLICATION: msgspec.msgpack.Decoder(sessions.COMMANDS, strict=True)}
        self._versions = {APPLICATION: sessions.VERSION}
        types = dict(sessions.TABLES)
        for piece in pieces:
            if piece.name in (*self._versions, MEMBERSHIP):
                raise ValueError(f"a second piece {piece.name}")
            if twice := sorted(set(types) & set(piece.tables)):
                raise ValueError(f"piece {piece.name}: table {twice[0]} is another's")
            types.update(piece.tables)
            self._pieces[piece.name] = piece
            self._may[piece.name] = frozenset(types) - frozenset(sessions.TABLES)
            self._readers[piece.name] = msgspec.msgpack.Decoder(piece.commands, strict=True)
            self._versions[piece.name] = piece.version
        self.view = Tables(types)
        self._holders: dict[int, str] = {}  # whose a session is
        self._due: tuple[int | None] | None = None  # worked out for the state as it stands

    # --- what a keeper asks ---

    def check_proposal(self, piece: str, version: int, body: bytes) -> tuple[messages.RejectionReason, str] | None:
        """Why a client's record must not get into the log: there it would halt every keeper."""
        if piece in (APPLICATION, MEMBERSHIP):
            return "refused", f"records of {piece} are the group's own"
        if piece not in self._pieces:
            return "too new", f"no piece {piece}; known are {', '.join(self._pieces)}"
        if version > self._versions[piece]:
            return "too new", f"version {version} of piece {piece}; up to {self._versions[piece]} is read"
        if version < 1:
            return "refused", f"version {version} of piece {piece}; versions begin at 1"
        if len(body) > messages.MAX_COMMAND_BYTES - sessions.ENTRY_OVERHEAD_BYTES:
            return (
                "refused",
                f"{len(body)} bytes; {messages.MAX_COMMAND_BYTES - sessions.ENTRY_OVERHEAD_BYTES} are allowed",
            )
        try:
            self._readers[piece].decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            return "refused", f"no order of {piece}: {error}"[:MOST_TEXT]
        return None

    def session(self, client: str) -> int:
        row = self.view.get(SESSIONS, client)
        return 0 if row is None else row.session

    def holder(self, session: int) -> str:
        return self._holders.get(session, "")

    def sessions(self) -> tuple[int, ...]:
        return tuple(sorted(self._holders))

    def next_timer_ms(self) -> int | None:
        """When time alone next changes something: a Passed is to be proposed then, one at a time."""
        if self._due is None:
            times = []
            for piece in self._pieces.values():
                try:
                    times.append(piece.next_timer_ms(self.view))
                except Exception as error:
                    raise ReplicaHaltedError(f"piece {piece.name} failed at place {self.applied}: {error!r}") from error
            self._due = (min((one for one in times if one is not None), default=None),)
        return self._due[0]

    def snapshot(self) -> bytes:
        return snapshots.encode_snapshot(self.applied, self.at_ms, self._versions, self.view)

    def restore(self, octets: bytes) -> None:
        """The state of another keeper, or of this one before it ended. On ReplicaHaltedError nothing has changed."""
        into = Tables(self.view.types)
        applied, at_ms = snapshots.decode_snapshot(octets, self._versions, into)
        for client, row in into.rows(SESSIONS):
            answer = into.get(ANSWERS, client)
            if answer is None or answer.session != row.session:
                raise ReplicaHaltedError(f"a snapshot of place {applied}: session {row.session} has no answers")
        self.view.replace_contents(into)
        self.applied, self.at_ms, self._due = applied, at_ms, None
        self._holders = {row.session: client for client, row in into.rows(SESSIONS)}

    # --- the log ---

    def apply(self, entry: messages.Entry) -> AppliedCommand:
        """`AppliedCommand.index`: where the question took effect; for one asked again, where its first copy did."""
        if entry.index != self.applied + 1:
            raise ReplicaHaltedError(f"place {entry.index} of the log follows {self.applied}")
        if not entry.octets:  # a leader's term begins
            self.applied = entry.index
            return AppliedCommand(entry.index, 0, 0, True, "", ())
        try:
            stamped = _stamped.decode(entry.octets)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ReplicaHaltedError(f"record {entry.index} can't be read: {error}") from None
        at_ms = max(self.at_ms, stamped.at_ms)
        done = self._taken(entry.index, at_ms, stamped)
        self.applied, self.at_ms = entry.index, at_ms
        return done

    def _taken(self, index: int, at_ms: int, stamped: LogRecord) -> AppliedCommand:
        if stamped.application == MEMBERSHIP:
            return AppliedCommand(index, 0, 0, True, "", ())
        order = self._order(index, stamped)
        if stamped.application == APPLICATION:
            if stamped.client:  # `misfit` should have kept it out of the log
                text = f"{APPLICATION} is the group's own"
                return AppliedCommand(index, stamped.session, stamped.seq, False, text, (), "refused")
            return self._ground(index, at_ms, order)
        if not stamped.client and not stamped.session:
            ok, text, made = self._asked(order, stamped.application, Context(index, at_ms, "", "", 0))
            return AppliedCommand(index, 0, stamped.seq, ok, text, self._lay(made))
        return self._of_session(index, at_ms, stamped, order)

    def _order(self, index: int, stamped: LogRecord) -> Any:
        name, version = stamped.application, stamped.version
        if name not in self._versions:
            raise ReplicaHaltedError(f"record {index} is of piece {name!r}; known are {', '.join(self._versions)}")
        if not 1 <= version <= self._versions[name]:
            raise ReplicaHaltedError(
                f"record {index} of piece {name} has version {version}; 1 to {self._versions[name]} "
                "are read here: another version of the program wrote it"
            )
        try:
            return self._readers[name].decode(stamped.body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ReplicaHaltedError(f"record {index} of piece {name}, version {version}, is none: {error}") from None

    def _of_session(self, index: int, at_ms: int, stamped: LogRecord, order: Any) -> AppliedCommand:
        """Each question of a session takes effect once, whatever came twice or late."""
        by, session, seq = stamped.client, stamped.session, stamped.seq
        row, last = self.view.get(SESSIONS, by), self.view.get(ANSWERS, by)
        if row is None or row.session != session:
            text = f"session {session} of {by} has ended"
            return AppliedCommand(index, session, seq, False, text, (), "no session")
        mark = sessions.request_digest(stamped.application, stamped.version, stamped.body)
        if seq and seq == last.seq and mark == last.mark:
            return AppliedCommand(last.index, session, seq, last.ok, last.text, ())
        if seq != last.seq + 1:
            text = f"question {seq} after {last.seq}" if seq != last.seq else f"another question {seq}"
            return AppliedCommand(index, session, seq, False, text, (), "out of order")
        ok, text, made = self._asked(order, stamped.application, Context(index, at_ms, by, row.kind, session))
        answer = RowUpdate(ANSWERS, by, AnswerRow(session, seq, mark, index, ok, text))
        return AppliedCommand(index, session, seq, ok, text, self._lay([*made, self.view.encode(answer)]))

    def _asked(self, order: Any, name: str, context: Context) -> tuple[bool, str, Made]:
        piece = self._pieces[name]
        try:
            return True, "", self._made(piece, piece.apply(self.view, order, context))
        except (CommandRejectedError, RowTooLargeError) as error:
            return False, str(error)[:MOST_TEXT], []
        except Exception as error:
            raise ReplicaHaltedError(f"record {context.index}: piece {name} failed on {order!r}: {error!r}") from error

    def _made(self, piece: Application, puts: Iterable[RowUpdate]) -> Made:
        puts = list(puts)
        for one in puts:
            if one.table not in self._may[piece.name]:
                raise InvalidRowError(f"piece {piece.name} may not write table {one.table!r}")
        return [self.view.encode(one) for one in puts]

    def _lay(self, made: Made) -> tuple[messages.RowChange, ...]:
        changes = self.view.write(made)
        if changes:
            self._due = None
        return tuple(one for one in changes if one.table not in sessions.UNWATCHED_TABLES)

    # --- the ground's own records ---

    def _ground(self, index: int, at_ms: int, order: Any) -> AppliedCommand:
        if isinstance(order, SessionStarted):
            return self._began(index, at_ms, order)
        if isinstance(order, TimePassed):
            nobody = Context(index, at_ms, "", "", 0)
            made = self._each(index, lambda piece, view: piece.advance_time(view, nobody))
            return AppliedCommand(index, 0, 0, True, "", self._lay(made))
        client = self.holder(order.session)
        if not client:
            text = f"session {order.session} has ended"
            return AppliedCommand(index, order.session, 0, False, text, (), "no session")
        made = self._over(index, at_ms, client)
        gone = [self.view.encode(RowUpdate(table, client, None)) for table in sessions.TABLES]
        del self._holders[order.session]
        return AppliedCommand(index, order.session, 0, True, order.reason, self._lay(made + gone))

    def _began(self, index: int, at_ms: int, order: SessionStarted) -> AppliedCommand:
        client, older = order.client, self.session(order.client)
        if not older and self.view.count(SESSIONS) >= sessions.MAX_SESSIONS:
            text = f"{sessions.MAX_SESSIONS} sessions, no more are allowed"
            return AppliedCommand(index, 0, 0, False, text, (), "busy")
        made = self._over(index, at_ms, client) if older else []
        rows = (
            RowUpdate(SESSIONS, client, SessionRow(index, order.kind, at_ms)),
            RowUpdate(ANSWERS, client, AnswerRow(index, 0, "", 0, True, "")),
        )
        made += [self.view.encode(one) for one in rows]
        self._holders.pop(older, None)
        self._holders[index] = client
        return AppliedCommand(index, index, 0, True, "", self._lay(made))

    def _over(self, index: int, at_ms: int, client: str) -> Made:
        row = self.view.get(SESSIONS, client)
        context = Context(index, at_ms, client, row.kind, row.session)
        return self._each(index, lambda piece, view: piece.end_session(view, context))

    def _each(self, index: int, call: Callable[[Application, View], list[RowUpdate]]) -> Made:
        """Every piece in turn sees what those before it changed; all of it is laid at once."""
        draft, all_made = StagedChanges(self.view), []
        for piece in self._pieces.values():
            try:
                made = self._made(piece, call(piece, draft))
            except Exception as error:
                raise ReplicaHaltedError(f"record {index}: piece {piece.name} failed: {error!r}") from error
            for row, change in made:
                draft.put(change.table, change.key, row)
            all_made += made
        return all_made
