"""Which types are encoded inside of fields that hold bytes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.state_machine.sessions import APPLICATION, COMMANDS


class RecordTypes:
    """The types of commands and rows of some applications. Any: types and unions, as msgspec decodes them."""

    def __init__(self, applications: Sequence[Application]):
        commands: dict[str, Any] = {application.name: application.commands for application in applications}
        self._commands: Mapping[str, Any] = {APPLICATION: COMMANDS} | commands
        self._rows = {table: kind for application in applications for table, kind in application.tables.items()}

    def type_within(self, holder: Any, field: str) -> Any:
        """Return the type that a field's bytes encode, None if it isn't known."""
        match holder, field:
            case messages.Entry(), "octets":
                return LogRecord
            case ((LogRecord() | messages.ProposeRequest()), "body"):
                return self._commands.get(holder.application)
            case messages.RowChange(), "octets":
                return self._rows.get(holder.table)
        return None
