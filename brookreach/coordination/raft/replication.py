"""A leader: entries and snapshots out to followers, what is committed, reads, changes of seats, handing over.

It owns what it knows of its followers, for one term. It must never count an entry before it is on disk where
it is counted, commit one of an earlier term by counting, or let a read go that no majority confirmed since.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from brookreach.coordination.protocol.messages import (
    AppendEntries,
    AppendEntriesReply,
    Entry,
    InstallSnapshotReply,
    TimeoutNow,
)
from brookreach.coordination.raft.node_state import LEADS, NodeState
from brookreach.coordination.raft.progress import RETRANSMIT_HEARTBEATS, FollowerProgress
from brookreach.coordination.raft.snapshot_transfer import SnapshotSender
from brookreach.coordination.raft.types import ConfirmedRead

Figure = TypeVar("Figure", int, float)


@dataclass(slots=True)
class PendingRead:
    """A read: `need` is the first round begun after it was asked."""

    ticket: int
    need: int
    place: int


@dataclass(slots=True)
class LeadershipTransfer:
    target: str
    until: float
    said: bool = False


class LeaderReplication:
    def __init__(self, state: NodeState):
        self.state = state
        self.round = self.read_round = 0
        self.peers: dict[str, FollowerProgress] = {}
        self.asked: deque[PendingRead] = deque()
        self.confirmed: list[ConfirmedRead] = []
        self.handing: LeadershipTransfer | None = None
        self.first = state.log.last + 1
        self.seat(self.first)
        state.add([Entry(self.first, state.term, b"")])  # commits what earlier terms left
        self.beat_at = state.now + state.timing.heartbeat_ms

    def seat(self, next: int) -> None:
        """Followers for new seats. One that lost its seat is still told so, until that is committed."""
        for name in self.state.others():
            self.peers.setdefault(name, FollowerProgress(next, self.state.now))

    def majority_of(self, mine: Figure, of: Callable[[FollowerProgress], Figure]) -> Figure:
        """What a majority of the seats has reached."""
        state = self.state
        values = [mine if one == state.me else of(self.peers[one]) for one in state.members]
        return sorted(values, reverse=True)[len(values) // 2]

    # --- what was asked of this keeper ---

    def settled(self) -> bool:
        """Whether a change of seats may be made: the last is committed, and so is an entry of this term."""
        state = self.state
        return state.commit >= max(self.first, state.membership.changed_at) and self.handing is None

    def add(self, octets: bytes) -> int:
        state = self.state
        place = state.log.last + 1
        state.add([Entry(place, state.term, octets)])
        return place

    def read(self, ticket: int) -> None:
        self.asked.append(PendingRead(ticket, self.round + 1, max(self.state.commit, self.first)))

    def transfer_leadership(self) -> bool:
        state = self.state
        near = [one for one in state.others() if state.now - self.peers[one].heard < state.timing.election_timeout_ms]
        if not near:
            return False
        best = max(near, key=lambda one: self.peers[one].match)  # the first of equals
        self.handing = LeadershipTransfer(best, state.now + state.timing.election_timeout_ms)
        self.hand()
        return True

    def hand(self) -> None:
        """Only who has all may stand: then nothing proposed here is lost, and it wins."""
        state, handing = self.state, self.handing
        if handing and not handing.said and self.peers[handing.target].match == state.log.last:
            handing.said = True
            state.say(handing.target, TimeoutNow(state.term))

    # --- out ---

    def tick(self) -> None:
        state = self.state
        if state.now - self.majority_of(state.now, lambda peer: peer.heard) > state.timing.election_timeout_ms:
            return state.step_down()  # others may lead by now
        if self.handing and state.now >= self.handing.until:
            self.handing = None
        if state.now < self.beat_at:
            return
        self.beat_at = state.now + state.timing.heartbeat_ms
        for peer in self.peers.values():
            peer.late(state.now, RETRANSMIT_HEARTBEATS * state.timing.heartbeat_ms)
        self._begin_round()
        if self.handing:
            self.handing.said = False
            self.hand()

    def flush(self) -> None:
        """Before anything is handed out: reads begin a round unless one of theirs is out; entries go."""
        if self.asked and self.asked[-1].need > self.round and self._confirmed_round() >= self.read_round:
            self._begin_round()
            self.read_round = self.round
        for name, peer in self.peers.items():
            self._stream(name, peer)
        self.settle()  # alone in the group no answer will come

    def _begin_round(self) -> None:
        self.round += 1
        for name, peer in self.peers.items():
            if peer.sending:
                self._append(name, peer, self.state.log.last, ())
            else:
                self._send(name, peer, peer.room() or (peer.probing and not peer.waiting))

    def _stream(self, name: str, peer: FollowerProgress) -> None:
        if peer.sending:
            if not peer.sending.waiting:
                self._send_part(name, peer)
        elif peer.probing:
            if not peer.waiting:
                self._send(name, peer, True)
        else:
            while peer.next <= self.state.log.last and peer.room():
                self._send(name, peer, True)

    def _send(self, name: str, peer: FollowerProgress, with_entries: bool) -> None:
        log, prev = self.state.log, peer.next - 1
        if prev < log.base:
            peer.sending = SnapshotSender(self.state.snapshot)
            peer.flight.clear()
            return self._send_part(name, peer)
        entries = log.since(prev) if with_entries else ()
        self._append(name, peer, prev, entries)
        if peer.probing:
            peer.waiting = True
        elif entries:
            peer.next = entries[-1].index + 1
            peer.flight.append((entries[-1].index, self.state.now))

    def _append(self, name: str, peer: FollowerProgress, prev: int, entries: tuple[Entry, ...]) -> None:
        state = self.state
        peer.round = self.round
        peer.sent = max(peer.sent, prev + len(entries))
        state.say(
            name, AppendEntries(state.term, prev, state.log.term_at(prev) or 0, state.commit, self.round, entries)
        )

    def _send_part(self, name: str, peer: FollowerProgress) -> None:
        if peer.sending:
            peer.round, peer.sent = self.round, max(peer.sent, peer.sending.index)
            self.state.say(name, peer.sending.part(self.state.now, self.state.term, self.round))

    def cut(self) -> None:
        """A newer snapshot: transfers of the one before begin anew with it; what followed is gone."""
        for peer in self.peers.values():
            if peer.sending:
                peer.sending = SnapshotSender(self.state.snapshot)

    # --- answers ---

    def answered(self, source: str, answer: AppendEntriesReply | InstallSnapshotReply) -> None:
        state, peer = self.state, self.peers.get(source)
        if peer is None:
            return state.refuse("not a seat")
        if answer.round > peer.round:
            return state.refuse("a round never sent")
        wrong: str | None = None
        if isinstance(answer, InstallSnapshotReply):
            wrong = peer.got(answer)
        elif not answer.ok:
            wrong = peer.parted(answer)
        elif answer.index > peer.sent:
            return state.refuse("more than was sent")
        else:
            peer.took(answer, state.log.base)
        if wrong:
            state.refuse(wrong)
        peer.spoke(state.now, answer.round)
        self.settle()

    def _confirmed_round(self) -> int:
        return self.majority_of(self.round, lambda peer: peer.answered)

    def settle(self) -> None:
        """What answers, or the own disk, have brought."""
        state = self.state
        place = self.majority_of(state.log.saved, lambda peer: peer.match)
        if place > state.commit and state.log.term_at(place) == state.term:
            state.commit = place
            self._seats_settled()
        if state.role != LEADS:
            return
        self.hand()
        if state.commit >= self.first:
            confirmed = self._confirmed_round()
            while self.asked and self.asked[0].need <= confirmed:
                read = self.asked.popleft()
                self.confirmed.append(ConfirmedRead(read.ticket, read.place))

    def _seats_settled(self) -> None:
        state = self.state
        if state.commit < state.membership.changed_at:
            return
        for name in [one for one in self.peers if one not in state.members]:
            self._send(name, self.peers.pop(name), True)  # so that it hears that it may go
        if state.me not in state.members:
            self._begin_round()
            best = max(state.members, key=lambda one: self.peers[one].match)
            state.say(best, TimeoutNow(state.term))
            state.step_down()
