"""What a leader knows of one follower: how far its log matches, what is under way to it, when it answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto

from brookreach.coordination.protocol.messages import AppendEntriesReply, InstallSnapshotReply
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.snapshot_transfer import SnapshotSender
from brookreach.coordination.raft.types import Snapshot

MAX_IN_FLIGHT_APPENDS = 8  # AppendEntries with entries under way to one follower
RETRANSMIT_HEARTBEATS = 2  # heartbeat intervals without an answer before entries or a chunk are sent again


class Mode(Enum):
    """How a leader replicates to a follower."""

    PROBE = auto()  # looks for the index up to which the logs match, one message at a time
    STREAM = auto()  # sends entries without waiting for each answer
    SNAPSHOT = auto()  # sends a snapshot


@dataclass(frozen=True, slots=True)
class InFlightAppend:
    """Entries that were sent and not yet acknowledged."""

    last_index: int
    sent_at: float


@dataclass(slots=True)
class FollowerProgress:
    """One follower, during one term of the leader.

    Attributes:
        next_index: Index of the first entry not sent yet.
        last_contact_at: When its last answer came.
        match_index: Its log is known to match, and to be durable, up to here.
        match_round: Round of the answer that showed this.
        sent_index: The highest index that was sent to it.
        sent_round: The last round sent to it.
        answered_round: The last round that it answered.
        probe_outstanding: A probe was sent and not yet answered.
        snapshot_sender: The transfer, in mode SNAPSHOT.
    """

    next_index: int
    last_contact_at: float
    match_index: int = 0
    match_round: int = 0
    sent_index: int = 0
    sent_round: int = 0
    answered_round: int = 0
    mode: Mode = Mode.PROBE
    probe_outstanding: bool = False
    in_flight: deque[InFlightAppend] = field(default_factory=deque)
    snapshot_sender: SnapshotSender | None = None

    # --- Sending ---

    def may_send_entries(self) -> bool:
        """Whether another AppendEntries with entries may be sent now."""
        match self.mode:
            case Mode.PROBE:
                return not self.probe_outstanding
            case Mode.STREAM:
                return len(self.in_flight) < MAX_IN_FLIGHT_APPENDS
            case Mode.SNAPSHOT:
                return False

    def on_entries_sent(self, last_index: int, now: float) -> None:
        """Take note that entries up to `last_index` were sent, in mode STREAM."""
        self.next_index = last_index + 1
        self.in_flight.append(InFlightAppend(last_index, now))

    def probe(self, next_index: int) -> None:
        """Begin to look for the matching index, with the entry before `next_index`."""
        self.mode = Mode.PROBE
        self.next_index = next_index
        self.probe_outstanding = False
        self.in_flight.clear()

    def begin_snapshot(self, snapshot: Snapshot) -> SnapshotSender:
        """Begin to send a snapshot, from its start."""
        self.mode = Mode.SNAPSHOT
        self.snapshot_sender = SnapshotSender(snapshot)
        self.in_flight.clear()
        return self.snapshot_sender

    def retransmit_if_late(self, now: float, patience_ms: float) -> None:
        """Let what has had no answer for `patience_ms` be sent again."""
        if self.in_flight and now - self.in_flight[0].sent_at > patience_ms:
            self.probe(self.match_index + 1)
        sender = self.snapshot_sender
        if sender is not None and sender.chunk_outstanding and now - sender.sent_at > patience_ms:
            sender.chunk_outstanding = False

    # --- Answers ---

    def on_answer(self, now: float, round_number: int) -> None:
        """Take note of any answer."""
        self.last_contact_at = now
        self.answered_round = max(self.answered_round, round_number)

    def on_success(self, reply: AppendEntriesReply, log_base_index: int) -> None:
        """Take note that the follower's log matches and is durable up to `reply.index`."""
        if reply.index > self.match_index:
            self.match_index = reply.index
            self.match_round = reply.round
        while self.in_flight and self.in_flight[0].last_index <= reply.index:
            self.in_flight.popleft()
        match self.mode:
            case Mode.SNAPSHOT:
                if self.match_index >= log_base_index:  # the log goes on from there
                    self.snapshot_sender = None
                    self._begin_stream(self.match_index + 1)
            case Mode.STREAM:
                self.next_index = max(self.next_index, reply.index + 1)
            case Mode.PROBE:
                if reply.index >= self.next_index - 1:
                    self._begin_stream(reply.index + 1)

    def _begin_stream(self, next_index: int) -> None:
        self.mode = Mode.STREAM
        self.next_index = next_index
        self.probe_outstanding = False

    def on_conflict(self, reply: AppendEntriesReply) -> Rejection | None:
        """Probe where the follower suggests: its log does not match up to the entry that was sent.

        Returns:
            What is wrong with the answer, if anything.
        """
        if self.mode == Mode.SNAPSHOT or reply.index + 1 >= self.next_index:
            return None  # a repeated answer, or one to another message
        lost_entries = reply.index < self.match_index
        if lost_entries and reply.round <= self.match_round:
            return Rejection.STALE
        self.probe(reply.index + 1)
        return Rejection.LOST_ACKNOWLEDGED_ENTRIES if lost_entries else None

    def on_chunk_acknowledged(self, reply: InstallSnapshotReply) -> Rejection | None:
        """Go on with the snapshot where the follower wants; returns what is wrong with the answer, if anything."""
        sender = self.snapshot_sender
        if sender is None or reply.index != sender.index:
            return Rejection.UNKNOWN_TRANSFER
        if not sender.acknowledge(reply.offset):
            return Rejection.OFFSET_OUT_OF_RANGE
        return None
