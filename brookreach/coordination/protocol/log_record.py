"""The content of a log entry: a command, who proposed it and when."""

from __future__ import annotations

import msgspec

from brookreach.coordination.protocol.fields import Count, Name, Record


class LogRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A command with its circumstances: the content of a log entry.

    Attributes:
        application: The application that the command is for.
        version: Version of the application's commands.
        at_ms: The agreed time, ms since 1970.
        client: Name of the client that proposed it; "" for the cluster itself.
        client_kind: The client's kind; "" for the cluster itself.
        session: Number of the client's session; 0 for the cluster itself.
        seq: Number of the request within the session.
        body: The command, encoded.
    """

    application: Name
    version: Count
    at_ms: Count
    client: str
    client_kind: str
    session: Count
    seq: Count
    body: Record
