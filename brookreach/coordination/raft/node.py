"""Raft for one keeper, free of I/O: messages and time in; what to save, send and apply out.

It owns the order in which parts are asked and the contract of `Ready`: save, then `saved`, then send, then
apply. It must never read a clock, a disk or a socket, and no message may make it raise: what can't be is
counted in `refusals` by its name and changes nothing.
"""

from __future__ import annotations

import math
import random
from collections import Counter

from brookreach.coordination.errors import StorageError
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
from brookreach.coordination.raft.node_state import LEADS, MAX_TERM_INCREASE, NodeState
from brookreach.coordination.raft.replication import LeaderReplication
from brookreach.coordination.raft.types import Ready, Snapshot, StoredState
from brookreach.coordination.timing import Timing


class RaftNode:
    """`seats` are those of the configuration; a keeper that is founded, and never stood, must be of the same.

    Who sits where comes from the disk alone: `Store.found` or `Store.join` wrote it once. A keeper whose disk
    holds neither is `mute`.
    """

    def __init__(self, me: str, kept: StoredState, members: tuple[str, ...], timing: Timing, chance: random.Random):
        if (
            members
            and me in kept.snapshot.members
            and kept.term == kept.snapshot.index == 0
            and set(members) != set(kept.snapshot.members)
        ):
            founded, named = ", ".join(sorted(kept.snapshot.members)), ", ".join(sorted(members))
            raise StorageError(f"founded with {founded}; named are {named}")
        self.state = NodeState(me, kept, timing, chance)
        self.election = Election(self.state)
        self.follower = Follower(self.state)
        self.replication: LeaderReplication | None = None
        self.tickets = 0

    # --- how it stands ---

    @property
    def is_leader(self) -> bool:
        return self.state.role == LEADS

    @property
    def leader(self) -> str:
        """ "" where none is known."""
        return self.state.leader

    @property
    def term(self) -> int:
        return self.state.term

    @property
    def members(self) -> tuple[str, ...]:
        return self.state.members

    @property
    def commit_index(self) -> int:
        return self.state.commit

    @property
    def is_uninitialized(self) -> bool:
        return self.state.is_uninitialized

    @property
    def rejections(self) -> Counter[str]:
        return self.state.rejections

    @property
    def wall_ms(self) -> int:
        """This keeper's own clock, as the caller last set it; it goes with votes."""
        return self.state.wall_ms

    @wall_ms.setter
    def wall_ms(self, value: int) -> None:
        self.state.wall_ms = value

    @property
    def low_median_wall_ms(self) -> int:
        """Of the clocks that came with the votes by which this keeper became leader, its own among them."""
        return self.election.wall_ms

    # --- what happens ---

    def handle_message(self, now: float, source: str, message: Body) -> None:
        state = self.state
        state.at(now)
        if state.is_uninitialized:
            return state.refuse("mute")
        if source == state.me:
            return state.refuse("from myself")
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
            return state.refuse("not among keepers")
        if not 1 <= message.term <= state.term + MAX_TERM_INCREASE:
            return state.refuse("a term that can't be")
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
        state = self.state
        if answer.term > state.term:
            if source in state.members:
                state.rise(answer.term)
            else:
                state.refuse("not a seat")
        elif answer.term < state.term or self.replication is None:
            state.refuse("late")
        else:
            self.replication.answered(source, answer)

    def tick(self, now: float) -> None:
        state = self.state
        state.at(now)
        if self.replication:
            self.replication.tick()
        elif not state.is_uninitialized and state.due is not None and state.now >= state.due:
            self.election.timed_out()
        self._lead()

    def _lead(self) -> None:
        """Being leader begins and ends with the role."""
        if self.state.role != LEADS:
            self.replication = None
        elif self.replication is None:
            self.replication = LeaderReplication(self.state)

    def next_wakeup_ms(self) -> float:
        """When to call `passed` again, by the clock of `now`; what is past means at once."""
        state = self.state
        if state.due is None:
            return 0.0
        if self._waits():
            return state.now
        if self.replication:
            return self.replication.beat_at
        return math.inf if state.is_uninitialized else state.due

    def _waits(self) -> bool:
        """Whether `ready` has something to hand out."""
        state = self.state
        if state.saving:
            return False
        if self.replication and self.replication.confirmed:
            return True
        return bool(state.out or state.restore) or state.unsaved() or state.commit > state.applied

    # --- what is asked of it ---

    def propose(self, now: float, octets: bytes) -> int | None:
        """The place where it will stand if it stands at all. None: not leading, ending, full or too long."""
        state = self.state
        state.at(now)
        if self.replication is None or self.replication.handing:
            return None
        if state.log.last - state.commit >= state.timing.max_pending_proposals:
            return None
        if not 1 <= len(octets) <= MAX_COMMAND_BYTES or octets.startswith(membership.ENTRY_PREFIX):
            state.refuse("a record that can't be")
            return None
        return self.replication.add(octets)

    def request_read(self, now: float) -> int:
        """A ticket, which `Ready.reads` names once this keeper is known to have led after now.

        0: not leading, or full. Tickets not named yet are void when it no longer leads.
        """
        self.state.at(now)
        if self.replication is None or len(self.replication.asked) >= self.state.timing.max_pending_proposals:
            return 0
        self.tickets += 1
        self.replication.read(self.tickets)
        return self.tickets

    def change_members(self, now: float, members: tuple[str, ...], at_ms: int = 0) -> int | None:
        """One name comes or goes. None: not leading, a change isn't committed yet, or it is not one name."""
        state = self.state
        state.at(now)
        if self.replication is None or not self.replication.settled():
            return None
        if not membership.is_valid_membership(members) or not membership.differs_by_one_member(members, state.members):
            state.refuse("seats that can't be")
            return None
        place = self.replication.add(membership.encode_members(members, at_ms))
        self.replication.seat(place)
        return place

    def transfer_leadership(self, now: float) -> bool:
        """Ask the best follower to stand. Nothing is taken meanwhile, for an election time at most."""
        self.state.at(now)
        return self.replication is not None and (
            self.replication.handing is not None or self.replication.transfer_leadership()
        )

    def compact_log(self, index: int, octets: bytes) -> None:
        """The machine's snapshot of all up to `index`: the log before it may go."""
        state = self.state
        term = state.log.term_at(index)
        if term is None or not state.snapshot.index < index <= state.applied:
            return state.refuse("a cut out of place")
        state.cut(Snapshot(index, term, state.membership.at(index), octets))
        if self.replication:
            self.replication.cut()

    # --- what comes of it ---

    def ready(self) -> Ready:
        """Empty while a save that was handed out isn't confirmed by `saved`."""
        ready = Ready()
        if self.state.saving:
            return ready
        if self.replication:
            self.replication.flush()
            self._lead()
        if self.replication:
            ready.reads, self.replication.confirmed = self.replication.confirmed, []
        self.state.fill(ready)
        return ready

    def on_saved(self, now: float) -> None:
        """The last `Ready.save` is on disk. It may commit more: ask `ready` again, after the rest of this."""
        state = self.state
        state.at(now)
        if state.saving:
            state.saving = False
            state.log.confirmed()
            if self.replication:
                self.replication.settle()
                self._lead()
