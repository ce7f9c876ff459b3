"""A snapshot on its way to a follower whose next entries the leader has cut: packed, sent in parts, taken.

It owns how far a transfer has come on both ends. What is taken names its own place, term and seats and has a
sum over all, so that parts of two snapshots, or changed ones, never make a third. It must never install any.
"""

from __future__ import annotations

import hashlib

import msgspec

from brookreach.coordination.protocol.messages import MAX_SNAPSHOT_CHUNK_BYTES, Count, InstallSnapshot
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.types import Snapshot

MAX_SNAPSHOT_BYTES = 1 << 28  # bytes of one that a follower collects


class SnapshotTransferError(ValueError):
    """What was collected is no snapshot; its text names why."""


class _Packed(msgspec.Struct, frozen=True, forbid_unknown_fields=True, array_like=True):
    index: Count
    term: Count
    members: membership.Seats
    octets: bytes


_packed = msgspec.msgpack.Decoder(_Packed, strict=True)
_SUM = 32


def pack(snapshot: Snapshot) -> bytes:
    rest = msgspec.msgpack.encode(_Packed(snapshot.index, snapshot.term, snapshot.members, snapshot.data))
    return hashlib.sha256(rest).digest() + rest


def unpack(octets: bytes, index: int, term: int) -> Snapshot:
    """What `pack` made of the snapshot of this place and term; raises Torn."""
    if hashlib.sha256(octets[_SUM:]).digest() != octets[:_SUM]:
        raise SnapshotTransferError("a snapshot whose parts don't fit")
    try:
        packed = _packed.decode(octets[_SUM:])
    except msgspec.DecodeError:
        raise SnapshotTransferError("a snapshot that can't be read") from None
    if (packed.index, packed.term) != (index, term) or not membership.is_valid_membership(packed.members):
        raise SnapshotTransferError("a snapshot of another place")
    return Snapshot(packed.index, packed.term, packed.members, packed.octets)


class SnapshotSender:
    """The leader's end. One part is out at a time; the follower says from where it wants the next."""

    def __init__(self, snapshot: Snapshot):
        self.index, self.term = snapshot.index, snapshot.term
        self.octets = pack(snapshot)
        self.offset = 0
        self.waiting = False
        self.sent_at = 0.0

    def part(self, now: float, term: int, round: int) -> InstallSnapshot:
        self.waiting, self.sent_at = True, now
        octets = self.octets[self.offset : self.offset + MAX_SNAPSHOT_CHUNK_BYTES]
        last = self.offset + len(octets) == len(self.octets)
        return InstallSnapshot(term, self.index, self.term, self.offset, last, round, octets)

    def wanted(self, offset: int) -> bool:
        """The follower holds all before `offset`. False: that is not in this snapshot."""
        if offset >= len(self.octets):
            return False
        self.offset, self.waiting = offset, False
        return True


class SnapshotReceiver:
    """The follower's end: one transfer at a time, of the leader that is followed. Another one replaces it."""

    def __init__(self) -> None:
        self.of: tuple[int, int, int] | None = None  # leader's term, place, its term
        self.held = bytearray()

    def drop(self) -> None:
        self.of, self.held = None, bytearray()

    def take(self, part: InstallSnapshot) -> tuple[int, Snapshot | None]:
        """From where on the next is wanted, and the snapshot if it is whole. Raises Torn, and begins anew."""
        of = part.term, part.index, part.index_term
        if of != self.of:
            self.of, self.held = of, bytearray()
        if part.offset > len(self.held):
            return len(self.held), None  # one before it was lost
        del self.held[part.offset :]  # said again; what is held after it is asked for again
        self.held += part.octets
        if len(self.held) > MAX_SNAPSHOT_BYTES:
            self.drop()
            raise SnapshotTransferError("a snapshot that is too long")
        if not part.last:
            return len(self.held), None
        octets = bytes(self.held)
        self.drop()
        return 0, unpack(octets, part.index, part.index_term)
