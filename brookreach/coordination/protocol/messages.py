"""The one table of what is said between processes: `KEEPERS` among keepers, `ASKED` and `TOLD` with clients.

It owns each message's fields and their bounds, so that a reader's state sees no value that it can't hold.
What is no message of the table raises `Refused` with a name and has no effect. Their bytes: `seal.py`.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

MOST_FRAME, MOST_RECORD, MOST_PART = 1 << 20, 64 << 10, 256 << 10  # bytes
MOST_ENTRIES, MOST_ROWS, MOST_SEATS = 1024, 4096, 16

Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 53)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+\Z")]
Key = Annotated[str, msgspec.Meta(max_length=200)]
Text = Annotated[str, msgspec.Meta(max_length=400)]
Record = Annotated[bytes, msgspec.Meta(max_length=MOST_RECORD)]
Octets = Annotated[bytes, msgspec.Meta(max_length=MOST_PART)]
Kind = Literal["marshal", "agent", "operator"]
Why = Literal["not leader", "busy", "no session", "too new", "refused", "out of order", "ending"]


class Refused(ValueError):
    """A frame or message without effect. `name` is one of `REASONS`."""

    def __init__(self, name: str, text: str):
        super().__init__(f"{name}: {text}")
        self.name = name


REASONS = ("too long", "bad seal", "unreadable", "other version", "other group", "not for me", "not its to say")


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag=True, array_like=True):
    """One row of the table."""


# --- among keepers ---


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """One place of the log. Without octets it is the one by which a new leader begins its term."""

    index: Count
    term: Count
    octets: Record


class AskVote(Message):
    """`trial`: asked before the term is raised. `handed`: the leader itself asked for this election."""

    term: Count
    last_index: Count
    last_term: Count
    trial: bool
    handed: bool


class Vote(Message):
    term: Count
    trial: bool
    given: bool
    wall_ms: Count  # the voter's clock: a new leader's time begins at the low median


class Append(Message):
    """`round` counts the leader's rounds: an answer to one shows that it led when that was sent."""

    term: Count
    prev_index: Count
    prev_term: Count
    commit: Count
    round: Count
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MOST_ENTRIES)]


class Appended(Message):
    """`index`: if ok the last that is the leader's and on disk, else where the leader may try."""

    term: Count
    ok: bool
    index: Count
    round: Count


class Part(Message):
    """A part of a snapshot of all up to `index`."""

    term: Count
    index: Count
    index_term: Count
    offset: Count
    last: bool
    round: Count
    octets: Octets


class PartGot(Message):
    term: Count
    index: Count
    offset: Count  # all before it is held
    round: Count


class HandOver(Message):
    """The leader that ends asks its best follower to stand at once."""

    term: Count


# --- what clients ask ---


class Join(Message):
    """The first on a connection. `session` 0 begins one; else the one to go on with."""

    client: Name
    kind: Kind
    session: Count
    version: Count  # of the client's records


class Ask(Message):
    """A record for the log; `seq` counts up in a session, the same one again is the same question."""

    session: Count
    seq: Count
    piece: Name
    version: Count
    body: Record


class Read(Message):
    """All rows of a table whose keys begin with `prefix`, not older than when it was asked."""

    seq: Count
    table: Name
    prefix: Key


class Renew(Message):
    session: Count
    seq: Count


class Watch(Message):
    """Tell me what changes in these tables after `since`."""

    session: Count
    since: Count
    tables: Annotated[tuple[Name, ...], msgspec.Meta(max_length=64)]


class Leave(Message):
    session: Count


# --- what clients are told ---


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """A row as it is now; without octets it is gone. Octets are the row's struct in msgpack."""

    table: Name
    key: Key
    octets: Record | None


class Joined(Message):
    session: Count
    lease_ms: Count
    at_ms: Count  # the agreed time


class Done(Message):
    """The record stands at `index` and was applied; `ok` False: refused by the state, and changed nothing."""

    seq: Count
    index: Count
    ok: bool
    text: Text


class Rows(Message):
    seq: Count
    index: Count
    last: bool
    rows: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Renewed(Message):
    seq: Count
    lease_ms: Count
    at_ms: Count


class Changes(Message):
    """All changes of the watched tables after `since`, to `index`."""

    since: Count
    index: Count
    rows: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Whole(Message):
    """The watched tables as of `index`, in parts; what is in none of them is gone."""

    index: Count
    nth: Count
    last: bool
    rows: Annotated[tuple[Change, ...], msgspec.Meta(max_length=MOST_ROWS)]


class Sorry(Message):
    """Not done, and never will be under this question unless asked again."""

    seq: Count
    why: Why
    text: Text
    leader: Annotated[str, msgspec.Meta(max_length=64)]
    come_back_ms: Count


KEEPERS = (AskVote, Vote, Append, Appended, Part, PartGot, HandOver)
ASKED = (Join, Ask, Read, Renew, Watch, Leave)
TOLD = (Joined, Done, Rows, Renewed, Changes, Whole, Sorry)
TABLE = KEEPERS + ASKED + TOLD
FromKeeper = AskVote | Vote | Append | Appended | Part | PartGot | HandOver
FromClient = Join | Ask | Read | Renew | Watch | Leave
ToClient = Joined | Done | Rows | Renewed | Changes | Whole | Sorry
Body = FromKeeper | FromClient | ToClient
