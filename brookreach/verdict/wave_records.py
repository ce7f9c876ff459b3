"""The record of a rollout and its file: what one balancer's canary analysis received about a build, in order.

`decode` reads a file with limits and names what is wrong in it. Nothing here decides about a build or opens a file.
"""

from __future__ import annotations

import msgspec

from brookreach import interface as ifc
from brookreach.files import decode_checksummed, encode_checksummed

MAGIC = b"brookreach wave 1\n"
NOTE_KINDS = "LNRTODVC"


class RecordError(ValueError):
    """A file holds no record of a rollout; the text says what stands there."""


class Note(msgspec.Struct, frozen=True, array_like=True):
    """One event that the canary analysis received, or one action that it took.

    It is stored as an array without names: the order of the fields is the format.

    Attributes:
        time_ms: When it happened, by the balancer's clock.
        what: Its kind: L node list, N rollout status, R reply to a vote, T outcome counts, O outcome of a pick,
            D evaluation timer, V vote, C chart crossed.
        entry_indices: Of an L, the ready nodes, and of an O, the node, as indices into the record's entries.
        status: Of an N.
        counts: Of a T.
        method: Of an O, the index of the method.
        sent_ms: Of an O, when the pick was sent.
        outcome: Of an O, how the pick ended; of an R, the reply; the number of an `Outcome`.
        duration_ms: Of an O.
        cost_ms: Of an O, the stated cost of the RPC (ms), or 1 where none is stated.
        rpcs_per_s: Of an O, the rate of RPCs that the balancer received.
        text: Of a V or a C.
    """

    time_ms: float
    what: str
    entry_indices: tuple[int, ...] = ()
    status: ifc.RolloutStatus | None = None
    counts: ifc.OutcomeCounts | None = None
    method: int = -1
    sent_ms: float = 0.0
    outcome: int = 0
    duration_ms: float = 0.0
    cost_ms: float = 1.0
    rpcs_per_s: float = 0.0
    text: str = ""


class Wave(msgspec.Struct):
    """All that one balancer's canary analysis received around one build. It is stored as a map by these keys.

    Attributes:
        name: The balancer's name.
        build: The candidate build.
        settings: The balancer's settings, stored as "start".
        entries: The node entries that the notes refer to.
        notes: In order of time.
        omitted_notes: How many notes came after the record was full, stored as "left_out".
    """

    name: str
    build: int
    settings: ifc.BalancerSettings = msgspec.field(name="start")
    entries: list[ifc.NodeEntry]
    notes: list[Note]
    omitted_notes: int = msgspec.field(default=0, name="left_out")


def encode(waves: list[Wave]) -> bytes:
    """Return the content of a file of these records."""
    return encode_checksummed(MAGIC, waves)


def decode(data: bytes) -> list[Wave]:
    """Return the records of a file.

    Raises:
        RecordError: `encode` did not write the file, or it holds values that no rollout can have.
    """
    waves = decode_checksummed(MAGIC, data, list[Wave], RecordError)
    for wave in waves:
        _validate(wave)
    return waves


def _validate(wave: Wave) -> None:
    last_ms = -float("inf")
    for index, note in enumerate(wave.notes):
        error = _note_error(wave, note, last_ms)
        if error:
            raise RecordError(f"note {index} of build {wave.build}: {error}")
        last_ms = note.time_ms


def _note_error(wave: Wave, note: Note, last_ms: float) -> str:
    """Return what is wrong with a note that follows one at `last_ms`; empty for nothing."""
    if note.what not in NOTE_KINDS or len(note.what) != 1:
        return f"{note.what!r} is no kind of note"
    if any(not 0 <= index < len(wave.entries) for index in note.entry_indices):
        return "a node that is not among its entries"
    # Negated, so that NaN is refused.
    if not note.time_ms >= last_ms:
        return f"it stands at {note.time_ms}, after {last_ms}"
    return _field_error(wave, note)


def _field_error(wave: Wave, note: Note) -> str:
    """Return what is wrong with the fields of a note of its kind; empty for nothing."""
    methods = len(wave.settings.methods)
    stages = len(wave.settings.rollout.stage_shares)
    if note.what == "O" and not (len(note.entry_indices) == 1 and 0 <= note.method < methods):
        return f"method {note.method}"
    if note.what in "OR" and note.outcome not in list(ifc.Outcome):
        return f"ending {note.outcome}"
    if (note.what == "N" and note.status is None) or (note.what == "T" and note.counts is None):
        return f"{note.what} without its news or tally"
    if note.what == "N" and note.status and not 0 <= note.status.stage < stages:
        return f"stage {note.status.stage}"
    if note.what == "T" and note.counts and not 0 <= note.counts.method < methods:
        return f"method {note.counts.method} of a tally"
    return ""
