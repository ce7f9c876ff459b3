"""The state that the parts of one Raft node share: its role, term, vote, log, members and commit index.

It knows what of this must be saved and what is to be sent. Why it changes is known to `election` (who leads),
`follower` (a follower's log) and `replication` (a leader's log).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable
from enum import StrEnum

from brookreach.coordination.protocol.messages import Body, Entry, RequestVote
from brookreach.coordination.raft.log import RaftLog
from brookreach.coordination.raft.membership import MembershipHistory
from brookreach.coordination.raft.rejection import Rejection
from brookreach.coordination.raft.types import PendingSave, Ready, Snapshot, StoredState
from brookreach.coordination.timing import Timing


class Role(StrEnum):
    """What a node is in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"  # asks whether an election could be won, without raising its term
    CANDIDATE = "candidate"
    LEADER = "leader"


_TRANSITIONS: dict[Role, frozenset[Role]] = {
    Role.FOLLOWER: frozenset({Role.FOLLOWER, Role.PRE_CANDIDATE, Role.CANDIDATE}),
    Role.PRE_CANDIDATE: frozenset({Role.FOLLOWER}),
    Role.CANDIDATE: frozenset({Role.FOLLOWER, Role.LEADER}),
    Role.LEADER: frozenset({Role.FOLLOWER}),
}


