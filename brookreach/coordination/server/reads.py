"""Rows of a table for a client's ReadRequest, cut into messages."""

from __future__ import annotations

from brookreach.coordination.protocol import messages
from brookreach.coordination.server.errors import InvalidRequestError
from brookreach.coordination.state_machine.sessions import UNWATCHED_TABLES
from brookreach.coordination.state_machine.tables import Tables, encoded_size

MAX_PART_BYTES = 256 << 10  # of rows in one message


def read_rows(tables: Tables, request: messages.ReadRequest) -> list[tuple[messages.RowChange, ...]]:
    """Return the rows of the table whose keys have the prefix, in one or more parts.

    Raises:
        InvalidRequestError: If there is no such table for clients.
    """
    readable = [name for name in tables.types if name not in UNWATCHED_TABLES]
    if request.table not in readable:
        raise InvalidRequestError(f"no table {request.table!r}; there are {', '.join(readable)}")
    parts: list[list[messages.RowChange]] = [[]]
    part_bytes = 0
    for row in tables.changes(request.table):
        if not row.key.startswith(request.prefix):
            continue
        row_bytes = encoded_size(row)
        is_full = part_bytes + row_bytes > MAX_PART_BYTES or len(parts[-1]) == messages.MAX_ROWS
        if parts[-1] and is_full:
            parts.append([])
            part_bytes = 0
        parts[-1].append(row)
        part_bytes += row_bytes
    return [tuple(part) for part in parts]
