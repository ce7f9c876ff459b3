"""What a leader knows of one follower: how far its log is the leader's, what is out to it, when it answered.

It owns these figures. It must never take from an answer more than was sent.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from brookreach.coordination.protocol.messages import AppendEntriesReply, InstallSnapshotReply
from brookreach.coordination.raft.snapshot_transfer import SnapshotSender

MAX_IN_FLIGHT_APPENDS = 8  # Appends with entries under way to one follower
RETRANSMIT_HEARTBEATS = 2  # beats without an answer, until entries or a part are sent again


@dataclass(slots=True)
class FollowerProgress:
    """`probing`: the place where both logs part is looked for, one question at a time."""

    next: int  # the first entry not sent yet
    heard: float  # when it last answered
    match: int = 0  # up to here its log is mine, on its disk
    match_round: int = 0  # the round of the answer that showed it
    sent: int = 0  # the furthest place named to it
    round: int = 0  # the last round sent to it
    answered: int = 0  # the last round it answered
    probing: bool = True
    waiting: bool = False  # a probe is out
    flight: deque[tuple[int, float]] = field(default_factory=deque)  # last place, when
    sending: SnapshotSender | None = None

    def room(self) -> bool:
        return not self.probing and self.sending is None and len(self.flight) < MAX_IN_FLIGHT_APPENDS

    def probe(self, next: int) -> None:
        self.next, self.probing, self.waiting = next, True, False
        self.flight.clear()

    def late(self, now: float, patience: float) -> None:
        """What has had no answer for long is sent again."""
        if self.flight and now - self.flight[0][1] > patience:
            self.probe(self.match + 1)
        if self.sending and self.sending.waiting and now - self.sending.sent_at > patience:
            self.sending.waiting = False

    def spoke(self, now: float, round: int) -> None:
        self.heard = now
        self.answered = max(self.answered, round)

    def took(self, answer: AppendEntriesReply, base: int) -> None:
        """All up to `answer.index` is on its disk. `base`: the place before the first entry held here."""
        if answer.index > self.match:
            self.match, self.match_round = answer.index, answer.round
        while self.flight and self.flight[0][0] <= answer.index:
            self.flight.popleft()
        if self.sending:
            if self.match >= base:
                self.sending, self.probing, self.waiting, self.next = None, False, False, self.match + 1
        elif not self.probing:
            self.next = max(self.next, answer.index + 1)
        elif answer.index >= self.next - 1:
            self.probing, self.waiting, self.next = False, False, answer.index + 1

    def parted(self, answer: AppendEntriesReply) -> str | None:
        """Its log isn't mine up to the place asked for. The name of what is wrong with that, if anything."""
        if self.sending or answer.index + 1 >= self.next:
            return None  # said before, or of another question
        if answer.index < self.match and answer.round <= self.match_round:
            return "late"
        behind = answer.index < self.match
        self.probe(answer.index + 1)
        return "behind its own word" if behind else None

    def got(self, answer: InstallSnapshotReply) -> str | None:
        if self.sending is None or answer.index != self.sending.index:
            return "no such transfer"
        return None if self.sending.wanted(answer.offset) else "past the snapshot's end"
