"""The agreed state as octets, and back. The same state gives the same octets on every process.

It owns the form, its version and its checksum. It must never give back half a state, nor one whose records a
later program wrote: what is missing here would be lost with the next snapshot.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from brookreach.coordination.errors import InvalidRowError, ReplicaHaltedError, RowTooLargeError
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.tables import Tables

SNAPSHOT_FORMAT = 1
MAGIC = b"brook\r\n\x01"
CHECKSUM_BYTES = 32  # bytes of SHA-256


class SnapshotBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    applied: messages.Count
    at_ms: messages.Count
    pieces: tuple[tuple[str, messages.Count], ...]  # and the versions of their records
    tables: tuple[tuple[str, tuple[tuple[str, bytes], ...]], ...]


class SnapshotEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """Read first, so that a later form is named as such."""

    form: messages.Count
    body: msgspec.Raw


_out = msgspec.msgpack.Encoder(order="deterministic")
_forms = msgspec.msgpack.Decoder(SnapshotEnvelope, strict=True)
_bodies = msgspec.msgpack.Decoder(SnapshotBody, strict=True)


def encode_snapshot(applied: int, at_ms: int, versions: Mapping[str, int], tables: Tables) -> bytes:
    rows = tuple((name, tuple((one.key, one.octets or b"") for one in tables.changes(name))) for name in tables.types)
    body = _out.encode(SnapshotBody(applied, at_ms, tuple(sorted(versions.items())), rows))
    octets = _out.encode(SnapshotEnvelope(SNAPSHOT_FORMAT, msgspec.Raw(body)))
    return MAGIC + hashlib.sha256(octets).digest() + octets


def decode_snapshot(octets: bytes, versions: Mapping[str, int], into: Tables) -> tuple[int, int]:
    """Fills `into`, which is empty; hands back `applied` and `at_ms`; raises ReplicaHaltedError."""
    if octets[: len(MAGIC)] != MAGIC:
        raise ReplicaHaltedError(f"no snapshot: begins with {octets[: len(MAGIC)]!r}, not {MAGIC!r}")
    rest = octets[len(MAGIC) + CHECKSUM_BYTES :]
    if hashlib.sha256(rest).digest() != octets[len(MAGIC) : len(MAGIC) + CHECKSUM_BYTES]:
        raise ReplicaHaltedError(f"a snapshot of {len(octets)} bytes is torn or was changed: its checksum differs")
    try:
        form = _forms.decode(rest)
        if form.form != SNAPSHOT_FORMAT:
            raise ReplicaHaltedError(
                f"a snapshot of form {form.form}, of another version of the program; {SNAPSHOT_FORMAT} is read"
            )
        found = _bodies.decode(form.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ReplicaHaltedError(f"a snapshot that can't be read: {error}") from None
    for name, version in found.pieces:
        if name not in versions:
            raise ReplicaHaltedError(f"a snapshot with piece {name!r}; known are {', '.join(sorted(versions))}")
        if version > versions[name]:
            raise ReplicaHaltedError(
                f"a snapshot with version {version} of piece {name}, of a later program; up to {versions[name]} is read"
            )
    for table, rows in found.tables:
        try:
            into.write([into.decode(table, key, row) for key, row in rows])
        except (InvalidRowError, RowTooLargeError) as error:
            raise ReplicaHaltedError(f"a snapshot of place {found.applied}: {error}") from None
    return found.applied, found.at_ms
