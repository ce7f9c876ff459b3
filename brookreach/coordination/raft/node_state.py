"""What all roles of one keeper's Raft share: term, vote, log, seats, how far is committed, what goes out.

It owns these and what must be saved of them. It must never know why they change: that is `election.py` (who
leads), `follow.py` (a follower's log) and `replicate.py` (a leader's).
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from brookreach.coordination.protocol.messages import Body, Entry, RequestVote
from brookreach.coordination.raft.log import RaftLog
from brookreach.coordination.raft.membership import MembershipHistory
from brookreach.coordination.raft.types import PendingSave, Ready, Snapshot, StoredState
from brookreach.coordination.timing import Timing

FOLLOWS, TRIES, STANDS, LEADS = "follows", "tries", "stands", "leads"
MAX_TERM_INCREASE = 1 << 32  # terms a message may be ahead: one changed word must not use the terms up


class NodeState:
    """One keeper. `vote` is "" where none was given in `term`, `leader` is "" where none is known."""

    def __init__(self, me: str, kept: StoredState, timing: Timing, chance: random.Random):
        self.me, self.timing, self.chance = me, timing, chance
        self.term, self.voted_for = kept.term, kept.voted_for
        start = kept.snapshot
        self.log = RaftLog(start.index, start.term, kept.entries)
        self.membership = MembershipHistory(start.members, start.index, kept.entries)
        self.snapshot = start
        self.commit = self.applied = start.index
        self.restore = start if start.index else None
        # An empty disk may be that of a keeper that has promised; it says and takes nothing.
        self.is_uninitialized = not start.members
        self.role, self.leader = FOLLOWS, ""
        self.heard_at = -math.inf  # when the leader last spoke
        self.due: float | None = None  # when to stand, unless a leader speaks
        self.now, self.wall_ms = -math.inf, 0
        self.promised = self.cut_made = False  # term or vote, a snapshot: to be saved
        self.saving = False
        self.out: list[tuple[str, Body]] = []
        self.rejections: Counter[str] = Counter()

    # --- time ---

    def at(self, now: float) -> None:
        self.now = max(self.now, now)
        if self.due is None:
            self.rest()

    def rest(self) -> None:
        """Wait anew for a leader, each time as long as chance has it, so that few stand at once."""
        election = self.timing.election_timeout_ms
        self.due = self.now + election * (1 + self.chance.random())

    def hears_leader(self) -> bool:
        if self.role == LEADS:
            return True  # it steps down by itself when a majority is silent
        return self.leader != "" and self.now - self.heard_at < self.timing.election_timeout_ms

    # --- saying ---

    def say(self, target: str, body: Body) -> None:
        self.out.append((target, body))

    def refuse(self, name: str) -> None:
        """A message without effect; counted by name."""
        self.rejections[name] += 1

    # --- seats ---

    @property
    def members(self) -> tuple[str, ...]:
        return self.membership.now

    def others(self) -> list[str]:
        return [one for one in self.members if one != self.me]

    def majority(self, names: Iterable[str]) -> bool:
        return 2 * len(set(names) & set(self.members)) > len(self.members)

    # --- terms ---

    def rise(self, term: int) -> None:
        self.term, self.voted_for, self.promised = term, "", True
        self.step_down()

    def step_down(self) -> None:
        self.role, self.leader = FOLLOWS, ""
        self.rest()

    def vote_for(self, name: str) -> None:
        self.voted_for, self.promised = name, True

    def behind(self, ask: RequestVote) -> bool:
        """Whether the asker's log ends before mine: then it may lack what is committed."""
        return (ask.last_term, ask.last_index) < (self.log.last_term, self.log.last)

    # --- log ---

    def add(self, entries: list[Entry]) -> None:
        self.log.add(entries)
        self.membership.take(entries)

    def back_to(self, place: int) -> None:
        self.log.back_to(place)
        self.membership.back_to(place)

    def cut(self, snapshot: Snapshot) -> None:
        """Mine, of what was applied here."""
        self.log.cut(snapshot.index)
        self.membership.begin_at(snapshot.index, snapshot.members, keep=True)
        self.snapshot, self.cut_made = snapshot, True

    def install(self, snapshot: Snapshot) -> None:
        """The leader's, of more than is committed here."""
        keep = self.log.term_at(snapshot.index) == snapshot.term
        if keep:
            self.log.cut(snapshot.index)
        else:
            self.log.begin_at(snapshot.index, snapshot.term)
        self.membership.begin_at(snapshot.index, snapshot.members, keep)
        self.snapshot, self.cut_made = snapshot, True
        self.commit = self.applied = snapshot.index
        self.restore = snapshot

    # --- what comes of it ---

    def unsaved(self) -> bool:
        return self.promised or self.cut_made or self.log.changed()

    def to_save(self) -> PendingSave | None:
        if not self.unsaved():
            return None
        after, entries = self.log.to_save()
        made = self.snapshot if self.cut_made else None
        self.promised = self.cut_made = False
        self.saving = True
        return PendingSave(self.term, self.voted_for, after, entries, made)

    def fill(self, ready: Ready) -> None:
        ready.save = self.to_save()
        ready.send, self.out = self.out, []
        ready.restore, self.restore = self.restore, None
        if self.commit > self.applied:
            ready.apply = self.log.span(self.applied, self.commit)
            self.applied = self.commit
