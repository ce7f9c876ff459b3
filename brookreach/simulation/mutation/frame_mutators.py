"""Changes of a frame as a whole: who says it, how often, when, and its bytes, whatever they mean.

What is made of fields stands in `mutate.py`. It must never decide whether a change was borne well.
"""

from __future__ import annotations

import hashlib
import hmac
import random
from collections.abc import Callable, Iterable, Iterator, Sequence

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames as seal
from brookreach.coordination.protocol import messages
from brookreach.simulation.engine.transit import GROUP, KEY, Frame, Sent
from brookreach.simulation.mutation.mutators import Change, Records, encoded, structs


def changes(records: Records, frame: Frame, others: Iterable[str], chance: random.Random) -> Iterator[Change]:
    """All but those for which the run has to be known: `moved` has these."""
    for family, where, how, body in structs(records, frame.body):
        octets = encoded(seal.Frame(seal.VERSION, GROUP, frame.source, frame.target, body))
        if octets is not None:
            yield sealed(frame, family, where, how, resealed(octets))
    yield from whole(frame, others)
    yield from raw(frame, chance)


def resealed(octets: bytes, key: bytes = KEY) -> bytes:
    return hmac.digest(key, octets, hashlib.sha256)[: seal.SEAL_BYTES] + octets


def sealed(frame: Frame, family: str, where: str, how: str, octets: bytes, source: str = "") -> Change:
    """A change under a right seal: readable, or to be refused for what it says."""
    try:
        body = seal.open_frame(KEY, GROUP, frame.target, octets).body
    except InvalidFrameError:
        return Change(family, where, how, (Sent(octets, None, 0.0, source),), plain=True)
    return Change(family, where, how, (Sent(octets, body, 0.0, source),))


def whole(frame: Frame, others: Iterable[str]) -> Iterator[Change]:
    """Who says it, to whom, in which group, how often."""
    same = Sent(frame.octets, frame.body)

    def octets(version: int, group: str, source: str, target: str) -> bytes:
        return resealed(encoded(seal.Frame(version, group, source, target, frame.body)) or b"")

    for other in others:
        made = octets(seal.VERSION, GROUP, other, frame.target)
        yield Change("other sender", "", f"{other}'s name", (Sent(made, None),), plain=True)
        yield sealed(frame, "other sender", "", f"said by {other}", made, other)
        made = octets(seal.VERSION, GROUP, frame.source, other)
        yield sealed(frame, "for another", "", f"for {other}", made)
    yield sealed(frame, "other group", "", "other group", octets(seal.VERSION, "x" + GROUP, frame.source, frame.target))
    yield sealed(frame, "other group", "", "next version", octets(seal.VERSION + 1, GROUP, frame.source, frame.target))
    yield Change("doubled", "", "doubled", (same, Sent(frame.octets, frame.body, 4.0)))
    yield Change("dropped", "", "dropped", ())
    for later in (5.0, 60.0, 400.0):
        yield Change("late", "", f"late by {later:.0f} ms", (Sent(frame.octets, frame.body, later),))


def raw(frame: Frame, chance: random.Random) -> Iterator[Change]:
    """Its bytes, whatever they mean."""
    octets, rest = frame.octets, frame.octets[seal.SEAL_BYTES :]

    def plain(family: str, how: str, made: bytes) -> Change:
        return Change(family, "", how, (Sent(made, None),), plain=True)

    for how, made in (
        ("by a byte", octets[:-1]),
        ("by half", octets[: len(octets) // 2]),
        ("to its seal", octets[: seal.SEAL_BYTES]),
        ("to nothing", b""),
    ):
        yield plain("cut short", how, made)
    yield sealed(frame, "cut short", "", "by a byte, sealed again", resealed(rest[:-1]))
    yield sealed(frame, "past its bounds", "", "a byte more, sealed again", resealed(rest + b"\0"))
    yield plain("past its bounds", "longer than any", octets + bytes(messages.MAX_FRAME_BYTES))
    yield plain("old seal", "sealed with another key", resealed(rest, b"another key"))
    yield plain("old seal", "the next frame's body under this seal", octets[: seal.SEAL_BYTES] + rest[:-1] + b"\0\0")
    for how, at in (("in its seal", 3), ("in its head", seal.SEAL_BYTES + 1), ("its last", len(octets) - 1)):
        yield plain("a bit", how, flipped(octets, at, 1))
    for nth in range(4):
        at, bit = chance.randrange(len(rest)), 1 << chance.randrange(8)
        yield sealed(frame, "a bit, sealed again", "", f"place {nth + 1} of 4", resealed(flipped(rest, at, bit)))


def flipped(octets: bytes, at: int, bit: int) -> bytes:
    return octets[:at] + bytes((octets[at] ^ bit,)) + octets[at + 1 :]


Moves = Callable[[Frame], Iterator[Change]]


def moved(frames: Sequence[Frame], terms: Sequence[tuple[float, int]]) -> Moves:
    """What the recorded run adds: a frame late by a term, and an earlier term's frame in a later one's place.
    `terms`: when each term was first heard of."""
    starts = [at for at, _ in terms[1:]]

    def moves(frame: Frame) -> Iterator[Change]:
        later = next((at for at in starts if at > frame.at_ms), None)
        if later is not None:
            made = Sent(frame.octets, frame.body, later - frame.at_ms + 20.0)
            yield Change("late by a term", "", "late by a term", (made,))
        began = max((at for at in starts if at <= frame.at_ms), default=None)
        same = [
            one
            for one in frames[: frame.nth]
            if began is not None
            and one.at_ms < began
            and (one.source, one.target, type(one.body)) == (frame.source, frame.target, type(frame.body))
        ]
        if same:
            made = Sent(same[-1].octets, same[-1].body)
            yield Change("of an earlier term", "", "of an earlier term", (made,))

    return moves
