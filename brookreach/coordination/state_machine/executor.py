"""Calls the applications on the tables, and checks what they return before anything is written."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brookreach.coordination.errors import (
    CommandRejectedError,
    InvalidRowError,
    ReplicaHaltedError,
    RowTooLargeError,
)
from brookreach.coordination.protocol.messages import MAX_TEXT_LENGTH
from brookreach.coordination.state_machine.application import (
    Application,
    Command,
    Context,
    RowUpdate,
    StagedChanges,
    View,
)
from brookreach.coordination.state_machine.registry import ApplicationRegistry
from brookreach.coordination.state_machine.tables import StoredRow, Tables


class ApplicationExecutor:
    """Runs the applications of a registry. It returns rows to write and never writes them itself.

    An application that fails in any other way than by `CommandRejectedError` raises `ReplicaHaltedError`: a replica
    that went on could differ from the others without knowing it.
    """

    def __init__(self, registry: ApplicationRegistry, tables: Tables):
        self._registry = registry
        self._tables = tables

    def apply(self, name: str, command: Command, context: Context) -> list[StoredRow]:
        """Returns the rows that a command writes.

        Raises:
            CommandRejectedError: The state does not allow the command; the text is cut to `MAX_TEXT_LENGTH`.
            ReplicaHaltedError: The application failed.
        """
        application = self._registry.applications[name]
        try:
            return self._encode(application, application.apply(self._tables, command, context))
        except (CommandRejectedError, RowTooLargeError) as error:
            raise CommandRejectedError(str(error)[:MAX_TEXT_LENGTH]) from error
        except Exception as error:
            raise ReplicaHaltedError(
                f"entry {context.index}: application {name} failed on {command!r}: {error!r}"
            ) from error

    def advance_time(self, context: Context) -> list[StoredRow]:
        """Returns the rows that all applications write as the agreed time advances."""
        return self._call_all(context.index, lambda application, view: application.advance_time(view, context))

    def end_session(self, context: Context) -> list[StoredRow]:
        """Returns the rows that all applications write as a session ends."""
        return self._call_all(context.index, lambda application, view: application.end_session(view, context))

    def next_timer_ms(self, applied: int) -> int | None:
        """Returns the agreed time at which time alone next changes something; `applied` is for the error's text."""
        timers = []
        for application in self._registry.applications.values():
            try:
                timer_ms = application.next_timer_ms(self._tables)
            except Exception as error:
                raise ReplicaHaltedError(
                    f"application {application.name} failed at index {applied}: {error!r}"
                ) from error
            if timer_ms is not None:
                timers.append(timer_ms)
        return min(timers, default=None)

    def _call_all(self, index: int, call: Callable[[Application, View], list[RowUpdate]]) -> list[StoredRow]:
        """Calls each application in turn; each sees what those before it changed."""
        staged = StagedChanges(self._tables)
        all_rows: list[StoredRow] = []
        for application in self._registry.applications.values():
            try:
                rows = self._encode(application, call(application, staged))
            except Exception as error:
                raise ReplicaHaltedError(f"entry {index}: application {application.name} failed: {error!r}") from error
            for row in rows:
                staged.put(row.change.table, row.change.key, row.row)
            all_rows += rows
        return all_rows

    def _encode(self, application: Application, updates: Iterable[RowUpdate]) -> list[StoredRow]:
        updates = list(updates)
        writable = self._registry.writable_tables[application.name]
        for update in updates:
            if update.table not in writable:
                raise InvalidRowError(f"application {application.name} may not write table {update.table!r}")
        return [self._tables.encode(update) for update in updates]
