"""Mutations of a frame as a whole: its sender, receiver, number, time and bytes.

They never decide whether a mutation was handled well.
"""

from __future__ import annotations

import hashlib
import hmac
import random
from collections.abc import Callable, Iterable, Iterator, Sequence

from brookreach.coordination.errors import InvalidFrameError
from brookreach.coordination.protocol import frames, messages
from brookreach.simulation.engine.links import GROUP, KEY, SentFrame, SubstituteFrame
from brookreach.simulation.mutation.mutation import Family, Mutation
from brookreach.simulation.mutation.record_types import RecordTypes
from brookreach.simulation.mutation.value_mutators import encode, mutate_struct

DUPLICATE_DELAY_MS = 4.0
DELAYS_MS = (5.0, 60.0, 400.0)
AFTER_TERM_BEGINS_MS = 20.0
RANDOM_BIT_FLIPS = 4


def mutate_frame(
    types: RecordTypes, frame: SentFrame, other_names: Iterable[str], rng: random.Random
) -> Iterator[Mutation]:
    """Yield all mutations of a frame but those that need the recorded run.

    Args:
        types: What is encoded inside of fields.
        frame: The frame as it was sent.
        other_names: Processes other than the frame's sender and receiver.
        rng: Chooses the bits that are flipped.
    """
    for mutated in mutate_struct(types, frame.body):
        octets = encode(frames.Frame(frames.VERSION, GROUP, frame.source, frame.target, mutated.value))
        if octets is not None:
            yield _resealed(frame, mutated.family, mutated.description, octets, path=mutated.path)
    yield from _mutate_envelope(frame, other_names)
    yield from _mutate_delivery(frame)
    yield from _mutate_bytes(frame, rng)


def seal(octets: bytes, key: bytes = KEY) -> bytes:
    """Put a seal before the bytes of a frame."""
    return hmac.digest(key, octets, hashlib.sha256)[: frames.SEAL_BYTES] + octets


def _resealed(
    frame: SentFrame, family: Family, description: str, content: bytes, *, path: str = "", source: str = ""
) -> Mutation:
    """Return a mutation under a valid seal: either it can be decoded, or it must be rejected for its content."""
    octets = seal(content)
    try:
        body = frames.open_frame(KEY, GROUP, frame.target, octets).body
    except InvalidFrameError:
        substitute = SubstituteFrame(octets, None, source=source)
        return Mutation(family, path, description, (substitute,), must_be_rejected=True)
    return Mutation(family, path, description, (SubstituteFrame(octets, body, source=source),))


def _invalid(family: Family, description: str, octets: bytes) -> Mutation:
    return Mutation(family, "", description, (SubstituteFrame(octets, None),), must_be_rejected=True)


def _mutate_envelope(frame: SentFrame, other_names: Iterable[str]) -> Iterator[Mutation]:
    """Who sends it to whom, in which group and version."""

    def content(version: int, group: str, source: str, target: str) -> bytes:
        return encode(frames.Frame(version, group, source, target, frame.body)) or b""

    version = frames.VERSION
    source = frame.source
    target = frame.target
    for other in other_names:
        from_other = content(version, GROUP, other, target)
        yield _invalid(Family.OTHER_SENDER, f"{other}'s name", seal(from_other))
        yield _resealed(frame, Family.OTHER_SENDER, f"said by {other}", from_other, source=other)
        to_other = content(version, GROUP, source, other)
        yield _resealed(frame, Family.OTHER_RECEIVER, f"for {other}", to_other)
    yield _resealed(frame, Family.OTHER_GROUP, "other group", content(version, "x" + GROUP, source, target))
    yield _resealed(frame, Family.OTHER_GROUP, "next version", content(version + 1, GROUP, source, target))


def _mutate_delivery(frame: SentFrame) -> Iterator[Mutation]:
    """How often and when it arrives."""
    original = SubstituteFrame(frame.octets, frame.body)
    again = SubstituteFrame(frame.octets, frame.body, DUPLICATE_DELAY_MS)
    yield Mutation(Family.DUPLICATED, "", "doubled", (original, again))
    yield Mutation(Family.DROPPED, "", "dropped", ())
    for delay_ms in DELAYS_MS:
        delayed = SubstituteFrame(frame.octets, frame.body, delay_ms)
        yield Mutation(Family.DELAYED, "", f"late by {delay_ms:.0f} ms", (delayed,))