class NodeState:
    """One node.

    Attributes:
        voted_for: The candidate that has the vote in `term`, or "".
        leader: The leader of `term` as far as known, or "".
        commit_index: Index of the last entry known to be committed.
        applied_index: Index of the last entry handed out to be applied.
        is_uninitialized: The storage is empty, perhaps because it lost a vote: the node takes part in nothing.
        last_leader_contact_at: When the leader's last message came, in ms of `now`.
        election_due: When to start an election unless a leader is heard; None before the first call.
        now: The latest time handed in, in ms of a clock that never goes back.
        wall_ms: The replica's wall clock as the caller last set it; it goes with votes.
        save_in_progress: A save was handed out and is not yet confirmed.
        rejections: How many messages and requests were ignored, by reason.
    """

    def __init__(self, name: str, stored: StoredState, timing: Timing, rng: random.Random):
        self.name = name
        self.timing = timing
        self._rng = rng
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.snapshot = stored.snapshot
        self.log = RaftLog(self.snapshot.index, self.snapshot.term, stored.entries)
        self.membership = MembershipHistory(self.snapshot.members, self.snapshot.index, stored.entries)
        self.commit_index = self.snapshot.index
        self.applied_index = self.snapshot.index
        self.is_uninitialized = not self.snapshot.members
        self.role = Role.FOLLOWER
        self.leader = ""
        self.last_leader_contact_at = -math.inf
        self.election_due: float | None = None
        self.now = -math.inf
        self.wall_ms = 0
        self.save_in_progress = False
        self.rejections: Counter[Rejection] = Counter()
        self._restore = self.snapshot if self.snapshot.index else None
        self._outbox: list[tuple[str, Body]] = []
        self._vote_unsaved = False
        self._snapshot_unsaved = False

    # --- Time ---

    def advance_clock(self, now: float) -> None:
        """Take note of the time; the first call starts the election timer."""
        self.now = max(self.now, now)
        if self.election_due is None:
            self.reset_election_timer()

    def reset_election_timer(self) -> None:
        """Draw a new election timeout; it is random so that few nodes start an election at once."""
        self.election_due = self.now + self.timing.election_timeout_ms * (1 + self._rng.random())

    def has_active_leader(self) -> bool:
        """Whether there is a leader that is not to be disturbed by an election."""
        if self.role == Role.LEADER:
            return True  # it steps down by itself when a majority is silent
        return self.leader != "" and self.now - self.last_leader_contact_at < self.timing.election_timeout_ms

    # --- Messages ---

    def send(self, target: str, body: Body) -> None:
        """Put a message into the next `Ready`."""
        self._outbox.append((target, body))

    def reject(self, reason: Rejection) -> None:
        """Count a message or request that has no effect."""
        self.rejections[reason] += 1

    # --- Members ---

    @property
    def members(self) -> tuple[str, ...]:
        """The members in effect now."""
        return self.membership.current

    @property
    def peers(self) -> list[str]:
        """The other members."""
        return [member for member in self.members if member != self.name]

    @property
    def is_member(self) -> bool:
        """Whether this node is a member itself."""
        return self.name in self.members

    def is_majority(self, names: Iterable[str]) -> bool:
        """Whether these names hold a majority of the members."""
        members = self.members
        return 2 * len(set(names) & set(members)) > len(members)

    # --- Terms and roles ---

    def become(self, role: Role) -> None:
        """Change the role."""
        if role not in _TRANSITIONS[self.role]:
            raise ValueError(f"a {self.role} can't become a {role}")
        self.role = role

    def enter_term(self, term: int) -> None:
        """Begin a later term as a follower without a leader and without a vote."""
        self.term = term
        self.voted_for = ""
        self._vote_unsaved = True
        self.step_down()

    def step_down(self) -> None:
        """Become a follower without a leader."""
        self.become(Role.FOLLOWER)
        self.leader = ""
        self.reset_election_timer()

    def follow(self, leader: str) -> None:
        """Become, or stay, a follower of the term's leader, which was heard now."""
        self.become(Role.FOLLOWER)
        self.leader = leader
        self.last_leader_contact_at = self.now
        self.reset_election_timer()

    def vote_for(self, candidate: str) -> None:
        """Give the vote of this term."""
        self.voted_for = candidate
        self._vote_unsaved = True

    def is_ahead_of(self, request: RequestVote) -> bool:
        """Whether this log is more up to date than the candidate's: that may lack a committed entry."""
        return (request.last_term, request.last_index) < (self.log.last_term, self.log.last_index)

    # --- Log and snapshots ---

    def append(self, entries: list[Entry]) -> None:
        """Add entries to the log; changes of members among them take effect."""
        self.log.append(entries)
        self.membership.append(entries)

    def truncate_after(self, index: int) -> None:
        """Remove the entries after `index`; changes of members among them are undone."""
        self.log.truncate_after(index)
        self.membership.truncate_after(index)

    def compact(self, snapshot: Snapshot) -> None:
        """Take this node's own snapshot of what it has applied."""
        self.log.compact(snapshot.index)
        self.membership.reset(snapshot.index, snapshot.members, keep_later=True)
        self._set_snapshot(snapshot)

    def install(self, snapshot: Snapshot) -> None:
        """Take the leader's snapshot of more than is committed here."""
        log_matches = self.log.term_at(snapshot.index) == snapshot.term
        if log_matches:
            self.log.compact(snapshot.index)
        else:
            self.log.reset(snapshot.index, snapshot.term)
        self.membership.reset(snapshot.index, snapshot.members, keep_later=log_matches)
        self._set_snapshot(snapshot)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        self._restore = snapshot

    def _set_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self._snapshot_unsaved = True

    # --- What the caller has to do ---

    def has_output(self) -> bool:
        """Whether `fill` has something to hand out."""
        if self._outbox or self._restore is not None:
            return True
        return self._has_unsaved_changes() or self.commit_index > self.applied_index

    def _has_unsaved_changes(self) -> bool:
        return self._vote_unsaved or self._snapshot_unsaved or self.log.has_unsaved_changes()

    def take_save(self) -> PendingSave | None:
        """Return what must be saved, if anything; it counts as handed out."""
        if not self._has_unsaved_changes():
            return None
        truncate_after, entries = self.log.take_unsaved()
        snapshot = self.snapshot if self._snapshot_unsaved else None
        self._vote_unsaved = False
        self._snapshot_unsaved = False
        self.save_in_progress = True
        return PendingSave(self.term, self.voted_for, truncate_after, entries, snapshot)

    def fill(self, ready: Ready) -> None:
        """Move what is to be done into `ready`."""
        ready.save = self.take_save()
        ready.send = self._outbox
        self._outbox = []
        ready.restore = self._restore
        self._restore = None
        if self.commit_index > self.applied_index:
            ready.apply = self.log.between(self.applied_index, self.commit_index)
            self.applied_index = self.commit_index
