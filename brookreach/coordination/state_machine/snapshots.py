"""The agreed state as octets, and back. The same state gives the same octets on every process.

It owns the form, its version and its checksum. It must never give back half a state, nor one whose records a
later program wrote: what is missing here would be lost with the next snapshot.
"""

from __future__ import annotations

import hashlib
from collections.abc import Mapping

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.tables import InvalidRowError, RowTooLargeError, Tables

FORM = 1
MAGIC = b"brook\r\n\x01"
SUM = 32  # bytes of SHA-256


class ReplicaHaltedError(Exception):
    """The log or a snapshot can't be gone on with here. The keeper says this and ends: never skips it."""


class Packed(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    applied: messages.Count
    at_ms: messages.Count
    pieces: tuple[tuple[str, messages.Count], ...]  # and the versions of their records
    tables: tuple[tuple[str, tuple[tuple[str, bytes], ...]], ...]


class Form(msgspec.Struct, frozen=True, array_like=True):
    """Read first, so that a later form is named as such."""

    form: messages.Count
    body: msgspec.Raw


_out = msgspec.msgpack.Encoder(order="deterministic")
_forms = msgspec.msgpack.Decoder(Form, strict=True)
_bodies = msgspec.msgpack.Decoder(Packed, strict=True)


def packed(applied: int, at_ms: int, versions: Mapping[str, int], tables: Tables) -> bytes:
    rows = tuple((name, tuple((one.key, one.octets or b"") for one in tables.changes(name))) for name in tables.types)
    body = _out.encode(Packed(applied, at_ms, tuple(sorted(versions.items())), rows))
    octets = _out.encode(Form(FORM, msgspec.Raw(body)))
    return MAGIC + hashlib.sha256(octets).digest() + octets


def unpacked(octets: bytes, versions: Mapping[str, int], into: Tables) -> tuple[int, int]:
    """Fills `into`, which is empty; hands back `applied` and `at_ms`; raises ReplicaHaltedError."""
    if octets[: len(MAGIC)] != MAGIC:
        raise ReplicaHaltedError(f"no snapshot: begins with {octets[: len(MAGIC)]!r}, not {MAGIC!r}")
    rest = octets[len(MAGIC) + SUM :]
    if hashlib.sha256(rest).digest() != octets[len(MAGIC) : len(MAGIC) + SUM]:
        raise ReplicaHaltedError(f"a snapshot of {len(octets)} bytes is torn or was changed: its checksum differs")
    try:
        form = _forms.decode(rest)
        if form.form != FORM:
            raise ReplicaHaltedError(
                f"a snapshot of form {form.form}, of another version of the program; {FORM} is read"
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
            into.lay([into.read(table, key, row) for key, row in rows])
        except (InvalidRowError, RowTooLargeError) as error:
            raise ReplicaHaltedError(f"a snapshot of place {found.applied}: {error}") from None
    return found.applied, found.at_ms