def _mutate_bytes(frame: SentFrame, rng: random.Random) -> Iterator[Mutation]:
    """Its bytes, whatever they mean."""
    octets = frame.octets
    content = octets[frames.SEAL_BYTES :]
    valid_seal = octets[: frames.SEAL_BYTES]
    yield _invalid(Family.TRUNCATED, "by a byte", octets[:-1])
    yield _invalid(Family.TRUNCATED, "by half", octets[: len(octets) // 2])
    yield _invalid(Family.TRUNCATED, "to its seal", valid_seal)
    yield _invalid(Family.TRUNCATED, "to nothing", b"")
    yield _resealed(frame, Family.TRUNCATED, "by a byte, sealed again", content[:-1])
    yield _resealed(frame, Family.OUT_OF_BOUNDS, "a byte more, sealed again", content + b"\0")
    yield _invalid(Family.OUT_OF_BOUNDS, "longer than any", octets + bytes(messages.MAX_FRAME_BYTES))
    yield _invalid(Family.WRONG_SEAL, "sealed with another key", seal(content, b"another key"))
    other_content = content[:-1] + b"\0\0"
    yield _invalid(Family.WRONG_SEAL, "the next frame's body under this seal", valid_seal + other_content)
    yield _invalid(Family.BIT_FLIP, "in its seal", flip_bits(octets, 3, 1))
    yield _invalid(Family.BIT_FLIP, "in its head", flip_bits(octets, frames.SEAL_BYTES + 1, 1))
    yield _invalid(Family.BIT_FLIP, "its last", flip_bits(octets, len(octets) - 1, 1))
    for number in range(1, RANDOM_BIT_FLIPS + 1):
        index = rng.randrange(len(content))
        mask = 1 << rng.randrange(8)
        description = f"place {number} of {RANDOM_BIT_FLIPS}"
        yield _resealed(frame, Family.BIT_FLIP_RESEALED, description, flip_bits(content, index, mask))


def flip_bits(octets: bytes, index: int, mask: int) -> bytes:
    """Return the bytes with the bits of `mask` flipped at `index`."""
    return octets[:index] + bytes((octets[index] ^ mask,)) + octets[index + 1 :]


RecordedRunMutator = Callable[[SentFrame], Iterator[Mutation]]


def recorded_run_mutator(sent_frames: Sequence[SentFrame], term_starts_ms: Sequence[float]) -> RecordedRunMutator:
    """Return what makes the mutations that need the recorded run.

    These are a frame that is late by a whole term, and a frame of an earlier term in the place of a later one.

    Args:
        sent_frames: All frames of the run, by their numbers.
        term_starts_ms: When each term after the first was first seen.
    """

    def mutate(frame: SentFrame) -> Iterator[Mutation]:
        next_term_ms = next((start_ms for start_ms in term_starts_ms if start_ms > frame.at_ms), None)
        if next_term_ms is not None:
            delay_ms = next_term_ms - frame.at_ms + AFTER_TERM_BEGINS_MS
            delayed = SubstituteFrame(frame.octets, frame.body, delay_ms)
            yield Mutation(Family.DELAYED_BY_TERM, "", "late by a term", (delayed,))
        this_term_ms = max((start_ms for start_ms in term_starts_ms if start_ms <= frame.at_ms), default=None)
        if this_term_ms is None:
            return
        alike = [
            earlier
            for earlier in sent_frames[: frame.number]
            if earlier.at_ms < this_term_ms and _is_alike(earlier, frame)
        ]
        if alike:
            replayed = SubstituteFrame(alike[-1].octets, alike[-1].body)
            yield Mutation(Family.EARLIER_TERM, "", "of an earlier term", (replayed,))

    return mutate


def _is_alike(one: SentFrame, other: SentFrame) -> bool:
    """Whether both are the same kind of message from the same sender to the same receiver."""
    return (one.source, one.target, type(one.body)) == (other.source, other.target, type(other.body))
