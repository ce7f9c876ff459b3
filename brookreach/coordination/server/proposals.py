"""Questions between asked and applied, and what a leader works out for them from the state alone.

It owns which records were proposed for whom. It must never propose or answer: the leader does.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Literal

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import Command
from brookreach.coordination.state_machine.sessions import UNWATCHED_TABLES
from brookreach.coordination.state_machine.tables import Tables, encoded_size

MOST_PART = 256 << 10  # bytes of rows in one message
MOST_TEXT = 400  # as words.Text
Say = Callable[[str, messages.Body], None]


class ChangeMembership(Command, frozen=True, tag="MoveSeat"):
    """An operator's question of piece `seats`: what is so already is agreed, too."""

    way: Literal["add", "remove"]
    name: messages.Name


_moves = msgspec.msgpack.Decoder(ChangeMembership, strict=True)


def reject(
    say: Say,
    source: str,
    body: messages.Body,
    why: messages.RejectionReason,
    text: str,
    leader: str = "",
    come_back_ms: float = 0.0,
) -> None:
    """To who asked that; a Leave has no answer."""
    if not isinstance(body, messages.CloseSession):
        say(source, messages.RequestRejected(getattr(body, "seq", 0), why, text[:MOST_TEXT], leader, int(come_back_ms)))


class InvalidRequestError(Exception):
    """A question that can't be answered as it is; its text is for who asked."""


@dataclass(frozen=True, slots=True)
class InFlightProposal:
    """Who asked for the record at a place that is not yet applied. `seq` 0: a Join; then `session` is the one
    that ends by it."""

    source: str
    session: int
    seq: int


class InFlightProposals:
    def __init__(self) -> None:
        self._places: dict[int, InFlightProposal] = {}
        self._numbers: dict[int, set[int]] = {}  # by session
        self._joining: dict[str, bool] = {}  # whether its connection still stands

    def __len__(self) -> int:
        return len(self._places)

    def sources(self) -> list[str]:
        return [one.source for one in self._places.values()]

    def begin(self, place: int, one: InFlightProposal) -> None:
        self._places[place] = one
        if one.seq:
            self._numbers.setdefault(one.session, set()).add(one.seq)
        else:
            self._joining[one.source] = True

    def end(self, place: int) -> InFlightProposal | None:
        one = self._places.pop(place, None)
        if one is not None and one.seq:
            numbers = self._numbers[one.session]
            numbers.discard(one.seq)
            if not numbers:
                del self._numbers[one.session]
        return one

    def joins(self, source: str) -> bool:
        """Whether its session is on its way; answered on the connection on which this was asked last."""
        if source in self._joining:
            self._joining[source] = True
            return True
        return False

    def left(self, source: str) -> None:
        if source in self._joining:
            self._joining[source] = False

    def waits(self, source: str) -> bool:
        """As its session has begun: whether anybody is there to hear of it."""
        return self._joining.pop(source, False)

    def has(self, session: int, seq: int) -> bool:
        return seq in self._numbers.get(session, ())

    def of(self, session: int) -> int:
        return len(self._numbers.get(session, ()))


def read_rows(view: Tables, read: messages.ReadRequest) -> list[tuple[messages.RowChange, ...]]:
    """What is read, in parts that a message carries, one at least; raises Wrong."""
    known = [name for name in view.types if name not in UNWATCHED_TABLES]
    if read.table not in known:
        raise InvalidRequestError(f"no table {read.table!r}; there are {', '.join(known)}")
    parts: list[list[messages.RowChange]] = [[]]
    octets = 0
    for change in view.changes(read.table):
        if not change.key.startswith(read.prefix):
            continue
        size = encoded_size(change)
        if parts[-1] and (octets + size > MOST_PART or len(parts[-1]) == messages.MAX_ROWS):
            parts.append([])
            octets = 0
        parts[-1].append(change)
        octets += size
    return [tuple(part) for part in parts]


def members_after(seats: Sequence[str], keepers: Sequence[str], body: bytes) -> tuple[str, ...]:
    """The seats after an operator's move, the same where they are so already; raises Wrong."""
    try:
        move = _moves.decode(body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidRequestError(f"no move of seats: {error}") from None
    name = move.name
    if move.way == "remove":
        left = tuple(one for one in seats if one != name)
        if not left:
            raise InvalidRequestError(f"{name} has the only seat")
        return left
    if name not in keepers:
        raise InvalidRequestError(f"{name} is no [[keeper]] in the leader's file; there are {', '.join(keepers)}")
    if name not in seats and len(seats) == messages.MAX_MEMBERS:
        raise InvalidRequestError(f"{len(seats)} seats; no more are allowed")
    return tuple(seats) if name in seats else (*seats, name)
