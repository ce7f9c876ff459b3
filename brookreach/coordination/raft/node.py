"""Raft for one keeper, free of I/O: messages and time in; what to save, send and apply out.

It owns the order in which parts are asked and the contract of `Ready`: save, then `saved`, then send, then
apply. It must never read a clock, a disk or a socket, and no message may make it raise: what can't be is
counted in `refusals` by its name and changes nothing.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from brookreach.coordination.ports import Ready, StorageError, StoredState, Timing
from brookreach.coordination.protocol.messages import (
    MAX_COMMAND_BYTES,
    AppendEntries,
    AppendEntriesReply,
    Body,
    InstallSnapshot,
    InstallSnapshotReply,
    RequestVote,
    RequestVoteReply,
    TimeoutNow,
)
from brookreach.coordination.raft import membership
from brookreach.coordination.raft.election import Election
from brookreach.coordination.raft.follower import Follower
from brookreach.coordination.raft.node_state import LEADS, MOST_JUMP, NodeState
from brookreach.coordination.raft.replication import LeaderReplication
from brookreach.coordination.raft.snapshot_transfer import Snapshot


class RaftNode:
    """`seats` are those of the configuration; a keeper that is founded, and never stood, must be of the same.

    Who sits where comes from the disk alone: `Store.found` or `Store.join` wrote it once. A keeper whose disk
    holds neither is `mute`.
    """

    def __init__(self, me: str, kept: StoredState, seats: tuple[str, ...], timing: Timing, chance: random.Random):
        if seats and me in kept.seats and kept.term == kept.index == 0 and set(seats) != set(kept.seats):
            founded, named = ", ".join(sorted(kept.seats)), ", ".join(sorted(seats))
            raise StorageError(f"founded with {founded}; named are {named}")
        self.core = NodeState(me, kept, timing, chance)
        self.election = Election(self.core)
        self.follower = Follower(self.core)
        self.leading: LeaderReplication | None = None
        self.tickets = 0

    # --- how it stands ---

    @property
    def leads(self) -> bool:
        return self.core.role == LEADS

    @property
    def leader(self) -> str:
        """ "" where none is known."""
        return self.core.leader

    @property
    def term(self) -> int:
        return self.core.term

    @property
    def seats(self) -> tuple[str, ...]:
        return self.core.seats

    @property
    def committed(self) -> int:
        return self.core.commit

    @property
    def mute(self) -> bool:
        return self.core.mute

    @property
    def refusals(self) -> Counter[str]:
        return self.core.refusals

    @property
    def wall_ms(self) -> int:
        """This keeper's own clock, as the caller last set it; it goes with votes."""
        return self.core.wall_ms

    @wall_ms.setter
    def wall_ms(self, value: int) -> None:
        self.core.wall_ms = value

    @property
    def wall_ms_low_median(self) -> int:
        """Of the clocks that came with the votes by which this keeper became leader, its own among them."""
        return self.election.wall_ms

    # --- what happens ---

    def hear(self, now: float, source: str, message: Body) -> None:
        core = self.core
        core.at(now)
        if core.mute:
            return core.refuse("mute")
        if source == core.me:
            return core.refuse("from myself")
        if not isinstance(
            message,
            RequestVote
            | RequestVoteReply
            | AppendEntries
            | AppendEntriesReply
            | InstallSnapshot
            | InstallSnapshotReply
            | TimeoutNow,
        ):
            return core.refuse("not among keepers")
        if not 1 <= message.term <= core.term + MOST_JUMP:
            return core.refuse("a term that can't be")
        if isinstance(message, RequestVote):
            self.election.asked(source, message)
        elif isinstance(message, RequestVoteReply):
            self.election.answered(source, message)
        elif isinstance(message, TimeoutNow):
            self.election.handed(source, message)
        elif isinstance(message, AppendEntries):
            self.follower.append(source, message)
        elif isinstance(message, InstallSnapshot):
            self.follower.part(source, message)
        else:
            self._answered(source, message)
        self._lead()

    def _answered(self, source: str, answer: AppendEntriesReply | InstallSnapshotReply) -> None:
        core = self.core
        if answer.term > core.term:
            if source in core.seats:
                core.rise(answer.term)
            else:
                core.refuse("not a seat")
        elif answer.term < core.term or self.leading is None:
            core.refuse("late")
        else:
            self.leading.answered(source, answer)

    def passed(self, now: float) -> None:
        core = self.core
        core.at(now)
        if self.leading:
            self.leading.passed()
        elif not core.mute and core.due is not None and core.now >= core.due:
            self.election.timed_out()
        self._lead()

    def _lead(self) -> None:
        """Being leader begins and ends with the role."""
        if self.core.role != LEADS:
            self.leading = None
        elif self.leading is None:
            self.leading = LeaderReplication(self.core)

    def wake_ms(self) -> float:
        """When to call `passed` again, by the clock of `now`; what is past means at once."""
        core = self.core
        if core.due is None:
            return 0.0
        if self._waits():
            return core.now
        if self.leading:
            return self.leading.beat_at
        return math.inf if core.mute else core.due

    def _waits(self) -> bool:
        """Whether `ready` has something to hand out."""
        core = self.core
        if core.saving:
            return False
        if self.leading and self.leading.confirmed:
            return True
        return bool(core.out or core.restore) or core.unsaved() or core.commit > core.applied

    # --- what is asked of it ---

    def propose(self, now: float, octets: bytes) -> int | None:
        """The place where it will stand if it stands at all. None: not leading, ending, full or too long."""
        core = self.core
        core.at(now)
        if self.leading is None or self.leading.handing:
            return None
        if core.log.last - core.commit >= core.timing.most_queued:
            return None
        if not 1 <= len(octets) <= MAX_COMMAND_BYTES or octets.startswith(membership.HEAD):
            core.refuse("a record that can't be")
            return None
        return self.leading.add(octets)

    def read(self, now: float) -> int:
        """A ticket, which `Ready.reads` names once this keeper is known to have led after now.

        0: not leading, or full. Tickets not named yet are void when it no longer leads.
        """
        self.core.at(now)
        if self.leading is None or len(self.leading.asked) >= self.core.timing.most_queued:
            return 0
        self.tickets += 1
        self.leading.read(self.tickets)
        return self.tickets

    def change(self, now: float, seats: tuple[str, ...], at_ms: int = 0) -> int | None:
        """One name comes or goes. None: not leading, a change isn't committed yet, or it is not one name."""
        core = self.core
        core.at(now)
        if self.leading is None or not self.leading.settled():
            return None
        if not membership.proper(seats) or not membership.one_apart(seats, core.seats):
            core.refuse("seats that can't be")
            return None
        place = self.leading.add(membership.record(seats, at_ms))
        self.leading.seat(place)
        return place

    def hand_over(self, now: float) -> bool:
        """Ask the best follower to stand. Nothing is taken meanwhile, for an election time at most."""
        self.core.at(now)
        return self.leading is not None and (self.leading.handing is not None or self.leading.hand_over())

    def cut(self, index: int, octets: bytes) -> None:
        """The machine's snapshot of all up to `index`: the log before it may go."""
        core = self.core
        term = core.log.term_at(index)
        if term is None or not core.snapshot.index < index <= core.applied:
            return core.refuse("a cut out of place")
        core.cut(Snapshot(index, term, core.members.at(index), octets))
        if self.leading:
            self.leading.cut()

    # --- what comes of it ---

    def ready(self) -> Ready:
        """Empty while a save that was handed out isn't confirmed by `saved`."""
        ready = Ready()
        if self.core.saving:
            return ready
        if self.leading:
            self.leading.flush()
            self._lead()
        if self.leading:
            ready.reads, self.leading.confirmed = self.leading.confirmed, []
        self.core.fill(ready)
        return ready

    def saved(self, now: float) -> None:
        """The last `Ready.save` is on disk. It may commit more: ask `ready` again, after the rest of this."""
        core = self.core
        core.at(now)
        if core.saving:
            core.saving = False
            core.log.confirmed()
            if self.leading:
                self.leading.settle()
                self._lead()
