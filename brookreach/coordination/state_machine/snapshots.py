"""Snapshots: the replicated state as bytes, and back. Equal states give equal bytes on every replica.

A snapshot is a magic string, a SHA-256 checksum and an envelope with the format's number. It is decoded completely or
not at all, and never when a later program wrote some of its commands: data that this program can't read would be
missing from its next snapshot.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from brookreach.coordination.errors import InvalidRowError, ReplicaHaltedError, RowTooLargeError
from brookreach.coordination.protocol.messages import Count
from brookreach.coordination.state_machine.tables import Tables

SNAPSHOT_FORMAT = 1
MAGIC = b"brook\r\n\x01"
CHECKSUM_BYTES = 32  # SHA-256


class SnapshotBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    """The state.

    Attributes:
        applied: Index of the last applied log entry.
        at_ms: The agreed time, ms since 1970.
        versions: Names of the applications with the versions of their commands, by name.
        tables: Names of the tables with their keys and encoded rows, by name and key.
    """

    applied: Count
    at_ms: Count
    versions: tuple[tuple[str, Count], ...]
    tables: tuple[tuple[str, tuple[tuple[str, bytes], ...]], ...]


class SnapshotEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """The format's number, which is decoded first so that a later format is reported as such."""

    format: Count
    body: msgspec.Raw


_encoder = msgspec.msgpack.Encoder(order="deterministic")
_envelope_decoder = msgspec.msgpack.Decoder(SnapshotEnvelope, strict=True)
_body_decoder = msgspec.msgpack.Decoder(SnapshotBody, strict=True)


def encode_snapshot(applied: int, at_ms: int, versions: Mapping[str, int], tables: Tables) -> bytes:
    """Returns the state as bytes."""
    rows = tuple(
        (name, tuple((change.key, change.octets or b"") for change in tables.changes(name))) for name in tables.types
    )
    body = _encoder.encode(SnapshotBody(applied, at_ms, tuple(sorted(versions.items())), rows))
    octets = _encoder.encode(SnapshotEnvelope(SNAPSHOT_FORMAT, msgspec.Raw(body)))
    return MAGIC + hashlib.sha256(octets).digest() + octets


def decode_snapshot(octets: bytes, versions: Mapping[str, int], tables: Tables) -> tuple[int, int]:
    """Fills empty tables from a snapshot.

    Args:
        octets: What `encode_snapshot` returned, on this replica or another.
        versions: The versions of commands that this program can read, by application.
        tables: Empty tables, which are of no use after an error.

    Returns:
        The index of the last applied entry, and the agreed time.

    Raises:
        ReplicaHaltedError: The snapshot is damaged or of a later program.
    """
    body = _decode_body(_verified(octets))
    _check_versions(body, versions)
    for table, rows in body.tables:
        try:
            tables.write([tables.decode(table, key, row) for key, row in rows])
        except (InvalidRowError, RowTooLargeError) as error:
            raise ReplicaHaltedError(f"a snapshot at index {body.applied}: {error}") from error
    return body.applied, body.at_ms


def _verified(octets: bytes) -> bytes:
    """Returns what follows the magic string and the checksum."""
    magic = octets[: len(MAGIC)]
    if magic != MAGIC:
        raise ReplicaHaltedError(f"no snapshot: begins with {magic!r}, not {MAGIC!r}")
    checksum = octets[len(MAGIC) : len(MAGIC) + CHECKSUM_BYTES]
    content = octets[len(MAGIC) + CHECKSUM_BYTES :]
    if hashlib.sha256(content).digest() != checksum:
        raise ReplicaHaltedError(f"a snapshot of {len(octets)} bytes is torn or was changed: its checksum differs")
    return content


def _decode_body(content: bytes) -> SnapshotBody:
    try:
        envelope = _envelope_decoder.decode(content)
        if envelope.format != SNAPSHOT_FORMAT:
            raise ReplicaHaltedError(
                f"a snapshot of format {envelope.format}, of another version of the program; {SNAPSHOT_FORMAT} is read"
            )
        return _body_decoder.decode(envelope.body)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ReplicaHaltedError(f"a snapshot that can't be read: {error}") from error


def _check_versions(body: SnapshotBody, versions: Mapping[str, int]) -> None:
    for name, version in body.versions:
        if name not in versions:
            raise ReplicaHaltedError(f"a snapshot with application {name!r}; known are {', '.join(sorted(versions))}")
        if version > versions[name]:
            raise ReplicaHaltedError(
                f"a snapshot with version {version} of application {name}, of a later program; "
                f"up to {versions[name]} is read"
            )
