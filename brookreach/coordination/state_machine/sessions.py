"""Sessions of clients: their records and rows in the agreed state, and the leader's book of their leases.

A session's number is the log's place where it began: a fence that never comes twice. The book is the leader's
alone and lost with it; the next one gives each session a full lease before it may end it. It must never let a
session be ended sooner than its client's own clock has stopped it (`lease.py`).
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

import msgspec

from brookreach.coordination.ports import LogRecord
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command, Row
from brookreach.coordination.timing import Timing

APPLICATION, VERSION = "fleet", 1
MEMBERSHIP = "seats"  # records of the group's members: raft's, and nothing to the tables
SESSIONS, ANSWERS = "sessions", "answers"
MAX_SESSIONS = 16_384
ENTRY_OVERHEAD_BYTES = 512  # bytes of an entry beside a client's record, at most

_out = msgspec.msgpack.Encoder(order="deterministic")


class SessionStarted(Command, frozen=True, tag="Began"):
    """A new session of a client; an older one of the same name ends with it."""

    client: messages.Name
    kind: messages.ClientKind


class SessionEnded(Command, frozen=True, tag="Ended"):
    session: messages.Count
    reason: messages.Text = msgspec.field(name="why")


class TimePassed(Command, frozen=True, tag="Passed"):
    """Nothing but time."""


COMMANDS = SessionStarted | SessionEnded | TimePassed


class SessionRow(Row, frozen=True):
    """By the client's name."""

    session: int
    kind: messages.ClientKind
    began_ms: int


class AnswerRow(Row, frozen=True):
    """By the client's name: the last question of its session and what was answered. No watch tells it."""

    session: int
    seq: int
    mark: str  # of the question's octets
    index: int
    ok: bool
    text: str


TABLES: dict[str, type[Row]] = {SESSIONS: SessionRow, ANSWERS: AnswerRow}
UNWATCHED_TABLES = frozenset((ANSWERS,))


def encode_command(order: SessionStarted | SessionEnded | TimePassed, at_ms: int) -> bytes:
    """An entry's octets, for what the group does of itself."""
    return _out.encode(LogRecord(APPLICATION, VERSION, at_ms, "", "", 0, 0, _out.encode(order)))


def encode_proposal(ask: messages.ProposeRequest, at_ms: int, client: str, kind: str) -> bytes:
    """An entry's octets, for a question that `StateMachine.misfit` has let through."""
    return _out.encode(LogRecord(ask.application, ask.version, at_ms, client, kind, ask.session, ask.seq, ask.body))


def request_digest(piece: str, version: int, body: bytes) -> str:
    """Tells one question from another that comes under its number."""
    return hashlib.sha256(_out.encode((piece, version, body))).hexdigest()[:16]


class SessionLeases:
    """When each session was last answered, by the leader's clock, as long as it leads."""

    def __init__(self, timing: Timing):
        self.duration_ms = timing.lease_ms * (1.0 + timing.drift)
        self._answered: dict[int, float] = {}  # oldest first
        self._ending: dict[int, float] = {}  # since when; never renewed again

    def reset(self, now: float, sessions: Iterable[int]) -> None:
        """The lead begins, all earlier terms' entries are applied: what an earlier leader answered, and whose
        ends it had in mind, is not known here. Whatever it answered was asked before this."""
        self._answered, self._ending = dict.fromkeys(sessions, now), {}

    def renew(self, now: float, session: int) -> bool:
        """As it is answered, the lead confirmed since it was asked. False: too late, it is being ended."""
        if session in self._ending:
            return False
        self._answered.pop(session, None)
        self._answered[session] = now
        return True

    def remove(self, session: int) -> None:
        self._answered.pop(session, None)
        self._ending.pop(session, None)

    def remaining_ms(self, now: float, session: int) -> float:
        """How long its client may still act, at most."""
        if session not in self._answered:
            return 0.0
        return max(0.0, self._answered[session] + self.duration_ms - now)

    def expired(self, now: float, session: int) -> bool:
        return self.remaining_ms(now, session) <= 0.0

    def expirations_due(self, now: float) -> list[int]:
        """Sessions whose end is to be proposed now. They are renewed no more; said again after a lease, for
        the case that it could not be proposed."""
        due = []
        for session, answered in self._answered.items():
            if now < answered + self.duration_ms:
                break
            due.append(session)
        again = [one for one, since in self._ending.items() if now >= since + self.duration_ms]
        for session in due:
            del self._answered[session]
        for session in due + again:
            self._ending.pop(session, None)
            self._ending[session] = now
        return due + again

    def next_expiry_ms(self) -> float | None:
        """When `ended` next has something; None: never."""
        first = [next(iter(held.values())) for held in (self._answered, self._ending) if held]
        return min(first) + self.duration_ms if first else None
