"""Clients' sessions in the replicated state: their commands and tables, and how log records are encoded.

The number of a session is the log index of the command that started it, so it is a fencing token: it is never used
twice, and later sessions have greater numbers. When the leader may end a session is decided in `session_leases`.
"""

from __future__ import annotations

import hashlib

import msgspec

from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.protocol.messages import ClientKind, Count, Name, ProposeRequest, Text
from brookreach.coordination.state_machine.application import Command, Row

APPLICATION = "fleet"
"""The application's name of the session commands."""
VERSION = 1
MEMBERSHIP = "seats"
"""The application's name of records that change the cluster's members: Raft's own, without effect on the tables."""
SESSIONS = "sessions"
ANSWERS = "answers"
MAX_SESSIONS = 16_384
ENTRY_OVERHEAD_BYTES = 512  # of a log entry beside the client's command, at most
REQUEST_DIGEST_LENGTH = 16  # hexadecimal digits

_encoder = msgspec.msgpack.Encoder(order="deterministic")


class SessionStarted(Command, frozen=True, tag="Began"):
    """Starts a session of a client; an older one of the same name ends with it."""

    client: Name
    kind: ClientKind


class SessionEnded(Command, frozen=True, tag="Ended"):
    """Ends a session; the reason becomes the text of the answer."""

    session: Count
    reason: Text = msgspec.field(name="why")


class TimePassed(Command, frozen=True, tag="Passed"):
    """Lets the agreed time advance, and with it whatever is due by time alone."""


SessionCommand = SessionStarted | SessionEnded | TimePassed
COMMANDS = SessionCommand


class SessionRow(Row, frozen=True):
    """A session, under the client's name; `began_ms` is the agreed time of its start."""

    session: int
    kind: ClientKind
    began_ms: int


class AnswerRow(Row, frozen=True):
    """The last request of a client's session and its answer, under the client's name.

    Attributes:
        digest: `request_digest` of the request, which tells a retry from another request with its number.
        index: Where the command took effect.
    """

    session: int
    seq: int
    digest: str
    index: int
    ok: bool
    text: str


TABLES: dict[str, type[Row]] = {SESSIONS: SessionRow, ANSWERS: AnswerRow}
UNWATCHED_TABLES = frozenset((ANSWERS,))
"""Tables that no client can read or watch."""


def encode_command(command: SessionCommand, at_ms: int) -> bytes:
    """Returns the content of a log entry for a command of the cluster itself."""
    return _encoder.encode(LogRecord(APPLICATION, VERSION, at_ms, "", "", 0, 0, _encoder.encode(command)))


def encode_proposal(request: ProposeRequest, at_ms: int, client: str, client_kind: str) -> bytes:
    """Returns the content of a log entry for a client's request that `StateMachine.check_proposal` accepted."""
    record = LogRecord(
        request.application,
        request.version,
        at_ms,
        client,
        client_kind,
        request.session,
        request.seq,
        request.body,
    )
    return _encoder.encode(record)


def request_digest(application: str, version: int, body: bytes) -> str:
    """Returns a short digest that differs between requests which a client sends under the same number."""
    digest = hashlib.sha256(_encoder.encode((application, version, body)))
    return digest.hexdigest()[:REQUEST_DIGEST_LENGTH]
