"""The records of a wave and the file of them: what one balancer's canary analysis received of each build, in order.

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
    """One message that the canary analysis received, or what came of it.

    `what` is L: list of nodes, N: rollout status, R: reply to a vote, T: outcome counts, O: outcome of a pick,
    D: periodic evaluation, V: vote, C: a chart has crossed its threshold.

    `node` is an index into the record's entries for O; `method`, `sent`, `ending`, `took`, `unit`, `flow`
    are those of `CanaryAnalysis.record_outcome`.
    """

    now: float
    what: str
    nodes: tuple[int, ...] = ()
    news: ifc.RolloutStatus | None = None
    tally: ifc.OutcomeCounts | None = None
    method: int = -1
    sent: float = 0.0
    ending: int = 0
    took: float = 0.0
    unit: float = 1.0
    flow: float = 0.0
    text: str = ""


class Wave(msgspec.Struct):
    """All that one balancer's canary analysis received around one build."""

    name: str
    build: int
    start: ifc.BalancerSettings
    entries: list[ifc.NodeEntry]
    notes: list[Note]
    left_out: int = 0  # notes past the bound


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
        if any(not 0 <= index < len(wave.entries) for index in note.nodes):
            raise RecordError(f"note {at} of build {wave.build}: a node that is not among its entries")
        if not note.now >= last:
            raise RecordError(f"note {at} of build {wave.build}: it stands at {note.now}, after {last}")
        if note.what == "O" and not (len(note.nodes) == 1 and 0 <= note.method < len(wave.start.methods)):
            raise RecordError(f"note {at} of build {wave.build}: method {note.method}")
        if note.what in "OR" and note.ending not in list(ifc.Outcome):
            raise RecordError(f"note {at} of build {wave.build}: ending {note.ending}")
        if (note.what == "N" and note.news is None) or (note.what == "T" and note.tally is None):
            raise RecordError(f"note {at} of build {wave.build}: {note.what} without its news or tally")
        if note.what == "N" and note.news and not 0 <= note.news.stage < len(wave.start.rollout.stage_shares):
            raise RecordError(f"note {at} of build {wave.build}: stage {note.news.stage}")
        if note.what == "T" and note.tally and not 0 <= note.tally.method < len(wave.start.methods):
            raise RecordError(f"note {at} of build {wave.build}: method {note.tally.method} of a tally")
        last = note.now
