"""The transfer of a snapshot to a follower whose next entries the leader no longer has in its log.

The snapshot is encoded with its index, term and members under one checksum, and sent in chunks, so that chunks of two
snapshots, or altered ones, are never put together to a third. Installing a snapshot is the follower's job.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import msgspec

from brookreach.coordination.errors import CoordinationError
from brookreach.coordination.protocol.messages import MAX_SNAPSHOT_CHUNK_BYTES, Count, InstallSnapshot
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.types import Snapshot

MAX_SNAPSHOT_BYTES = 1 << 28  # of an encoded snapshot that a follower accepts
CHECKSUM_BYTES = 32  # SHA-256


class SnapshotTransferError(CoordinationError):
    """What was received is not a snapshot.

    Attributes:
        rejection: Why not.
    """

    def __init__(self, rejection: Rejection):
        super().__init__(rejection.value)
        self.rejection = rejection


class _EncodedSnapshot(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    index: Count
    term: Count
    members: membership.Members
    data: bytes


_decoder = msgspec.msgpack.Decoder(_EncodedSnapshot, strict=True)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the checksum of the encoded snapshot, followed by it."""
    fields = _EncodedSnapshot(snapshot.index, snapshot.term, snapshot.members, snapshot.data)
    payload = msgspec.msgpack.encode(fields)
    return hashlib.sha256(payload).digest() + payload


def decode_snapshot(encoded: bytes, index: int, term: int) -> Snapshot:
    """Return the snapshot that `encode_snapshot` encoded; it must be the one of this index and term.

    Raises:
        SnapshotTransferError: If it is corrupt or another one.
    """
    checksum = encoded[:CHECKSUM_BYTES]
    payload = encoded[CHECKSUM_BYTES:]
    if hashlib.sha256(payload).digest() != checksum:
        raise SnapshotTransferError(Rejection.SNAPSHOT_CORRUPT)
    try:
        fields = _decoder.decode(payload)
    except msgspec.DecodeError as error:
        raise SnapshotTransferError(Rejection.SNAPSHOT_CORRUPT) from error
    if (fields.index, fields.term) != (index, term) or not membership.is_valid_membership(fields.members):
        raise SnapshotTransferError(Rejection.SNAPSHOT_MISMATCH)
    return Snapshot(fields.index, fields.term, fields.members, fields.data)


class SnapshotSender:
    """The leader's end of one transfer. One chunk is outstanding at a time; the follower names the next offset."""

    def __init__(self, snapshot: Snapshot):
        self.index = snapshot.index
        self.chunk_outstanding = False
        self.sent_at = 0.0
        self._term = snapshot.term
        self._encoded = encode_snapshot(snapshot)
        self._offset = 0

    def next_chunk(self, now: float, leader_term: int, round_number: int) -> InstallSnapshot:
        """Return the message with the chunk that the follower wants."""
        self.chunk_outstanding = True
        self.sent_at = now
        end = self._offset + MAX_SNAPSHOT_CHUNK_BYTES
        chunk = self._encoded[self._offset : end]
        is_last = end >= len(self._encoded)
        return InstallSnapshot(leader_term, self.index, self._term, self._offset, is_last, round_number, chunk)

    def acknowledge(self, offset: int) -> bool:
        """Go on at `offset`, before which the follower has everything. False: the snapshot is shorter."""
        if offset >= len(self._encoded):
            return False
        self._offset = offset
        self.chunk_outstanding = False
        return True


@dataclass(frozen=True, slots=True)
class _TransferId:
    leader_term: int
    index: int
    term: int


@dataclass(frozen=True, slots=True)
class ReceiverState:
    """What a follower replies to a chunk: the offset it wants next, or that it has the whole snapshot."""

    next_offset: int
    snapshot: Snapshot | None = None


class SnapshotReceiver:
    """The follower's end: one transfer at a time; another one replaces it."""

    def __init__(self) -> None:
        self.received = bytearray()
        self._transfer: _TransferId | None = None

    def _begin(self, transfer: _TransferId | None) -> None:
        self._transfer = transfer
        self.received = bytearray()

    def add(self, chunk: InstallSnapshot) -> ReceiverState:
        """Add a chunk.

        Raises:
            SnapshotTransferError: If the snapshot is complete and not usable, or too large; the transfer starts anew.
        """
        transfer = _TransferId(chunk.term, chunk.index, chunk.index_term)
        if transfer != self._transfer:
            self._begin(transfer)
        if chunk.offset > len(self.received):
            return ReceiverState(len(self.received))  # a chunk before it was lost
        del self.received[chunk.offset :]  # a repeated chunk: what follows it is requested again
        self.received += chunk.octets
        if len(self.received) > MAX_SNAPSHOT_BYTES:
            self._begin(None)
            raise SnapshotTransferError(Rejection.SNAPSHOT_TOO_LARGE)
        if not chunk.last:
            return ReceiverState(len(self.received))
        encoded = bytes(self.received)
        self._begin(None)
        return ReceiverState(0, decode_snapshot(encoded, chunk.index, chunk.index_term))
