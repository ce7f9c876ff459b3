"""The records of a wave and the file of them: what one marshal's judge heard of each build, in order.

`decode` reads with limits and names what is wrong. It must never decide anything nor open a file.
"""

from __future__ import annotations

import msgspec

from brookreach import interface as ifc
from brookreach.files import decode_checksummed, encode_checksummed

MAGIC = b"brookreach wave 1\n"


class RecordError(ValueError):
    """A file that holds no record of a wave; the text says what stands there."""


class Note(msgspec.Struct, frozen=True, array_like=True):
    """One thing that the judge heard. `what`: L list, N news, R reply, T tally, O outcome, D decide, V vote,
    C crossed.

    `node` is an index into the record's entries for O; `method`, `sent`, `ending`, `took`, `unit`, `flow`
    are those of `CanaryAnalysis.record_outcome`.
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
    cost: float = 1.0
    rpcs_per_s: float = 0.0
    text: str = ""


class Wave(msgspec.Struct):
    """All that one marshal's judge heard around one build."""

    name: str
    build: int
    settings: ifc.BalancerSettings = msgspec.field(name="start")
    entries: list[ifc.NodeEntry]
    notes: list[Note]
    omitted_notes: int = msgspec.field(default=0, name="left_out")  # notes past the bound


def encode(waves: list[Wave]) -> bytes:
    """The file of these waves."""
    return encode_checksummed(MAGIC, waves)


def decode(octets: bytes) -> list[Wave]:
    """Raises RecordError for what `encode` did not write, or for figures that no wave holds."""
    waves = decode_checksummed(MAGIC, octets, list[Wave], RecordError)
    for wave in waves:
        _check(wave)
    return waves


def _check(wave: Wave) -> None:
    last = -float("inf")
    for at, note in enumerate(wave.notes):
        if note.what not in "LNRTODVC" or len(note.what) != 1:
            raise RecordError(f"note {at} of build {wave.build}: {note.what!r} is no kind of note")
        if any(not 0 <= index < len(wave.entries) for index in note.entry_indices):
            raise RecordError(f"note {at} of build {wave.build}: a node that is not among its entries")
        if not note.time_ms >= last:
            raise RecordError(f"note {at} of build {wave.build}: it stands at {note.time_ms}, after {last}")
        if note.what == "O" and not (len(note.entry_indices) == 1 and 0 <= note.method < len(wave.settings.methods)):
            raise RecordError(f"note {at} of build {wave.build}: method {note.method}")
        if note.what in "OR" and note.outcome not in list(ifc.Outcome):
            raise RecordError(f"note {at} of build {wave.build}: ending {note.outcome}")
        if (note.what == "N" and note.status is None) or (note.what == "T" and note.counts is None):
            raise RecordError(f"note {at} of build {wave.build}: {note.what} without its news or tally")
        if note.what == "N" and note.status and not 0 <= note.status.stage < len(wave.settings.rollout.stage_shares):
            raise RecordError(f"note {at} of build {wave.build}: stage {note.status.stage}")
        if note.what == "T" and note.counts and not 0 <= note.counts.method < len(wave.settings.methods):
            raise RecordError(f"note {at} of build {wave.build}: method {note.counts.method} of a tally")
        last = note.time_ms
