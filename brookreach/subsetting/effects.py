"""What a marshal's scope asks its surroundings to do, and what marshals say to each other when a service moves."""

from __future__ import annotations

import msgspec


class Load(msgspec.Struct, frozen=True):
    """Watch the rows of this service; say `loaded` when they are whole."""

    service: str


class Drain(msgspec.Struct, frozen=True):
    """Take no new RPC of this service; those under way end here. Say `idle` after the last."""

    service: str


class Drop(msgspec.Struct, frozen=True):
    """Watch its rows no longer and forget them."""

    service: str


class AskWhole(msgspec.Struct, frozen=True):
    """There is a gap after this version: ask for the whole view."""

    version: int


class Question(msgspec.Struct, frozen=True):
    """One who wants to let go asks a holder: do you serve it, and know this version or a later one?"""

    sender: str
    to: str
    service: str
    version: int


class Answer(msgspec.Struct, frozen=True):
    """Yes, at this version, in this session. There is no other answer: who can't say yes is silent."""

    sender: str
    to: str
    service: str
    version: int
    session: int


Effect = Load | Drain | Drop | AskWhole | Question | Answer
