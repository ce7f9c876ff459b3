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
from brookreach.coordination.raft.progress import PATIENCE, Peer
from brookreach.coordination.raft.snapshot_transfer import Sending

Figure = TypeVar("Figure", int, float)


@dataclass(slots=True)
class Asked:
    """A read: `need` is the first round begun after it was asked."""

    ticket: int
    need: int
    place: int


@dataclass(slots=True)
class Handing:
    target: str
    until: float
    said: bool = False


class LeaderReplication:
    def __init__(self, core: NodeState):
        self.core = core
        self.round = self.read_round = 0
        self.peers: dict[str, Peer] = {}
        self.asked: deque[Asked] = deque()
        self.confirmed: list[tuple[int, int]] = []
        self.handing: Handing | None = None
        self.first = core.log.last + 1
        self.seat(self.first)
        core.add([Entry(self.first, core.term, b"")])  # commits what earlier terms left
        self.beat_at = core.now + core.timing.beat_ms

    def seat(self, next: int) -> None:
        """Followers for new seats. One that lost its seat is still told so, until that is committed."""
        for name in self.core.others():
            self.peers.setdefault(name, Peer(next, self.core.now))

    def majority_of(self, mine: Figure, of: Callable[[Peer], Figure]) -> Figure:
        """What a majority of the seats has reached."""
        core = self.core
        values = [mine if one == core.me else of(self.peers[one]) for one in core.seats]
        return sorted(values, reverse=True)[len(values) // 2]

    # --- what was asked of this keeper ---

    def settled(self) -> bool:
        """Whether a change of seats may be made: the last is committed, and so is an entry of this term."""
        core = self.core
        return core.commit >= max(self.first, core.members.changed_at) and self.handing is None

    def add(self, octets: bytes) -> int:
        core = self.core
        place = core.log.last + 1
        core.add([Entry(place, core.term, octets)])
        return place

    def read(self, ticket: int) -> None:
        self.asked.append(Asked(ticket, self.round + 1, max(self.core.commit, self.first)))

    def hand_over(self) -> bool:
        core = self.core
        near = [one for one in core.others() if core.now - self.peers[one].heard < core.timing.election_ms]
        if not near:
            return False
        best = max(near, key=lambda one: self.peers[one].match)  # the first of equals
        self.handing = Handing(best, core.now + core.timing.election_ms)
        self.hand()
        return True

    def hand(self) -> None:
        """Only who has all may stand: then nothing proposed here is lost, and it wins."""
        core, handing = self.core, self.handing
        if handing and not handing.said and self.peers[handing.target].match == core.log.last:
            handing.said = True
            core.say(handing.target, TimeoutNow(core.term))

    # --- out ---

    def passed(self) -> None:
        core = self.core
        if core.now - self.majority_of(core.now, lambda peer: peer.heard) > core.timing.election_ms:
            return core.step_down()  # others may lead by now
        if self.handing and core.now >= self.handing.until:
            self.handing = None
        if core.now < self.beat_at:
            return
        self.beat_at = core.now + core.timing.beat_ms
        for peer in self.peers.values():
            peer.late(core.now, PATIENCE * core.timing.beat_ms)
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
                self._append(name, peer, self.core.log.last, ())
            else:
                self._send(name, peer, peer.room() or (peer.probing and not peer.waiting))

    def _stream(self, name: str, peer: Peer) -> None:
        if peer.sending:
            if not peer.sending.waiting:
                self._send_part(name, peer)
        elif peer.probing:
            if not peer.waiting:
                self._send(name, peer, True)
        else:
            while peer.next <= self.core.log.last and peer.room():
                self._send(name, peer, True)

    def _send(self, name: str, peer: Peer, with_entries: bool) -> None:
        log, prev = self.core.log, peer.next - 1
        if prev < log.base:
            peer.sending = Sending(self.core.snapshot)
            peer.flight.clear()
            return self._send_part(name, peer)
        entries = log.since(prev) if with_entries else ()
        self._append(name, peer, prev, entries)
        if peer.probing:
            peer.waiting = True
        elif entries:
            peer.next = entries[-1].index + 1
            peer.flight.append((entries[-1].index, self.core.now))

    def _append(self, name: str, peer: Peer, prev: int, entries: tuple[Entry, ...]) -> None:
        core = self.core
        peer.round = self.round
        peer.sent = max(peer.sent, prev + len(entries))
        core.say(name, AppendEntries(core.term, prev, core.log.term_at(prev) or 0, core.commit, self.round, entries))

    def _send_part(self, name: str, peer: Peer) -> None:
        if peer.sending:
            peer.round, peer.sent = self.round, max(peer.sent, peer.sending.index)
            self.core.say(name, peer.sending.part(self.core.now, self.core.term, self.round))

    def cut(self) -> None:
        """A newer snapshot: transfers of the one before begin anew with it; what followed is gone."""
        for peer in self.peers.values():
            if peer.sending:
                peer.sending = Sending(self.core.snapshot)

    # --- answers ---

    def answered(self, source: str, answer: AppendEntriesReply | InstallSnapshotReply) -> None:
        core, peer = self.core, self.peers.get(source)
        if peer is None:
            return core.refuse("not a seat")
        if answer.round > peer.round:
            return core.refuse("a round never sent")
        wrong: str | None = None
        if isinstance(answer, InstallSnapshotReply):
            wrong = peer.got(answer)
        elif not answer.ok:
            wrong = peer.parted(answer)
        elif answer.index > peer.sent:
            return core.refuse("more than was sent")
        else:
            peer.took(answer, core.log.base)
        if wrong:
            core.refuse(wrong)
        peer.spoke(core.now, answer.round)
        self.settle()

    def _confirmed_round(self) -> int:
        return self.majority_of(self.round, lambda peer: peer.answered)

    def settle(self) -> None:
        """What answers, or the own disk, have brought."""
        core = self.core
        place = self.majority_of(core.log.saved, lambda peer: peer.match)
        if place > core.commit and core.log.term_at(place) == core.term:
            core.commit = place
            self._seats_settled()
        if core.role != LEADS:
            return
        self.hand()
        if core.commit >= self.first:
            confirmed = self._confirmed_round()
            while self.asked and self.asked[0].need <= confirmed:
                read = self.asked.popleft()
                self.confirmed.append((read.ticket, read.place))

    def _seats_settled(self) -> None:
        core = self.core
        if core.commit < core.members.changed_at:
            return
        for name in [one for one in self.peers if one not in core.seats]:
            self._send(name, self.peers.pop(name), True)  # so that it hears that it may go
        if core.me not in core.seats:
            self._begin_round()
            best = max(core.seats, key=lambda one: self.peers[one].match)
            core.say(best, TimeoutNow(core.term))
            core.step_down()
